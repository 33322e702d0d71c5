package peer

import (
	"context"
	"sync"

	"github.com/quic-go/quic-go"
	"github.com/rcrowley/go-metrics"
)

// A usage sums the UDP payload bytes of all connections of a transport. They
// include handshakes, acknowledgements, retransmissions and QUIC headers, but not
// UDP and IP headers.
type usage struct {
	mu   sync.Mutex
	open map[*quic.Conn]struct{}
	// opened is the number of connections opened since the start.
	opened int64
	// closedSent and closedReceived are the bytes of closed connections.
	closedSent, closedReceived uint64
}

// track adds a connection and records its bytes when it closes.
func (usg *usage) track(con *quic.Conn) {
	usg.mu.Lock()
	defer usg.mu.Unlock()
	if usg.open == nil {
		usg.open = make(map[*quic.Conn]struct{})
	}
	usg.open[con] = struct{}{}
	usg.opened++
	context.AfterFunc(con.Context(), func() {
		usg.mu.Lock()
		defer usg.mu.Unlock()
		delete(usg.open, con)
		sta := con.ConnectionStats()
		usg.closedSent += sta.BytesSent
		usg.closedReceived += sta.BytesReceived
	})
}

func (usg *usage) totals() (sent, received uint64) {
	usg.mu.Lock()
	defer usg.mu.Unlock()
	sent, received = usg.closedSent, usg.closedReceived
	for con := range usg.open {
		sta := con.ConnectionStats()
		sent += sta.BytesSent
		received += sta.BytesReceived
	}
	return sent, received
}

// register registers the totals as gauges. Only the first transport of a
// registry is reported.
func (usg *usage) register(reg metrics.Registry) {
	sent := metrics.NewFunctionalGauge(func() int64 {
		num, _ := usg.totals()
		return int64(num) //nolint:gosec // a byte count fits into int64
	})
	received := metrics.NewFunctionalGauge(func() int64 {
		_, num := usg.totals()
		return int64(num) //nolint:gosec // a byte count fits into int64
	})
	opened := metrics.NewFunctionalGauge(func() int64 {
		usg.mu.Lock()
		defer usg.mu.Unlock()
		return usg.opened
	})
	// An error means that another transport is registered already.
	_ = reg.Register("peer.quic.sent", sent)
	_ = reg.Register("peer.quic.received", received)
	_ = reg.Register("peer.connections", opened)
}

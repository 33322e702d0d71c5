package peer

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"math/big"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// An authority issues certificates for a test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pool *x509.CertPool
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	aut := &authority{pool: x509.NewCertPool()}
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true}
	crt, key := aut.issue(t, tmpl)
	aut.cert, _ = x509.ParseCertificate(crt.Certificate[0])
	aut.key = key
	aut.pool.AddCert(aut.cert)
	return aut
}

func (aut *authority) issue(t *testing.T, tmpl *x509.Certificate) (tls.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	parent, signer := aut.cert, aut.key
	if parent == nil {
		parent, signer = tmpl, key
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, parent, &key.PublicKey, signer)
	if err != nil {
		t.Fatal(err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, key
}

func (aut *authority) entry(t *testing.T, name wick.EntryID) tls.Certificate {
	t.Helper()
	crt, _ := aut.issue(t, &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), Subject: pkix.Name{CommonName: string(name)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	return crt
}

func startTransportAt(t *testing.T, addr string, aut *authority, eid wick.EntryID, opts ...Option) (*Transport, wick.Member) {
	t.Helper()
	opts = append([]Option{WithRegistry(metrics.NewRegistry())}, opts...)
	trn, err := New(addr, eid, 1, aut.entry(t, eid), aut.pool, opts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { trn.Close(t.Context()) })
	trn.Handle(wick.MsgHeartbeat, func(_ context.Context, from wick.EntryID, body []byte) (any, error) {
		var text string
		err := Decode(body, &text)
		return string(from) + ":" + text, err
	})
	return trn, wick.Member{ID: eid, Address: trn.Addr().String()}
}

func startTransport(t *testing.T, aut *authority, eid wick.EntryID, opts ...Option) (*Transport, wick.Member) {
	t.Helper()
	return startTransportAt(t, "127.0.0.1:0", aut, eid, opts...)
}

func wantErr(t *testing.T, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
}

// Guards against misrouted replies, errors that lose their sentinel and messages
// that are not counted.
func TestQUICCall(t *testing.T) {
	aut, ctx := newAuthority(t), t.Context()
	one, _ := startTransport(t, aut, "one")
	two, mem := startTransport(t, aut, "two")
	two.Handle(wick.MsgClaim, func(context.Context, wick.EntryID, []byte) (any, error) { return nil, wick.ErrStaleFence })
	two.Handle(wick.MsgStreamFetch, func(context.Context, wick.EntryID, []byte) (any, error) {
		return make([]byte, wick.MaxMessageBytes), nil
	})
	var out string
	for range 3 {
		if err := one.Call(ctx, mem, wick.MsgHeartbeat, "hi", &out); err != nil || out != "one:hi" {
			t.Fatal(out, err)
		}
	}
	var rem *RemoteError
	err := one.Call(ctx, mem, wick.MsgClaim, 1, nil)
	wantErr(t, err, wick.ErrStaleFence)
	if !errors.As(err, &rem) {
		t.Fatalf("%v is not a RemoteError", err)
	}
	wantErr(t, one.Call(ctx, mem, wick.MsgStop, 1, nil), wick.ErrInvalid)
	wantErr(t, one.Call(ctx, mem, wick.MsgStreamFetch, 1, nil), wick.ErrInvalid)
	wantErr(t, one.Call(ctx, mem, wick.MsgHeartbeat, make([]byte, wick.MaxMessageBytes), nil), wick.ErrInvalid)
	wantErr(t, one.Call(ctx, wick.Member{ID: "x"}, wick.MsgHeartbeat, 1, nil), wick.ErrNotFound)
	if got := metrics.GetOrRegisterCounter("peer.received.heartbeat.messages", two.cnt.reg).Count(); got != 3 {
		t.Errorf("counted %d heartbeats, want 3", got)
	}
	if len(two.inbound["one"].conns) != 1 {
		t.Errorf("%d connections, want a single reused one", len(two.inbound["one"].conns))
	}
	if sent, got := Bytes(one.cnt.reg), Bytes(two.cnt.reg); sent != got || sent == 0 {
		t.Errorf("one counted %d bytes, two %d", sent, got)
	}
}

// Measures the overhead of QUIC and TLS over the encoded bytes of small messages
// on an open connection.
func TestQUICOverhead(t *testing.T) {
	aut, ctx := newAuthority(t), t.Context()
	one, _ := startTransport(t, aut, "one")
	_, mem := startTransport(t, aut, "two")
	one.Call(ctx, mem, wick.MsgHeartbeat, "", nil)
	time.Sleep(200 * time.Millisecond)
	sta := one.links["two"].conn.ConnectionStats()
	wire, encoded := sta.BytesSent+sta.BytesReceived, Bytes(one.cnt.reg)
	const calls = 10
	for range calls {
		if err := one.Call(ctx, mem, wick.MsgHeartbeat, string(make([]byte, 80)), nil); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	sta = one.links["two"].conn.ConnectionStats()
	wire, encoded = sta.BytesSent+sta.BytesReceived-wire, Bytes(one.cnt.reg)-encoded
	t.Logf("per call: %d encoded bytes, %d bytes of UDP payload", encoded/calls, wire/calls)
	if wire > 3*uint64(encoded) {
		t.Errorf("%d bytes of UDP payload for %d encoded bytes", wire, encoded)
	}
}

// Guards against peers without a certificate from the authority, and against an
// entry that impersonates another.
func TestQUICAuthentication(t *testing.T) {
	aut, other, ctx := newAuthority(t), newAuthority(t), t.Context()
	one, memOne := startTransport(t, aut, "one")
	two, memTwo := startTransport(t, other, "two")
	wantErr(t, one.Call(ctx, memTwo, wick.MsgHeartbeat, "", nil), wick.ErrUnavailable)
	// Two trusts one's authority, but one does not trust two's.
	two.roots = aut.pool
	wantErr(t, two.Call(ctx, memOne, wick.MsgHeartbeat, "", nil), wick.ErrUnavailable)
	memOne.ID = "three"
	thr, _ := startTransport(t, aut, "four")
	wantErr(t, thr.Call(ctx, memOne, wick.MsgHeartbeat, "", nil), wick.ErrUnavailable)
	if _, err := New("127.0.0.1:0", "five", 1, aut.entry(t, "six"), aut.pool); !errors.Is(err, wick.ErrInvalid) {
		t.Fatal(err)
	}
}

// sendRaw sends bytes on a new stream and returns the reply or error.
func sendRaw(t *testing.T, trn *Transport, to wick.Member, data []byte) ([]byte, error) {
	t.Helper()
	lnk, err := trn.link(to.ID)
	if err != nil {
		t.Fatal(err)
	}
	return trn.roundTrip(t.Context(), lnk, to, wick.MsgHeartbeat, data)
}

// Guards against accepting invalid messages, and against memory growth caused by
// the oversized messages of a malicious peer while others are served.
func TestQUICRejections(t *testing.T) {
	aut := newAuthority(t)
	evil, _ := startTransport(t, aut, "evil")
	good, _ := startTransport(t, aut, "good")
	srv, mem := startTransport(t, aut, "srv")
	encode := func(env wick.Envelope) []byte {
		data, err := Encode(env)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	for name, data := range map[string][]byte{
		"other sender":  encode(wick.Envelope{Version: 1, Type: wick.MsgHeartbeat, From: "good"}),
		"unknown type":  encode(wick.Envelope{Version: 1, Type: "gossip", From: "evil"}),
		"no CBOR":       []byte("GET / HTTP/1.1"),
		"empty":         {},
		"deep nesting":  append([]byte{0xa1, 0x05}, bytes.Repeat([]byte{0x81}, 100)...),
		"data after it": append(encode(wick.Envelope{Version: 1, Type: wick.MsgHeartbeat, From: "evil"}), 0),
	} {
		if _, err := sendRaw(t, evil, mem, data); resetError(err) != wick.ErrInvalid { //nolint:errorlint // resetError returns the sentinel itself
			t.Errorf("%s: got %v", name, err)
		}
	}
	rawReply, err := sendRaw(t, evil, mem, encode(wick.Envelope{Version: 2, Type: wick.MsgHeartbeat, From: "evil"}))
	if err != nil {
		t.Fatal(err)
	}
	wantErr(t, decodeReply(rawReply, "srv", wick.MsgHeartbeat, nil), wick.ErrInvalid)

	done := make(chan struct{})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	go func() {
		defer close(done)
		for range 40 {
			sendRaw(t, evil, mem, make([]byte, 4*wick.MaxMessageBytes))
		}
	}()
	var out string
	for running := true; running; {
		select {
		case <-done:
			running = false
		default:
		}
		begin := time.Now()
		if err := good.Call(t.Context(), mem, wick.MsgHeartbeat, "hi", &out); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(begin); took > 2*time.Second {
			t.Errorf("call of another peer took %v", took)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 32<<20 {
		t.Errorf("heap grew by %d bytes", grown)
	}
	if metrics.GetOrRegisterCounter("peer.refused.tooLarge", srv.cnt.reg).Count() == 0 {
		t.Error("no oversized message counted")
	}
}

// Guards against unbounded queues: above the limits of caller and receiver, the
// newest call fails with ErrBusy, and other peers are still served.
func TestQUICBusy(t *testing.T) {
	aut, ctx := newAuthority(t), t.Context()
	lim := Limits{MaxStreams: 2, MaxActive: 3, MaxPending: 2, ReadTimeout: time.Second}
	one, _ := startTransport(t, aut, "one", WithLimits(lim))
	many, _ := startTransport(t, aut, "many")
	srv, mem := startTransport(t, aut, "srv", WithLimits(lim))
	release, entered := make(chan struct{}), make(chan struct{}, 9)
	srv.Handle(wick.MsgStreamCopy, func(context.Context, wick.EntryID, []byte) (any, error) {
		entered <- struct{}{}
		<-release
		return nil, nil
	})
	results := make(chan error, 2)
	for range 2 {
		go func() { results <- one.Call(ctx, mem, wick.MsgStreamCopy, 1, nil) }()
		<-entered
	}
	wantErr(t, one.Call(ctx, mem, wick.MsgHeartbeat, "", nil), wick.ErrBusy)
	if err := many.Call(ctx, mem, wick.MsgHeartbeat, "", nil); err != nil {
		t.Fatalf("other peer: %v", err)
	}
	go func() { results <- many.Call(ctx, mem, wick.MsgStreamCopy, 1, nil) }()
	<-entered
	wantErr(t, many.Call(ctx, mem, wick.MsgHeartbeat, "", nil), wick.ErrBusy)
	close(release)
	for range 3 {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
}

// Guards against a link that doesn't recover after its peer restarted at the
// same address, and against a shutdown that aborts requests in flight.
func TestQUICRestartAndClose(t *testing.T) {
	aut, ctx := newAuthority(t), t.Context()
	one, _ := startTransport(t, aut, "one")
	srv, mem := startTransport(t, aut, "srv")
	var handled atomic.Bool
	entered := make(chan struct{})
	srv.Handle(wick.MsgClaim, func(context.Context, wick.EntryID, []byte) (any, error) {
		close(entered)
		time.Sleep(200 * time.Millisecond)
		handled.Store(true)
		return nil, nil
	})
	result := make(chan error)
	go func() { result <- one.Call(ctx, mem, wick.MsgClaim, 1, nil) }()
	<-entered
	if err := srv.Close(ctx); err != nil || !handled.Load() {
		t.Fatal("shutdown did not wait for the request in flight", err)
	}
	if err := <-result; err != nil {
		t.Logf("reply to the request in flight at shutdown: %v", err)
	}
	startTransportAt(t, mem.Address, aut, "srv")
	var err error
	for range 20 {
		if err = one.Call(ctx, mem, wick.MsgHeartbeat, "", nil); err == nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if err != nil {
		t.Fatalf("call after the restart failed: %v", err)
	}
	one.Close(ctx)
	wantErr(t, one.Call(ctx, mem, wick.MsgHeartbeat, "", nil), wick.ErrStopped)
}

func FuzzEnvelope(f *testing.F) {
	body, _ := Encode(reply{Code: "busy", Body: []byte("x")})
	seed, _ := Encode(wick.Envelope{Version: 1, Type: wick.MsgHeartbeat, From: "one", Body: body})
	f.Add(seed)
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		env, err := DecodeEnvelope(data)
		decodeReply(data, "one", wick.MsgHeartbeat, &[]byte{})
		if err != nil {
			wantErr(t, err, wick.ErrInvalid)
			return
		}
		again, err := EncodeEnvelope(env)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeEnvelope(again); err != nil {
			t.Fatal(err)
		}
	})
}

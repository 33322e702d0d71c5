package httpio

import (
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/rcrowley/go-metrics"

	"github.com/wagtailwick/wagtailwick/internal/audit"
)

// Limits of a listener for readiness checks and operators.
const (
	internalConns       = 64
	internalHeadBytes   = 16 << 10
	internalBodyBytes   = 16 << 10
	internalReadTimeout = 10 * time.Second
	internalIdleTimeout = time.Minute
)

// NewInternal returns a listener for readiness checks and operators, which make few
// connections and send small requests, and the options of its server. Its requests don't
// count as those of callers.
func NewInternal(raw net.Listener) (*Listener, []config.Option) {
	lis := &Listener{
		Listener: raw, Limit: internalConns, ReadTimeout: internalReadTimeout, WriteTimeout: internalReadTimeout,
		HeadLimit: func() int { return internalHeadBytes }, Audit: audit.Tracker{Metrics: metrics.NewRegistry()},
		Refusal: func() []byte { return []byte("too many connections\n") },
	}
	return lis, []config.Option{
		server.WithListener(lis), server.WithTransport(NewTransporter), OnAccept(), server.WithDisablePrintRoute(true),
		server.WithMaxHeaderBytes(ServerHeadBytes), server.WithMaxRequestBodySize(internalBodyBytes),
		server.WithReadTimeout(internalReadTimeout), server.WithIdleTimeout(internalIdleTimeout),
		{F: func(opt *config.Options) { opt.NoDefaultServerHeader = true }},
	}
}

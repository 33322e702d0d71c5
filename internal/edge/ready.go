package edge

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/httpio"
)

// A readyServer serves the readiness check of the load balancer. It replies on
// every path.
type readyServer struct {
	// plan, backends, members and orders are set once the first plan and the first lists
	// of endpoints, of entries and of version orders are loaded, draining when the entry
	// drains.
	plan, backends, members, orders, draining atomic.Bool
	// needsEvacuations is set until the first list of evacuations is loaded, if they are
	// read at all.
	needsEvacuations atomic.Bool
}

func newReadyServer(ctx context.Context, addr string) (*readyServer, error) {
	var lcf net.ListenConfig
	lis, err := lcf.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "edge: listen for readiness")
	}
	return serveReady(lis), nil
}

// serveReady answers readiness checks on a listener.
func serveReady(lis net.Listener) *readyServer {
	rds := &readyServer{}
	_, opts := httpio.NewInternal(lis)
	hrz := server.New(opts...)
	hrz.Use(httpio.CheckBody, rds.handle)
	go func() {
		if err := hrz.Run(); err != nil {
			log.WithError(err).Error("edge: readiness server failed")
		}
	}()
	return rds
}

func (rds *readyServer) setPlanLoaded()     { rds.plan.Store(true) }
func (rds *readyServer) setBackendsLoaded() { rds.backends.Store(true) }
func (rds *readyServer) setMembersLoaded()  { rds.members.Store(true) }
func (rds *readyServer) setOrdersLoaded()   { rds.orders.Store(true) }

func (rds *readyServer) setEvacuationsLoaded() { rds.needsEvacuations.Store(false) }

func (rds *readyServer) setDraining() { rds.draining.Store(true) }

func (rds *readyServer) ready() bool {
	return rds.plan.Load() && rds.backends.Load() && rds.members.Load() && rds.orders.Load() && !rds.needsEvacuations.Load() && !rds.draining.Load()
}

func (rds *readyServer) handle(_ context.Context, rct *app.RequestContext) {
	defer rct.Abort()
	if rds.ready() {
		rct.String(consts.StatusOK, "ready\n")
		return
	}
	rct.String(consts.StatusServiceUnavailable, "not ready\n")
}

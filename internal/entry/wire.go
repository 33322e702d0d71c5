package entry

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/admin"
	"github.com/wagtailwick/wagtailwick/internal/canary"
	"github.com/wagtailwick/wagtailwick/internal/config"
	"github.com/wagtailwick/wagtailwick/internal/front"
	"github.com/wagtailwick/wagtailwick/internal/limit"
	"github.com/wagtailwick/wagtailwick/internal/member"
	"github.com/wagtailwick/wagtailwick/internal/notice"
	"github.com/wagtailwick/wagtailwick/internal/peer"
	"github.com/wagtailwick/wagtailwick/internal/route"
	"github.com/wagtailwick/wagtailwick/internal/stream"
	"github.com/wagtailwick/wagtailwick/internal/vmlist"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// maxRequestBytes bounds the memory of accepted requests and replicas, within
// the 256 MB that a node may use.
const maxRequestBytes = 96 << 20

// wire creates the components and connects them.
func (ent *Entry) wire() error {
	cert, pool, err := ent.credentials()
	if err != nil {
		return err
	}
	ent.peers, err = peer.New(ent.self.Address, ent.self.ID, ent.self.Incarnation, cert, pool)
	if err != nil {
		return err
	}
	ent.self.Address = ent.peers.Addr().String()
	ent.wireMembership()
	ent.wireRouting()
	ent.wireDuties()
	ent.wireStreams()
	ent.registerHandlers()
	ent.wireAdmin()
	return ent.wireFront()
}

func (ent *Entry) wireMembership() {
	clk := wick.SystemClock{}
	ent.view = member.New(ent.self, time.Now())
	ent.notices = &notice.Set{}
	ent.spread = &notice.Replicator{
		Set: ent.notices, Peers: ent.peers, Clock: clk,
		View: func() []wick.Member { return ent.view.Live(clk.Now()) },
	}
	ent.vms = vmlist.New(ent.self.ID, ent.self.Incarnation)
	ent.config = config.New(ent.store, ent.peers, ent.view, ent.set.OperatorKeys, clk, ent.invar)
	ent.beater = &member.Heartbeater{
		View: ent.view, Peers: ent.peers, Clock: clk,
		AddDigests: func(hbt *member.Heartbeat) { hbt.Stops, hbt.Leaving = ent.notices.Digests() },
		OnHeartbeat: func(from wick.Member, hbt member.Heartbeat) {
			ent.config.PullIfNewer(from)
			go ent.spread.CompareDigests(context.Background(), from, hbt.Stops, hbt.Leaving)
		},
	}
}

func (ent *Entry) wireRouting() {
	ent.judge = canary.New(ent.self.ID, ent.self.Incarnation, ent.invar)
	ent.moves = &moveTable{}
	ent.route = route.New(ent.self.ID, ent.self.Zone, route.WithChecker(ent.invar), route.WithVersions(ent.judge))
	ent.limit = limit.New()
	ent.ledger = &lazyLedger{}
	ent.notices.OnLeaving(func(lvg notice.Leaving) {
		ent.route.MarkLeaving(route.Notice{VM: lvg.VM, Since: lvg.Since, Source: lvg.Source}, time.Now())
	})
	ent.notices.OnStop(func(stp notice.Stop) {
		ent.applyStop(canary.Stop{
			Move: stp.Move, Service: stp.Service, Version: stp.Version, Reason: stp.Reason, By: stp.From, At: time.Now(),
		})
	})
	ent.config.Subscribe(func(bnd bundle.Bundle) {
		ent.route.SetBundle(&bnd)
		ent.limit.SetBundle(&bnd)
		ent.startLedger(bnd.LedgerShards)
		ent.setMoves(&bnd)
	})
}

func (ent *Entry) wireStreams() {
	ent.streams = stream.New(stream.Config{
		Self: ent.self.ID, Incarnation: ent.self.Incarnation, Zone: ent.self.Zone,
		Router: ent.route, Admitter: ent.limit, Engine: ent.engine, Plain: ent.plain,
		Ledger: ent.ledger, Peers: ent.peers, Members: liveMembers{ent.view},
		Invar: ent.invar, TrustsRejections: ent.reportsNotExecuted,
		MaxRequests: int64(ent.set.Limits.MaxRequests),
		MaxBytes:    maxRequestBytes,
	})
}

// liveMembers adapts the membership view to the streams.
type liveMembers struct{ view *member.View }

func (lms liveMembers) Members() []wick.Member { return lms.view.Live(time.Now()) }

func (lms liveMembers) LastSeen(eid wick.EntryID) time.Time { return lms.view.LastSeen(eid) }

// reportsNotExecuted reports whether an endpoint's explicit rejection proves that
// the call was not executed. It is false for endpoints of an unknown class.
func (ent *Entry) reportsNotExecuted(vm wick.VM) bool {
	act, ok := ent.config.Active()
	if !ok {
		return false
	}
	for idx := range act.Bundle.Classes {
		if cls := &act.Bundle.Classes[idx]; cls.Name == vm.Class {
			return cls.ReportsNotExecuted
		}
	}
	return false
}

func (ent *Entry) registerHandlers() {
	ent.peers.Handle(wick.MsgHeartbeat, ent.beater.Handle)
	ent.peers.Handle(wick.MsgBundlePush, ent.config.HandlePush)
	ent.peers.Handle(wick.MsgBundlePull, ent.config.HandlePull)
	ent.peers.Handle(wick.MsgStop, ent.spread.HandleStop)
	ent.peers.Handle(wick.MsgLeaving, ent.spread.HandleLeaving)
	ent.peers.Handle(wick.MsgVMList, ent.vms.Handle)
	ent.peers.Handle(wick.MsgEvidence, ent.handleEvidence)
	for typ, fn := range ent.streams.Handlers() {
		ent.peers.Handle(typ, fn)
	}
	ent.peers.Handle(wick.MsgClaim, ent.ledger.handler(wick.MsgClaim))
	ent.peers.Handle(wick.MsgClaimResult, ent.ledger.handler(wick.MsgClaimResult))
}

func (ent *Entry) wireAdmin() {
	ent.admin = &admin.Server{}
	ent.admin.Add("entry", func() any {
		return struct {
			ID          wick.EntryID     `json:"id"`
			Zone        wick.Zone        `json:"zone"`
			Incarnation wick.Incarnation `json:"incarnation"`
			State       wick.EntryState  `json:"state"`
			Violations  any              `json:"violations"`
		}{ent.self.ID, ent.self.Zone, ent.self.Incarnation, ent.State(), ent.invar.Counts()}
	})
	ent.admin.Add("settings", func() any { return ent.set.Redacted() })
	ent.admin.Add("members", func() any { return ent.view.Dump(time.Now()) })
	ent.admin.Add("notices", func() any { return ent.notices.Dump() })
	ent.admin.Add("config", func() any { return ent.config.Dump() })
	ent.admin.Add("route", func() any { return ent.route.Status() })
	ent.admin.Add("limit", func() any { return ent.limit.Status() })
	ent.admin.Add("leases", func() any { return ent.leases.Dump() })
	ent.admin.Add("moves", func() any { return ent.moves.all() })
	ent.admin.Add("fleet", ent.dumpFleet)
	ent.admin.Add("ledger", func() any { return ent.ledger.dump() })
	ent.admin.Add("streams", func() any {
		requests, bytes := ent.streams.Size()
		return struct {
			Requests int64                `json:"requests"`
			Bytes    int64                `json:"bytes"`
			States   map[stream.State]int `json:"states"`
		}{requests, bytes, ent.streams.Counts()}
	})
}

func (ent *Entry) wireFront() error {
	ln, err := net.Listen("tcp", ent.set.Listen.Callers) //nolint:noctx // the listener lives until the entry ends
	if err != nil {
		return eris.Wrap(err, "entry: listen for callers")
	}
	ent.front = front.New(front.Config{
		Table: ent.streams,
		Bundle: func() *bundle.Bundle {
			act, ok := ent.config.Active()
			if !ok {
				return nil
			}
			return &act.Bundle
		},
		Listener: ln,
		MaxBody:  ent.set.Limits.MaxBodyBytes,
	})
	return nil
}

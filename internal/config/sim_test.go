package config

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/internal/invar"
	"github.com/wagtailwick/wagtailwick/internal/member"
	"github.com/wagtailwick/wagtailwick/internal/peer"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// convergenceBound is the time to active that P8 allows.
const convergenceBound = 7 * time.Second

func init() { logrus.SetOutput(io.Discard) }

func signer(name string) bundle.Signer {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, name)
	return bundle.Signer{Name: bundle.KeyName(name), Key: ed25519.NewKeyFromSeed(seed)}
}

func keys() bundle.Keys {
	out := bundle.Keys{}
	for _, name := range []string{"ann", "ben", "cara"} {
		out[bundle.KeyName(name)] = signer(name).PublicText()
	}
	return out
}

func sample(ver wick.BundleVersion, weight int) bundle.Bundle {
	return bundle.Bundle{
		Version: ver, Replaces: ver - 1, LedgerShards: 8, WriteID: wick.NewWriteID(),
		Services:  []bundle.Service{{Name: "quotes", Kind: bundle.KindModel, Versions: []wick.ModelVersion{"q1"}, Active: "q1"}},
		Classes:   []bundle.Class{{Name: "big", Service: "quotes", Slots: 8}},
		Customers: []bundle.Customer{{Name: "north", KeyHash: strings.Repeat("0a", 32), Weight: weight}},
	}
}

func signed(sub, sig string, ver wick.BundleVersion) bundle.Signed {
	sgd := bundle.Signed{Version: ver}
	sgd.Submission, _ = signer(sub).Submission(sample(ver, 1))
	sgd.Signature, _ = signer(sig).Sign(ver, sgd.Submission, "w")
	return sgd
}

// A platformLink is a node's connection to the platform. Calls fail during a
// partition; a watch that would return then blocks until it ends, and fails.
type platformLink struct {
	*fake.Store
	sim  *sim
	zone wick.Zone
}

func (plk *platformLink) check() error {
	if !plk.sim.reachesPlatform(plk.zone) {
		return wick.ErrUnavailable
	}
	return nil
}

func (plk *platformLink) List(ctx context.Context, kind wick.Kind) ([]wick.Object, wick.Revision, error) {
	if err := plk.check(); err != nil {
		return nil, 0, err
	}
	return plk.Store.List(ctx, kind)
}

func (plk *platformLink) Get(ctx context.Context, key wick.ObjectKey) (wick.Object, error) {
	if err := plk.check(); err != nil {
		return wick.Object{}, err
	}
	return plk.Store.Get(ctx, key)
}

func (plk *platformLink) Watch(ctx context.Context, kind wick.Kind, after wick.Revision) ([]wick.Object, wick.Revision, error) {
	if err := plk.check(); err != nil {
		return nil, 0, err
	}
	objs, rev, err := plk.Store.Watch(ctx, kind, after)
	cut := false
	for plk.check() != nil && ctx.Err() == nil {
		cut = true
		time.Sleep(100 * time.Millisecond)
	}
	if cut {
		return nil, 0, wick.ErrUnavailable
	}
	return objs, rev, err
}

// A node is one entry, which loses its state when it restarts.
type node struct {
	mem       wick.Member
	keeper    *Keeper
	view      *member.View
	local     *peer.Local
	cancel    context.CancelFunc
	startedAt time.Time
	// stale is set when this incarnation served an older version.
	stale bool
	// served is the highest version that any incarnation served.
	served wick.BundleVersion
	// target is the version that the node has to adopt, or 0, and since is the
	// time since which each source of it has been connected continuously. The
	// platform is source "".
	target wick.BundleVersion
	since  map[wick.EntryID]time.Time
}

type sim struct {
	t        *testing.T
	ablation ablation
	store    fake.Store
	ntw      peer.Network
	check    invar.Checker
	rnd      *rand.Rand

	mu sync.Mutex
	// cut contains the partitioned zone pairs; the platform is zone "".
	cut   map[[2]wick.Zone]bool
	down  bool
	nodes []*node
	// contents is the content of each adopted version.
	contents map[wick.BundleVersion][]byte
	// last is the highest signed version.
	last wick.BundleVersion
	// violations contains the first violations found.
	violations []string
	worst      time.Duration
	adopted    int
	restarts   int
	// staleRestarts counts restarts that served an older version than before
	// while no source of the newer one was reachable.
	staleRestarts int
}

func (sim *sim) failf(format string, args ...any) {
	if len(sim.violations) < 5 {
		sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
	}
}

func newSim(t *testing.T, entries, zones int, seed uint64, abl ablation) *sim {
	t.Helper()
	sim := &sim{t: t, ablation: abl, cut: make(map[[2]wick.Zone]bool), contents: make(map[wick.BundleVersion][]byte), rnd: rand.New(rand.NewPCG(seed, 1))}
	sim.check.OnViolation = func(name invar.Name, detail string) {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		sim.failf("invariant %s: %s", name, detail)
	}
	sim.ntw.SetReachable(func(from, to wick.EntryID) bool {
		return sim.connected(sim.zoneOf(from), sim.zoneOf(to))
	})
	for num := range entries {
		eid := wick.EntryID(fmt.Sprintf("e%03d", num))
		sim.nodes = append(sim.nodes, &node{mem: wick.Member{ID: eid, Zone: wick.Zone(fmt.Sprintf("z%d", num%zones)), Address: string(eid) + ":1", State: wick.EntryServing}})
	}
	return sim
}

func (sim *sim) zoneOf(eid wick.EntryID) wick.Zone {
	var num int
	fmt.Sscanf(string(eid), "e%d", &num)
	return sim.nodes[num].mem.Zone
}

// connected reports whether two zones are connected. A zone always reaches itself.
func (sim *sim) connected(one, two wick.Zone) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.connectedLocked(one, two)
}

func (sim *sim) connectedLocked(one, two wick.Zone) bool {
	return !sim.cut[[2]wick.Zone{min(one, two), max(one, two)}]
}

func (sim *sim) reachesPlatform(zone wick.Zone) bool { return sim.connected("", zone) }

// start starts a node with the platform's list of all entries.
func (sim *sim) start(nod *node) {
	nod.mem.Incarnation++
	sim.mu.Lock()
	nod.stale = false
	nod.startedAt, nod.target, nod.since = time.Now(), max(nod.served, sim.last), make(map[wick.EntryID]time.Time)
	sim.connect(nod, sim.versions(), nod.startedAt)
	sim.mu.Unlock()
	nod.local = sim.ntw.Join(nod.mem.ID, nod.mem.Incarnation)
	nod.view = member.New(nod.mem, nod.startedAt)
	vms := make([]wick.VM, 0, len(sim.nodes))
	for _, other := range sim.nodes {
		vms = append(vms, wick.VM{ID: wick.VMID(other.mem.ID), Role: wick.RoleEntry, Zone: other.mem.Zone, Address: other.mem.Address, State: wick.VMLive})
	}
	nod.view.SetList(vms, time.Now())
	kee := New(&platformLink{&sim.store, sim, nod.mem.Zone}, nod.local, nod.view, keys(), wick.SystemClock{}, &sim.check)
	kee.ablation = sim.ablation
	nod.keeper = kee
	var last wick.BundleVersion
	kee.Subscribe(func(bnd bundle.Bundle) { sim.adoptedBy(nod, &last, bnd) })
	btr := &member.Heartbeater{View: nod.view, Peers: nod.local, Clock: wick.SystemClock{}, OnHeartbeat: func(from wick.Member, _ member.Heartbeat) { kee.PullIfNewer(from) }}
	nod.local.Handle(wick.MsgHeartbeat, btr.Handle)
	nod.local.Handle(wick.MsgBundlePush, kee.HandlePush)
	nod.local.Handle(wick.MsgBundlePull, kee.HandlePull)
	ctx, cancel := context.WithCancel(context.Background())
	nod.cancel = cancel
	go btr.Run(ctx)
	go kee.Run(ctx)
}

func (sim *sim) stop(nod *node) {
	nod.cancel()
	nod.local.Close()
}

func (sim *sim) adoptedBy(nod *node, last *wick.BundleVersion, bnd bundle.Bundle) {
	doc, err := json.Marshal(bnd)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.adopted++
	if err != nil {
		sim.failf("%v", err)
	}
	if bnd.Version <= *last {
		sim.failf("%s went from %d to %d", nod.mem.ID, *last, bnd.Version)
	}
	*last = bnd.Version
	if old := sim.contents[bnd.Version]; old != nil && !bytes.Equal(old, doc) {
		sim.failf("version %d was adopted with two different contents", bnd.Version)
	}
	sim.contents[bnd.Version] = doc
	if bnd.Version > sim.last+1 {
		sim.failf("version %d is active on %s, the last signed one is %d", bnd.Version, nod.mem.ID, sim.last)
	}
}

// observe checks all nodes once. need is the number of connected peers that must
// have a version for a node to count as connected without the platform.
func (sim *sim) observe(need int) {
	now := time.Now()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	versions := sim.versions()
	for _, nod := range sim.nodes {
		act, ready := nod.keeper.Active()
		serves := act.Bundle.Version
		if ready && serves < nod.served && act.Confirmed {
			sim.failf("%s confirms version %d after it served %d", nod.mem.ID, serves, nod.served)
		}
		if ready && serves >= nod.target || nod.target == 0 {
			if nod.target > 0 {
				sim.recordDelay(nod, now, need)
			}
			nod.target, nod.since = 0, make(map[wick.EntryID]time.Time)
			if !ready || serves < sim.last {
				nod.target = sim.last
			}
		}
		if nod.target > 0 {
			sim.connect(nod, versions, now)
			if late := nod.connectedFor(now, need); late > convergenceBound {
				sim.failf("%s serves %d (ready %t), is connected for %v, %d is signed: %+v", nod.mem.ID, serves, ready, late, nod.target, nod.keeper.Dump())
			} else if ready && serves < nod.served && late > 0 && now.Sub(nod.startedAt) == late {
				sim.failf("%s restarted with %d after it served %d, and is connected since the start", nod.mem.ID, serves, nod.served)
			}
		}
		if ready && serves < nod.served && !nod.stale {
			nod.stale = true
			sim.staleRestarts++
		}
		if ready {
			nod.served = max(nod.served, serves)
		}
	}
}

// versions returns the bundle version of each node. The caller holds mu.
func (sim *sim) versions() map[wick.EntryID]wick.BundleVersion {
	out := make(map[wick.EntryID]wick.BundleVersion)
	for _, nod := range sim.nodes {
		if nod.keeper != nil {
			out[nod.mem.ID] = nod.keeper.latest().Version
		}
	}
	return out
}

// connect updates the times since which the sources of a node's target are
// connected.
func (sim *sim) connect(nod *node, versions map[wick.EntryID]wick.BundleVersion, now time.Time) {
	set := func(eid wick.EntryID, on bool) {
		if !on {
			delete(nod.since, eid)
		} else if _, known := nod.since[eid]; !known {
			nod.since[eid] = now
		}
	}
	set("", !sim.down && sim.connectedLocked("", nod.mem.Zone))
	for _, other := range sim.nodes {
		if other != nod {
			set(other.mem.ID, sim.connectedLocked(nod.mem.Zone, other.mem.Zone) && versions[other.mem.ID] >= nod.target)
		}
	}
}

// connectedFor returns how long the platform, or need peers, have been connected
// and had the target version.
func (nod *node) connectedFor(now time.Time, need int) time.Duration {
	var out time.Duration
	var peers []time.Duration
	for eid, when := range nod.since {
		if eid == "" {
			out = now.Sub(when)
		} else {
			peers = append(peers, now.Sub(when))
		}
	}
	slices.Sort(peers)
	if len(peers) >= need {
		out = max(out, peers[len(peers)-need])
	}
	return out
}

// recordDelay records the time that a node took to serve its target.
func (sim *sim) recordDelay(nod *node, now time.Time, need int) {
	took := nod.connectedFor(now, need)
	sim.worst = max(sim.worst, took)
}

// signNext submits the next version from concurrent operators and signs the one
// that was accepted.
func (sim *sim) signNext(ctx context.Context, racers int) {
	sim.mu.Lock()
	next := sim.last + 1
	sim.mu.Unlock()
	var ops sync.WaitGroup
	for num := range racers {
		name := []string{"ann", "ben"}[num%2]
		weight := 1 + num
		ops.Go(func() {
			cli := &bundle.Client{Store: &sim.store, Keys: keys(), Clock: wick.SystemClock{}}
			cli.Submit(ctx, signer(name), sample(next, weight))
		})
	}
	ops.Wait()
	cli := &bundle.Client{Store: &sim.store, Keys: keys(), Clock: wick.SystemClock{}}
	err := cli.Sign(ctx, signer("cara"), next)
	var cfe *bundle.ConflictError
	if err != nil && !errors.As(err, &cfe) {
		return
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.last = max(sim.last, next)
}

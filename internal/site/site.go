// Package site runs a whole site in one process on loopback: entries, and
// stand-ins for the platform, the cloud, model engines and plain services.
package site

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/certs"
	"github.com/wagtailwick/wagtailwick/internal/entry"
	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/internal/move"
	"github.com/wagtailwick/wagtailwick/internal/setup"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/client"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Names of the operators of a site.
const (
	submitter bundle.KeyName = "marie"
	signer    bundle.KeyName = "jean"
)

// A Plan says what a site consists of.
type Plan struct {
	// Entries holds the zone of each entry.
	Entries []wick.Zone
	// Engines and Plains hold the endpoints; VM.ID, Zone, Class, Service and
	// Versions must be set.
	Engines []*fake.Engine
	Plains  []*fake.Plain
}

// A Site is a running site. Use Start.
type Site struct {
	Store *fake.Store
	Cloud *fake.Cloud

	plan    Plan
	aut     *certs.Authority
	keys    bundle.Keys
	signers map[bundle.KeyName]bundle.Signer
	servers []*fake.Server
	// storeURL and cloudURL are the addresses of the stand-ins.
	storeURL string
	cloudURL string

	mu      sync.Mutex
	entries map[wick.EntryID]*process
}

// A process is one running entry.
type process struct {
	entry *entry.Entry
	set   setup.Settings
	stop  context.CancelFunc
	done  chan error
}

// Start starts the stand-ins and the entries.
func Start(plan Plan) (*Site, error) {
	sit := &Site{
		Store: &fake.Store{}, plan: plan,
		entries: make(map[wick.EntryID]*process),
		signers: make(map[bundle.KeyName]bundle.Signer),
		keys:    make(bundle.Keys),
	}
	sit.Cloud = &fake.Cloud{OnReclaim: sit.reclaimed}
	err := sit.start()
	if err != nil {
		sit.Close()
		return nil, err
	}
	return sit, nil
}

func (sit *Site) start() error {
	aut, err := certs.NewAuthority(time.Now())
	if err != nil {
		return err
	}
	sit.aut = aut
	for _, name := range []bundle.KeyName{submitter, signer} {
		if err := sit.addOperator(name); err != nil {
			return err
		}
	}
	if err := sit.startStandins(); err != nil {
		return err
	}
	counts := make(map[wick.Zone]int)
	for _, zone := range sit.plan.Entries {
		counts[zone]++
		if err := sit.StartEntry(wick.EntryID(fmt.Sprintf("%s%d", zone, counts[zone])), zone); err != nil {
			return err
		}
	}
	return nil
}

func (sit *Site) addOperator(name bundle.KeyName) error {
	key, err := bundle.NewOperatorKey(name)
	if err != nil {
		return err
	}
	sgr, err := key.Signer()
	if err != nil {
		return err
	}
	sit.keys[name] = key.Public
	sit.signers[name] = sgr
	return nil
}

// anyPort lets the system choose a port.
const anyPort = "127.0.0.1:0"

func (sit *Site) startStandins() error {
	srv, err := fake.ServeStore(anyPort, sit.Store)
	if err != nil {
		return err
	}
	sit.servers = append(sit.servers, srv)
	sit.storeURL = "http://" + srv.Addr()
	srv, err = fake.ServeCloud(anyPort, sit.Cloud)
	if err != nil {
		return err
	}
	sit.servers = append(sit.servers, srv)
	sit.cloudURL = "http://" + srv.Addr()
	for _, eng := range sit.plan.Engines {
		srv, err := fake.ServeEngine(anyPort, eng)
		if err != nil {
			return err
		}
		sit.addEndpoint(srv, &eng.Host)
	}
	for _, pla := range sit.plan.Plains {
		srv, err := fake.ServePlain(anyPort, pla)
		if err != nil {
			return err
		}
		sit.addEndpoint(srv, &pla.Host)
	}
	return nil
}

func (sit *Site) addEndpoint(srv *fake.Server, hst *fake.Host) {
	sit.servers = append(sit.servers, srv)
	vm := hst.VM
	vm.Role, vm.Address, vm.State, vm.Reclaimable = wick.RoleEndpoint, srv.Addr(), wick.VMLive, true
	sit.Cloud.Register(vm)
}

// reclaimed tells the endpoint on a VM that it is reclaimed. Entries see it in
// the cloud's list.
func (sit *Site) reclaimed(vm wick.VM, rec fake.Reclaim) {
	for _, eng := range sit.plan.Engines {
		if eng.VM.ID == vm.ID {
			eng.Reclaim(rec)
		}
	}
	for _, pla := range sit.plan.Plains {
		if pla.VM.ID == vm.ID {
			pla.Reclaim(rec)
		}
	}
}

// freePort returns an address with a port that is free now.
func freePort(network string) (string, error) {
	if network == "udp" {
		con, err := net.ListenPacket("udp", anyPort) //nolint:noctx // closed at once
		if err != nil {
			return "", eris.Wrap(err, "site: find a port")
		}
		return con.LocalAddr().String(), con.Close()
	}
	lis, err := net.Listen("tcp", anyPort) //nolint:noctx // closed at once
	if err != nil {
		return "", eris.Wrap(err, "site: find a port")
	}
	return lis.Addr().String(), lis.Close()
}

// StartEntry starts an entry with nothing kept, under a new or an old name.
func (sit *Site) StartEntry(eid wick.EntryID, zone wick.Zone) error {
	set, err := sit.settings(eid, zone)
	if err != nil {
		return err
	}
	sit.Cloud.Register(wick.VM{
		ID: wick.VMID(eid), Role: wick.RoleEntry, Zone: zone, Address: set.Listen.Peers, State: wick.VMLive, Reclaimable: true,
	})
	ctx, cancel := context.WithCancel(context.Background())
	prc := &process{entry: entry.New(set), set: set, stop: cancel, done: make(chan error, 1)}
	sit.mu.Lock()
	sit.entries[eid] = prc
	sit.mu.Unlock()
	go func() { prc.done <- prc.entry.Run(ctx) }()
	return nil
}

func (sit *Site) settings(eid wick.EntryID, zone wick.Zone) (setup.Settings, error) {
	set := setup.Default()
	pair, err := sit.aut.Issue(eid, time.Now())
	if err != nil {
		return set, err
	}
	set.Entry = setup.Entry{ID: eid, Zone: zone}
	set.Peers = setup.Peers{Certificate: pair.Certificate, Key: pair.Key, Authority: sit.aut.PEM}
	set.Platform.StoreURL, set.Platform.CloudURL = sit.storeURL, sit.cloudURL
	set.OperatorKeys = sit.keys
	for _, adr := range []struct {
		network string
		addr    *string
	}{{"tcp", &set.Listen.Callers}, {"udp", &set.Listen.Peers}, {"tcp", &set.Listen.Admin}} {
		if *adr.addr, err = freePort(adr.network); err != nil {
			return set, err
		}
	}
	return set, nil
}

// DrainEntry drains an entry and waits for its end.
func (sit *Site) DrainEntry(eid wick.EntryID, notice time.Duration) error {
	prc := sit.take(eid)
	if prc == nil {
		return eris.Wrapf(wick.ErrNotFound, "site: entry %s", eid)
	}
	prc.entry.Drain(notice)
	err := <-prc.done
	prc.stop()
	sit.Cloud.Remove(wick.VMID(eid))
	return err
}

// KillEntry ends an entry without a drain.
func (sit *Site) KillEntry(eid wick.EntryID) {
	if prc := sit.take(eid); prc != nil {
		prc.stop()
		if err := <-prc.done; err != nil {
			logrus.WithError(err).WithField("entry", eid).Warn("site: entry ended with an error")
		}
		sit.Cloud.Remove(wick.VMID(eid))
	}
}

func (sit *Site) take(eid wick.EntryID) *process {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	prc := sit.entries[eid]
	delete(sit.entries, eid)
	return prc
}

// Entries returns the settings of the running entries, by id.
func (sit *Site) Entries() map[wick.EntryID]setup.Settings {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	out := make(map[wick.EntryID]setup.Settings, len(sit.entries))
	for eid, prc := range sit.entries {
		out[eid] = prc.set
	}
	return out
}

// Violations counts the invariants that running entries saw violated.
func (sit *Site) Violations() int64 {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	total := int64(0)
	for _, prc := range sit.entries {
		for _, num := range prc.entry.Violations() {
			total += num
		}
	}
	return total
}

// Client returns a client of a customer that uses all running entries.
func (sit *Site) Client(key string) *client.Client {
	cli := &client.Client{Key: key}
	for _, set := range sit.Entries() {
		cli.Entries = append(cli.Entries, "http://"+set.Listen.Callers)
	}
	return cli
}

// Operator returns the operators' client of the bundle.
func (sit *Site) Operator() *bundle.Client {
	return &bundle.Client{Store: sit.Store, Keys: sit.keys, Clock: wick.SystemClock{}}
}

// Roll submits and signs a bundle.
func (sit *Site) Roll(ctx context.Context, bnd bundle.Bundle) error {
	ops := sit.Operator()
	bnd, err := ops.Submit(ctx, sit.signers[submitter], bnd)
	if err != nil {
		return err
	}
	return ops.Sign(ctx, sit.signers[signer], bnd.Version)
}

const poll = 20 * time.Millisecond

// WaitVersion waits until all running entries serve with a bundle version.
func (sit *Site) WaitVersion(ctx context.Context, ver wick.BundleVersion) error {
	for !sit.inForce(ver) {
		select {
		case <-time.After(poll):
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "site: version %d not in force everywhere", ver)
		}
	}
	return nil
}

func (sit *Site) inForce(ver wick.BundleVersion) bool {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	for _, prc := range sit.entries {
		if prc.entry.State() != wick.EntryServing || prc.entry.Bundle() < ver {
			return false
		}
	}
	return true
}

// Moves returns the states of the newest bundle's moves by name.
func (sit *Site) Moves(ctx context.Context) (map[string]string, error) {
	objs, _, err := sit.Store.List(ctx, wick.KindMove)
	if err != nil {
		return nil, err
	}
	out := make(map[string]string)
	newest := make(map[string]wick.BundleVersion)
	for _, obj := range objs {
		rec, err := move.Parse(obj)
		if err != nil {
			return nil, err
		}
		text, name, _ := strings.Cut(string(rec.Move), "-")
		num, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, eris.Wrapf(wick.ErrInvalid, "site: move %s", rec.Move)
		}
		if ver := wick.BundleVersion(num); ver >= newest[name] {
			newest[name], out[name] = ver, string(rec.State)
		}
	}
	return out, nil
}

// Close ends everything.
func (sit *Site) Close() {
	var wg sync.WaitGroup
	for eid := range sit.Entries() {
		wg.Go(func() { sit.KillEntry(eid) })
	}
	wg.Wait()
	for _, srv := range sit.servers {
		_ = srv.Close()
	}
}

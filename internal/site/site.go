// Package site runs a complete site in one process on loopback: entries, and
// fakes of the platform, the cloud, model engines and plain services.
package site

import (
	"context"
	"fmt"
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
	"github.com/wagtailwick/wagtailwick/internal/ports"
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

// A Plan describes the entries and endpoints of a site.
type Plan struct {
	// Entries holds the zone of each entry.
	Entries []wick.Zone
	// Engines and Plains hold the endpoints. In each VM, ID, Zone, Class, Service
	// and Versions must be set.
	Engines []*fake.Engine
	Plains  []*fake.Plain
}

// A Site is a running site, created by Start.
type Site struct {
	Store *fake.Store
	Cloud *fake.Cloud

	plan    Plan
	aut     *certs.Authority
	keys    bundle.Keys
	signers map[bundle.KeyName]bundle.Signer
	servers []*fake.Server
	// storeURL and cloudURL are the base URLs of the fake store and cloud.
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
	// done is closed when the entry has exited; err is set before.
	done chan struct{}
	err  error
}

// Start starts the fakes and the entries.
func Start(plan Plan) (*Site, error) {
	sit := &Site{
		Store: &fake.Store{}, plan: plan,
		entries: make(map[wick.EntryID]*process),
		signers: make(map[bundle.KeyName]bundle.Signer),
		keys:    make(bundle.Keys),
	}
	sit.Cloud = &fake.Cloud{OnReclaim: sit.reclaimEndpoint}
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
	if err := sit.startFakes(); err != nil {
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

// anyPortAddr lets the operating system choose a port.
const anyPortAddr = "127.0.0.1:0"

func (sit *Site) startFakes() error {
	srv, err := fake.ServeStore(anyPortAddr, sit.Store)
	if err != nil {
		return err
	}
	sit.servers = append(sit.servers, srv)
	sit.storeURL = "http://" + srv.Addr()
	srv, err = fake.ServeCloud(anyPortAddr, sit.Cloud)
	if err != nil {
		return err
	}
	sit.servers = append(sit.servers, srv)
	sit.cloudURL = "http://" + srv.Addr()
	for _, eng := range sit.plan.Engines {
		srv, err := fake.ServeEngine(anyPortAddr, eng)
		if err != nil {
			return err
		}
		sit.addEndpoint(srv, &eng.Host)
	}
	for _, pla := range sit.plan.Plains {
		srv, err := fake.ServePlain(anyPortAddr, pla)
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

// reclaimEndpoint notifies the endpoint on a VM of the VM's reclaim. Entries
// learn of it from the cloud's VM list.
func (sit *Site) reclaimEndpoint(vm wick.VM, rec fake.Reclaim) {
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

// StartEntry starts an entry without any earlier state. The id may be that of an
// entry that was drained or killed.
func (sit *Site) StartEntry(eid wick.EntryID, zone wick.Zone) error {
	set, err := sit.settings(eid, zone)
	if err != nil {
		return err
	}
	sit.run(set)
	return nil
}

// run starts an entry from its settings.
func (sit *Site) run(set setup.Settings) {
	eid := set.Entry.ID
	sit.Cloud.Register(wick.VM{
		ID: wick.VMID(eid), Role: wick.RoleEntry, Zone: set.Entry.Zone, Address: set.Listen.Peers, State: wick.VMLive,
		Reclaimable: true,
	})
	ctx, cancel := context.WithCancel(context.Background())
	prc := &process{entry: entry.New(set), set: set, stop: cancel, done: make(chan struct{})}
	sit.mu.Lock()
	sit.entries[eid] = prc
	sit.mu.Unlock()
	go func() {
		prc.err = prc.entry.Run(ctx)
		close(prc.done)
	}()
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
	for _, addr := range []*string{&set.Listen.Callers, &set.Listen.Peers, &set.Listen.Admin} {
		if *addr, err = ports.Addr(); err != nil {
			return set, err
		}
	}
	return set, nil
}

// DrainEntry drains an entry and waits until it has exited.
func (sit *Site) DrainEntry(eid wick.EntryID, notice time.Duration) error {
	prc := sit.removeProcess(eid)
	if prc == nil {
		return eris.Wrapf(wick.ErrNotFound, "site: entry %s", eid)
	}
	prc.entry.Drain(notice)
	<-prc.done
	prc.stop()
	sit.Cloud.Remove(wick.VMID(eid))
	return prc.err
}

// KillEntry stops an entry without draining it.
func (sit *Site) KillEntry(eid wick.EntryID) {
	if prc := sit.removeProcess(eid); prc != nil {
		prc.stop()
		<-prc.done
		if prc.err != nil {
			logrus.WithError(prc.err).WithField("entry", eid).Warn("site: entry exited with an error")
		}
		sit.Cloud.Remove(wick.VMID(eid))
	}
}

// removeProcess removes and returns the process of an entry, nil if there is
// none.
func (sit *Site) removeProcess(eid wick.EntryID) *process {
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

// Violations returns the number of invariant violations that the running entries
// have counted.
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

// Client returns a client that uses a customer's key and all running entries.
func (sit *Site) Client(key string) *client.Client {
	cli := &client.Client{Key: key}
	for _, set := range sit.Entries() {
		cli.Entries = append(cli.Entries, "http://"+set.Listen.Callers)
	}
	return cli
}

// Operator returns the bundle client of the site's operators.
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

const versionPollInterval = 20 * time.Millisecond

// WaitVersion waits until all running entries serve with a bundle version. It
// fails immediately when an entry has exited on its own; that error wraps
// wick.ErrStopped.
func (sit *Site) WaitVersion(ctx context.Context, ver wick.BundleVersion) error {
	for {
		lagging, err := sit.laggingEntries(ver)
		if err != nil || len(lagging) == 0 {
			return err
		}
		select {
		case <-time.After(versionPollInterval):
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "site: version %d is not in force at %s", ver, strings.Join(lagging, ", "))
		}
	}
}

// laggingEntries describes the entries that don't yet serve with at least a
// bundle version.
func (sit *Site) laggingEntries(ver wick.BundleVersion) ([]string, error) {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	var out []string
	for eid, prc := range sit.entries {
		select {
		case <-prc.done:
			return nil, eris.Wrapf(wick.ErrStopped, "site: entry %s exited unexpectedly: %v", eid, prc.err)
		default:
		}
		if state := prc.entry.State(); state != wick.EntryServing {
			out = append(out, fmt.Sprintf("%s (%s)", eid, state))
		} else if current := prc.entry.Bundle(); current < ver {
			out = append(out, fmt.Sprintf("%s (version %d)", eid, current))
		}
	}
	return out, nil
}

// Moves returns the state of each move by name. Of moves with the same name, that
// of the newest bundle version counts.
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
			return nil, eris.Wrapf(wick.ErrInvalid, "site: move id %s has no bundle version", rec.Move)
		}
		if ver := wick.BundleVersion(num); ver >= newest[name] {
			newest[name], out[name] = ver, string(rec.State)
		}
	}
	return out, nil
}

// Close kills all entries and closes the fakes.
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

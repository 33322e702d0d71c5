package slope

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/certs"
	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/internal/ports"
	"github.com/wagtailwick/wagtailwick/internal/setup"
	"github.com/wagtailwick/wagtailwick/internal/wire"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/client"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// zones is the number of zones unless plan.oneZone is set.
	zones       = 4
	anyPortAddr = "127.0.0.1:0"
	rollTimeout = 60 * time.Second
	secretMode  = 0o600
)

// A plan describes the processes and endpoints of a site.
type plan struct {
	entries int
	// oneZone puts all entries into one zone.
	oneZone bool
	// engines and plains are the numbers of endpoint processes.
	engines, plains int
	// endpoints is the number of model endpoints in the VM list. They share the
	// addresses of the engine processes, so that all of them are reachable.
	endpoints  int
	slots      int
	decodeTime time.Duration
}

// A site is a running site: the fake store and cloud in this process, entries and
// endpoints in separate processes.
type site struct {
	run     *Run
	plan    plan
	store   *fake.Store
	cloud   *fake.Cloud
	aut     *certs.Authority
	keys    bundle.Keys
	signers [2]bundle.Signer
	http    wire.Client

	servers   []*fake.Server
	storeURL  string
	cloudURL  string
	endpoints []*process
	entries   []*process
	callers   []string
	version   wick.BundleVersion
}

// startSite starts a site and waits until its first bundle is in force.
func (run *Run) startSite(ctx context.Context, pln plan) (*site, error) {
	sit := &site{run: run, plan: pln, store: &fake.Store{}, cloud: &fake.Cloud{}, keys: make(bundle.Keys)}
	if err := sit.start(ctx); err != nil {
		sit.close()
		return nil, err
	}
	return sit, nil
}

func (sit *site) start(ctx context.Context) error {
	var err error
	if sit.aut, err = certs.NewAuthority(time.Now()); err != nil {
		return err
	}
	for idx, name := range []bundle.KeyName{"submitter", "signer"} {
		key, err := bundle.NewOperatorKey(name)
		if err != nil {
			return err
		}
		if sit.signers[idx], err = key.Signer(); err != nil {
			return err
		}
		sit.keys[name] = key.Public
	}
	sto, err := fake.ServeStore(anyPortAddr, sit.store)
	if err != nil {
		return err
	}
	sit.servers = append(sit.servers, sto)
	cld, err := fake.ServeCloud(anyPortAddr, sit.cloud)
	if err != nil {
		return err
	}
	sit.servers = append(sit.servers, cld)
	sit.storeURL, sit.cloudURL = "http://"+sto.Addr(), "http://"+cld.Addr()
	if err := sit.startEndpoints(ctx); err != nil {
		return err
	}
	for num := range sit.plan.entries {
		if err := sit.startEntry(ctx, num); err != nil {
			return err
		}
	}
	_, err = sit.roll(ctx)
	return err
}

func zone(num int) wick.Zone { return wick.Zone(rune('a' + num%zones)) }

// startEndpoints starts the endpoint processes and registers the endpoints with
// the cloud.
func (sit *site) startEndpoints(ctx context.Context) error {
	var addrs []string
	for num := range sit.plan.engines + sit.plan.plains {
		args := []string{"standin", "engine", "--slots", strconv.Itoa(sit.plan.slots), "--decode-time", sit.plan.decodeTime.String(), "--prefill-rate", "1000000", "--answer-tokens", "100000"}
		version := "v1"
		if num >= sit.plan.engines {
			args = []string{"standin", "plain", "--slots", strconv.Itoa(sit.plan.slots), "--service-time", "1ms"}
			version = "o1"
		}
		prc, line, err := startProcess(ctx, sit.run.Binary, true, append(args, "--model-version", version)...)
		if err != nil {
			return err
		}
		sit.endpoints = append(sit.endpoints, prc)
		_, addr, _ := strings.Cut(line, "http://")
		addrs = append(addrs, addr)
	}
	vms := make([]wick.VM, 0, sit.plan.endpoints+sit.plan.plains)
	for num := range sit.plan.endpoints {
		vms = append(vms, wick.VM{
			ID: wick.VMID(fmt.Sprintf("gpu-%05d", num)), Zone: zone(num), Class: "gpu", Service: modelService,
			Versions: []wick.ModelVersion{"v1"}, Address: addrs[num%sit.plan.engines],
		})
	}
	for num := range sit.plan.plains {
		vms = append(vms, wick.VM{
			ID: wick.VMID(fmt.Sprintf("cpu-%02d", num)), Zone: zone(num), Class: "cpu", Service: plainService,
			Versions: []wick.ModelVersion{"o1"}, Address: addrs[sit.plan.engines+num],
		})
	}
	for idx := range vms {
		vms[idx].Role, vms[idx].Reclaimable, vms[idx].Price = wick.RoleEndpoint, true, 1.25
	}
	sit.cloud.RegisterAll(vms)
	return nil
}

func (sit *site) startEntry(ctx context.Context, num int) error {
	zne := zone(num)
	if sit.plan.oneZone {
		zne = zone(0)
	}
	eid := wick.EntryID(fmt.Sprintf("%s-%02d", zne, num))
	set := setup.Default()
	pair, err := sit.aut.Issue(eid, time.Now())
	if err != nil {
		return err
	}
	set.Entry = setup.Entry{ID: eid, Zone: zne}
	set.Peers = setup.Peers{Certificate: pair.Certificate, Key: pair.Key, Authority: sit.aut.PEM}
	set.Platform.StoreURL, set.Platform.CloudURL = sit.storeURL, sit.cloudURL
	set.OperatorKeys = sit.keys
	set.Listen, err = freeAddresses()
	if err != nil {
		return err
	}
	data, err := json.Marshal(set)
	if err != nil {
		return eris.Wrap(err, "slope: encode settings")
	}
	file := filepath.Join(sit.run.dir, string(eid)+".json")
	if err := os.WriteFile(file, data, secretMode); err != nil {
		return eris.Wrap(err, "slope: write settings")
	}
	sit.cloud.Register(wick.VM{ID: wick.VMID(eid), Role: wick.RoleEntry, Zone: set.Entry.Zone, Address: set.Listen.Peers, Reclaimable: true})
	prc, _, err := startProcess(ctx, sit.run.Binary, false, "entry", "--settings", file)
	if err != nil {
		return err
	}
	prc.admin = set.Listen.Admin
	sit.entries = append(sit.entries, prc)
	sit.callers = append(sit.callers, "http://"+set.Listen.Callers)
	return nil
}

// freeAddresses returns unused listen addresses.
func freeAddresses() (setup.Listen, error) {
	var lst setup.Listen
	for _, addr := range []*string{&lst.Callers, &lst.Peers, &lst.Admin} {
		var err error
		if *addr, err = ports.Addr(); err != nil {
			return lst, err
		}
	}
	return lst, nil
}

// roll submits and signs the next bundle version and returns the time from the
// signature until all entries have adopted it.
func (sit *site) roll(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, rollTimeout)
	defer cancel()
	ops := &bundle.Client{Store: sit.store, Keys: sit.keys, Clock: wick.SystemClock{}}
	sit.version++
	bnd, err := ops.Submit(ctx, sit.signers[0], sampleBundle(sit.version))
	if err != nil {
		return 0, err
	}
	signTime := time.Now()
	if err := ops.Sign(ctx, sit.signers[1], bnd.Version); err != nil {
		return 0, err
	}
	latency := time.Duration(0)
	for _, prc := range sit.entries {
		for {
			at, ok := prc.adoptedAt(bnd.Version)
			if ok {
				latency = max(latency, at.Sub(signTime))
				break
			}
			if !sleep(ctx, pollInterval) {
				return 0, eris.Errorf("slope: version %d was not adopted by all entries in time: %s", bnd.Version, prc.lastLine())
			}
		}
	}
	return latency, nil
}

// client returns a client of all entries.
func (sit *site) client() *client.Client {
	return &client.Client{Entries: sit.callers, Key: customerKey}
}

// usages reads the usage and the metrics of all entries.
func (sit *site) usages(ctx context.Context) ([]usage, error) {
	out := make([]usage, len(sit.entries))
	for idx, prc := range sit.entries {
		var err error
		if out[idx], err = readUsage(prc.cmd.Process.Pid); err != nil {
			return nil, err
		}
		if out[idx].metrics, err = readMetrics(ctx, &sit.http, prc.admin); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// close stops all processes and fakes of the site.
func (sit *site) close() {
	var wg sync.WaitGroup
	for _, prc := range append(sit.entries, sit.endpoints...) {
		wg.Go(prc.stop)
	}
	wg.Wait()
	sit.http.Close()
	for _, srv := range sit.servers {
		_ = srv.Close()
	}
}

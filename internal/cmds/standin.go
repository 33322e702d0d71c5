package cmds

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/cloud"
	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/internal/wire"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const standinHelp = `Run a stand-in for an external system: the platform's object API (store), the cloud API (cloud), a model engine (engine) or a plain service (plain). It exits on SIGTERM and SIGINT. Faults are set with PUT /faults on its address.

Example: an engine in zone a that registers its VM with a cloud stand-in:

  wagtailwick standin cloud --listen 127.0.0.1:7001
  wagtailwick standin engine --listen 127.0.0.1:7002 --cloud http://127.0.0.1:7001 --id vm-1 --zone a --service quotes --model-version v1

Example: reclaim the engine's VM with 5 s of notice:

  curl -X PUT -d '{"reclaim":{"noticeMillis":5000}}' http://127.0.0.1:7002/faults`

// Timeout and retry interval of the registration with a cloud stand-in, which
// may start later.
const (
	registerTimeout       = 10 * time.Second
	registerRetryInterval = 100 * time.Millisecond
	// maxReclaimReplyBytes bounds the reply of an endpoint stand-in.
	maxReclaimReplyBytes = 64 << 10
)

// A standin holds the flags of the command.
type standin struct {
	kind     string
	listen   string
	addrFile string
	cloud    string
	vm       wick.VM

	slots        int
	loadLag      time.Duration
	prefillRate  int64
	decodeTime   time.Duration
	decodeLoad   time.Duration
	loadTime     time.Duration
	answerTokens int64
	cacheBlocks  int
	cacheLag     time.Duration
	checksFence  bool
	serviceTime  time.Duration
	deduplicates bool
	startTime    time.Duration
	vmsFile      string
}

func standinCommand(app *kingpin.Application, ev *env) (string, func() error) {
	std := &standin{}
	cmd := app.Command("standin", standinHelp)
	cmd.Arg("kind", "What to stand in for: store, cloud, engine or plain.").Required().EnumVar(&std.kind, "store", "cloud", "engine", "plain")
	cmd.Flag("listen", "Address to listen on. Port 0 chooses a free port.").Default("127.0.0.1:0").PlaceHolder("ADDR").StringVar(&std.listen)
	cmd.Flag("addr-file", "File to write the address to when the stand-in is ready.").StringVar(&std.addrFile)
	cmd.Flag("cloud", "URL of a cloud stand-in to register with (engine, plain).").PlaceHolder("URL").StringVar(&std.cloud)
	cmd.Flag("id", "Id of the VM (engine, plain).").Default("vm-1").StringVar((*string)(&std.vm.ID))
	cmd.Flag("zone", "Availability zone (engine, plain).").Default("a").StringVar((*string)(&std.vm.Zone))
	cmd.Flag("class", "Class of the endpoint (engine, plain).").StringVar((*string)(&std.vm.Class))
	cmd.Flag("service", "Service of the endpoint (engine, plain).").StringVar((*string)(&std.vm.Service))
	versions := cmd.Flag("model-version", "Version that is served; may be repeated (engine, plain).").Strings()
	cmd.Flag("price", "Price in dollars per hour (engine, plain).").Float64Var((*float64)(&std.vm.Price))
	cmd.Flag("reclaimable", "The VM may be reclaimed (engine, plain).").BoolVar(&std.vm.Reclaimable)
	cmd.Flag("slots", "Concurrent calls (engine, plain).").Default("8").IntVar(&std.slots)
	cmd.Flag("load-lag", "Delay of load reports (engine, plain).").Default("0s").DurationVar(&std.loadLag)
	cmd.Flag("prefill-rate", "Prefill rate in tokens per second (engine).").Default("8000").Int64Var(&std.prefillRate)
	cmd.Flag("decode-time", "Time between tokens (engine).").Default("20ms").DurationVar(&std.decodeTime)
	cmd.Flag("decode-load", "Added time between tokens for every other running call (engine).").Default("0s").DurationVar(&std.decodeLoad)
	cmd.Flag("load-time", "Time to load a version (engine).").Default("0s").DurationVar(&std.loadTime)
	cmd.Flag("answer-tokens", "Tokens of an answer; 0 lets them depend on the prompt, from 16 to 255 (engine).").Int64Var(&std.answerTokens)
	cmd.Flag("cache-blocks", "Blocks in the prefix cache (engine).").Default("4096").IntVar(&std.cacheBlocks)
	cmd.Flag("cache-lag", "Delay of cache events (engine).").Default("0s").DurationVar(&std.cacheLag)
	cmd.Flag("checks-fence", "Reject orders with a stale fencing token (engine).").BoolVar(&std.checksFence)
	cmd.Flag("service-time", "Time of a call (plain).").Default("20ms").DurationVar(&std.serviceTime)
	cmd.Flag("deduplicates", "Deduplicate calls by idempotency key (plain).").BoolVar(&std.deduplicates)
	cmd.Flag("start-time", "Time that a VM takes to start (cloud).").Default("0s").DurationVar(&std.startTime)
	cmd.Flag("vms", "JSON file with initially listed VMs, such as those of entries (cloud).").ExistingFileVar(&std.vmsFile)
	return cmd.FullCommand(), func() error {
		for _, ver := range *versions {
			std.vm.Versions = append(std.vm.Versions, wick.ModelVersion(ver))
		}
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		return std.run(ctx, func(addr string) {
			fmt.Fprintf(ev.stdout, "standin %s: listening on http://%s\n", std.kind, addr)
		})
	}
}

// run serves until ctx ends. It calls ready once the stand-in is listening and
// registered.
func (std *standin) run(ctx context.Context, ready func(addr string)) (err error) {
	srv, err := std.serve()
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := srv.Close(); err == nil {
			err = closeErr
		}
	}()
	if std.cloud != "" && (std.kind == "engine" || std.kind == "plain") {
		cli := &cloud.Client{URL: std.cloud}
		defer cli.HTTP.Close()
		if err := std.register(ctx, cli, srv.Addr()); err != nil {
			return err
		}
		defer std.deregister(ctx, cli)
	}
	if std.addrFile != "" {
		if err := writeFile(std.addrFile, srv.Addr()); err != nil {
			return err
		}
	}
	ready(srv.Addr())
	<-ctx.Done()
	return nil
}

// writeFile replaces the file atomically, so that readers never see partial
// content.
func writeFile(name, text string) error {
	if err := os.WriteFile(name+".tmp", []byte(text), 0o600); err != nil {
		return eris.Wrap(err, "standin: write address")
	}
	return eris.Wrap(os.Rename(name+".tmp", name), "standin: write address")
}

func (std *standin) serve() (*fake.Server, error) {
	hst := func(host *fake.Host) {
		host.VM, host.Slots, host.LoadLag = std.vm, std.slots, std.loadLag
	}
	switch std.kind {
	case "store":
		return fake.ServeStore(std.listen, &fake.Store{})
	case "cloud":
		return std.serveCloud()
	case "engine":
		eng := &fake.Engine{
			PrefillRate: wick.Tokens(std.prefillRate), DecodeTime: std.decodeTime, DecodeLoad: std.decodeLoad,
			LoadTime: std.loadTime, ChecksFence: std.checksFence, CacheBlocks: std.cacheBlocks, CacheLag: std.cacheLag,
			AnswerTokens: wick.Tokens(std.answerTokens),
		}
		hst(&eng.Host)
		return fake.ServeEngine(std.listen, eng)
	default:
		pla := &fake.Plain{ServiceTime: std.serviceTime, Deduplicates: std.deduplicates}
		hst(&pla.Host)
		return fake.ServePlain(std.listen, pla)
	}
}

func (std *standin) serveCloud() (*fake.Server, error) {
	cld := &fake.Cloud{StartTime: std.startTime, OnReclaim: forwardReclaim}
	if std.vmsFile != "" {
		var vms []wick.VM
		if err := readJSON(std.vmsFile, &vms); err != nil {
			return nil, err
		}
		for _, vm := range vms {
			cld.Register(vm)
		}
	}
	return fake.ServeCloud(std.listen, cld)
}

// register adds the VM to the cloud's list. The cloud stand-in may start later.
func (std *standin) register(ctx context.Context, cli *cloud.Client, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	std.vm.Role, std.vm.Address, std.vm.State = wick.RoleEndpoint, addr, wick.VMLive
	for {
		err := cli.Register(ctx, std.vm)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(registerRetryInterval):
		case <-ctx.Done():
			return eris.Wrap(err, "standin: register")
		}
	}
}

// deregister removes the VM from the cloud's list.
func (std *standin) deregister(ctx context.Context, cli *cloud.Client) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := cli.Stop(ctx, std.vm.ID); err != nil {
		logrus.WithError(err).Warn("standin: removing the VM from the list failed")
	}
}

// forwardReclaim notifies an endpoint stand-in that its VM is being reclaimed.
func forwardReclaim(vm wick.VM, rec fake.Reclaim) {
	if vm.Role != wick.RoleEndpoint || vm.Address == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		cli := &wire.Client{}
		defer cli.Close()
		ans, err := cli.ExchangeJSON(ctx, wire.Call{Method: http.MethodPost, URL: "http://" + vm.Address + "/reclaim"}, rec, nil, maxReclaimReplyBytes)
		if err == nil && ans.Status != http.StatusNoContent {
			err = wire.StatusError(ans, wick.ErrUnavailable, "reclaim")
		}
		if err != nil {
			logrus.WithError(err).WithField("vm", string(vm.ID)).Warn("standin: forwarding the reclaim failed")
		}
	}()
}

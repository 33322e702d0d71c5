package procs

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/internal/setup"
	"github.com/wagtailwick/wagtailwick/pkg/client"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Sites use ports below 32768, outside the ephemeral range, so that no outgoing
// connection occupies an entry's port during its restart. Concurrent test runs
// start at different ports.
const (
	portsPerSite = 50
	maxRuns      = 40
)

var (
	firstPort = 10000 + os.Getpid()%maxRuns*10*portsPerSite
	started   atomic.Int64
)

const bundleFile = "../../examples/bundle.json"

// A process is a running instance of the program.
type process struct {
	cmd *exec.Cmd
	// done is closed when the process has exited; err is set before.
	done chan struct{}
	err  error
}

// A world is a site of separate processes: entries a1, a2, b1, b2 and c1, an
// engine per zone and one more in b and c, plain services in a and b.
type world struct {
	t       *testing.T
	dir     string
	entries map[string]setup.Settings
	procs   map[string]*process
	// relays holds, by zone, the proxy between the zone's entries and the store.
	relays map[string]*relay
	store  string
	cloud  string
	plains []string
}

var entryNames = []string{"a1", "a2", "b1", "b2", "c1"}

// start starts a site and waits until the example bundle is in force on every
// entry.
func start(t *testing.T) *world {
	t.Helper()
	t.Parallel()
	siteSlots <- struct{}{}
	wld := &world{
		t: t, dir: t.TempDir(), entries: make(map[string]setup.Settings),
		procs: make(map[string]*process), relays: make(map[string]*relay),
	}
	t.Cleanup(func() {
		wld.close()
		<-siteSlots
	})
	port := firstPort + int(started.Add(1))*portsPerSite
	wld.run("keys", "site", "--dir", wld.dir, "--port", strconv.Itoa(port), "a1:a", "a2:a", "b1:b", "b2:b", "c1:c")
	wld.readSettings()
	wld.spawn("store", "standin", "store", "--listen", strings.TrimPrefix(wld.store, "http://"))
	wld.spawn("cloud", "standin", "cloud", "--listen", strings.TrimPrefix(wld.cloud, "http://"), "--vms", filepath.Join(wld.dir, "vms.json"))
	for _, name := range []string{"gpu-a", "gpu-b", "gpu-c", "gpu-b2", "gpu-c2"} {
		wld.spawn(name, "standin", "engine", "--cloud", wld.cloud, "--id", name, "--zone", name[4:5], "--class", "gpu", "--service", "quotes",
			"--model-version", "v1", "--slots", "16", "--decode-time", "10ms", "--reclaimable")
	}
	for _, name := range []string{"cpu-a", "cpu-b"} {
		file := filepath.Join(wld.dir, name+".addr")
		wld.spawn(name, "standin", "plain", "--cloud", wld.cloud, "--id", name, "--zone", name[4:5], "--class", "cpu", "--service", "orders",
			"--model-version", "o1", "--slots", "16", "--service-time", "60ms", "--reclaimable", "--addr-file", file)
		wld.plains = append(wld.plains, wld.address(file))
	}
	for _, name := range entryNames {
		wld.spawnEntry(name)
	}
	wld.run("bundle", "submit", "--store", wld.store, "--trusted", wld.file("operators.json"), "--key", wld.file("marie.json"), bundleFile)
	wld.run("bundle", "sign", "--store", wld.store, "--trusted", wld.file("operators.json"), "--key", wld.file("jean.json"), "1")
	for _, name := range entryNames {
		wld.waitServing(name, 1)
	}
	return wld
}

func (wld *world) file(name string) string { return filepath.Join(wld.dir, name) }

// readSettings reads the settings that `keys site` wrote and inserts a relay
// between each zone and the store.
func (wld *world) readSettings() {
	wld.t.Helper()
	for _, name := range entryNames {
		raw, err := os.ReadFile(wld.file(name + ".json"))
		if err != nil {
			wld.t.Fatal(err)
		}
		set, faults := setup.Parse(raw)
		if len(faults) > 0 {
			wld.t.Fatal(faults)
		}
		wld.store, wld.cloud = set.Platform.StoreURL, set.Platform.CloudURL
		zone := string(set.Entry.Zone)
		if wld.relays[zone] == nil {
			wld.relays[zone] = newRelay(wld.t, strings.TrimPrefix(wld.store, "http://"))
		}
		set.Platform.StoreURL = "http://" + wld.relays[zone].addr()
		set.Log = setup.Log{Level: "info", Format: setup.FormatText}
		wld.entries[name] = set
		if raw, err = json.Marshal(set); err != nil {
			wld.t.Fatal(err)
		}
		if err := os.WriteFile(wld.file(name+".json"), raw, 0o600); err != nil {
			wld.t.Fatal(err)
		}
	}
}

// run runs a command and waits until it has exited with status 0.
func (wld *world) run(args ...string) {
	wld.t.Helper()
	out, err := exec.CommandContext(wld.t.Context(), binary, args...).CombinedOutput()
	if err != nil {
		wld.t.Fatalf("wagtailwick %s: %v\n%s", strings.Join(args, " "), err, out)
	}
}

// spawn starts a process that logs to a file.
func (wld *world) spawn(name string, args ...string) {
	wld.t.Helper()
	log, err := os.OpenFile(wld.file(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		wld.t.Fatal(err)
	}
	defer log.Close()
	prc := &process{cmd: exec.Command(binary, args...), done: make(chan struct{})}
	prc.cmd.Stdout, prc.cmd.Stderr = log, log
	if err := prc.cmd.Start(); err != nil {
		wld.t.Fatal(err)
	}
	wld.procs[name] = prc
	go func() {
		prc.err = prc.cmd.Wait()
		close(prc.done)
	}()
}

func (wld *world) spawnEntry(name string) {
	wld.spawn(name, "entry", "--settings", wld.file(name+".json"))
}

// close kills all processes and prints the tail of the entries' logs if the test
// has failed.
func (wld *world) close() {
	for _, prc := range wld.procs {
		_ = prc.cmd.Process.Kill()
	}
	for _, prc := range wld.procs {
		<-prc.done
	}
	if !wld.t.Failed() {
		return
	}
	for _, name := range entryNames {
		raw, _ := os.ReadFile(wld.file(name + ".log"))
		wld.t.Logf("tail of the log of %s:\n%s", name, raw[max(0, len(raw)-3000):])
	}
}

// signal sends a signal to a process.
func (wld *world) signal(name string, sig syscall.Signal) {
	wld.t.Helper()
	if err := wld.procs[name].cmd.Process.Signal(sig); err != nil {
		wld.t.Errorf("signal %v to %s: %v", sig, name, err)
	}
}

// waitExit waits until a process has exited on its own, with status 0.
func (wld *world) waitExit(name string, limit time.Duration) {
	wld.t.Helper()
	prc := wld.procs[name]
	select {
	case <-prc.done:
		if prc.err != nil {
			wld.t.Errorf("%s exited: %v", name, prc.err)
		}
	case <-time.After(limit):
		wld.t.Errorf("%s is still running after %v", name, limit)
	}
}

// poll waits until fn returns true.
func (wld *world) poll(limit time.Duration, condition string, fn func() bool) {
	wld.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if fn() {
			return
		}
	}
	wld.t.Fatalf("%s: condition not met within %v", condition, limit)
}

func (wld *world) address(file string) string {
	wld.t.Helper()
	var addr []byte
	wld.poll(15*time.Second, file, func() bool {
		addr, _ = os.ReadFile(file)
		return len(addr) > 0
	})
	return string(addr)
}

// A state is the part of an entry's dump that tests use.
type state struct {
	Entry struct {
		State      wick.EntryState  `json:"state"`
		Violations map[string]int64 `json:"violations"`
	} `json:"entry"`
	Config struct {
		Version   wick.BundleVersion `json:"version"`
		Confirmed bool               `json:"confirmed"`
	} `json:"config"`
}

func (wld *world) state(name string) (state, error) {
	var sta state
	return sta, getJSON("http://"+wld.entries[name].Listen.Admin+"/dump", &sta)
}

// waitServing waits until an entry serves with a bundle version.
func (wld *world) waitServing(name string, ver wick.BundleVersion) {
	wld.t.Helper()
	wld.poll(15*time.Second, name+" serving", func() bool {
		sta, err := wld.state(name)
		return err == nil && sta.Entry.State == wick.EntryServing && sta.Config.Version >= ver
	})
}

// checkInvariants verifies that running entries have counted no invariant
// violations.
func (wld *world) checkInvariants(names ...string) {
	wld.t.Helper()
	for _, name := range names {
		sta, err := wld.state(name)
		if err != nil {
			wld.t.Errorf("dump of %s: %v", name, err)
		}
		if len(sta.Entry.Violations) > 0 {
			wld.t.Errorf("%s counted invariant violations: %v", name, sta.Entry.Violations)
		}
	}
}

// client returns a client that uses the named entries, or all if there are none.
func (wld *world) client(names ...string) *client.Client {
	if len(names) == 0 {
		names = entryNames
	}
	cli := &client.Client{Key: "site-key"}
	for _, name := range names {
		cli.Entries = append(cli.Entries, "http://"+wld.entries[name].Listen.Callers)
	}
	return cli
}

// setFaults sets the injected faults of a fake.
func (wld *world) setFaults(url, doc string) {
	wld.t.Helper()
	req, err := http.NewRequest(http.MethodPut, url+"/faults", bytes.NewReader([]byte(doc)))
	if err != nil {
		wld.t.Fatal(err)
	}
	rep, err := http.DefaultClient.Do(req)
	if err != nil {
		wld.t.Fatal(err)
	}
	rep.Body.Close()
	if rep.StatusCode != http.StatusNoContent {
		wld.t.Fatalf("set faults %s: status %d", doc, rep.StatusCode)
	}
}

// executions returns the number of executions of each idempotency key, summed
// over all plain services.
func (wld *world) executions() map[string]int64 {
	wld.t.Helper()
	out := make(map[string]int64)
	for _, addr := range wld.plains {
		var rep fake.ExecutionsReply
		if err := getJSON("http://"+addr+"/executions", &rep); err != nil {
			wld.t.Fatal(err)
		}
		for key, num := range rep.Executions {
			// Endpoints receive "customer/key"; the test site has one customer.
			_, key, _ = strings.Cut(key, "/")
			out[key] += num
		}
	}
	return out
}

var httpClient = &http.Client{Timeout: 3 * time.Second}

func getJSON(url string, out any) error {
	rep, err := httpClient.Get(url)
	if err != nil {
		return err
	}
	defer rep.Body.Close()
	return json.NewDecoder(rep.Body).Decode(out)
}

// Command standin-3 has the stand-ins of the cases 11 to 15 and plays one of them. It exits
// with 1 if the rule of the case was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

const (
	// memoryMB is the memory of the smallest machine on the sheet.
	memoryMB = 284
	// startTime is how long the entries may take until they are ready.
	startTime = 10 * time.Second
)

// A site is the platform of a case: its store, its API and where its files lie.
type site struct {
	sto          *store
	log          *journal
	dir, binary  string
	store, cloud string
	listener     *mutable
	trouble      bool

	mu      sync.Mutex
	entries []*entry
}

// cases maps the names of cases to their functions, which return whether the rule was
// broken and a summary.
var cases = map[string]func(sit *site) (bool, string, error){"deadly": playDeadly, "long": playLongDeadly, "rollout": playRollout, "silent": playSilent}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE ENTRY-PROGRAM RECORD")
		os.Exit(failed)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, binary, record string) int {
	play := cases[name]
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil || play == nil {
		fmt.Fprintln(os.Stderr, "cannot run:", name, err)
		return failed
	}
	defer os.RemoveAll(dir)
	sit := &site{sto: newStore(), log: newJournal(), dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	defer sit.stop()
	go sit.stopOnSignal()
	if sit.binary, err = filepath.Abs(binary); err == nil {
		err = sit.listen()
	}
	var isBroken bool
	var summary string
	if err == nil {
		isBroken, summary, err = play(sit)
	}
	if err != nil {
		summary = fmt.Sprint("the case couldn't run: ", err)
	}
	sit.log.note("%s", summary)
	sit.log.mu.Lock()
	text := strings.Join(sit.log.lines, "\n") + "\n"
	sit.log.mu.Unlock()
	if werr := os.WriteFile(record, []byte(text), 0o644); werr != nil {
		fmt.Fprintln(os.Stderr, werr)
		return failed
	}
	fmt.Println(summary)
	switch {
	case err != nil:
		return failed
	case isBroken:
		return broken
	default:
		return held
	}
}

// listen starts the store and the platform's API, which accepts all calls.
func (sit *site) listen() error {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	sit.store = lis.Addr().String()
	sit.listener = &mutable{Listener: lis}
	go func() { _ = http.Serve(sit.listener, sit.sto) }()
	api, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	sit.cloud = api.Addr().String()
	go func() {
		_ = http.Serve(api, http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
			body, _ := io.ReadAll(req.Body)
			sit.log.note("platform: %s %s fence %s %s", req.URL.Path, req.Header.Get("Wagtailwick-Duty-Holder"), req.Header.Get("Wagtailwick-Fence-Token"), body)
		}))
	}()
	return nil
}

// stop ends the processes of all entries.
func (sit *site) stop() {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	for _, ent := range sit.entries {
		ent.stop()
	}
}

// stopOnSignal ends the case early.
func (sit *site) stopOnSignal() {
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, os.Interrupt, syscall.SIGTERM)
	<-sig
	sit.stop()
	_ = os.RemoveAll(sit.dir)
	os.Exit(failed)
}

// addEntry starts an entry.
func (sit *site) addEntry(name, zone string, memoryMB int) (*entry, error) {
	ent, err := newEntry(sit.log, sit.dir, sit.binary, name, zone, sit.store, sit.cloud, memoryMB)
	if err != nil {
		return nil, err
	}
	sit.mu.Lock()
	sit.entries = append(sit.entries, ent)
	sit.mu.Unlock()
	return ent, ent.start()
}

// awaitReady waits until all entries say that they are ready.
func (sit *site) awaitReady() error {
	end := time.Now().Add(startTime)
	for _, ent := range sit.entries {
		for {
			res, err := http.Get("http://" + ent.ready + "/-/ready")
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", ent.name, startTime)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

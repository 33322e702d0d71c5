package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["rollout"] = rollout }

const (
	orderSeconds   = 16
	callsPerSecond = 100
	workTime       = 10 * time.Millisecond
	canaryShare    = 0.1
	canarySlack    = 50
)

// order writes a rollout like the operator: a PUT replaces the spec and leaves the status.
func (sto *store) order(service, target string) {
	data, err := json.Marshal(map[string]any{"service": service, "target": target, "duration_s": orderSeconds})
	if err != nil {
		panic(err)
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	next := object{Metadata: meta{Name: service}, Spec: data}
	if old := sto.objects["rollouts"][service]; old != nil {
		next.Status = old.Status
	}
	sto.commit("rollouts", next)
}

// orderState returns the status of a service's rollout.
func (sto *store) orderState(service string) (state, target string) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	var status struct{ State, Target string }
	if obj := sto.objects["rollouts"][service]; obj != nil {
		_ = json.Unmarshal(obj.Status, &status)
	}
	return status.State, status.Target
}

// A badness is what is wrong with every other request of a version.
type badness struct {
	fails bool
	// slowTimes is how many times as long it takes, 0 for the usual time.
	slowTimes int
	// since is when it begins.
	since time.Time
}

// A versioned runner serves one version of the order service.
func (sit *site) versioned(id, version string, bad badness, ran *atomic.Int64) *runner {
	lis := listen()
	run := sit.newRunnerOf(id, orders, version, lis)
	var num atomic.Int64
	run.serve(lis, func(wri http.ResponseWriter, req *http.Request) {
		rid := req.Header.Get(headerID)
		wri.Header().Set(headerID, rid)
		if rid == "" {
			wri.Header().Set("Wagtailwick-Not-Executed", "1")
			wri.WriteHeader(http.StatusBadRequest)
			return
		}
		ran.Add(1)
		odd := num.Add(1)%2 == 0 && !time.Now().Before(bad.since)
		time.Sleep(workTime)
		if odd && bad.slowTimes > 1 {
			time.Sleep(time.Duration(bad.slowTimes-1) * workTime)
		}
		wri.Header().Set("Wagtailwick-Response-Seal", seal)
		if odd && bad.fails {
			wri.WriteHeader(http.StatusInternalServerError)
		}
		fmt.Fprint(wri, "done")
	})
	return run
}

// rollout shows what share of the requests a bad version gets, when it is ordered after
// another order of the service has been completed.
func rollout(sit *site) {
	var ran [4]atomic.Int64
	var total atomic.Int64
	var runners [4][]*runner
	start := func(ver int, bad bool) {
		for num := range 2 {
			runners[ver] = append(runners[ver], sit.versioned(fmt.Sprintf("i-v%d-%d", ver, num), fmt.Sprintf("v%d", ver), badness{fails: bad}, &ran[ver]))
		}
		sit.logf("two runners of version v%d started, bad: %t", ver, bad)
	}
	start(1, false)
	sit.configure(newRoute("idempotent", "/cufi504/", orders, 3000))
	pro := sit.startEntry("front-qc-est-a-1")
	sit.awaitReady(pro)
	time.Sleep(500 * time.Millisecond)
	stop := make(chan struct{})
	var grp sync.WaitGroup
	grp.Add(1)
	go func() {
		defer grp.Done()
		sit.load(pro, 0, &total, stop)
	}()
	time.Sleep(3 * time.Second)

	start(2, false)
	time.Sleep(time.Second)
	sit.sto.order(orders, "v2")
	sit.logf("operator orders v2 within %d s", orderSeconds)
	for end := time.Now().Add((orderSeconds + 2) * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if state, _ := sit.sto.orderState(orders); state == "completed" || state == "rolled_back" {
			break
		}
	}
	state, target := sit.sto.orderState(orders)
	sit.logf("status of the order: state %q, target %q", state, target)
	if state != "completed" {
		fatalf("the first order was not completed")
	}
	for _, run := range runners[1] {
		run.leave()
	}
	time.Sleep(4 * time.Second)

	start(3, trouble())
	time.Sleep(time.Second)
	before, ranBefore := total.Load(), ran[3].Load()
	sit.sto.order(orders, "v3")
	sit.logf("operator orders v3 within %d s", orderSeconds)
	time.Sleep(orderSeconds * time.Second)
	state, target = sit.sto.orderState(orders)
	all, got := total.Load()-before, ran[3].Load()-ranBefore
	allowed := int64(math.Round(canaryShare*float64(all))) + canarySlack
	sit.logf("status of the order: state %q, target %q", state, target)
	sit.logf("version v3 has got %d of %d requests between the order and its deadline, a bad one may get %d", got, all, allowed)
	if trouble() && got > allowed {
		sit.breach("the bad version v3 got %d requests of %d, allowed are %d", got, all, allowed)
	}
	close(stop)
	grp.Wait()
}

// load sends requests at a fixed rate and records the answers every two seconds. The ids
// of the requests count up from first.
func (sit *site) load(pro *proc, first int, total *atomic.Int64, stop chan struct{}) {
	var mu sync.Mutex
	statuses := make(map[int]int)
	tick := time.NewTicker(time.Second / callsPerSecond)
	defer tick.Stop()
	report := time.NewTicker(2 * time.Second)
	defer report.Stop()
	cli := &http.Client{Timeout: 3 * time.Second}
	num := first
	for {
		select {
		case <-stop:
			return
		case <-report.C:
			mu.Lock()
			sit.logf("clients got, by status: %v", statuses)
			clear(statuses)
			mu.Unlock()
		case <-tick.C:
			num++
			rid := fmt.Sprintf("%016x", num)
			go func() {
				req, err := http.NewRequest(http.MethodGet, "http://"+pro.front+"/cufi504/fi50/2f", nil)
				if err != nil {
					return
				}
				req.Host = host
				req.Header.Set(headerID, rid)
				req.Header.Set("Wagtailwick-Deadline-Ms", "1500")
				req.Header.Set("Wagtailwick-Credential", apiKey)
				total.Add(1)
				status := 0
				if res, err := cli.Do(req); err == nil {
					_, _ = io.Copy(io.Discard, res.Body)
					res.Body.Close()
					status = res.StatusCode
				}
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			}()
		}
	}
}

package route

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// BenchmarkPick measures one Pick with its Done, with fresh load reports and
// repeated prompts.
func BenchmarkPick(b *testing.B) {
	prompts := make([]string, 256)
	for idx := range prompts {
		prompts[idx] = strings.Repeat(fmt.Sprintf("%08d", idx), 1024)
	}
	for _, count := range []int{12, 1000, 10000} {
		for name, opts := range map[string][]Option{"predicted": nil, "roundRobin": {WithRoundRobin()}} {
			b.Run(fmt.Sprintf("%s/%d", name, count), func(b *testing.B) {
				tab := newTable(b, opts...)
				vms := makeVMs(count, "a", "b", "c", "d")
				now := time.Now()
				tab.SetVMs(vms, now)
				reportAll(tab, vms, now)
				b.ReportAllocs()
				b.RunParallel(func(pb *testing.PB) {
					rnd := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // a benchmark needs a repeatable generator
					for pb.Next() {
						query := wick.RouteQuery{
							Service: svcQuote, Input: prompts[rnd.IntN(len(prompts))], InputTokens: 2048, Now: now,
						}
						asg, err := tab.Pick(query)
						if err != nil {
							b.Error(err)
							return
						}
						asg.Done(wick.Outcome{PromptTokens: 2048, CachedTokens: 1900, FirstToken: time.Millisecond})
					}
				})
			})
		}
	}
}

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return float64(mem.HeapAlloc)
}

// BenchmarkMemory measures bytes per endpoint and per block of the prefix
// index.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		vms := makeVMs(10000, "a", "b", "c", "d")
		before := heap()
		tab := newTable(b, WithPrefixBlocks(1<<17))
		tab.SetVMs(vms, time.Now())
		after := heap()
		b.ReportMetric((after-before)/10000, "B/endpoint")
		ep := tab.findLocked("vm0")
		ep.shd.mu.Unlock()
		for num := range uint64(1 << 16) {
			tab.prefixes.set(num*0x9e3779b97f4a7c15, ep, true)
		}
		b.ReportMetric((heap()-after)/(1<<16), "B/block")
		runtime.KeepAlive(tab)
	}
}

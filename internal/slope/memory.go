package slope

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/route"
	"github.com/wagtailwick/wagtailwick/internal/vmlist"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// heapKilobytes returns the size of the live heap.
func heapKilobytes() float64 {
	runtime.GC()
	runtime.GC()
	var sta runtime.MemStats
	runtime.ReadMemStats(&sta)
	return float64(sta.HeapAlloc) / 1024
}

// measureMemory measures the heap that the routing table, the VM list and the
// prefix index occupy, and the time to process an unchanged list.
func (run *Run) measureMemory(context.Context) error {
	for _, num := range []int{1000, 2000, 5000, 10_000} {
		vms := endpointList(num)
		before := heapKilobytes()
		tab := route.New("a-00", "a")
		tab.SetVMs(vms, time.Now())
		table := heapKilobytes() - before
		before = heapKilobytes()
		lst := vmlist.New("a-00", 1)
		lst.Set(vms)
		run.rep.add("memory-routing", axisList, "KB of heap", float64(num), table)
		run.rep.add("memory-list", axisList, "KB of heap", float64(num), heapKilobytes()-before)
		startTime := time.Now()
		const rounds = 20
		for range rounds {
			lst.Set(vms)
			tab.SetVMs(lst.VMs(), time.Now())
		}
		run.rep.add("memory-feed", axisList, "ms per unchanged list", float64(num), time.Since(startTime).Seconds()*1000/rounds)
		runtime.KeepAlive(vms)
	}
	for _, num := range []int{10_000, 20_000, 40_000, 80_000, 120_000} {
		tab := route.New("a-00", "a")
		vms := endpointList(1)
		tab.SetVMs(vms, time.Now())
		before := heapKilobytes()
		feedBlocks(tab, vms[0].ID, num)
		run.rep.add("memory-prefix", "prefix blocks", "KB of heap", float64(num), heapKilobytes()-before)
		runtime.KeepAlive(tab)
	}
	return nil
}

// feedBlocks adds cache events of pseudorandom blocks to the table in batches.
func feedBlocks(tab *route.Table, vid wick.VMID, num int) {
	const batch = 1000
	const multiplier = 0x9E3779B97F4A7C15
	for from := 0; from < num; from += batch {
		evs := make([]wick.CacheEvent, 0, batch)
		for idx := from; idx < from+batch; idx++ {
			evs = append(evs, wick.CacheEvent{Seq: uint64(idx) + 1, Hash: uint64(idx+1) * multiplier, Stored: true}) //nolint:gosec // positive
		}
		tab.CacheEvents(vid, evs)
	}
}

func endpointList(num int) []wick.VM {
	vms := make([]wick.VM, num)
	for idx := range vms {
		vms[idx] = wick.VM{
			ID: wick.VMID(fmt.Sprintf("gpu-%05d", idx)), Role: wick.RoleEndpoint, Zone: zone(idx), Class: "gpu", Service: modelService,
			Versions: []wick.ModelVersion{"v1"}, Address: fmt.Sprintf("10.0.%d.%d:8000", idx/256, idx%256), State: wick.VMLive, Reclaimable: true,
		}
	}
	return vms
}

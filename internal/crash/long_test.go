package crash

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// partCounts are numbers of shared parts of a prompt: usual ones, those around maxListed, and
// as many as fit into a head of 16 KiB.
var partCounts = []int{3, 32, 33, 300, 1300}

// A longKind is a kind of deadly requests with long prompts.
type longKind struct {
	// before and after are the numbers of parts around the deadly one.
	before, after int
	// isUnique is set if no other request has these parts. Otherwise the sound requests share
	// them.
	isUnique bool
}

func (knd longKind) String() string {
	return fmt.Sprintf("%d before, %d after, unique %t", knd.before, knd.after, knd.isUnique)
}

// prompt returns a prompt with a part in the middle. A deadly one is named by the last part,
// too, so that a prompt remains deadly whatever is kept of its parts.
func (knd longKind) prompt(num int, middle wick.PartID) Prompt {
	name := "shared"
	if knd.isUnique {
		name = fmt.Sprint("unique", num, "-")
	}
	var parts []wick.PromptPart
	for idx := range knd.before + knd.after {
		if idx == knd.before {
			parts = append(parts, wick.PromptPart{ID: middle})
		}
		parts = append(parts, wick.PromptPart{ID: wick.PartID(fmt.Sprint(name, idx))})
	}
	if knd.after == 0 {
		parts = append(parts, wick.PromptPart{ID: middle})
	}
	own := wick.PartID(fmt.Sprint("own", num))
	if strings.HasPrefix(string(middle), "!") {
		own = wick.PartID(fmt.Sprint(middle, "/", num))
	}
	return NewPrompt(append(parts, wick.PromptPart{ID: own}))
}

// longKinds are the places of a deadly part.
var longKinds = []longKind{
	{1, 0, false},
	{31, 0, false},
	{32, 0, false},
	{149, 0, false},
	{999, 0, false},
	{1, 1200, false},
	{36, 0, true},
	{999, 0, true},
	{1, 1200, true},
}

// TestDeadlyPartOfLongPrompt guards against a deadly part that is never blocked because of its
// place in a long prompt, and against sound requests that are refused since they share its
// other parts. The parts behind the 32nd were dropped.
func TestDeadlyPartOfLongPrompt(t *testing.T) {
	for _, knd := range longKinds {
		t.Run(knd.String(), func(t *testing.T) {
			t.Parallel()
			for seed := range min(*simSeeds, 3) {
				smt := newSim(t, seed, 5, 9)
				smt.perSecond, smt.deadlyPerSecond = 25, 1
				smt.deadlyPrompt = func(num int) Prompt { return knd.prompt(num, "!a") }
				if !knd.isUnique {
					smt.sound = func(num int) Prompt { return knd.prompt(num, "shared0") }
				}
				smt.run(deadlyTime)
				assertContained(smt, seed)
			}
		})
	}
}

// endBy records the end of an endpoint with prompts in flight at an entry, and merges its news at
// others.
func endBy(from *Tracker, others []*Tracker, num int, prompts []Prompt, now time.Time) {
	from.AddEnding(Ending{Endpoint: wick.VMID(fmt.Sprint("e", num))}, prompts, now)
	for {
		nws, _ := from.TakeNews(now)
		if nws.IsEmpty() {
			return
		}
		for _, other := range others {
			other.Merge(nws, now)
		}
	}
}

// crowd returns sound prompts, no two of which have a part in common.
func crowd(num, size int, knd longKind) []Prompt {
	out := make([]Prompt, size)
	for idx := range out {
		out[idx] = knd.prompt(num*size+idx, "first")
		out[idx].Shared = out[idx].Shared.without(Parts{"first"})
	}
	return out
}

// TestManyPromptsInFlight guards against a deadly part that is not seen because its request is
// not among the first ones of a crash, at the entry that has them and at another one.
func TestManyPromptsInFlight(t *testing.T) {
	for _, knd := range []longKind{{2, 0, true}, {1, 100, true}} {
		for _, size := range []int{maxDigests, maxPrompts - 1, maxPrompts, 3 * maxPrompts} {
			t.Run(fmt.Sprint(knd, ", beside ", size), func(t *testing.T) {
				trackers := []*Tracker{{}, {}, {}}
				now := begin
				for num := range 5 {
					now = now.Add(time.Second)
					from := num % 3
					others := []*Tracker{trackers[(from+1)%3], trackers[(from+2)%3]}
					endBy(trackers[from], others, num, append(crowd(num, size, knd), knd.prompt(1e6+num, "!a")), now)
				}
				now = now.Add(SettleTime)
				for num, trk := range trackers {
					trk.TakeNews(now)
					if !trk.Check(knd.prompt(2e6, "!a"), first, now).Blocked {
						t.Errorf("entry %d: the deadly part is not blocked", num)
					}
					if trk.Check(knd.prompt(3e6, "sound"), first, now).Blocked {
						t.Errorf("entry %d: a sound prompt is blocked", num)
					}
				}
			})
		}
	}
}

// TestEvidenceBesideMassCrash guards against crashes by a deadly part that are forgotten, or
// not looked at, since an availability zone has ended in between.
func TestEvidenceBesideMassCrash(t *testing.T) {
	trk := &Tracker{}
	now := begin
	for num := range 5 {
		now = now.Add(time.Second)
		trk.AddEnding(Ending{Endpoint: wick.VMID(fmt.Sprint("d", num))}, []Prompt{bad(num, "!a", wick.PartID(fmt.Sprint("other", num)))}, now)
		for idx := range maxEndings / 6 {
			now = now.Add(time.Millisecond)
			trk.AddEnding(Ending{Endpoint: wick.VMID(fmt.Sprint("z", num, idx))}, []Prompt{bad(1e6+1000*num+idx, wick.PartID(fmt.Sprint("zone", num, idx)))}, now)
		}
	}
	now = now.Add(12 * time.Second)
	trk.AddEnding(Ending{Endpoint: "last"}, []Prompt{bad(9, "!a", "last")}, now)
	assertBlocked(t, trk, bad(10, "!a"), now.Add(SettleTime), true)
}

// TestSurvivalsBesideLongPrompts guards against survivals of a shared part that are forgotten
// because many requests with long prompts of their own succeed, so that the part is blocked.
func TestSurvivalsBesideLongPrompts(t *testing.T) {
	trk := &Tracker{}
	now := begin
	unique := longKind{1300, 0, true}
	for num := range 8 {
		now = now.Add(time.Second)
		trk.AddEnding(Ending{Endpoint: wick.VMID(fmt.Sprint("x", num))}, []Prompt{bad(num, "popular", wick.PartID(fmt.Sprint("rare", num)))}, now)
		trk.AddSurvival(Ending{Endpoint: "sound"}, Prompt{Shared: Parts{"popular"}, Own: "o"}, now, now)
		for idx := range 40 {
			trk.AddSurvival(Ending{Endpoint: "sound"}, unique.prompt(num*100+idx, "mid"), now, now)
		}
	}
	assertBlocked(t, trk, bad(100, "popular"), now.Add(SettleTime), false)
}

// newsBytes returns the length of the message and of the record about a crash of a prompt.
func newsBytes(tb testing.TB, prompts []Prompt) (message, record int) {
	tb.Helper()
	trk := &Tracker{}
	now := crashBy(trk, begin, prompts...)
	for {
		nws, _ := trk.TakeNews(now)
		if nws.IsEmpty() {
			break
		}
		message = max(message, encodedBytes(tb, nws))
	}
	return message, encodedBytes(tb, trk.Record(now))
}

func encodedBytes(tb testing.TB, nws News) int {
	tb.Helper()
	data, err := cbor.Marshal(nws)
	if err != nil {
		tb.Fatal(err)
	}
	return len(data)
}

// TestNewsAreBounded guards against messages between entries that grow with the parts of
// prompts, or above the largest one that is delivered when many endpoints end at once.
func TestNewsAreBounded(t *testing.T) {
	for _, num := range partCounts {
		pro := longKind{num - 1, 0, true}.prompt(1, "!a")
		message, record := newsBytes(t, []Prompt{pro})
		t.Logf("%d parts: message %d bytes, record %d bytes", num, message, record)
		if message > digestBytes+1024 || record > 1024 {
			t.Errorf("%d parts: message %d bytes, record %d bytes", num, message, record)
		}
	}
	trk := &Tracker{}
	for num := range 28 {
		prompts := crowd(num, 3*maxPrompts, longKind{1, 40, true})
		trk.AddEnding(Ending{Endpoint: wick.VMID(fmt.Sprint("e", num))}, prompts, begin)
	}
	for pending := true; pending; {
		nws, _ := trk.TakeNews(begin)
		if size := encodedBytes(t, nws); size > wick.MaxMessageBytes {
			t.Errorf("a message of %d bytes", size)
		}
		pending = !nws.IsEmpty()
	}
}

// TestCrowdOfLongPrompts guards against an entry that does little else, or whose memory grows
// without bound, while endpoints end with crowds of long prompts in flight.
func TestCrowdOfLongPrompts(t *testing.T) {
	const allowedMemory = 16 << 20
	trk := &Tracker{}
	now := begin
	before := heapBytes()
	var longest time.Duration
	for num := range 12 {
		prompts := crowd(num, 100, longKind{1300, 0, true})
		now = now.Add(time.Second)
		start := time.Now()
		trk.AddEnding(Ending{Endpoint: wick.VMID(fmt.Sprint("e", num))}, prompts, now)
		trk.Check(prompts[0], first, now.Add(SettleTime))
		longest = max(longest, time.Since(start))
		trk.TakeNews(now)
	}
	held := heapBytes() - before
	t.Logf("longest time for a crash and a check %v, memory %d KiB, %+v", longest, held>>10, trk.Fallbacks())
	if held > allowedMemory {
		t.Errorf("the evidence takes %d MiB", held>>20)
	}
	runtime.KeepAlive(trk)
}

func heapBytes() int64 {
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return int64(mem.HeapAlloc)
}

// BenchmarkPromptParts measures what a request costs by the number of the parts of its prompt:
// without a block, and with a block of a part.
func BenchmarkPromptParts(b *testing.B) {
	for _, num := range partCounts {
		parts := make([]wick.PromptPart, num+1)
		for idx := range parts {
			parts[idx] = wick.PromptPart{ID: wick.PartID(fmt.Sprintf("%08x", idx*2654435761))}
		}
		for name, trk := range map[string]*Tracker{"calm": {}, "blocked": blockedBy(b)} {
			b.Run(fmt.Sprint(name, "/", num), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					pro := NewPrompt(parts)
					trk.Check(pro, first, begin.Add(10*time.Second))
					trk.AddSurvival(Ending{Endpoint: "e"}, pro, begin, begin)
				}
			})
		}
	}
}

func blockedBy(tb testing.TB) *Tracker {
	tb.Helper()
	trk := &Tracker{}
	now := crashBy(trk, begin, bad(1, "!a", "b"), bad(2, "!a", "c"), bad(3, "!a", "d"), bad(4, "!a", "e"))
	if !trk.Check(bad(5, "!a"), first, now).Blocked {
		tb.Fatal("not blocked")
	}
	return trk
}

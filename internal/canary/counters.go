package canary

import (
	"sort"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// windowLength is the period over which the old and the candidate version
	// are compared. A fault that affects both must fall into the same window.
	windowLength = 10 * time.Second
	// retainedWindows is the retention of counters, in windows.
	retainedWindows = 24
	// maxCells bounds the cells per entry; routes beyond it are counted under
	// overflowRoute. maxMessageCells bounds a message to about 16 KB.
	maxCells        = 512
	maxMessageCells = 128
	maxEntries      = 4096
	overflowRoute   = "*"
)

func window(at time.Time) int64 { return at.UnixNano() / int64(windowLength) }

// A Cell is the group of requests within which versions are compared.
type Cell struct {
	Zone   wick.Zone     `cbor:"zone" json:"zone"`
	Route  string        `cbor:"route" json:"route"`
	Band   wick.LoadBand `cbor:"band" json:"band"`
	Window int64         `cbor:"window" json:"window"`
}

// A Count holds the counters of a cell. Each is monotonic.
type Count struct {
	Old          uint64 `cbor:"old" json:"old"`
	OldBad       uint64 `cbor:"oldBad" json:"oldBad"`
	Candidate    uint64 `cbor:"candidate" json:"candidate"`
	CandidateBad uint64 `cbor:"candidateBad" json:"candidateBad"`
}

func (cnt *Count) add(other Count) {
	cnt.Old += other.Old
	cnt.OldBad += other.OldBad
	cnt.Candidate += other.Candidate
	cnt.CandidateBad += other.CandidateBad
}

// A CellCount is one cell of a message.
type CellCount struct {
	Cell  Cell  `cbor:"cell" json:"cell"`
	Count Count `cbor:"count" json:"count"`
}

// An Evidence is the message that carries an entry's own counters.
type Evidence struct {
	Move        wick.MoveID      `cbor:"move" json:"move"`
	Entry       wick.EntryID     `cbor:"entry" json:"entry"`
	Incarnation wick.Incarnation `cbor:"incarnation" json:"incarnation"`
	Counts      []CellCount      `cbor:"counts" json:"counts"`
	// Paces counts slow answers in place of bad ones.
	Paces []CellCount `cbor:"paces,omitempty" json:"paces,omitempty"`
}

// A source is one incarnation of an entry. Counters of different incarnations
// are summed.
type source struct {
	entry wick.EntryID
	inc   wick.Incarnation
}

// A counterSet holds the counters of a move by source. The zero source is this
// entry.
type counterSet struct {
	sources map[source]map[Cell]Count
}

func newCounterSet() *counterSet {
	return &counterSet{sources: map[source]map[Cell]Count{{}: {}}}
}

// add records an outcome observed by this entry.
func (cst *counterSet) add(cell Cell, candidate, bad bool) {
	own := cst.sources[source{}]
	if _, ok := own[cell]; !ok && len(own) >= maxCells {
		expire(own, cell.Window)
		if len(own) >= maxCells {
			cell.Route = overflowRoute
		}
	}
	cnt := own[cell]
	num := uint64(0)
	if bad {
		num = 1
	}
	if candidate {
		cnt.Candidate++
		cnt.CandidateBad += num
	} else {
		cnt.Old++
		cnt.OldBad += num
	}
	own[cell] = cnt
}

func expire(cells map[Cell]Count, now int64) {
	for cell := range cells {
		if cell.Window <= now-retainedWindows {
			delete(cells, cell)
		}
	}
}

// newest returns at most maxMessageCells cells of this entry, newest first.
func (cst *counterSet) newest() []CellCount {
	own := cst.sources[source{}]
	out := make([]CellCount, 0, len(own))
	for cell, cnt := range own {
		out = append(out, CellCount{Cell: cell, Count: cnt})
	}
	sort.Slice(out, func(idx, jdx int) bool { return out[idx].Cell.after(out[jdx].Cell) })
	return out[:min(len(out), maxMessageCells)]
}

// after orders cells by descending window, then by name so that the order is
// deterministic.
func (cel Cell) after(other Cell) bool {
	switch {
	case cel.Window != other.Window:
		return cel.Window > other.Window
	case cel.Zone != other.Zone:
		return cel.Zone < other.Zone
	case cel.Route != other.Route:
		return cel.Route < other.Route
	default:
		return cel.Band < other.Band
	}
}

// merge keeps the maximum of each counter, which makes it idempotent and
// commutative: duplicate, late and reordered messages are harmless.
func (cst *counterSet) merge(src source, counts []CellCount) {
	cells := cst.sources[src]
	if cells == nil {
		if len(cst.sources) >= maxEntries {
			return
		}
		cells = make(map[Cell]Count)
		cst.sources[src] = cells
	}
	for _, cct := range counts {
		old, ok := cells[cct.Cell]
		if !ok && len(cells) >= maxCells {
			expire(cells, cct.Cell.Window)
			if len(cells) >= maxCells {
				continue
			}
		}
		cells[cct.Cell] = Count{
			Old: max(old.Old, cct.Count.Old), OldBad: max(old.OldBad, cct.Count.OldBad),
			Candidate:    max(old.Candidate, cct.Count.Candidate),
			CandidateBad: max(old.CandidateBad, cct.Count.CandidateBad),
		}
	}
}

// recentOld returns the old version's outcomes at this entry in the current and
// the previous window.
func (cst *counterSet) recentOld(now int64) (total, bad uint64) {
	for cell, cnt := range cst.sources[source{}] {
		if cell.Window >= now-1 {
			total += cnt.Old
			bad += cnt.OldBad
		}
	}
	return total, bad
}

// sum adds up the counters of all sources and returns the cells in a
// deterministic order.
func (cst *counterSet) sum(now int64) []CellCount {
	sums := make(map[Cell]Count)
	for _, cells := range cst.sources {
		for cell, cnt := range cells {
			if cell.Window > now-retainedWindows {
				total := sums[cell]
				total.add(cnt)
				sums[cell] = total
			}
		}
	}
	out := make([]CellCount, 0, len(sums))
	for cell, cnt := range sums {
		out = append(out, CellCount{Cell: cell, Count: cnt})
	}
	sort.Slice(out, func(idx, jdx int) bool { return out[idx].Cell.after(out[jdx].Cell) })
	return out
}

package canary

import (
	"sort"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// windowLength is the time over which old and candidate version are
	// compared. A fault that hits both must fall into the same window.
	windowLength = 10 * time.Second
	// keptWindows is how far back evidence reaches.
	keptWindows = 24
	// maxCells bounds the cells of a book per entry; further routes share a
	// cell. maxMessageCells bounds a message to about 16 KB.
	maxCells        = 512
	maxMessageCells = 128
	maxEntries      = 4096
	otherRoute      = "*"
)

func window(at time.Time) int64 { return at.UnixNano() / int64(windowLength) }

// A Cell is the group of requests within which versions are compared.
type Cell struct {
	Zone   wick.Zone     `cbor:"zone" json:"zone"`
	Route  string        `cbor:"route" json:"route"`
	Band   wick.LoadBand `cbor:"band" json:"band"`
	Window int64         `cbor:"window" json:"window"`
}

// A Count holds counters of a cell. Each only grows.
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

// An Evidence is the message with an entry's own counters.
type Evidence struct {
	Move        wick.MoveID      `cbor:"move" json:"move"`
	Entry       wick.EntryID     `cbor:"entry" json:"entry"`
	Incarnation wick.Incarnation `cbor:"incarnation" json:"incarnation"`
	Counts      []CellCount      `cbor:"counts" json:"counts"`
}

// A source is one start of an entry. Counters of different starts add up.
type source struct {
	entry wick.EntryID
	inc   wick.Incarnation
}

// A book holds the counters of a move by source. The zero source is this entry.
type book struct {
	sources map[source]map[Cell]Count
}

func newBook() *book {
	return &book{sources: map[source]map[Cell]Count{{}: {}}}
}

// add counts an outcome of this entry.
func (bok *book) add(cell Cell, candidate, bad bool) {
	own := bok.sources[source{}]
	if _, ok := own[cell]; !ok && len(own) >= maxCells {
		expire(own, cell.Window)
		if len(own) >= maxCells {
			cell.Route = otherRoute
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
		if cell.Window <= now-keptWindows {
			delete(cells, cell)
		}
	}
}

// newest returns the cells of the last windows, the newest first.
func (bok *book) newest() []CellCount {
	own := bok.sources[source{}]
	out := make([]CellCount, 0, len(own))
	for cell, cnt := range own {
		out = append(out, CellCount{Cell: cell, Count: cnt})
	}
	sort.Slice(out, func(idx, jdx int) bool { return out[idx].Cell.after(out[jdx].Cell) })
	return out[:min(len(out), maxMessageCells)]
}

// after orders cells by time, then by name so that runs repeat.
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

// merge takes the maximum of each counter, so that repeated, late and reordered
// messages are harmless.
func (bok *book) merge(evi Evidence) {
	src := source{entry: evi.Entry, inc: evi.Incarnation}
	cells := bok.sources[src]
	if cells == nil {
		if len(bok.sources) >= maxEntries {
			return
		}
		cells = make(map[Cell]Count)
		bok.sources[src] = cells
	}
	for _, cct := range evi.Counts {
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

// recentOld returns the old version's outcomes at this entry in this window and
// the one before.
func (bok *book) recentOld(now int64) (total, bad uint64) {
	for cell, cnt := range bok.sources[source{}] {
		if cell.Window >= now-1 {
			total += cnt.Old
			bad += cnt.OldBad
		}
	}
	return total, bad
}

// sum returns the counters over all sources, the cells in a fixed order.
func (bok *book) sum(now int64) []CellCount {
	sums := make(map[Cell]Count)
	for _, cells := range bok.sources {
		for cell, cnt := range cells {
			if cell.Window > now-keptWindows {
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

// Package vmlist replicates the platform's list of VMs from the entries that
// read it to the other entries of their availability zone, as changes since the
// last pull.
package vmlist

import (
	"context"
	"maps"
	"reflect"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/peer"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// maxChanges bounds the VMs in one reply, so that a reply of about 250 bytes a
// VM stays below wick.MaxMessageBytes.
const maxChanges = 2000

// A Pull requests changes. Its zero value requests the whole list.
type Pull struct {
	// Source and Epoch identify the list whose sequence numbers After refers
	// to.
	Source wick.EntryID     `cbor:"1,keyasint,omitempty"`
	Epoch  wick.Incarnation `cbor:"2,keyasint,omitempty"`
	After  uint64           `cbor:"3,keyasint,omitempty"`
}

// A Changes is the reply to a Pull.
type Changes struct {
	Source wick.EntryID     `cbor:"1,keyasint"`
	Epoch  wick.Incarnation `cbor:"2,keyasint"`
	Seq    uint64           `cbor:"3,keyasint"`
	// Full is set when VMs replace the whole list.
	Full bool `cbor:"4,keyasint,omitempty"`
	// More is set when the rest has to be requested by another pull.
	More    bool        `cbor:"5,keyasint,omitempty"`
	VMs     []wick.VM   `cbor:"6,keyasint,omitempty"`
	Removed []wick.VMID `cbor:"7,keyasint,omitempty"`
}

// A record is one VM and the sequence number of its last change. A removed VM
// is kept as a tombstone.
type record struct {
	vm      wick.VM
	seq     uint64
	removed bool
}

// A List is one entry's replica of the list. Use New.
type List struct {
	self  wick.EntryID
	epoch wick.Incarnation

	mu sync.Mutex
	// seq increases with every change.
	seq     uint64
	records map[wick.VMID]record
	// compactedSeq is the largest sequence number of a dropped tombstone. A
	// pull after a smaller number gets the whole list.
	compactedSeq uint64
	// cursor is the position after the last pull of this entry.
	cursor Pull
	// snapshot collects the pages of a whole list.
	snapshot []wick.VM
	// lastSet is the list last passed to Set, or nil after an Apply.
	lastSet []wick.VM
	// sorted is the result of VMs for the sequence number sortedSeq.
	sorted    []wick.VM
	sortedSeq uint64
}

// maxTombstones bounds the removed VMs that are kept for pulls.
const maxTombstones = 4096

// New returns an empty list.
func New(self wick.EntryID, epoch wick.Incarnation) *List {
	return &List{self: self, epoch: epoch, records: make(map[wick.VMID]record)}
}

// Set replaces the list by one that was read from the platform and reports
// whether anything changed. The caller must not modify vms afterwards: the same
// slice as in the last call counts as unchanged.
func (lst *List) Set(vms []wick.VM) bool {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	lst.cursor, lst.snapshot = Pull{}, nil
	if len(vms) > 0 && len(vms) == len(lst.lastSet) && &vms[0] == &lst.lastSet[0] {
		return false
	}
	lst.lastSet = vms
	return lst.replace(vms)
}

// Seq returns a number that increases with every change of the list.
func (lst *List) Seq() uint64 {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	return lst.seq
}

func (lst *List) replace(vms []wick.VM) bool {
	changed := false
	present := make(map[wick.VMID]bool, len(vms))
	for _, vm := range vms {
		present[vm.ID] = true
		changed = lst.put(vm) || changed
	}
	for vid, rec := range lst.records {
		if !present[vid] && !rec.removed {
			lst.remove(vid)
			changed = true
		}
	}
	lst.trimTombstones()
	return changed
}

func (lst *List) put(vm wick.VM) bool {
	old, ok := lst.records[vm.ID]
	if ok && !old.removed && reflect.DeepEqual(old.vm, vm) {
		return false
	}
	lst.seq++
	lst.records[vm.ID] = record{vm: vm, seq: lst.seq}
	return true
}

func (lst *List) remove(vid wick.VMID) {
	lst.seq++
	lst.records[vid] = record{vm: wick.VM{ID: vid}, seq: lst.seq, removed: true}
}

// trimTombstones drops the oldest tombstones.
func (lst *List) trimTombstones() {
	var removed []record
	for _, rec := range lst.records {
		if rec.removed {
			removed = append(removed, rec)
		}
	}
	if len(removed) <= maxTombstones {
		return
	}
	slices.SortFunc(removed, bySeq)
	for _, rec := range removed[:len(removed)-maxTombstones] {
		lst.compactedSeq = max(lst.compactedSeq, rec.seq)
		delete(lst.records, rec.vm.ID)
	}
}

func bySeq(left, right record) int {
	switch {
	case left.seq < right.seq:
		return -1
	case left.seq > right.seq:
		return 1
	default:
		return 0
	}
}

// VMs returns the list, ordered by id. The caller must not modify it.
func (lst *List) VMs() []wick.VM {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	if lst.sorted != nil && lst.sortedSeq == lst.seq {
		return lst.sorted
	}
	out := make([]wick.VM, 0, len(lst.records))
	for _, vid := range slices.Sorted(maps.Keys(lst.records)) {
		if rec := lst.records[vid]; !rec.removed {
			out = append(out, rec.vm)
		}
	}
	lst.sorted, lst.sortedSeq = out, lst.seq
	return out
}

// Handle replies to a pull. It is a wick.PeerHandler. An entry without a list
// returns wick.ErrNotFound, so that the caller tries another one.
func (lst *List) Handle(_ context.Context, _ wick.EntryID, body []byte) (any, error) {
	var pull Pull
	if err := peer.Decode(body, &pull); err != nil {
		return nil, err
	}
	lst.mu.Lock()
	defer lst.mu.Unlock()
	if lst.seq == 0 {
		return nil, eris.Wrap(wick.ErrNotFound, "vmlist: list not loaded yet")
	}
	return lst.changes(pull), nil
}

func (lst *List) changes(pull Pull) Changes {
	incremental := pull.Source == lst.self && pull.Epoch == lst.epoch && pull.After >= lst.compactedSeq && pull.After <= lst.seq
	after := pull.After
	if !incremental {
		after = 0
	}
	out := Changes{Source: lst.self, Epoch: lst.epoch, Seq: lst.seq, Full: !incremental}
	if incremental && after == lst.seq {
		// The common case: many entries pull every second.
		return out
	}
	var recs []record
	for _, rec := range lst.records {
		if rec.seq > after && (incremental || !rec.removed) {
			recs = append(recs, rec)
		}
	}
	slices.SortFunc(recs, bySeq)
	if len(recs) > maxChanges {
		recs = recs[:maxChanges]
		out.More = true
		out.Seq = recs[len(recs)-1].seq
	}
	for _, rec := range recs {
		if rec.removed {
			out.Removed = append(out.Removed, rec.vm.ID)
		} else {
			out.VMs = append(out.VMs, rec.vm)
		}
	}
	return out
}

// NextPull returns the pull to send next.
func (lst *List) NextPull() Pull {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	return lst.cursor
}

// Apply applies the reply to a pull and reports whether the list changed.
func (lst *List) Apply(chg Changes) bool {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	lst.lastSet = nil
	continues := lst.cursor.Source == chg.Source && lst.cursor.Epoch == chg.Epoch
	lst.cursor = Pull{Source: chg.Source, Epoch: chg.Epoch, After: chg.Seq}
	if chg.Full || lst.snapshot != nil && continues {
		return lst.applyPage(chg)
	}
	if !continues {
		lst.cursor = Pull{}
		return false
	}
	changed := false
	for _, vm := range chg.VMs {
		changed = lst.put(vm) || changed
	}
	for _, vid := range chg.Removed {
		if rec, ok := lst.records[vid]; ok && !rec.removed {
			lst.remove(vid)
			changed = true
		}
	}
	if changed {
		lst.trimTombstones()
	}
	return changed
}

// applyPage collects the pages of a whole list and replaces the list once the
// last one has arrived, so that readers never see a partial list.
func (lst *List) applyPage(chg Changes) bool {
	if chg.Full {
		lst.snapshot = nil
	}
	removed := make(map[wick.VMID]bool, len(chg.Removed))
	for _, vid := range chg.Removed {
		removed[vid] = true
	}
	merged := make([]wick.VM, 0, len(lst.snapshot)+len(chg.VMs))
	updated := make(map[wick.VMID]bool, len(chg.VMs))
	for _, vm := range chg.VMs {
		updated[vm.ID] = true
	}
	for _, vm := range lst.snapshot {
		if !removed[vm.ID] && !updated[vm.ID] {
			merged = append(merged, vm)
		}
	}
	merged = append(merged, chg.VMs...)
	if chg.More {
		lst.snapshot = merged
		return false
	}
	lst.snapshot = nil
	return lst.replace(merged)
}

// Package vmlist passes the platform's list of VMs from the entries that read
// it to those of their zone that don't, as changes since the last pull.
package vmlist

import (
	"context"
	"maps"
	"reflect"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// maxChanges bounds the VMs in one reply, so that a reply of about 250 bytes a
// VM stays below wick.MaxMessageBytes.
const maxChanges = 2000

// A Pull asks for changes. Its zero value asks for the whole list.
type Pull struct {
	// Source and Epoch name the list that After counts in.
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
	// More is set when another pull is needed for the rest.
	More    bool        `cbor:"5,keyasint,omitempty"`
	VMs     []wick.VM   `cbor:"6,keyasint,omitempty"`
	Removed []wick.VMID `cbor:"7,keyasint,omitempty"`
}

// A record is one VM and the sequence number of its last change.
type record struct {
	vm      wick.VM
	seq     uint64
	removed bool
}

// A List is the list as one entry holds it. Use New.
type List struct {
	self  wick.EntryID
	epoch wick.Incarnation

	mu sync.Mutex
	// seq grows with every change.
	seq     uint64
	records map[wick.VMID]record
	// floor is the largest sequence number of a removed record that was
	// dropped. A pull from below it gets the whole list.
	floor uint64
	// from is where the last pull of this entry came from.
	from Pull
	// pending collects the pages of a whole list.
	pending []wick.VM
	// last is the list that Set got last, or nil after an Apply.
	last []wick.VM
	// sorted is what VMs returned for the sequence number sortedSeq.
	sorted    []wick.VM
	sortedSeq uint64
}

// maxRemoved bounds the removed VMs that are kept for pulls.
const maxRemoved = 4096

// New returns an empty list.
func New(self wick.EntryID, epoch wick.Incarnation) *List {
	return &List{self: self, epoch: epoch, records: make(map[wick.VMID]record)}
}

// Set replaces the list by one that was read from the platform and reports
// whether anything changed. The caller must not change vms afterwards: the
// same slice as in the last call counts as unchanged.
func (lst *List) Set(vms []wick.VM) bool {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	lst.from, lst.pending = Pull{}, nil
	if len(vms) > 0 && len(vms) == len(lst.last) && &vms[0] == &lst.last[0] {
		return false
	}
	lst.last = vms
	return lst.replace(vms)
}

// Seq returns a number that grows with every change of the list.
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
	lst.trim()
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

// trim drops the oldest removed records.
func (lst *List) trim() {
	var removed []record
	for _, rec := range lst.records {
		if rec.removed {
			removed = append(removed, rec)
		}
	}
	if len(removed) <= maxRemoved {
		return
	}
	slices.SortFunc(removed, bySeq)
	for _, rec := range removed[:len(removed)-maxRemoved] {
		lst.floor = max(lst.floor, rec.seq)
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

// VMs returns the list, ordered by id. The caller must not change it.
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

// Handle answers a pull. It is a wick.PeerHandler. An entry that has no list
// answers with wick.ErrNotFound, so that the caller asks another one.
func (lst *List) Handle(_ context.Context, _ wick.EntryID, body []byte) (any, error) {
	var pull Pull
	if err := cbor.Unmarshal(body, &pull); err != nil {
		return nil, eris.Wrap(wick.ErrInvalid, "vmlist: decode pull")
	}
	lst.mu.Lock()
	defer lst.mu.Unlock()
	if lst.seq == 0 {
		return nil, eris.Wrap(wick.ErrNotFound, "vmlist: no list yet")
	}
	return lst.changes(pull), nil
}

func (lst *List) changes(pull Pull) Changes {
	known := pull.Source == lst.self && pull.Epoch == lst.epoch && pull.After >= lst.floor && pull.After <= lst.seq
	after := pull.After
	if !known {
		after = 0
	}
	out := Changes{Source: lst.self, Epoch: lst.epoch, Seq: lst.seq, Full: !known}
	if known && after == lst.seq {
		// The usual case: many entries pull each second.
		return out
	}
	var recs []record
	for _, rec := range lst.records {
		if rec.seq > after && (known || !rec.removed) {
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

// Next returns the pull to send.
func (lst *List) Next() Pull {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	return lst.from
}

// Apply takes the reply to a pull and reports whether the list changed.
func (lst *List) Apply(chg Changes) bool {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	lst.last = nil
	continues := lst.from.Source == chg.Source && lst.from.Epoch == chg.Epoch
	lst.from = Pull{Source: chg.Source, Epoch: chg.Epoch, After: chg.Seq}
	if chg.Full || lst.pending != nil && continues {
		return lst.applyPage(chg)
	}
	if !continues {
		lst.from = Pull{}
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
		lst.trim()
	}
	return changed
}

// applyPage collects the pages of a whole list and replaces the list when the
// last one is there, so that a list is never shown in part.
func (lst *List) applyPage(chg Changes) bool {
	if chg.Full {
		lst.pending = nil
	}
	removed := make(map[wick.VMID]bool, len(chg.Removed))
	for _, vid := range chg.Removed {
		removed[vid] = true
	}
	kept := make([]wick.VM, 0, len(lst.pending)+len(chg.VMs))
	newer := make(map[wick.VMID]bool, len(chg.VMs))
	for _, vm := range chg.VMs {
		newer[vm.ID] = true
	}
	for _, vm := range lst.pending {
		if !removed[vm.ID] && !newer[vm.ID] {
			kept = append(kept, vm)
		}
	}
	kept = append(kept, chg.VMs...)
	if chg.More {
		lst.pending = kept
		return false
	}
	lst.pending = nil
	return lst.replace(kept)
}

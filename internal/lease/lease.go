// Package lease assigns duties to entries by lease objects in the platform's
// object API. A lease distributes work but does not guarantee mutual exclusion: a
// holder can be paused past the expiry, so every write of a duty must itself be a
// conditional update.
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/qmuntal/stateless"
	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// RenewInterval is the default time between renewals.
	RenewInterval = 3 * time.Second
	// Expiry is how long a lease is valid without a renewal by default: three
	// renewal intervals.
	Expiry = 9 * time.Second
	// callTimeout leaves time for a retry within one renewal interval.
	callTimeout = 1 * time.Second
)

// A State is the state of a lease as observed by one entry.
type State string

// States of a lease.
const (
	Free    State = "free"
	Held    State = "held"
	Suspect State = "suspect"
	Lost    State = "lost"
)

type trigger string

const (
	acquired   trigger = "acquired"
	renewed    trigger = "renewed"
	suspected  trigger = "doubted"
	superseded trigger = "taken"
	released   trigger = "released"
)

// A Record is the value of a lease object.
type Record struct {
	Holder      wick.EntryID     `json:"holder"`
	Incarnation wick.Incarnation `json:"incarnation"`
	// Fence is the fencing token. It increases by one with every acquisition
	// and never decreases: the object is kept when the lease is released.
	Fence wick.Fence `json:"fence"`
	// Renewed is the time of the renewal by the holder's clock, for operators
	// only. Other entries measure the expiry by their own clock, from when they
	// first observed the revision.
	Renewed  time.Time    `json:"renewed"`
	Released bool         `json:"released,omitempty"`
	WriteID  wick.WriteID `json:"writeId"`
}

// A Lease is one entry's view of the lease of one duty. Step must be called by one
// goroutine only; the other methods are safe for concurrent use.
type Lease struct {
	mu    sync.Mutex
	sto   wick.Store
	clk   wick.Clock
	duty  wick.Duty
	id    wick.EntryID
	inc   wick.Incarnation
	state State
	// rec and rev are the last value and revision read or written.
	rec Record
	rev wick.Revision
	// observedAt is when rev was first observed. A read that returns an older
	// revision than rev is ignored.
	observedAt time.Time
	// renewedAt is when the last successful renewal was sent.
	renewedAt time.Time
	// acquiredAt is when the lease was last acquired.
	acquiredAt time.Time
	// expiry is how long the lease is valid without a renewal.
	expiry  time.Duration
	machine *stateless.StateMachine
}

// New returns the entry's view of the lease of a duty.
func New(sto wick.Store, clk wick.Clock, duty wick.Duty, id wick.EntryID, inc wick.Incarnation) *Lease {
	lea := &Lease{sto: sto, clk: clk, duty: duty, id: id, inc: inc, state: Free, expiry: Expiry}
	lea.machine = stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return lea.state, nil },
		func(_ context.Context, next stateless.State) error {
			state, ok := next.(State)
			if !ok {
				return eris.Errorf("lease: invalid state %v", next)
			}
			lea.state = state
			return nil
		}, stateless.FiringImmediate)
	lea.machine.Configure(Free).Permit(acquired, Held).Ignore(superseded).Ignore(suspected).Ignore(released)
	lea.machine.Configure(Held).PermitReentry(renewed).Permit(suspected, Suspect).
		Permit(superseded, Lost).Permit(released, Free)
	lea.machine.Configure(Suspect).Permit(renewed, Held).Ignore(suspected).
		Permit(superseded, Lost).Permit(released, Free)
	lea.machine.Configure(Lost).Permit(released, Free).Ignore(superseded).Ignore(suspected)
	return lea
}

// Holds returns the fencing token, and whether the lease is held and has not
// expired. A holder that was paused past the expiry gets false immediately.
func (lea *Lease) Holds() (wick.Fence, bool) {
	lea.mu.Lock()
	defer lea.mu.Unlock()
	return lea.rec.Fence, lea.state == Held && lea.clk.Now().Sub(lea.renewedAt) < lea.expiry
}

// validUntil returns when the lease expires unless it is renewed, the zero time if it
// is not held.
func (lea *Lease) validUntil() time.Time {
	if _, ok := lea.Holds(); !ok {
		return time.Time{}
	}
	lea.mu.Lock()
	defer lea.mu.Unlock()
	return lea.renewedAt.Add(lea.expiry)
}

// Step acquires a free or expired lease or renews a held one, and returns the
// resulting state. After Lost, the next Step starts from Free.
func (lea *Lease) Step(ctx context.Context) (State, error) {
	lea.mu.Lock()
	if lea.state == Lost {
		lea.fire(released)
	}
	holding := lea.state == Held || lea.state == Suspect
	if holding && lea.clk.Now().Sub(lea.renewedAt) >= lea.expiry {
		lea.fire(suspected)
	}
	lea.mu.Unlock()
	if !holding {
		if err := lea.read(ctx); err != nil {
			return lea.State(), err
		}
		if !lea.available() {
			return lea.State(), nil
		}
	}
	return lea.write(ctx, false)
}

// Release releases the lease, so that another entry need not wait for its
// expiry.
func (lea *Lease) Release(ctx context.Context) error {
	if state := lea.State(); state != Held && state != Suspect {
		return nil
	}
	_, err := lea.write(ctx, true)
	lea.mu.Lock()
	defer lea.mu.Unlock()
	lea.fire(released)
	return err
}

// State returns the current state.
func (lea *Lease) State() State {
	lea.mu.Lock()
	defer lea.mu.Unlock()
	return lea.state
}

// fire applies a trigger. The caller must hold mu.
func (lea *Lease) fire(trg trigger) {
	if err := lea.machine.Fire(trg); err != nil {
		log.WithError(err).Error("lease: invalid state transition")
	}
}

func (lea *Lease) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obj, err := lea.sto.Get(ctx, lea.key())
	if errors.Is(err, wick.ErrNotFound) {
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "lease: read")
	}
	var rec Record
	if err := json.Unmarshal(obj.Data, &rec); err != nil {
		return eris.Wrap(err, "lease: decode")
	}
	lea.mu.Lock()
	defer lea.mu.Unlock()
	if obj.Revision > lea.rev {
		lea.rec, lea.rev, lea.observedAt = rec, obj.Revision, lea.clk.Now()
	}
	return nil
}

// available reports whether this entry may acquire the lease, according to the
// last value read.
func (lea *Lease) available() bool {
	lea.mu.Lock()
	defer lea.mu.Unlock()
	// A holder with the same ID is an earlier process of this entry, which has
	// ended.
	ownRestart := lea.rec.Holder == lea.id && lea.rec.Incarnation <= lea.inc
	return lea.rev == 0 || lea.rec.Released || ownRestart || lea.clk.Now().Sub(lea.observedAt) >= lea.expiry
}

// write renews, acquires or releases the lease by one conditional update. After a
// lost response, it reads the object to find out whether the write succeeded.
func (lea *Lease) write(ctx context.Context, release bool) (State, error) {
	lea.mu.Lock()
	startedAt := lea.clk.Now()
	rec, rev := lea.rec, lea.rev
	holding := lea.state == Held || lea.state == Suspect
	lea.mu.Unlock()
	if !holding {
		rec.Fence++
	}
	rec.Holder, rec.Incarnation, rec.Renewed = lea.id, lea.inc, startedAt
	rec.Released, rec.WriteID = release, wick.NewWriteID()
	data, err := json.Marshal(rec)
	if err != nil {
		return lea.State(), eris.Wrap(err, "lease: encode")
	}
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	next, err := lea.sto.Put(cctx, lea.key(), data, rev)
	if err != nil {
		return lea.resolveWrite(ctx, rec, rev, startedAt, err)
	}
	return lea.applyWrite(rec, next, startedAt), nil
}

func (lea *Lease) applyWrite(rec Record, rev wick.Revision, startedAt time.Time) State {
	lea.mu.Lock()
	defer lea.mu.Unlock()
	lea.rec, lea.rev, lea.observedAt, lea.renewedAt = rec, rev, lea.clk.Now(), startedAt
	if lea.state == Free {
		lea.acquiredAt = lea.observedAt
		lea.fire(acquired)
	} else {
		lea.fire(renewed)
	}
	return lea.state
}

// resolveWrite determines the outcome of a write that returned an error. An
// unchanged revision may be a stale read, so the lease is suspect until a write
// succeeds.
func (lea *Lease) resolveWrite(ctx context.Context, rec Record, rev wick.Revision, startedAt time.Time, cause error) (State, error) {
	readErr := lea.read(ctx)
	lea.mu.Lock()
	latest, latestRev := lea.rec, lea.rev
	lea.mu.Unlock()
	if readErr == nil && latestRev > rev && latest.WriteID == rec.WriteID {
		return lea.applyWrite(rec, latestRev, startedAt), nil
	}
	lea.mu.Lock()
	defer lea.mu.Unlock()
	takenOver := latestRev > rev && (latest.Holder != lea.id || latest.Incarnation != lea.inc || latest.Fence != rec.Fence)
	if takenOver || errors.Is(cause, wick.ErrNotFound) {
		lea.fire(superseded)
		return lea.state, nil
	}
	lea.fire(suspected)
	return lea.state, eris.Wrap(cause, "lease: write")
}

func (lea *Lease) key() wick.ObjectKey {
	return wick.ObjectKey{Kind: wick.KindLease, Name: string(lea.duty)}
}

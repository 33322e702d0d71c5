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
	// Fence is the fencing token. It increases with every acquisition, and the
	// object is kept when the lease is released. Tokens that a restore of the store
	// discards are below those of the new era.
	Fence wick.Fence `json:"fence"`
	// Era is the store's era when the holder wrote the record. In a record of an
	// earlier era than its revision's, the holder may have been replaced since.
	Era wick.Era `json:"era,omitempty"`
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
	// rec and rev are the last value and revision read or written. The number of
	// rev is zero if the object did not exist.
	rec Record
	rev wick.Revision
	// observedAt is when rev was first observed, eraSince when its era was. A read
	// that returns an older revision than rev is ignored.
	observedAt, eraSince time.Time
	// observed is set by the first read of the object, restored when its era rises
	// after that.
	observed, restored bool
	// fence is the fencing token of the last acquisition. first is set if no entry had
	// held the lease before it.
	fence wick.Fence
	first bool
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
	return lea.fence, lea.state == Held && lea.unexpired()
}

// unexpired reports whether the last renewal is recent enough that no other entry can
// have acquired the lease. The caller must hold mu.
func (lea *Lease) unexpired() bool { return lea.clk.Now().Sub(lea.renewedAt) < lea.expiry }

// retriesSoon reports whether the last renewal failed and the lease has not expired.
func (lea *Lease) retriesSoon() bool {
	lea.mu.Lock()
	defer lea.mu.Unlock()
	return lea.state == Suspect && lea.unexpired()
}

// validUntil returns when the lease expires unless it is renewed, the zero time if it
// is not held.
func (lea *Lease) validUntil() time.Time {
	if _, ok := lea.Holds(); !ok {
		return time.Time{}
	}
	lea.mu.Lock()
	defer lea.mu.Unlock()
	return lea.local(lea.renewedAt.Add(lea.expiry))
}

// local returns the time on Go's clock that corresponds to one on the lease's clock, which
// also counts suspension. The caller must hold mu.
func (lea *Lease) local(at time.Time) time.Time { return time.Now().Add(at.Sub(lea.clk.Now())) }

// Step acquires a free or expired lease or renews a held one, and returns the
// resulting state. After Lost, the next Step starts from Free.
func (lea *Lease) Step(ctx context.Context) (State, error) {
	lea.mu.Lock()
	if lea.state == Lost {
		lea.fire(released)
	}
	holding := lea.state == Held || lea.state == Suspect
	expired := holding && !lea.unexpired()
	if expired {
		lea.fire(suspected)
	}
	lea.mu.Unlock()
	if expired {
		if lost, err := lea.checkExpired(ctx); lost || err != nil {
			return lea.State(), err
		}
	}
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

// checkExpired reads the record of an expired lease and reports whether the lease is
// lost: it was taken over, or may have been in writes that a restore discarded. A renewal
// without this check could name a revision that the restored store has assigned again.
func (lea *Lease) checkExpired(ctx context.Context) (bool, error) {
	lea.mu.Lock()
	era := lea.rev.Era()
	lea.mu.Unlock()
	if err := lea.read(ctx); err != nil {
		return false, err
	}
	lea.mu.Lock()
	defer lea.mu.Unlock()
	if lea.rev.Era() == era && lea.isOwn() {
		return false, nil
	}
	lea.fire(superseded)
	return true, nil
}

// isOwn reports whether the record is of this entry's last acquisition. The caller must
// hold mu.
func (lea *Lease) isOwn() bool {
	return lea.rec.Holder == lea.id && lea.rec.Incarnation == lea.inc && lea.rec.Fence == lea.fence
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
	obj, err := lea.fetch(ctx)
	if err != nil {
		return eris.Wrap(err, "lease: read")
	}
	var rec Record
	if obj.Revision.Number() != 0 {
		if err := json.Unmarshal(obj.Data, &rec); err != nil {
			return eris.Wrap(err, "lease: decode")
		}
	}
	lea.mu.Lock()
	defer lea.mu.Unlock()
	lea.observe(rec, obj.Revision)
	return nil
}

// fetch returns the lease object. If it does not exist, the revision has the store's era
// and the number zero.
func (lea *Lease) fetch(ctx context.Context) (wick.Object, error) {
	obj, err := lea.sto.Get(ctx, lea.key())
	if !errors.Is(err, wick.ErrNotFound) {
		return obj, err //nolint:wrapcheck // wrapped by the caller
	}
	// Unlike a missing object, a list has a revision and with it an era.
	objs, rev, err := lea.sto.List(ctx, wick.KindLease)
	if err != nil {
		return wick.Object{}, err //nolint:wrapcheck // wrapped by the caller
	}
	for idx := range objs {
		if objs[idx].Key == lea.key() {
			return objs[idx], nil
		}
	}
	return wick.Object{Revision: rev.Era().Revision(0)}, nil
}

// available reports whether this entry may acquire the lease, according to the
// last value read.
func (lea *Lease) available() bool {
	lea.mu.Lock()
	defer lea.mu.Unlock()
	if lea.isNew(lea.rev) || lea.clk.Now().Sub(lea.observedAt) >= lea.expiry {
		return true
	}
	// A holder with the same ID is an earlier process of this entry, which has
	// ended.
	ownRestart := lea.rec.Holder == lea.id && lea.rec.Incarnation <= lea.inc
	return lea.isCurrent() && (lea.rec.Released || ownRestart)
}

// availableIn returns the time until the record expires, and whether this entry waits for
// that.
func (lea *Lease) availableIn() (time.Duration, bool) {
	lea.mu.Lock()
	defer lea.mu.Unlock()
	left := lea.expiry - lea.clk.Now().Sub(lea.observedAt)
	return left, lea.state == Free && lea.observed && left > 0
}

// write renews, acquires or releases the lease by one conditional update. After a
// lost response, it reads the object to find out whether the write succeeded.
func (lea *Lease) write(ctx context.Context, release bool) (State, error) {
	lea.mu.Lock()
	base, startedAt := lea.rev, lea.clk.Now()
	rec := Record{
		Holder: lea.id, Incarnation: lea.inc, Fence: lea.fence, Era: base.Era(),
		Renewed: lea.local(startedAt), Released: release, WriteID: wick.NewWriteID(),
	}
	if lea.state != Held && lea.state != Suspect {
		rec.Fence = lea.nextFence()
	}
	lea.mu.Unlock()
	data, err := json.Marshal(rec)
	if err != nil {
		return lea.State(), eris.Wrap(err, "lease: encode")
	}
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	putRev := base
	if base.Number() == 0 {
		putRev = 0
	}
	next, err := lea.sto.Put(cctx, lea.key(), data, putRev)
	if err != nil {
		return lea.resolveWrite(ctx, rec, base, startedAt, err)
	}
	return lea.applyWrite(rec, base, next, startedAt), nil
}

// applyWrite adopts a write on base that the store accepted as rev. If the store was
// restored in between, the condition of the write proves nothing about the older era: an
// acquisition does not count, and a renewal does only if the lease has not expired.
func (lea *Lease) applyWrite(rec Record, base, rev wick.Revision, startedAt time.Time) State {
	lea.mu.Lock()
	defer lea.mu.Unlock()
	acquires := lea.state == Free
	lea.observe(rec, rev)
	if rev.Era() != base.Era() && (acquires || !lea.unexpired()) {
		lea.fire(superseded)
		return lea.state
	}
	lea.renewedAt, lea.fence = startedAt, rec.Fence
	if acquires {
		lea.acquiredAt, lea.first = lea.clk.Now(), lea.isNew(base)
		lea.fire(acquired)
	} else {
		lea.fire(renewed)
	}
	return lea.state
}

// resolveWrite determines the outcome of a write that returned an error. An
// unchanged revision may be a stale read, so the lease is suspect until a write
// succeeds.
func (lea *Lease) resolveWrite(ctx context.Context, rec Record, base wick.Revision, startedAt time.Time, cause error) (State, error) {
	readErr := lea.read(ctx)
	lea.mu.Lock()
	latest, latestRev := lea.rec, lea.rev
	lea.mu.Unlock()
	if readErr == nil && latestRev > base && latest.WriteID == rec.WriteID {
		return lea.applyWrite(rec, base, latestRev, startedAt), nil
	}
	if latestRev.Era() > base.Era() && lea.mayWriteBack() {
		return lea.write(ctx, rec.Released)
	}
	lea.mu.Lock()
	defer lea.mu.Unlock()
	takenOver := latestRev > base && (!lea.isOwn() || latestRev.Era() > base.Era())
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

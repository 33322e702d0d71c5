// Package lease holds duties by lease objects in the platform's object API. A
// lease spreads work; it never protects it: a holder can be paused past the
// expiry, so whatever a duty writes is itself written by conditional update.
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
	// RenewEvery is the time between renewals.
	RenewEvery = 3 * time.Second
	// Expiry is how long a lease lasts without renewal, three renewals.
	Expiry = 9 * time.Second
	// callTimeout leaves time for a second try within one renewal period.
	callTimeout = 1 * time.Second
)

// A State is the state of a lease as one entry sees it.
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
	acquired trigger = "acquired"
	renewed  trigger = "renewed"
	doubted  trigger = "doubted"
	taken    trigger = "taken"
	released trigger = "released"
)

// A Doc is the value of a lease object.
type Doc struct {
	Holder      wick.EntryID     `json:"holder"`
	Incarnation wick.Incarnation `json:"incarnation"`
	// Fence grows by one with every change of holder and never shrinks: the
	// object stays when the lease is released.
	Fence wick.Fence `json:"fence"`
	// Renewed is the holder's clock, for operators only. Others measure the
	// expiry from when they first saw the revision, on their own clock.
	Renewed  time.Time    `json:"renewed"`
	Released bool         `json:"released,omitempty"`
	WriteID  wick.WriteID `json:"writeId"`
}

// A Lease is one entry's side of the lease of one duty. Step is called by one
// goroutine; the other methods may be called by any.
type Lease struct {
	mu    sync.Mutex
	sto   wick.Store
	clk   wick.Clock
	duty  wick.Duty
	id    wick.EntryID
	inc   wick.Incarnation
	state State
	// doc and rev are the last value read or written.
	doc Doc
	rev wick.Revision
	// seen is when rev was first seen. A read that shows an older revision
	// than rev is ignored.
	seen time.Time
	// renewed is when the last successful renewal began.
	renewed time.Time
	// since is when the lease was acquired.
	since time.Time
	// expiry is how long the lease lasts without renewal.
	expiry  time.Duration
	machine *stateless.StateMachine
}

// New returns the entry's side of the lease of duty.
func New(sto wick.Store, clk wick.Clock, duty wick.Duty, id wick.EntryID, inc wick.Incarnation) *Lease {
	lea := &Lease{sto: sto, clk: clk, duty: duty, id: id, inc: inc, state: Free, expiry: Expiry}
	lea.machine = stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return lea.state, nil },
		func(_ context.Context, next stateless.State) error {
			state, ok := next.(State)
			if !ok {
				return eris.Errorf("lease: state %v", next)
			}
			lea.state = state
			return nil
		}, stateless.FiringImmediate)
	lea.machine.Configure(Free).Permit(acquired, Held).Ignore(taken).Ignore(doubted).Ignore(released)
	lea.machine.Configure(Held).PermitReentry(renewed).Permit(doubted, Suspect).
		Permit(taken, Lost).Permit(released, Free)
	lea.machine.Configure(Suspect).Permit(renewed, Held).Ignore(doubted).
		Permit(taken, Lost).Permit(released, Free)
	lea.machine.Configure(Lost).Permit(released, Free).Ignore(taken).Ignore(doubted)
	return lea
}

// Holds returns the fencing number while the lease is held and was renewed
// within the expiry. A holder that was paused past it gets false at once.
func (lea *Lease) Holds() (wick.Fence, bool) {
	lea.mu.Lock()
	defer lea.mu.Unlock()
	return lea.doc.Fence, lea.state == Held && lea.clk.Now().Sub(lea.renewed) < lea.expiry
}

// Step acquires a free or expired lease or renews a held one, and returns the
// state afterwards. After Lost, the next Step starts from Free.
func (lea *Lease) Step(ctx context.Context) (State, error) {
	lea.mu.Lock()
	if lea.state == Lost {
		lea.fire(released)
	}
	mine := lea.state == Held || lea.state == Suspect
	if mine && lea.clk.Now().Sub(lea.renewed) >= lea.expiry {
		lea.fire(doubted)
	}
	lea.mu.Unlock()
	if !mine {
		if err := lea.read(ctx); err != nil {
			return lea.State(), err
		}
		if !lea.available() {
			return lea.State(), nil
		}
	}
	return lea.write(ctx, false)
}

// Release gives the lease up, so that another entry need not wait for the
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

// fire applies a trigger. The caller holds mu.
func (lea *Lease) fire(trg trigger) {
	if err := lea.machine.Fire(trg); err != nil {
		log.WithError(err).Error("lease: transition refused")
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
	var doc Doc
	if err := json.Unmarshal(obj.Data, &doc); err != nil {
		return eris.Wrap(err, "lease: decode")
	}
	lea.mu.Lock()
	defer lea.mu.Unlock()
	if obj.Revision > lea.rev {
		lea.doc, lea.rev, lea.seen = doc, obj.Revision, lea.clk.Now()
	}
	return nil
}

// available tells whether the last value read lets this entry acquire.
func (lea *Lease) available() bool {
	lea.mu.Lock()
	defer lea.mu.Unlock()
	// A value of an earlier incarnation of this entry is a dead process.
	own := lea.doc.Holder == lea.id && lea.doc.Incarnation <= lea.inc
	return lea.rev == 0 || lea.doc.Released || own || lea.clk.Now().Sub(lea.seen) >= lea.expiry
}

// write renews, acquires or releases by one conditional update. A lost
// response is settled by reading back.
func (lea *Lease) write(ctx context.Context, release bool) (State, error) {
	lea.mu.Lock()
	began := lea.clk.Now()
	doc, rev := lea.doc, lea.rev
	mine := lea.state == Held || lea.state == Suspect
	lea.mu.Unlock()
	if !mine {
		doc.Fence++
	}
	doc.Holder, doc.Incarnation, doc.Renewed = lea.id, lea.inc, began
	doc.Released, doc.WriteID = release, wick.NewWriteID()
	data, err := json.Marshal(doc)
	if err != nil {
		return lea.State(), eris.Wrap(err, "lease: encode")
	}
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	next, err := lea.sto.Put(cctx, lea.key(), data, rev)
	if err != nil {
		return lea.settle(ctx, doc, rev, began, err)
	}
	return lea.succeed(doc, next, began), nil
}

func (lea *Lease) succeed(doc Doc, rev wick.Revision, began time.Time) State {
	lea.mu.Lock()
	defer lea.mu.Unlock()
	lea.doc, lea.rev, lea.seen, lea.renewed = doc, rev, lea.clk.Now(), began
	if lea.state == Free {
		lea.since = lea.seen
		lea.fire(acquired)
	} else {
		lea.fire(renewed)
	}
	return lea.state
}

// settle finds out what became of a write that failed. An unchanged revision
// may be a stale read, so the lease stays suspect until a write succeeds.
func (lea *Lease) settle(ctx context.Context, doc Doc, rev wick.Revision, began time.Time, cause error) (State, error) {
	readErr := lea.read(ctx)
	lea.mu.Lock()
	now, nowRev := lea.doc, lea.rev
	lea.mu.Unlock()
	if readErr == nil && nowRev > rev && now.WriteID == doc.WriteID {
		return lea.succeed(doc, nowRev, began), nil
	}
	lea.mu.Lock()
	defer lea.mu.Unlock()
	other := nowRev > rev && (now.Holder != lea.id || now.Incarnation != lea.inc || now.Fence != doc.Fence)
	if other || errors.Is(cause, wick.ErrNotFound) {
		lea.fire(taken)
		return lea.state, nil
	}
	lea.fire(doubted)
	return lea.state, eris.Wrap(cause, "lease: write")
}

func (lea *Lease) key() wick.ObjectKey {
	return wick.ObjectKey{Kind: wick.KindLease, Name: string(lea.duty)}
}

// Package config keeps the active bundle of an entry. It takes versions from
// the platform and from peers, and passes them on.
package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/invar"
	"github.com/wagtailwick/wagtailwick/internal/member"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// maxRefused bounds the memory of refused documents, which spares the
// signature check when a peer sends the same document again.
const maxRefused = 256

// An Active is the bundle that an entry works with.
type Active struct {
	Bundle bundle.Bundle
	// Confirmed is set while the platform's last answer, to this entry or to
	// one whose word reached it, is at most 40 s old, was given after this
	// entry started, and showed no higher version.
	Confirmed bool
}

// A Keeper keeps the active bundle of one entry.
type Keeper struct {
	store wick.Store
	peers wick.Peers
	view  *member.View
	keys  bundle.Keys
	clock wick.Clock
	check *invar.Checker
	// bare switches mechanisms off, so that tests can show that they matter.
	bare bare

	// adopting is held during an adoption, which keeps subscribers in order.
	adopting sync.Mutex
	rnd      *rand.Rand
	subs     []func(bundle.Bundle)

	mu     sync.Mutex
	active bundle.Bundle
	signed bundle.Signed
	// refused holds hashes of documents that failed the checks.
	refused map[uint64]bool
	// platform is whether the entry follows the platform and its last call
	// did not fail.
	platform bool
	start    startup
	// pulling holds the peers that are being asked.
	pulling map[wick.EntryID]bool
	// wanted is when a document was last asked for, by version.
	wanted map[wick.BundleVersion]time.Time
	// ctx bounds background exchanges; Run sets it.
	ctx  context.Context
	work sync.WaitGroup
}

// bare switches mechanisms off.
type bare struct {
	// anySignature adopts bundles without their signatures.
	anySignature bool
	// anyVersion adopts lower versions.
	anyVersion bool
	// alone neither pushes nor pulls.
	alone bool
	// hasty serves with the first version that is seen after the start.
	hasty bool
}

// New returns a keeper that holds no bundle. Run starts it.
func New(store wick.Store, peers wick.Peers, view *member.View, keys bundle.Keys, clock wick.Clock, check *invar.Checker) *Keeper {
	return &Keeper{
		rnd:   member.Rand("push", view.Self()),
		store: store, peers: peers, view: view, keys: keys, clock: clock, check: check,
		refused: make(map[uint64]bool), pulling: make(map[wick.EntryID]bool), wanted: make(map[wick.BundleVersion]time.Time),
	}
}

// Subscribe calls fn with the active bundle, if there is one, and with every
// bundle that is adopted later, in order. Bundles are adopted before the entry
// is ready; fn must return soon and must not change the bundle.
func (kee *Keeper) Subscribe(fn func(bundle.Bundle)) {
	kee.adopting.Lock()
	defer kee.adopting.Unlock()
	kee.subs = append(kee.subs, fn)
	if bnd := kee.held(); bnd.Version > 0 {
		fn(bnd)
	}
}

// Active returns the bundle to serve with. It returns false while the start
// sequence has not ended.
func (kee *Keeper) Active() (Active, bool) {
	kee.mu.Lock()
	act := Active{Bundle: kee.active}
	ready := kee.start.ready
	kee.mu.Unlock()
	if !ready {
		return Active{}, false
	}
	act.Confirmed = kee.view.Confirmed(act.Bundle.Version, kee.clock.Now())
	return act, true
}

// held returns the bundle that was adopted last, whether it serves or not.
func (kee *Keeper) held() bundle.Bundle {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	return kee.active
}

func count(what string) { metrics.GetOrRegisterCounter("config."+what, nil).Inc(1) }

// offer adopts a document if it is signed, valid and higher than the active
// version. It returns wick.ErrInvalid for a document that never will be.
func (kee *Keeper) offer(sgd bundle.Signed, source string) error {
	kee.adopting.Lock()
	defer kee.adopting.Unlock()
	prev := kee.held()
	if sgd.Version <= prev.Version && !kee.bare.anyVersion {
		count("stale")
		return nil
	}
	sum := xxhash.New()
	sum.Write(sgd.Submission) //nolint:errcheck // never fails
	sum.Write([]byte{0})      //nolint:errcheck // never fails
	sum.Write(sgd.Signature)  //nolint:errcheck // never fails
	hash := sum.Sum64() ^ uint64(sgd.Version)
	kee.mu.Lock()
	known := kee.refused[hash]
	kee.mu.Unlock()
	if known {
		return eris.Wrapf(wick.ErrInvalid, "version %d was refused before", sgd.Version)
	}
	bnd, err := kee.open(sgd)
	if err == nil && prev.Version > 0 && bnd.LedgerShards != prev.LedgerShards {
		err = eris.Wrapf(wick.ErrInvalid, "version %d changes ledgerShards", sgd.Version)
	}
	if err != nil {
		kee.refuse(hash)
		count("refused")
		logrus.WithError(err).WithField("source", source).Warn("config: bundle refused")
		return err
	}
	if bnd.Version == prev.Version {
		return nil
	}
	kee.adopt(prev, bnd, sgd, source)
	return nil
}

// open checks the signatures and returns the bundle.
func (kee *Keeper) open(sgd bundle.Signed) (bundle.Bundle, error) {
	if !kee.bare.anySignature {
		return kee.keys.Open(sgd)
	}
	bnd, _, err := kee.keys.OpenSubmission(sgd.Version, sgd.Submission)
	return bnd, err
}

func (kee *Keeper) refuse(hash uint64) {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	if len(kee.refused) >= maxRefused {
		for old := range kee.refused {
			delete(kee.refused, old)
			break
		}
	}
	kee.refused[hash] = true
}

// adopt makes a bundle the active one. The caller holds adopting. A violated
// invariant keeps the former bundle.
func (kee *Keeper) adopt(prev, bnd bundle.Bundle, sgd bundle.Signed, source string) {
	_, err := kee.keys.Open(sgd)
	grows := kee.check.Check(bnd.Version > prev.Version, invar.VersionGrows, "from %d to %d", prev.Version, bnd.Version)
	isSigned := kee.check.Check(err == nil, invar.SignedOnly, "version %d: %v", bnd.Version, err)
	if !grows && !kee.bare.anyVersion || !isSigned && !kee.bare.anySignature {
		return
	}
	kee.mu.Lock()
	kee.active, kee.signed = bnd, sgd
	platform := kee.platform
	kee.mu.Unlock()
	kee.view.SetBundle(bnd.Version, platform)
	count("adopted")
	logrus.WithField("source", source).WithField("version", bnd.Version).Info("config: bundle adopted")
	for _, fn := range kee.subs {
		fn(bnd)
	}
	kee.advance()
	kee.push(sgd, source)
}

// setPlatform notes whether the entry follows the platform successfully.
func (kee *Keeper) setPlatform(platform bool) {
	kee.mu.Lock()
	kee.platform = platform
	ver := kee.active.Version
	kee.mu.Unlock()
	kee.view.SetBundle(ver, platform)
}

// A Dump is the state dump of a Keeper.
type Dump struct {
	Version   wick.BundleVersion `json:"version"`
	Ready     bool               `json:"ready"`
	Confirmed bool               `json:"confirmed"`
	Platform  bool               `json:"platform"`
	Watching  bool               `json:"watching"`
	Refused   int                `json:"refused"`
	Pulling   int                `json:"pulling"`
}

// Dump returns the state.
func (kee *Keeper) Dump() Dump {
	act, ready := kee.Active()
	watching := kee.view.ShouldWatch(kee.clock.Now())
	kee.mu.Lock()
	defer kee.mu.Unlock()
	return Dump{
		Version: kee.active.Version, Ready: ready, Confirmed: act.Confirmed, Platform: kee.platform,
		Watching: watching, Refused: len(kee.refused), Pulling: len(kee.pulling),
	}
}

// Package config tracks the active bundle of an entry. It reads bundle versions
// from the platform and peers, verifies them and distributes them to peers.
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

// maxRejected bounds the negative cache of rejected documents, which avoids
// repeated signature checks when a peer resends a document.
const maxRejected = 256

// An Active is the bundle that an entry serves with.
type Active struct {
	Bundle bundle.Bundle
	// Confirmed is set while the last platform response, to this entry or
	// relayed by a peer, is at most 40 s old, was sent after this entry started,
	// and had no higher version.
	Confirmed bool
}

// A Keeper maintains the active bundle of one entry.
type Keeper struct {
	store wick.Store
	peers wick.Peers
	view  *member.View
	keys  bundle.Keys
	clock wick.Clock
	check *invar.Checker
	// ablation disables mechanisms, so that tests can show that they are needed.
	ablation ablation

	// adopting serializes adoptions, so that subscribers receive them in order.
	adopting sync.Mutex
	rnd      *rand.Rand
	subs     []func(bundle.Bundle)

	mu     sync.Mutex
	active bundle.Bundle
	signed bundle.Signed
	// rejected holds hashes of documents that failed verification.
	rejected map[uint64]bool
	// platform is whether the entry watches the platform and its last call
	// succeeded.
	platform bool
	start    startup
	// pulling contains the peers with a pull in flight.
	pulling map[wick.EntryID]bool
	// requested is the time of the last request for a document, by version.
	requested map[wick.BundleVersion]time.Time
	// ctx bounds background exchanges; Run sets it.
	ctx  context.Context
	work sync.WaitGroup
}

// An ablation disables mechanisms in tests.
type ablation struct {
	// skipSignature adopts bundles without verifying their signatures.
	skipSignature bool
	// allowDowngrade adopts lower versions too.
	allowDowngrade bool
	// noPeers disables push and pull.
	noPeers bool
	// skipStartup serves with the first version that is adopted after the start.
	skipStartup bool
}

// New returns a keeper without a bundle. Run starts it.
func New(store wick.Store, peers wick.Peers, view *member.View, keys bundle.Keys, clock wick.Clock, check *invar.Checker) *Keeper {
	return &Keeper{
		rnd:   member.Rand("push", view.Self()),
		store: store, peers: peers, view: view, keys: keys, clock: clock, check: check,
		rejected: make(map[uint64]bool), pulling: make(map[wick.EntryID]bool), requested: make(map[wick.BundleVersion]time.Time),
	}
}

// Subscribe calls fn with the active bundle, if there is one, and with every
// bundle that is adopted later, in order. Bundles are adopted before the entry
// is ready; fn must not block and must not modify the bundle.
func (kee *Keeper) Subscribe(fn func(bundle.Bundle)) {
	kee.adopting.Lock()
	defer kee.adopting.Unlock()
	kee.subs = append(kee.subs, fn)
	if bnd := kee.latest(); bnd.Version > 0 {
		fn(bnd)
	}
}

// Active returns the bundle to serve with. It returns false until the start
// sequence is complete.
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

// latest returns the bundle adopted last, even if the entry is not ready.
func (kee *Keeper) latest() bundle.Bundle {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	return kee.active
}

func count(event string) { metrics.GetOrRegisterCounter("config."+event, nil).Inc(1) }

// tryAdopt adopts a document if it is signed, valid and higher than the active
// version. It returns wick.ErrInvalid for a document that can never be adopted.
func (kee *Keeper) tryAdopt(sgd bundle.Signed, source string) error {
	kee.adopting.Lock()
	defer kee.adopting.Unlock()
	prev := kee.latest()
	if sgd.Version <= prev.Version && !kee.ablation.allowDowngrade {
		count("stale")
		return nil
	}
	sum := xxhash.New()
	sum.Write(sgd.Submission) //nolint:errcheck // never fails
	sum.Write([]byte{0})      //nolint:errcheck // never fails
	sum.Write(sgd.Signature)  //nolint:errcheck // never fails
	hash := sum.Sum64() ^ uint64(sgd.Version)
	kee.mu.Lock()
	known := kee.rejected[hash]
	kee.mu.Unlock()
	if known {
		return eris.Wrapf(wick.ErrInvalid, "version %d was rejected before", sgd.Version)
	}
	bnd, err := kee.open(sgd)
	if err == nil && prev.Version > 0 && bnd.LedgerShards != prev.LedgerShards {
		err = eris.Wrapf(wick.ErrInvalid, "version %d changes ledgerShards", sgd.Version)
	}
	if err != nil {
		kee.reject(hash)
		count("refused")
		logrus.WithError(err).WithField("source", source).Warn("config: bundle rejected")
		return err
	}
	if bnd.Version == prev.Version {
		return nil
	}
	kee.adopt(prev, bnd, sgd, source)
	return nil
}

// open verifies the signatures and decodes the bundle.
func (kee *Keeper) open(sgd bundle.Signed) (bundle.Bundle, error) {
	if !kee.ablation.skipSignature {
		return kee.keys.Verify(sgd)
	}
	bnd, _, err := kee.keys.VerifySubmission(sgd.Version, sgd.Submission)
	return bnd, err
}

func (kee *Keeper) reject(hash uint64) {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	if len(kee.rejected) >= maxRejected {
		for old := range kee.rejected {
			delete(kee.rejected, old)
			break
		}
	}
	kee.rejected[hash] = true
}

// adopt makes a bundle the active one. The caller holds adopting. A violated
// invariant leaves the previous bundle active.
func (kee *Keeper) adopt(prev, bnd bundle.Bundle, sgd bundle.Signed, source string) {
	_, err := kee.keys.Verify(sgd)
	grows := kee.check.Check(bnd.Version > prev.Version, invar.VersionGrows, "from %d to %d", prev.Version, bnd.Version)
	isSigned := kee.check.Check(err == nil, invar.SignedOnly, "version %d: %v", bnd.Version, err)
	if !grows && !kee.ablation.allowDowngrade || !isSigned && !kee.ablation.skipSignature {
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
	kee.checkReady()
	kee.push(sgd, source)
}

// setPlatform records whether the entry watches the platform successfully.
func (kee *Keeper) setPlatform(platform bool) {
	kee.mu.Lock()
	kee.platform = platform
	ver := kee.active.Version
	kee.mu.Unlock()
	kee.view.SetBundle(ver, platform)
}

// A Dump is the diagnostic state of a Keeper.
type Dump struct {
	Version   wick.BundleVersion `json:"version"`
	Ready     bool               `json:"ready"`
	Confirmed bool               `json:"confirmed"`
	Platform  bool               `json:"platform"`
	Watching  bool               `json:"watching"`
	Refused   int                `json:"refused"`
	Pulling   int                `json:"pulling"`
}

// Dump returns the diagnostic state.
func (kee *Keeper) Dump() Dump {
	act, ready := kee.Active()
	watching := kee.view.ShouldWatch(kee.clock.Now())
	kee.mu.Lock()
	defer kee.mu.Unlock()
	return Dump{
		Version: kee.active.Version, Ready: ready, Confirmed: act.Confirmed, Platform: kee.platform,
		Watching: watching, Refused: len(kee.rejected), Pulling: len(kee.pulling),
	}
}

package config

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/peer"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// sourcePlatform identifies the platform as the source of a bundle; a peer
	// is identified by its id.
	sourcePlatform = "platform"
	// pushFanout is the number of peers to which an entry pushes a new version.
	pushFanout = 4
	// maxPulls bounds concurrent pulls of a higher version.
	maxPulls = 3
	// exchangeTimeout bounds a push or pull.
	exchangeTimeout = 2 * time.Second
	// requestTTL suppresses duplicate requests for a document in flight.
	requestTTL = time.Second
)

// pushBody is the body of a bundlePush. A push first announces the version only:
// an entry receives up to four announcements of a version and needs its document
// once.
type pushBody struct {
	Version wick.BundleVersion `cbor:"1,keyasint"`
	Signed  *bundle.Signed     `cbor:"2,keyasint,omitempty"`
}

// pushReply is the reply to a bundlePush.
type pushReply struct {
	Version wick.BundleVersion `cbor:"1,keyasint"`
	// Want requests the document.
	Want bool `cbor:"2,keyasint,omitempty"`
}

// pullBody is the body of a bundlePull.
type pullBody struct {
	Version wick.BundleVersion `cbor:"1,keyasint"`
}

// pullReply is the reply to a bundlePull.
type pullReply struct {
	Version wick.BundleVersion `cbor:"1,keyasint"`
	// Signed is set if Version is higher than the requester's version.
	Signed *bundle.Signed `cbor:"2,keyasint,omitempty"`
}

// background runs fn in a goroutine unless the keeper is stopped, and returns
// whether it was started.
func (kee *Keeper) background(fn func(ctx context.Context)) bool {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	if kee.ctx == nil || kee.ctx.Err() != nil || kee.ablation.noPeers {
		return false
	}
	ctx := kee.ctx
	kee.work.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		fn(ctx)
	})
	return true
}

// push announces a new version to random peers that are not known to have it.
// The caller holds adopting.
func (kee *Keeper) push(sgd bundle.Signed, source string) {
	mbs := kee.view.Live(kee.clock.Now())
	kee.rnd.Shuffle(len(mbs), func(one, two int) { mbs[one], mbs[two] = mbs[two], mbs[one] })
	left := pushFanout
	for _, mem := range mbs {
		if left == 0 {
			return
		}
		if mem.Bundle >= sgd.Version || string(mem.ID) == source {
			continue
		}
		left--
		kee.background(func(ctx context.Context) { kee.pushOne(ctx, mem, sgd) })
	}
}

func (kee *Keeper) pushOne(ctx context.Context, mem wick.Member, sgd bundle.Signed) {
	var rep pushReply
	err := kee.peers.Call(ctx, mem, wick.MsgBundlePush, pushBody{Version: sgd.Version}, &rep)
	if err == nil && rep.Want {
		err = kee.peers.Call(ctx, mem, wick.MsgBundlePush, pushBody{Version: sgd.Version, Signed: &sgd}, &rep)
	}
	if err != nil {
		count("pushFailed")
		return
	}
	mem.Bundle = rep.Version
	kee.PullIfNewer(mem)
}

// HandlePush processes a pushed version. It is a wick.PeerHandler.
func (kee *Keeper) HandlePush(_ context.Context, from wick.EntryID, body []byte) (any, error) {
	var msg pushBody
	if err := peer.Decode(body, &msg); err != nil {
		return nil, err
	}
	if msg.Signed != nil {
		if msg.Signed.Version != msg.Version {
			return nil, eris.Wrap(wick.ErrInvalid, "pushed document has another version than the push")
		}
		err := kee.tryAdopt(*msg.Signed, string(from))
		kee.checkReady()
		return pushReply{Version: kee.latest().Version}, err
	}
	rep := pushReply{Version: kee.latest().Version}
	rep.Want = msg.Version > rep.Version && kee.shouldRequest(msg.Version)
	return rep, nil
}

// shouldRequest reports whether to request a document, which is true unless a
// request for it is in flight, and records the request.
func (kee *Keeper) shouldRequest(ver wick.BundleVersion) bool {
	now := kee.clock.Now()
	kee.mu.Lock()
	defer kee.mu.Unlock()
	for old, when := range kee.requested {
		if now.Sub(when) >= requestTTL {
			delete(kee.requested, old)
		}
	}
	if _, found := kee.requested[ver]; found || len(kee.requested) >= maxRejected {
		return false
	}
	kee.requested[ver] = now
	return true
}

// HandlePull replies with the latest version. It is a wick.PeerHandler.
func (kee *Keeper) HandlePull(_ context.Context, _ wick.EntryID, body []byte) (any, error) {
	var msg pullBody
	if err := peer.Decode(body, &msg); err != nil {
		return nil, err
	}
	kee.mu.Lock()
	sgd := kee.signed
	kee.mu.Unlock()
	rep := pullReply{Version: sgd.Version}
	if sgd.Version > msg.Version {
		rep.Signed = &sgd
	}
	return rep, nil
}

// PullIfNewer pulls from a member that has a higher version. It is called for
// heartbeats and for replies to pushes.
func (kee *Keeper) PullIfNewer(from wick.Member) {
	if from.Bundle <= kee.latest().Version || from.Address == "" {
		return
	}
	kee.mu.Lock()
	busy := kee.pulling[from.ID] || len(kee.pulling) >= maxPulls
	if !busy {
		kee.pulling[from.ID] = true
	}
	kee.mu.Unlock()
	if busy {
		return
	}
	done := func() {
		kee.mu.Lock()
		defer kee.mu.Unlock()
		delete(kee.pulling, from.ID)
	}
	started := kee.background(func(ctx context.Context) {
		defer done()
		kee.pull(ctx, from)
	})
	if !started {
		done()
	}
}

// pull requests the bundle of a member and returns whether it replied.
func (kee *Keeper) pull(ctx context.Context, mem wick.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var rep pullReply
	if kee.peers.Call(ctx, mem, wick.MsgBundlePull, pullBody{Version: kee.latest().Version}, &rep) != nil {
		return false
	}
	if rep.Signed != nil && kee.tryAdopt(*rep.Signed, string(mem.ID)) != nil {
		return true
	}
	kee.mu.Lock()
	kee.start.peerReplied = kee.start.peerReplied || rep.Version > 0
	kee.mu.Unlock()
	kee.checkReady()
	return true
}

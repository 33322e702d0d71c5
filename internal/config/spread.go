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
	// sourcePlatform names the platform as the source of a bundle; a peer is
	// named by its id.
	sourcePlatform = "platform"
	// pushTo is the number of peers that an entry pushes a new version to.
	pushTo = 4
	// maxPulls bounds the peers that are asked at once for a higher version.
	maxPulls = 3
	// exchangeTimeout bounds a push or pull.
	exchangeTimeout = 2 * time.Second
	// wantedFor is how long a document that was asked for is not asked for
	// again, because it is on its way.
	wantedFor = time.Second
)

// pushBody is the body of a bundlePush. A push first offers the version only:
// an entry gets up to four offers of a version and needs its document once.
type pushBody struct {
	Version wick.BundleVersion `cbor:"1,keyasint"`
	Signed  *bundle.Signed     `cbor:"2,keyasint,omitempty"`
}

// pushReply is the reply to a bundlePush.
type pushReply struct {
	Held wick.BundleVersion `cbor:"1,keyasint"`
	// Want asks for the document.
	Want bool `cbor:"2,keyasint,omitempty"`
}

// pullBody is the body of a bundlePull.
type pullBody struct {
	Held wick.BundleVersion `cbor:"1,keyasint"`
}

// pullReply is the reply to a bundlePull.
type pullReply struct {
	Held wick.BundleVersion `cbor:"1,keyasint"`
	// Signed is set if Held is higher than the asker's version.
	Signed *bundle.Signed `cbor:"2,keyasint,omitempty"`
}

// background runs fn unless the keeper has stopped, and returns whether it does.
func (kee *Keeper) background(fn func(ctx context.Context)) bool {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	if kee.ctx == nil || kee.ctx.Err() != nil || kee.bare.alone {
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

// push offers a new version to some peers that are not known to hold it. The
// caller holds adopting.
func (kee *Keeper) push(sgd bundle.Signed, source string) {
	mbs := kee.view.Live(kee.clock.Now())
	kee.rnd.Shuffle(len(mbs), func(one, two int) { mbs[one], mbs[two] = mbs[two], mbs[one] })
	left := pushTo
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
	mem.Bundle = rep.Held
	kee.Heard(mem)
}

// HandlePush takes a pushed version. It is a wick.PeerHandler.
func (kee *Keeper) HandlePush(_ context.Context, from wick.EntryID, body []byte) (any, error) {
	var msg pushBody
	if err := peer.Decode(body, &msg); err != nil {
		return nil, err
	}
	if msg.Signed != nil {
		if msg.Signed.Version != msg.Version {
			return nil, eris.Wrap(wick.ErrInvalid, "push of two versions")
		}
		err := kee.offer(*msg.Signed, string(from))
		kee.advance()
		return pushReply{Held: kee.held().Version}, err
	}
	rep := pushReply{Held: kee.held().Version}
	rep.Want = msg.Version > rep.Held && kee.want(msg.Version)
	return rep, nil
}

// want tells whether to ask for a document, which is so if nobody was asked
// for it recently.
func (kee *Keeper) want(ver wick.BundleVersion) bool {
	now := kee.clock.Now()
	kee.mu.Lock()
	defer kee.mu.Unlock()
	for old, when := range kee.wanted {
		if now.Sub(when) >= wantedFor {
			delete(kee.wanted, old)
		}
	}
	if _, asked := kee.wanted[ver]; asked || len(kee.wanted) >= maxRefused {
		return false
	}
	kee.wanted[ver] = now
	return true
}

// HandlePull answers with the held version. It is a wick.PeerHandler.
func (kee *Keeper) HandlePull(_ context.Context, _ wick.EntryID, body []byte) (any, error) {
	var msg pullBody
	if err := peer.Decode(body, &msg); err != nil {
		return nil, err
	}
	kee.mu.Lock()
	sgd := kee.signed
	kee.mu.Unlock()
	rep := pullReply{Held: sgd.Version}
	if sgd.Version > msg.Held {
		rep.Signed = &sgd
	}
	return rep, nil
}

// Heard pulls from a member that holds a higher version. Heartbeats and replies
// to pushes call it.
func (kee *Keeper) Heard(from wick.Member) {
	if from.Bundle <= kee.held().Version || from.Address == "" {
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
		kee.ask(ctx, from)
	})
	if !started {
		done()
	}
}

// ask pulls from a member and returns whether it answered.
func (kee *Keeper) ask(ctx context.Context, mem wick.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var rep pullReply
	if kee.peers.Call(ctx, mem, wick.MsgBundlePull, pullBody{Held: kee.held().Version}, &rep) != nil {
		return false
	}
	if rep.Signed != nil && kee.offer(*rep.Signed, string(mem.ID)) != nil {
		return true
	}
	kee.mu.Lock()
	kee.start.answered = kee.start.answered || rep.Held > 0
	kee.mu.Unlock()
	kee.advance()
	return true
}

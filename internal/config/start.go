package config

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// platformGrace is how long the start sequence waits for the platform
	// before peers alone are enough.
	platformGrace = 5 * time.Second
	// peerGrace is how long it waits for the slowest peer.
	peerGrace = 2 * time.Second
	// askTimeout ends one attempt to ask a peer, so that a lost message leaves
	// time for others; askPause follows it.
	askTimeout = 600 * time.Millisecond
	askPause   = 50 * time.Millisecond
	// askEvery spaces the questions to peers until the entry is ready.
	askEvery = time.Second
)

// A startup is the state of the start sequence. An entry is ready when it
// holds a bundle, every peer was asked, and the platform or a peer confirmed
// that there is something to serve. Keeper.mu guards it.
type startup struct {
	ready bool
	// begun is the start of Run.
	begun time.Time
	// asked is set after the first round of questions to peers.
	asked bool
	// answered is set when a peer with a bundle answered.
	answered bool
	// current is set when the platform showed all its versions.
	current bool
	// failed is set when the platform did not answer.
	failed bool
}

// advance ends the start sequence if its conditions hold.
func (kee *Keeper) advance() {
	now := kee.clock.Now()
	kee.mu.Lock()
	defer kee.mu.Unlock()
	sta := &kee.start
	if sta.ready || kee.active.Version == 0 || sta.begun.IsZero() {
		return
	}
	platformOut := sta.failed && !sta.current || now.Sub(sta.begun) >= platformGrace
	if kee.bare.hasty || sta.asked && (sta.current || sta.answered && platformOut) {
		sta.ready = true
		logrus.WithField("version", kee.active.Version).Info("config: ready")
	}
}

// Run follows the platform and the peers until ctx ends.
func (kee *Keeper) Run(ctx context.Context) {
	kee.mu.Lock()
	kee.ctx = ctx
	kee.start.begun = kee.clock.Now()
	kee.mu.Unlock()
	var loops sync.WaitGroup
	loops.Go(func() { kee.askLoop(ctx) })
	loops.Go(func() { kee.follow(ctx) })
	loops.Wait()
	// Exchanges that were started before ctx ended are counted once mu is free.
	kee.mu.Lock()
	kee.mu.Unlock() //nolint:staticcheck // an empty critical section, see above
	kee.work.Wait()
}

// askLoop asks all peers for their bundle until the entry is ready.
func (kee *Keeper) askLoop(ctx context.Context) {
	for !kee.isReady() {
		kee.askAll(ctx)
		kee.mu.Lock()
		kee.start.asked = true
		kee.mu.Unlock()
		kee.advance()
		if !sleep(ctx, askEvery) {
			return
		}
	}
}

func (kee *Keeper) isReady() bool {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	return kee.start.ready
}

// askAll asks every known member at once, suspect ones included.
func (kee *Keeper) askAll(ctx context.Context) {
	if kee.bare.alone {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerGrace)
	defer cancel()
	var calls sync.WaitGroup
	for _, mem := range kee.view.Others() {
		calls.Go(func() {
			for !kee.ask(ctx, mem) && sleep(ctx, askPause) {
				count("asksRepeated")
			}
		})
	}
	calls.Wait()
}

// sleep waits and returns whether the context is still live.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

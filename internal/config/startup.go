package config

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// platformTimeout is how long the start sequence waits for the platform
	// before peers alone are enough.
	platformTimeout = 5 * time.Second
	// peerTimeout bounds one round of pulls, including retries.
	peerTimeout = 2 * time.Second
	// pullTimeout bounds one pull, so that a lost message leaves time for
	// retries; pullRetryInterval is the delay before a retry.
	pullTimeout       = 600 * time.Millisecond
	pullRetryInterval = 50 * time.Millisecond
	// pullInterval is the delay between rounds of pulls until the entry is ready.
	pullInterval = time.Second
)

// A startup is the state of the start sequence. An entry is ready when it has a
// bundle, has sent pulls to every peer, and has either read the current
// versions from the platform or, if the platform failed or platformTimeout has
// expired, received a reply from a peer that has a bundle. Keeper.mu guards it.
type startup struct {
	ready bool
	// startedAt is the time at which Run started.
	startedAt time.Time
	// peersPolled is set after the first round of pulls.
	peersPolled bool
	// peerReplied is set when a peer that has a bundle replied.
	peerReplied bool
	// platformCurrent is set when all versions of the platform were read.
	platformCurrent bool
	// platformFailed is set when a call to the platform failed.
	platformFailed bool
}

// checkReady marks the entry as ready if the conditions of startup hold.
func (kee *Keeper) checkReady() {
	now := kee.clock.Now()
	kee.mu.Lock()
	defer kee.mu.Unlock()
	sta := &kee.start
	if sta.ready || kee.active.Version == 0 || sta.startedAt.IsZero() {
		return
	}
	platformDown := sta.platformFailed && !sta.platformCurrent || now.Sub(sta.startedAt) >= platformTimeout
	if kee.ablation.skipStartup || sta.peersPolled && (sta.platformCurrent || sta.peerReplied && platformDown) {
		sta.ready = true
		logrus.WithField("version", kee.active.Version).Info("config: ready")
	}
}

// Run reads bundles from the platform and peers until ctx is canceled.
func (kee *Keeper) Run(ctx context.Context) {
	kee.mu.Lock()
	kee.ctx = ctx
	kee.start.startedAt = kee.clock.Now()
	kee.mu.Unlock()
	var loops sync.WaitGroup
	loops.Go(func() { kee.pullLoop(ctx) })
	loops.Go(func() { kee.follow(ctx) })
	loops.Wait()
	// Once mu is free, work counts all exchanges started before ctx was canceled.
	kee.mu.Lock()
	kee.mu.Unlock() //nolint:staticcheck // an empty critical section, see above
	kee.work.Wait()
}

// pullLoop pulls from all peers until the entry is ready.
func (kee *Keeper) pullLoop(ctx context.Context) {
	for !kee.isReady() {
		kee.pullAll(ctx)
		kee.mu.Lock()
		kee.start.peersPolled = true
		kee.mu.Unlock()
		kee.checkReady()
		if !sleep(ctx, pullInterval) {
			return
		}
	}
}

func (kee *Keeper) isReady() bool {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	return kee.start.ready
}

// pullAll pulls from every known member concurrently, suspect ones included.
func (kee *Keeper) pullAll(ctx context.Context) {
	if kee.ablation.noPeers {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, mem := range kee.view.Others() {
		calls.Go(func() {
			for !kee.pull(ctx, mem) && sleep(ctx, pullRetryInterval) {
				count("asksRepeated")
			}
		})
	}
	calls.Wait()
}

// sleep blocks for the pause or until ctx is canceled, and returns whether ctx is
// still active.
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

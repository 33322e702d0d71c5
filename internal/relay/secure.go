package relay

import (
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A securedRetry is a further attempt of a request that was granted before the current
// one ended. Its zero value holds none.
type securedRetry struct {
	mu  sync.Mutex
	tgt *target
	// trial is set if the attempt is the trial of a blocked prompt.
	trial bool
}

// take returns the target, nil if there is none, and removes it.
func (sec *securedRetry) take() *target {
	sec.mu.Lock()
	defer sec.mu.Unlock()
	tgt := sec.tgt
	sec.tgt = nil
	return tgt
}

// held reports whether there is a target.
func (sec *securedRetry) held() bool {
	sec.mu.Lock()
	defer sec.mu.Unlock()
	return sec.tgt != nil
}

// isTrial reports whether there is a target, for the trial of a blocked prompt.
func (sec *securedRetry) isTrial() bool {
	sec.mu.Lock()
	defer sec.mu.Unlock()
	return sec.tgt != nil && sec.trial
}

// release returns the target to the pool if there is one.
func (sec *securedRetry) release() {
	if tgt := sec.take(); tgt != nil {
		tgt.release()
	}
}

// secureRetry secures another attempt at an endpoint that is not in tried and takes it at
// once, and reports whether it could. resumed is whether the answer has begun. It is
// called while the current attempt goes on.
func (req *request) secureRetry(tried []wick.VMID, resumed bool) bool {
	if !req.hasTime() || req.srv.cfg.Budget.Available() < 1 {
		return false
	}
	tgt, err := req.choose(tried, resumed, 0)
	if err != nil {
		return false
	}
	// Checked late, since it starts the trial of a block that is due.
	vdc := req.srv.cfg.Crashes.Check(req.prompt)
	if vdc.Blocked || !req.srv.cfg.Budget.Take() {
		tgt.release()
		return false
	}
	req.secured.mu.Lock()
	defer req.secured.mu.Unlock()
	req.secured.tgt, req.secured.trial = tgt, vdc.Trial
	return true
}

// takeSecured returns the endpoint of a secured attempt, nil if there is none or the
// endpoint can't be used any more.
func (req *request) takeSecured() *target {
	tgt := req.secured.take()
	if tgt == nil {
		return nil
	}
	select {
	case <-tgt.Leaving:
		tgt.release()
		return nil
	default:
	}
	if !tgt.Sendable(time.Now()) {
		tgt.release()
		return nil
	}
	return tgt
}

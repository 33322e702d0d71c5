package stream

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A slowAdmitter admits after a minute.
type slowAdmitter struct{ *world }

func (slowAdmitter) Admit(ctx context.Context, _ wick.AdmitQuery) (func(wick.Outcome), error) {
	if !wait(ctx, time.Minute) {
		return nil, ctx.Err()
	}
	return func(wick.Outcome) {}, nil
}

// Guards against a drain that hands over a request which was never admitted, or
// that fails because of one (simulation, announced, seed 145).
func TestDrainRefusesQueuedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wld := newWorld(1, faults{}, ablation{})
		tab := wld.entries[0].tab
		tab.cfg.Admitter = slowAdmitter{wld}
		errs := make(chan error, 2)
		go func() {
			_, err := tab.Accept(t.Context(), Head{MaxTokens: 1})
			errs <- err
		}()
		go func() {
			_, err := tab.Call(t.Context(), PlainQuery{})
			errs <- err
		}()
		synctest.Wait()
		if err := tab.Drain(t.Context(), 6*time.Second); err != nil {
			t.Error(err)
		}
		for range 2 {
			err := <-errs
			var fai *FailError
			if !errors.As(err, &fai) || !errors.Is(err, wick.ErrLeaving) || fai.Executed != ExecutedNo {
				t.Errorf("got %v", err)
			}
		}
		for _, ent := range wld.entries {
			ent.kill()
			ent.tab.Close()
		}
		time.Sleep(time.Minute)
	})
}

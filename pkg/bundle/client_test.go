package bundle_test

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

func newClient(sto wick.Store) *bundle.Client {
	return &bundle.Client{Store: sto, Keys: operatorKeys("ann", "ben", "cara"), Clock: wick.SystemClock{}}
}

// TestConcurrentSubmit guards against two concurrent submissions that both
// succeed, a conflict that doesn't name the winner, and a conflict reported to
// the winner because its response was lost.
func TestConcurrentSubmit(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			sto := &fake.Store{}
			sto.SetFaults(fake.StoreFaults{LoseReplies: 0.5, StaleReads: 0.3, LatencyMillis: 5}, seed)
			cli := newClient(sto)
			type result struct {
				name string
				err  error
			}
			results := make(chan result)
			for _, name := range []string{"ann", "ben", "cara"} {
				go func() {
					_, err := cli.Submit(t.Context(), signer(name), sampleBundle(1))
					results <- result{name, err}
				}()
			}
			var winner string
			var losers []error
			for range 3 {
				if res := <-results; res.err == nil {
					if winner != "" {
						t.Fatalf("seed %d: %s and %s both won", seed, winner, res.name)
					}
					winner = res.name
				} else {
					losers = append(losers, res.err)
				}
			}
			for _, err := range losers {
				var cfe *bundle.ConflictError
				if !errors.As(err, &cfe) || string(cfe.Winner) != winner || !errors.Is(err, wick.ErrConflict) {
					t.Fatalf("seed %d: winner %q, loser got %v", seed, winner, err)
				}
			}
		})
	}
}

// TestUndo guards against an undo that changes content, lowers the version or
// restores a version that never took effect.
func TestUndo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cli := t.Context(), newClient(&fake.Store{})
		for ver := wick.BundleVersion(1); ver <= 2; ver++ {
			bnd := sampleBundle(ver)
			bnd.Customers[0].Weight = int(ver)
			if _, err := cli.Submit(ctx, signer("ann"), bnd); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := cli.Undo(ctx, signer("ben"), 1); !errors.Is(err, wick.ErrInvalid) {
			t.Fatalf("undo to an unsigned version: %v", err)
		}
		if err := cli.Sign(ctx, signer("ann"), 1); !errors.Is(err, wick.ErrInvalid) {
			t.Fatalf("own signature: %v", err)
		}
		if err := cli.Sign(ctx, signer("ben"), 1); err != nil {
			t.Fatal(err)
		}
		var cfe *bundle.ConflictError
		if err := cli.Sign(ctx, signer("cara"), 1); !errors.As(err, &cfe) || cfe.Winner != "ben" {
			t.Fatalf("second signature: %v", err)
		}
		got, err := cli.Undo(ctx, signer("cara"), 1)
		if err != nil || got.Version != 3 {
			t.Fatal(got, err)
		}
		want, _ := cli.Show(ctx, 1)
		got.Version, got.Replaces, got.WriteID = 1, 0, want.Bundle.WriteID
		if !reflect.DeepEqual(got, want.Bundle) {
			t.Fatalf("got %+v, want %+v", got, want.Bundle)
		}
		time.Sleep(2 * time.Hour)
		if got, err = cli.Undo(ctx, signer("cara"), 1); err != nil || len(got.Moves) != 0 {
			t.Fatalf("undo after the deadline: %+v, %v", got.Moves, err)
		}
		all, err := cli.List(ctx)
		if err != nil || fmt.Sprint(len(all), " ", all[0].Signer, "/", all[1].Signer, "/", all[2].Submitter) != "4 ben//cara" {
			t.Fatal(all, err)
		}
	})
}

// TestStoreOutage guards against a client that hangs or reports success during
// an outage of the store.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sto := &fake.Store{}
		sto.SetFaults(fake.StoreFaults{Down: true}, 1)
		if _, err := newClient(sto).Submit(context.Background(), signer("ann"), sampleBundle(1)); !errors.Is(err, wick.ErrUnavailable) {
			t.Fatal(err)
		}
	})
}

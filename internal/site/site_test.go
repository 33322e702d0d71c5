package site_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/internal/site"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/client"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func initialBundle() bundle.Bundle {
	return bundle.Bundle{
		Version: 1, LedgerShards: 4,
		Services: []bundle.Service{
			{
				Name: "quotes", Kind: bundle.KindModel, Versions: []wick.ModelVersion{"v1"}, Active: "v1",
				Targets: bundle.Targets{FirstTokenMillis: 790, BetweenTokensMillis: 35},
			},
			{
				Name: "orders", Kind: bundle.KindPlain, Versions: []wick.ModelVersion{"o1"}, Active: "o1",
				Calls:   []bundle.Call{{Method: "GET", Path: "/", Idempotent: true}},
				Targets: bundle.Targets{ReplyMillis: 500},
			},
		},
		Classes: []bundle.Class{
			{Name: "gpu", Service: "quotes", Slots: 8, ReportsNotExecuted: true},
			{Name: "cpu", Service: "orders", Slots: 8, ReportsNotExecuted: true},
		},
		Customers: []bundle.Customer{{Name: "quebec", KeyHash: keyHash("secret"), Weight: 1}},
	}
}

func plan() site.Plan {
	pln := site.Plan{Entries: []wick.Zone{"a", "a", "b", "b", "c"}}
	for _, zone := range []wick.Zone{"a", "b", "c"} {
		pln.Engines = append(pln.Engines, &fake.Engine{
			Host:       fake.Host{VM: wick.VM{ID: wick.VMID("gpu-" + zone), Zone: zone, Class: "gpu", Service: "quotes", Versions: []wick.ModelVersion{"v1"}}},
			DecodeTime: 5 * time.Millisecond,
		})
		pln.Plains = append(pln.Plains, &fake.Plain{
			Host: fake.Host{VM: wick.VM{ID: wick.VMID("cpu-" + zone), Zone: zone, Class: "cpu", Service: "orders", Versions: []wick.ModelVersion{"o1"}}},
		})
	}
	return pln
}

// startSite starts a site with the initial bundle in force.
func startSite(t *testing.T, pln site.Plan) *site.Site {
	t.Helper()
	sit, err := site.Start(pln)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sit.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	if err := sit.Roll(ctx, initialBundle()); err != nil {
		t.Fatal(err)
	}
	startTime := time.Now()
	if err := sit.WaitVersion(ctx, 1); err != nil {
		t.Fatal(err)
	}
	t.Logf("version 1 in force everywhere after %v", time.Since(startTime))
	return sit
}

// TestEndToEnd sends a model call and a repeated plain call through a complete
// site. It guards against components that work only in isolation.
func TestEndToEnd(t *testing.T) {
	sit := startSite(t, plan())
	cli := sit.Client("secret")
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	t.Run("model", func(t *testing.T) {
		ans, err := cli.Complete(ctx, client.Completion{Model: "quotes", Prompt: "edging for a drive", MaxTokens: 20}, nil)
		if err != nil {
			t.Fatal(err)
		}
		if ans.Tokens != 20 {
			t.Errorf("got %d tokens, want 20", ans.Tokens)
		}
	})
	t.Run("plain", func(t *testing.T) {
		call := client.Call{Service: "orders", Method: "POST", Path: "/book", Key: "k1", Body: []byte("{}"), Retry: true}
		first, err := cli.Do(ctx, call)
		if err != nil {
			t.Fatal(err)
		}
		second, err := cli.Do(ctx, call)
		if err != nil {
			t.Fatal(err)
		}
		if !second.Replayed || string(first.Body) != string(second.Body) {
			t.Errorf("repeated call got %+v, want the recorded answer %+v", second, first)
		}
	})
}

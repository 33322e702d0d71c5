package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/entry"
	"github.com/wagtailwick/wagtailwick/internal/move"
	"github.com/wagtailwick/wagtailwick/internal/store"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// statusPollInterval is shorter than the 2 s between writes of a zone's status.
const statusPollInterval = 200 * time.Millisecond

func bundleStatusCommand(app *kingpin.Application, ev *env) (string, func() error) {
	cmd := bundleGroup(app).Command("status", "Show each move with its progress, its evidence and whether it is done or undone, "+
		"and the active version of each entry, as reported by the zones.\n\n"+
		"Example: wagtailwick bundle status --store http://127.0.0.1:6001 --wait 7 --entries 5")
	url := cmd.Flag("store", "URL of the platform's object API.").Required().String()
	wait := cmd.Flag("wait", "Wait until this version or a higher one is active on serving entries.").Uint64()
	entries := cmd.Flag("entries", "Number of entries to wait for.").Default("1").Int()
	timeout := cmd.Flag("timeout", "How long to wait.").Default("30s").Duration()
	return cmd.FullCommand(), func() error {
		ctx, cancel := context.WithTimeout(context.Background(), *timeout)
		defer cancel()
		sto := &store.Client{URL: *url}
		for {
			zones, err := readStatus(ctx, sto)
			if err == nil && (*wait == 0 || countActive(zones, wick.BundleVersion(*wait)) >= *entries) {
				writeStatus(ev.stdout, zones)
				return printMoves(ctx, ev.stdout, sto)
			}
			if *wait == 0 {
				return err
			}
			select {
			case <-time.After(statusPollInterval):
			case <-ctx.Done():
				writeStatus(ev.stdout, zones)
				return eris.Errorf("version %d not in force on %d entries after %v", *wait, *entries, *timeout)
			}
		}
	}
}

func readStatus(ctx context.Context, sto *store.Client) ([]entry.ZoneStatus, error) {
	objs, _, err := sto.List(ctx, wick.KindStatus)
	if err != nil {
		return nil, err
	}
	zones := make([]entry.ZoneStatus, 0, len(objs))
	for _, obj := range objs {
		var zst entry.ZoneStatus
		if err := json.Unmarshal(obj.Data, &zst); err != nil {
			return nil, eris.Wrapf(err, "decode status of zone %s", obj.Key.Name)
		}
		zones = append(zones, zst)
	}
	return zones, nil
}

// countActive counts the serving entries with the version or a higher one.
func countActive(zones []entry.ZoneStatus, ver wick.BundleVersion) int {
	num := 0
	for _, zst := range zones {
		for _, mem := range zst.Entries {
			if mem.State == wick.EntryServing && mem.Bundle >= ver {
				num++
			}
		}
	}
	return num
}

func writeStatus(out io.Writer, zones []entry.ZoneStatus) {
	for _, zst := range zones {
		for _, mem := range zst.Entries {
			confirmed := "confirmed"
			if !mem.Confirmed {
				confirmed = "unconfirmed"
			}
			fmt.Fprintf(out, "zone %s entry %s %s version %d %s\n", zst.Zone, mem.ID, mem.State, mem.Bundle, confirmed)
		}
	}
}

// printMoves prints the moves of all bundle versions with their evidence.
func printMoves(ctx context.Context, out io.Writer, sto wick.Store) error {
	objs, _, err := sto.List(ctx, wick.KindMove)
	if err != nil {
		return eris.Wrap(err, "read moves")
	}
	for _, obj := range objs {
		rec, err := move.Parse(obj)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "move %s: %s, %s from %s to %s, share %.3f, since %s: %s\n",
			rec.Move, rec.State, rec.Service, rec.From, rec.To, rec.Share, rec.Since.Format(time.TimeOnly), rec.Reason)
		if rec.Evidence != "" {
			fmt.Fprintf(out, "  evidence: %s\n", rec.Evidence)
		}
	}
	return nil
}

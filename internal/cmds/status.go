package cmds

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/entry"
	"github.com/wagtailwick/wagtailwick/internal/move"
	"github.com/wagtailwick/wagtailwick/internal/store"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

func bundleStatusCommand(app *kingpin.Application, ev *env) (string, func() error) {
	cmd := bundleParent(app).Command("status", "Show each move with its progress, its evidence and whether it is done or undone, "+
		"and which entries have which version in force.\n\nExample: wagtailwick bundle status --store http://127.0.0.1:6001")
	url := cmd.Flag("store", "URL of the platform's object API.").Required().String()
	return cmd.FullCommand(), func() error {
		ctx, cancel := context.WithTimeout(context.Background(), bundleTimeout)
		defer cancel()
		cli := &store.Client{URL: *url}
		if err := printMoves(ctx, ev, cli); err != nil {
			return err
		}
		return printEntries(ctx, ev, cli)
	}
}

func printMoves(ctx context.Context, ev *env, sto wick.Store) error {
	objs, _, err := sto.List(ctx, wick.KindMove)
	if err != nil {
		return eris.Wrap(err, "read moves")
	}
	for _, obj := range objs {
		rec, err := move.Parse(obj)
		if err != nil {
			return err
		}
		fmt.Fprintf(ev.stdout, "move %s: %s, %s from %s to %s, share %.3f, since %s: %s\n",
			rec.Move, rec.State, rec.Service, rec.From, rec.To, rec.Share, rec.Since.Format("15:04:05"), rec.Reason)
		if rec.Evidence != "" {
			fmt.Fprintf(ev.stdout, "  evidence: %s\n", rec.Evidence)
		}
	}
	return nil
}

func printEntries(ctx context.Context, ev *env, sto wick.Store) error {
	objs, _, err := sto.List(ctx, wick.KindStatus)
	if err != nil {
		return eris.Wrap(err, "read status")
	}
	for _, obj := range objs {
		var zst entry.ZoneStatus
		if err := json.Unmarshal(obj.Data, &zst); err != nil {
			return eris.Wrapf(err, "decode status of zone %s", obj.Key.Name)
		}
		for _, mem := range zst.Entries {
			confirmed := "confirmed"
			if !mem.Confirmed {
				confirmed = "unconfirmed"
			}
			fmt.Fprintf(ev.stdout, "zone %s entry %s: %s, version %d %s, at %s\n",
				zst.Zone, mem.ID, mem.State, mem.Bundle, confirmed, zst.At.Format("15:04:05"))
		}
	}
	return nil
}

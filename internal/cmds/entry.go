package cmds

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/entry"
	"github.com/wagtailwick/wagtailwick/internal/setup"
)

func entryCommand(app *kingpin.Application, ev *env) (string, func() error) {
	cmd := app.Command("entry", "Run an entry. SIGTERM and SIGINT drain it: requests in flight finish or move to a peer.\n\n"+
		"Example: wagtailwick entry --settings entry-a1.json")
	file := cmd.Flag("settings", "Settings file.").Required().ExistingFile()
	return cmd.FullCommand(), func() error {
		data, err := os.ReadFile(*file)
		if err != nil {
			return eris.Wrap(err, "read settings")
		}
		set, faults := setup.Parse(data)
		for _, flt := range faults {
			fmt.Fprintf(ev.stderr, "%s: %s: %s\n", *file, flt.Path, flt.Message)
		}
		if len(faults) > 0 {
			return errFaults
		}
		if err := set.Log.Configure(ev.stderr); err != nil {
			return eris.Wrap(err, "configure log")
		}
		// Hertz logs each start and stop of a server; redirect it to the
		// configured logger.
		hlog.SetOutput(logrus.StandardLogger().WriterLevel(logrus.DebugLevel))
		ent := entry.New(set)
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		defer signal.Stop(signals)
		go func() {
			<-signals
			ent.Drain(0)
		}()
		return ent.Run(context.Background())
	}
}

package cmds

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/slope"
)

func measureCommand(app *kingpin.Application, ev *env) (string, func() error) {
	cmd := app.Command("measure", "Measure the cost of control and traffic as a site grows. It starts entries and stand-ins as processes on loopback, "+
		"writes JSON files and plots, and stops these processes.\n\nExample: wagtailwick measure --out docs/capacity --part entries --entries 5 --entries 20")
	run := &slope.Run{Progress: ev.stdout}
	cmd.Flag("out", "Folder for the results; it must exist.").Required().ExistingDirVar(&run.Out)
	cmd.Flag("part", "Measurement to run; may be repeated; all if missing.").EnumsVar(&run.Parts, slope.Parts()...)
	cmd.Flag("entries", "Number of entries to measure at; may be repeated.").Default("5", "10", "20", "40", "80").IntsVar(&run.Entries)
	cmd.Flag("endpoints", "Number of endpoints in the list to measure at; may be repeated.").Default("12", "100", "1000", "10000").IntsVar(&run.Endpoints)
	cmd.Flag("settle", "Wait before each measurement.").Default("12s").DurationVar(&run.Settle)
	cmd.Flag("window", "Length of each measurement.").Default("15s").DurationVar(&run.Window)
	cmd.Flag("repeat", "Number of repetitions of each measurement.").Default("2").IntVar(&run.Repeat)
	return cmd.FullCommand(), func() error {
		binary, err := os.Executable()
		if err != nil {
			return eris.Wrap(err, "find own executable")
		}
		run.Binary = binary
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		return run.Do(ctx)
	}
}

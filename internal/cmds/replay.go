package cmds

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/replay"
)

func replayCommand(app *kingpin.Application, ev *env) (string, func() error) {
	cmd := app.Command("replay", "Replay a recorded trace on a separate site on loopback and check its expected outcomes. "+
		"The exit code is 1 if one is missed.\n\nExample: wagtailwick replay internal/replay/testdata/lachance.jsonl")
	file := cmd.Arg("trace", "Trace in JSON lines.").Required().ExistingFile()
	quiet := cmd.Flag("quiet", "Print the counts only.").Bool()
	logs := cmd.Flag("logs", "Print the logs of the entries.").Bool()
	return cmd.FullCommand(), func() error {
		src, err := os.Open(*file)
		if err != nil {
			return eris.Wrap(err, "open trace")
		}
		trc, err := replay.Read(src)
		if cerr := src.Close(); err == nil {
			err = cerr
		}
		if err != nil {
			return err
		}
		out := ev.stdout
		if *quiet {
			out = io.Discard
		}
		logrus.SetOutput(io.Discard)
		if *logs {
			logrus.SetOutput(ev.stderr)
		}
		res, err := replay.Run(context.Background(), trc, out)
		if res != nil {
			fmt.Fprintf(ev.stdout, "%s: %v, outcomes missed: %d\n", trc.Header.Name, res.Fates, len(res.Unmet))
			for _, text := range res.Unmet {
				fmt.Fprintf(ev.stdout, "missed: %s\n", text)
			}
		}
		return err
	}
}

package cmds

import (
	"bytes"
	"context"
	_ "embed"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/replay"
)

//go:embed demo.jsonl
var demoTrace []byte

func demoCommand(app *kingpin.Application, ev *env) (string, func() error) {
	cmd := app.Command("demo", "Run a whole site in one process on loopback: calls of both kinds, a rollout, "+
		"a bad version that is rolled back, and an availability zone that is reclaimed. It prints the outcome of every request and exits "+
		"in less than a minute.\n\nExample: wagtailwick demo")
	logs := cmd.Flag("logs", "Print the logs of the entries.").Bool()
	return cmd.FullCommand(), func() error {
		trc, err := replay.Read(bytes.NewReader(demoTrace))
		if err != nil {
			return err
		}
		logrus.SetOutput(io.Discard)
		if *logs {
			logrus.SetOutput(ev.stderr)
		}
		began := time.Now()
		res, err := replay.Run(context.Background(), trc, ev.stdout)
		if res != nil {
			fmt.Fprintf(ev.stdout, "demo ended after %.0f s: calls %v, stated outcomes missed: %d\n",
				time.Since(began).Seconds(), res.Fates, len(res.Unmet))
		}
		return err
	}
}

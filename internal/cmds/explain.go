package cmds

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/cause"
	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

func explainCommand(app *kingpin.Application, ev *env) (string, func() error) {
	cmd := app.Command("explain", "Explain the outcome of a request from the logs of all entries.\n\n"+
		"Example: wagtailwick explain 9c41d07be2a35f68 /var/log/entries/*.log")
	rid := cmd.Arg("id", "Id of the request.").Required().String()
	files := cmd.Arg("file", "Log files, preferably of all entries.").Required().ExistingFiles()
	return cmd.FullCommand(), func() error {
		var lines []cause.Line
		for _, name := range *files {
			read, skipped, err := readLog(name)
			if err != nil {
				return err
			}
			if skipped > 0 {
				fmt.Fprintf(ev.stderr, "%s: %d lines are not log lines of an entry\n", name, skipped)
			}
			lines = append(lines, read...)
		}
		fnd, err := cause.Explain(lines, wick.RequestID(*rid))
		if err != nil {
			return err //nolint:wrapcheck // the error contains the request id
		}
		return printFinding(ev.stdout, fnd)
	}
}

// readLog reads the log of one or more entries.
func readLog(name string) (lines []cause.Line, skipped int, err error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, 0, eris.Wrap(err, "read log")
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return cause.Read(file, filepath.Base(name))
}

// printFinding prints a finding as text.
func printFinding(out io.Writer, fnd *cause.Finding) error {
	prn := &printer{out: out}
	prn.printf("%s: %s\n\nthe request:\n", fnd.Kind, fnd.Text)
	prn.lines(fnd.RequestLines)
	if len(fnd.Related) > 0 {
		prn.printf("\nrelated lines:\n")
		prn.lines(fnd.Related)
	}
	if fnd.Metric != "" {
		prn.printf("\n%d other requests in these logs had the same outcome; metric %s\n", fnd.SameOutcome, fnd.Metric)
	}
	return prn.err
}

// A printer formats to out and stops at the first error.
type printer struct {
	out io.Writer
	err error
}

func (prn *printer) printf(format string, args ...any) {
	if prn.err == nil {
		_, prn.err = fmt.Fprintf(prn.out, format, args...)
	}
}

func (prn *printer) lines(lines []cause.Line) {
	for idx := range lines {
		lin := &lines[idx]
		prn.printf("  %s %s %s\n", lin.At.Format(logs.TimeFormat), lin.Process, lin.Raw)
	}
}

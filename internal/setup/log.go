package setup

import (
	"io"
	"sort"

	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/pkg/bundle"
)

// Configure applies the settings to the standard logger, which writes to out.
func (log Log) Configure(out io.Writer) error {
	level, err := logrus.ParseLevel(log.Level)
	if err != nil {
		return err
	}
	logrus.SetLevel(level)
	logrus.SetOutput(out)
	if log.Format == FormatJSON {
		logrus.SetFormatter(&logrus.JSONFormatter{})
	} else {
		logrus.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	}
	return nil
}

func sortFaults(faults []bundle.Fault) {
	sort.Slice(faults, func(idx, jdx int) bool {
		if faults[idx].Path != faults[jdx].Path {
			return faults[idx].Path < faults[jdx].Path
		}
		return faults[idx].Message < faults[jdx].Message
	})
}

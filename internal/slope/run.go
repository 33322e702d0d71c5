package slope

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	customerKey               = "measure"
	modelService wick.Service = "quotes"
	plainService wick.Service = "orders"
	pollInterval              = 2 * time.Millisecond
	// maxProcesses is the maximum number of processes of a site.
	maxProcesses = 120
	resultMode   = 0o644
)

// A Run configures a run of the measurements. Parts and Progress are optional.
type Run struct {
	// Binary is the wagtailwick program that entries and fake endpoints run.
	Binary string
	// Out is the output folder.
	Out string
	// Parts names the measurements to run, all of Parts() if empty.
	Parts []string
	// Entries and Endpoints are the sizes to measure at.
	Entries   []int
	Endpoints []int
	// Settle is the delay before a measurement, Window its duration and Repeat
	// the number of repetitions.
	Settle time.Duration
	Window time.Duration
	Repeat int
	// Progress receives a line per step.
	Progress io.Writer

	dir string
	rep *Report
}

type part struct {
	name string
	run  func(run *Run, ctx context.Context) error
}

var parts = []part{
	{"entries", (*Run).measureEntries},
	{"endpoints", (*Run).measureEndpoints},
	{"zone", (*Run).measureZone},
	{"bookings", (*Run).measureBookings},
	{"load", (*Run).measureLoad},
	{"memory", (*Run).measureMemory},
}

// Parts returns the names of all measurements.
func Parts() []string {
	out := make([]string, 0, len(parts))
	for _, prt := range parts {
		out = append(out, prt.name)
	}
	return out
}

// Do runs the measurements. Each part replaces <out>/<part>.json and its plots.
func (run *Run) Do(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "measure")
	if err != nil {
		return eris.Wrap(err, "slope: create temporary folder")
	}
	defer os.RemoveAll(dir) //nolint:errcheck // only settings are left behind
	run.dir = dir
	if run.Progress == nil {
		run.Progress = io.Discard
	}
	if err := run.validate(); err != nil {
		return err
	}
	for _, prt := range parts {
		if len(run.Parts) > 0 && !slices.Contains(run.Parts, prt.name) {
			continue
		}
		run.rep = &Report{At: time.Now().UTC(), System: runtime.GOOS + "/" + runtime.GOARCH + " " + runtime.Version(), CPUs: runtime.NumCPU()}
		run.rep.Load[0] = loadAverage()
		if err := prt.run(run, ctx); err != nil {
			return err
		}
		run.rep.Load[1] = loadAverage()
		if err := run.write(prt.name); err != nil {
			return err
		}
	}
	return nil
}

func (run *Run) validate() error {
	for _, num := range run.Entries {
		if num < 1 || num+controlEngines > maxProcesses {
			return eris.Wrapf(wick.ErrInvalid, "slope: number of entries %d is out of range", num)
		}
	}
	for _, name := range run.Parts {
		if !slices.Contains(Parts(), name) {
			return eris.Wrapf(wick.ErrInvalid, "slope: unknown part %q", name)
		}
	}
	return nil
}

// write fits the series of the report and writes the report and its plots.
func (run *Run) write(name string) error {
	run.rep.fit()
	data, err := json.MarshalIndent(run.rep, "", " ")
	if err != nil {
		return eris.Wrap(err, "slope: encode report")
	}
	if err := os.WriteFile(filepath.Join(run.Out, name+".json"), append(data, '\n'), resultMode); err != nil {
		return eris.Wrap(err, "slope: write report")
	}
	for _, ser := range run.rep.Series {
		if err := ser.Draw(run.Out); err != nil {
			return err
		}
		fmt.Fprintf(run.Progress, "%-28s slope %.4g ± %.2g, intercept %.4g ± %.2g, r2 %.3f\n",
			ser.Name, ser.Fit.Slope, ser.Fit.SlopeError, ser.Fit.Intercept, ser.Fit.InterceptError, ser.Fit.R2)
	}
	return nil
}

func (run *Run) logf(format string, args ...any) {
	fmt.Fprintf(run.Progress, time.Now().Format("15:04:05 ")+format+"\n", args...)
}

// sleep waits for a duration. It returns false if ctx ends first.
func sleep(ctx context.Context, dur time.Duration) bool {
	select {
	case <-time.After(dur):
		return true
	case <-ctx.Done():
		return false
	}
}

// sampleBundle returns a bundle about as large as those of current sites.
func sampleBundle(ver wick.BundleVersion) bundle.Bundle {
	sum := sha256.Sum256([]byte(customerKey))
	bnd := bundle.Bundle{
		Version: ver, LedgerShards: 8,
		Services: []bundle.Service{
			{
				Name: modelService, Kind: bundle.KindModel, Versions: []wick.ModelVersion{"v1"}, Active: "v1",
				Targets: bundle.Targets{FirstTokenMillis: 10_000, BetweenTokensMillis: 1000},
			},
			{
				Name: plainService, Kind: bundle.KindPlain, Versions: []wick.ModelVersion{"o1"}, Active: "o1",
				Targets: bundle.Targets{ReplyMillis: 5000},
			},
		},
		Classes: []bundle.Class{
			{Name: "gpu", Service: modelService, Slots: 512, ReportsNotExecuted: true},
			{Name: "cpu", Service: plainService, Slots: 512, ReportsNotExecuted: true},
		},
		Customers: []bundle.Customer{{Name: "measure", KeyHash: hex.EncodeToString(sum[:]), Weight: 1}},
	}
	if ver > 1 {
		bnd.Replaces = ver - 1
	}
	return bnd
}

package bench

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"
)

// A Topic is a benchmark that compares policies.
type Topic struct {
	Name     string
	Policies []Policy
	// Adapt adjusts a workload to the topic.
	Adapt func(wkl *Workload)
	// Rollout runs one move per seed and kind of candidate version.
	Rollout bool
	// Work is the rate of requests per second of a topic that compares predictors of their
	// output, on a load of its own.
	Work float64
}

// Topics lists all comparisons.
var Topics = []Topic{
	{
		Name:     "routing",
		Policies: []Policy{{Name: "predicted"}, {Name: "round robin", RoundRobin: true}},
	},
	{
		Name:     "admission",
		Policies: []Policy{{Name: "fair, early refusal"}, {Name: "FIFO", FIFO: true}},
		Adapt: func(wkl *Workload) {
			// Admission only matters under overload.
			wkl.PerSecond *= 1.6
		},
	},
	{
		Name:     "rollout",
		Policies: []Policy{{Name: "evidence"}, {Name: "fixed steps", Fixed: true}},
		Rollout:  true,
		Adapt: func(wkl *Workload) {
			wkl.Duration = moveDeadline + 20*time.Second
		},
	},
	{
		Name:     "hold",
		Policies: []Policy{{Name: "hold"}, {Name: "refuse", Refuse: true}},
	},
	{
		Name:     "hold1",
		Policies: []Policy{{Name: "hold, 1 slot"}, {Name: "refuse, 1 slot", Refuse: true}},
		Adapt: func(wkl *Workload) {
			wkl.Rates.Slots, wkl.Rates.MaxWaiting = 1, 1
			wkl.PerSecond /= 5
		},
	},
	{Name: "work", Policies: workPolicies(), Work: 14},
	{Name: "workfull", Policies: workPolicies(), Work: 17},
}

// workPolicies returns the columns of the work topic.
func workPolicies() []Policy {
	out := make([]Policy, 0, len(predictors))
	for _, prd := range predictors {
		out = append(out, Policy{Name: string(prd), predictor: prd})
	}
	return out
}

// An Options configures a benchmark run.
type Options struct {
	// Seeds is the number of consecutive seeds, starting at First.
	Seeds int
	First uint64
	// Procs is the maximum number of concurrent runs.
	Procs int
}

// Run runs a topic with a workload and prints its table.
func Run(out io.Writer, tpc *Topic, wkl Workload, opt Options) error {
	if tpc.Work > 0 {
		return runWork(out, tpc, wkl.Duration, opt)
	}
	if tpc.Adapt != nil {
		tpc.Adapt(&wkl)
	}
	kinds := []faultKind{""}
	figs := figures
	if tpc.Rollout {
		kinds, figs = faultKinds, rolloutFigures()
	}
	runs := make([][]*result, len(tpc.Policies))
	for idx := range runs {
		runs[idx] = make([]*result, opt.Seeds*len(kinds))
	}
	var grp errgroup.Group
	grp.SetLimit(max(opt.Procs, 1))
	for num := range opt.Seeds {
		grp.Go(func() error {
			trc := wkl.generate(opt.First + uint64(num)) //nolint:gosec // a count
			for idx, pol := range tpc.Policies {
				for kdx, kind := range kinds {
					runs[idx][num*len(kinds)+kdx] = newSimulation(&wkl, pol, kind).replay(trc)
				}
			}
			return nil
		})
	}
	if err := grp.Wait(); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s, %s: %d seeds from %d, mean and standard deviation\n\n", tpc.Name, wkl.Name, opt.Seeds, opt.First)
	return table(out, tpc, figs, runs)
}

// runWork runs the work topic and prints its table.
func runWork(out io.Writer, tpc *Topic, length time.Duration, opt Options) error {
	runs := make([][]*result, len(tpc.Policies))
	for idx := range runs {
		runs[idx] = make([]*result, opt.Seeds)
	}
	var grp errgroup.Group
	grp.SetLimit(max(opt.Procs, 1))
	for num := range opt.Seeds {
		grp.Go(func() error {
			trc := workTrace(opt.First+uint64(num), tpc.Work, length) //nolint:gosec // a count
			for idx, pol := range tpc.Policies {
				runs[idx][num] = newWorkSimulation(pol.predictor).replay(trc, length)
			}
			return nil
		})
	}
	_ = grp.Wait() // the calls return no errors
	fmt.Fprintf(out, "%s: %d seeds from %d, mean and standard deviation\n\n", tpc.Name, opt.Seeds, opt.First)
	return table(out, tpc, workFigures, runs)
}

// table prints the figures as a Markdown table, one column per policy.
func table(out io.Writer, tpc *Topic, figs []figure, runs [][]*result) error {
	tbl := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	fmt.Fprint(tbl, "| \t")
	for _, pol := range tpc.Policies {
		fmt.Fprintf(tbl, "| %s\t", pol.Name)
	}
	fmt.Fprintf(tbl, "|\n| ---\t%s|\n", strings.Repeat("| ---\t", len(tpc.Policies)))
	for _, fig := range figs {
		fmt.Fprintf(tbl, "| %s\t", fig.name)
		for idx := range runs {
			list := make([]float64, 0, len(runs[idx]))
			for _, res := range runs[idx] {
				list = append(list, fig.value(res))
			}
			mean, dev := meanStdDev(list)
			fmt.Fprintf(tbl, "| "+fig.format+" ± "+fig.format+"\t", mean, dev)
		}
		fmt.Fprint(tbl, "|\n")
	}
	fmt.Fprint(tbl, "\n")
	return tbl.Flush()
}

package cmds

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailwick/wagtailwick/internal/bench"
)

func benchCommand(app *kingpin.Application, ev *env) (string, func() error) {
	cmd := app.Command("bench", "Compare policies on generated traces in virtual time and print one table per workload. "+
		"The same seeds give the same figures.\n\nExample: wagtailwick bench --topic=routing --seeds=20")
	names := make([]string, 0, len(bench.Topics))
	for idx := range bench.Topics {
		names = append(names, bench.Topics[idx].Name)
	}
	topic := cmd.Flag("topic", "Comparison to run; all if not given.").Enum(names...)
	workload := cmd.Flag("workload", "Workload to run; all if not given.").Enum(workloadNames()...)
	seeds := cmd.Flag("seeds", "Number of runs per policy.").Default("20").Int()
	first := cmd.Flag("first", "First seed.").Default("1").Uint64()
	procs := cmd.Flag("procs", "Runs at the same time.").Default("3").Int()
	return cmd.FullCommand(), func() error {
		for idx := range bench.Topics {
			tpc := &bench.Topics[idx]
			for _, wkl := range bench.Workloads {
				if *topic != "" && *topic != tpc.Name || *workload != "" && *workload != wkl.Name {
					continue
				}
				if err := bench.Run(ev.stdout, tpc, wkl, bench.Options{Seeds: *seeds, First: *first, Procs: *procs}); err != nil {
					return fmt.Errorf("bench %s: %w", tpc.Name, err)
				}
				if tpc.Work > 0 {
					// Its load does not depend on the workload.
					break
				}
			}
		}
		return nil
	}
}

func workloadNames() []string {
	out := make([]string, 0, len(bench.Workloads))
	for idx := range bench.Workloads {
		out = append(out, bench.Workloads[idx].Name)
	}
	return out
}

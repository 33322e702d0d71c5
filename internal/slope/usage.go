package slope

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/wire"
)

const (
	// ticksPerSecond is USER_HZ, the unit of CPU time in /proc, which is 100 on
	// all common systems.
	ticksPerSecond  = 100
	maxMetricsBytes = 4 << 20
)

// A usage is the cumulative CPU time and the current memory of a process, with
// its metrics.
type usage struct {
	// cpu is in seconds, resident in bytes.
	cpu      float64
	resident float64
	metrics  map[string]float64
}

// readUsage reads the CPU time and resident memory of a process.
func readUsage(pid int) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, eris.Wrap(err, "slope: read usage")
	}
	// The process name in parentheses may contain spaces. The fields after it
	// start with the third one, state.
	_, rest, _ := bytes.Cut(stat, []byte(") "))
	fields := strings.Fields(string(rest))
	const user, system, pages = 11, 12, 21
	if len(fields) <= pages {
		return usage{}, eris.Errorf("slope: /proc/%d/stat has %d fields", pid, len(fields))
	}
	var vals [3]float64
	for idx, pos := range []int{user, system, pages} {
		if vals[idx], err = strconv.ParseFloat(fields[pos], 64); err != nil {
			return usage{}, eris.Wrap(err, "slope: read usage")
		}
	}
	return usage{cpu: (vals[0] + vals[1]) / ticksPerSecond, resident: vals[2] * float64(os.Getpagesize())}, nil
}

// readMetrics reads the counters and gauges of an entry.
func readMetrics(ctx context.Context, cli *wire.Client, admin string) (map[string]float64, error) {
	ans, err := cli.Exchange(ctx, wire.Call{Method: http.MethodGet, URL: "http://" + admin + "/metrics"}, maxMetricsBytes)
	if err != nil {
		return nil, eris.Wrap(err, "slope: read metrics")
	}
	return parseMetrics(string(ans.Body)), nil
}

func parseMetrics(text string) map[string]float64 {
	out := make(map[string]float64)
	for line := range strings.Lines(text) {
		name, val, ok := strings.Cut(strings.TrimSpace(line), " ")
		if num, err := strconv.ParseFloat(val, 64); ok && err == nil {
			out[strings.TrimPrefix(name, "wagtailwick_")] = num
		}
	}
	return out
}

// sum returns the sum of the metrics whose name has both the prefix and the
// suffix.
func (usg *usage) sum(prefix, suffix string) float64 {
	total := 0.0
	for name, val := range usg.metrics {
		if strings.HasPrefix(name, prefix) && strings.HasSuffix(name, suffix) {
			total += val
		}
	}
	return total
}

// loadAverage returns the machine's one-minute load average, 0 if unknown.
func loadAverage() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(data), " ")
	num, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return 0
	}
	return num
}

package admin

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// quantiles are exported for histograms and timers.
var quantiles = []float64{0.5, 0.95, 0.99}

// Exposition returns the metrics of a registry in the Prometheus text format,
// version 0.0.4. Timers are in seconds.
func Exposition(reg metrics.Registry) []byte {
	var buf bytes.Buffer
	for _, name := range sortedNames(reg) {
		writeMetric(&buf, metricName(name), reg.Get(name))
	}
	return buf.Bytes()
}

func writeMetric(buf *bytes.Buffer, name string, met any) {
	switch met := met.(type) {
	case metrics.Counter:
		fmt.Fprintf(buf, "# TYPE %s counter\n%s %d\n", name, name, met.Count())
	case metrics.Gauge:
		fmt.Fprintf(buf, "# TYPE %s gauge\n%s %d\n", name, name, met.Value())
	case metrics.GaugeFloat64:
		fmt.Fprintf(buf, "# TYPE %s gauge\n%s %g\n", name, name, met.Value())
	case metrics.Meter:
		fmt.Fprintf(buf, "# TYPE %s_total counter\n%s_total %d\n", name, name, met.Snapshot().Count())
	case metrics.Histogram:
		snap := met.Snapshot()
		writeSummary(buf, name, snap.Percentiles(quantiles), float64(snap.Sum()), snap.Count())
	case metrics.Timer:
		snap := met.Snapshot()
		values := snap.Percentiles(quantiles)
		for idx := range values {
			values[idx] /= float64(time.Second)
		}
		writeSummary(buf, name+"_seconds", values, float64(snap.Sum())/float64(time.Second), snap.Count())
	}
}

func writeSummary(buf *bytes.Buffer, name string, values []float64, sum float64, count int64) {
	fmt.Fprintf(buf, "# TYPE %s summary\n", name)
	for idx, quant := range quantiles {
		fmt.Fprintf(buf, "%s{quantile=%q} %g\n", name, fmt.Sprint(quant), values[idx])
	}
	fmt.Fprintf(buf, "%s_sum %g\n%s_count %d\n", name, sum, name, count)
}

// metricName converts a name such as "route.picks" to
// "wagtailwick_route_picks".
func metricName(name string) string {
	clean := strings.Map(func(chr rune) rune {
		switch {
		case chr >= 'a' && chr <= 'z', chr >= 'A' && chr <= 'Z', chr >= '0' && chr <= '9':
			return chr
		default:
			return '_'
		}
	}, name)
	return "wagtailwick_" + clean
}

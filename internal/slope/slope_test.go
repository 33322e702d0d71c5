package slope

import (
	"math"
	"os"
	"path/filepath"
	"testing"
)

// TestFitLine guards against wrong slopes and standard errors, from which all
// figures in docs/CAPACITY.md are derived.
func TestFitLine(t *testing.T) {
	for name, tc := range map[string]struct {
		pts  []Point
		want Fit
	}{
		"exact":      {[]Point{{1, 3}, {2, 5}, {3, 7}}, Fit{Slope: 2, Intercept: 1, R2: 1}},
		"scattered":  {[]Point{{0, 1}, {1, 0}, {2, 2}}, Fit{Slope: 0.5, SlopeError: math.Sqrt(1.5 / 2), Intercept: 0.5, InterceptError: math.Sqrt(1.5 * (1.0/3 + 0.5)), R2: 0.25}},
		"one place":  {[]Point{{4, 1}, {4, 2}}, Fit{}},
		"two points": {[]Point{{0, 1}, {2, 0}}, Fit{Slope: -0.5, Intercept: 1, R2: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			got := FitLine(tc.pts)
			for _, val := range [][2]float64{
				{got.Slope, tc.want.Slope},
				{got.SlopeError, tc.want.SlopeError},
				{got.Intercept, tc.want.Intercept},
				{got.InterceptError, tc.want.InterceptError},
				{got.R2, tc.want.R2},
			} {
				if math.Abs(val[0]-val[1]) > 1e-9 {
					t.Fatalf("got %+v, want %+v", got, tc.want)
				}
			}
		})
	}
}

// TestParseMetrics guards against metrics that are missed or counted twice.
func TestParseMetrics(t *testing.T) {
	usg := usage{metrics: parseMetrics("# TYPE wagtailwick_wire_store_sent counter\nwagtailwick_wire_store_sent 12\n" +
		"wagtailwick_wire_store_received 30\nwagtailwick_x_seconds{quantile=\"0.5\"} 1\n")}
	if got := usg.sum("wire_store_", ""); got != 42 {
		t.Errorf("sum is %v, want 42", got)
	}
	if got := usg.sum("wire_", "sent"); got != 12 {
		t.Errorf("sent is %v, want 12", got)
	}
}

// TestReadUsage guards against reading the wrong fields of /proc/<pid>/stat.
func TestReadUsage(t *testing.T) {
	usg, err := readUsage(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if usg.resident < 1<<20 || usg.resident > 1<<33 || usg.cpu < 0 || usg.cpu > 1e5 {
		t.Errorf("implausible usage %+v", usg)
	}
}

// TestMemory guards against a measurement that writes no report or plots.
func TestMemory(t *testing.T) {
	run := &Run{Out: t.TempDir(), Parts: []string{"memory"}}
	if err := run.Do(t.Context()); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"memory.json", "memory-routing.svg", "memory-prefix.svg"} {
		if _, err := os.Stat(filepath.Join(run.Out, name)); err != nil {
			t.Error(err)
		}
	}
}

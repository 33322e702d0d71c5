package scale

import (
	"math"
	"testing"
)

// TestCalibration guards against a fleet that is sized for several times the load, because
// the slow ones of uneven endpoints dominate the estimate, and against one that loses the
// correction when a measurement is missing or the endpoints are saturated.
func TestCalibration(t *testing.T) {
	var cal Calibration
	for _, tst := range []struct {
		name                string
		estimated, measured float64
		known               bool
		want                float64
	}{
		{"nothing known", -1, 0, false, -1},
		{"estimate alone", 29, 0, false, 29},
		{"measured before the estimate", -1, 12, true, 12},
		{"both", 30, 15, true, 15},
		{"no measurement", 30, 0, false, 15},
		{"demand rises while saturated", 60, 0, false, 30},
		{"implausible measurement", 30, 0, true, 30 * (0.5 + calibrationWeight*(minRatio-0.5))},
	} {
		if got := cal.Apply(tst.estimated, tst.measured, tst.known); math.Abs(got-tst.want) > 0.01 {
			t.Errorf("%s: load %v, want %v", tst.name, got, tst.want)
		}
	}
}

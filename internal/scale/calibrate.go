package scale

const (
	// calibrationWeight is the weight of one measurement in the moving average.
	calibrationWeight = 0.15
	// minRatio and maxRatio bound the ratio of the measured to the estimated load.
	minRatio = 0.25
	maxRatio = 1.5
)

// A Calibration corrects the estimated load of a service by the measured one. The estimate
// follows a change of the demand at once and without a bound, the measurement is right on
// average. The zero value leaves the estimate as it is.
type Calibration struct {
	// ratio is the moving average of the measured load in proportion to the estimated one,
	// 0 if none was measured.
	ratio float64
}

// Ratio returns the factor of the estimated load.
func (cal *Calibration) Ratio() float64 {
	if cal.ratio <= 0 {
		return 1
	}
	return cal.ratio
}

// Apply returns the calibrated load. The estimate is negative if it is unknown; measured
// counts only if known is set.
func (cal *Calibration) Apply(estimated, measured float64, known bool) float64 {
	switch {
	case estimated < 0 && known:
		return measured
	case estimated <= 0:
		return estimated
	case known:
		ratio := min(max(measured/estimated, minRatio), maxRatio)
		if cal.ratio <= 0 {
			cal.ratio = ratio
		}
		cal.ratio += calibrationWeight * (ratio - cal.ratio)
	}
	return estimated * cal.Ratio()
}

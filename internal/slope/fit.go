// Package slope measures how the costs of the control plane and of requests scale
// with the size of a site. It runs entries as separate processes on loopback,
// fits lines to the measurements and plots them.
package slope

import (
	"math"
	"time"
)

// A Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// A Fit is a least-squares line. The errors are standard errors; they are zero
// for fewer than three points.
type Fit struct {
	Slope          float64 `json:"slope"`
	SlopeError     float64 `json:"slopeError"`
	Intercept      float64 `json:"intercept"`
	InterceptError float64 `json:"interceptError"`
	// R2 is the share of the variance that the line explains.
	R2 float64 `json:"r2"`
}

// FitLine fits a line to the points. It returns the zero value if the points have
// fewer than two distinct x values.
func FitLine(pts []Point) Fit {
	num := float64(len(pts))
	var meanX, meanY float64
	for _, pnt := range pts {
		meanX += pnt.X / num
		meanY += pnt.Y / num
	}
	var sxx, sxy, syy float64
	for _, pnt := range pts {
		sxx += (pnt.X - meanX) * (pnt.X - meanX)
		sxy += (pnt.X - meanX) * (pnt.Y - meanY)
		syy += (pnt.Y - meanY) * (pnt.Y - meanY)
	}
	if sxx == 0 {
		return Fit{}
	}
	fit := Fit{Slope: sxy / sxx, R2: 1}
	fit.Intercept = meanY - fit.Slope*meanX
	residuals := 0.0
	for _, pnt := range pts {
		diff := pnt.Y - fit.At(pnt.X)
		residuals += diff * diff
	}
	if syy > 0 {
		fit.R2 = 1 - residuals/syy
	}
	if len(pts) > 2 {
		variance := residuals / (num - 2)
		fit.SlopeError = math.Sqrt(variance / sxx)
		fit.InterceptError = math.Sqrt(variance * (1/num + meanX*meanX/sxx))
	}
	return fit
}

// At returns the line's value at pos.
func (fit Fit) At(pos float64) float64 { return fit.Intercept + fit.Slope*pos }

// A Series is a measured quantity as a function of one variable.
type Series struct {
	// Name is the file name of the plot, without the extension.
	Name   string  `json:"name"`
	X      string  `json:"x"`
	Y      string  `json:"y"`
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
}

// A Report is the result of a run.
type Report struct {
	At     time.Time `json:"at"`
	System string    `json:"system"`
	CPUs   int       `json:"cpus"`
	// Load is the machine's one-minute load average before and after the run.
	Load   [2]float64 `json:"load"`
	Series []*Series  `json:"series"`
}

// add adds a point to the named series and creates the series if necessary.
func (rep *Report) add(name, axisX, axisY string, posX, posY float64) {
	for _, ser := range rep.Series {
		if ser.Name == name {
			ser.Points = append(ser.Points, Point{posX, posY})
			return
		}
	}
	rep.Series = append(rep.Series, &Series{Name: name, X: axisX, Y: axisY, Points: []Point{{posX, posY}}})
}

// fit fits a line to each series.
func (rep *Report) fit() {
	for _, ser := range rep.Series {
		ser.Fit = FitLine(ser.Points)
	}
}

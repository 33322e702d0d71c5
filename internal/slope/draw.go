package slope

import (
	"fmt"
	"path/filepath"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Draw plots the series and its fitted line to <dir>/<name>.svg.
func (ser *Series) Draw(dir string) error {
	plt := plot.New()
	plt.Title.Text = fmt.Sprintf("%s\nslope %.3g ± %.2g, intercept %.3g ± %.2g", ser.Name,
		ser.Fit.Slope, ser.Fit.SlopeError, ser.Fit.Intercept, ser.Fit.InterceptError)
	plt.X.Label.Text, plt.Y.Label.Text = ser.X, ser.Y
	plt.Y.Min = 0
	xys := make(plotter.XYs, len(ser.Points))
	for idx, pnt := range ser.Points {
		xys[idx] = plotter.XY{X: pnt.X, Y: pnt.Y}
	}
	dots, err := plotter.NewScatter(xys)
	if err != nil {
		return eris.Wrapf(err, "slope: draw %s", ser.Name)
	}
	line := plotter.NewFunction(ser.Fit.At)
	line.XMin, line.XMax = xys[0].X, xys[0].X
	for _, pnt := range xys {
		line.XMin, line.XMax = min(line.XMin, pnt.X), max(line.XMax, pnt.X)
	}
	plt.Add(plotter.NewGrid(), line, dots)
	return eris.Wrapf(plt.Save(plotWidth, plotHeight, filepath.Join(dir, ser.Name+".svg")), "slope: draw %s", ser.Name)
}

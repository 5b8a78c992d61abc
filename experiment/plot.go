package experiment

import (
	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot and how much of it is shown.
const (
	plotWidth   = 18 * vg.Centimeter
	plotHeight  = 11 * vg.Centimeter
	plotSeconds = 30
	// legendRoom leaves space for the legend above the lines.
	legendRoom = 1.5
)

// Plot draws, for each row, the rate of work that began at sick targets since
// the first onset. The format follows the file's name.
func Plot(file string, rows []Summary) error {
	p := plot.New()
	p.Title.Text = "Work begun at sick targets"
	p.X.Label.Text = "seconds since the onset"
	p.Y.Label.Text = "requests a second, mean of the runs"
	p.Legend.Top = true
	var lines []any
	for _, r := range rows {
		if len(r.RequestsToFaultyOverTime) > 0 {
			lines = append(lines, r.Scenario+" "+r.Policy, rate(r))
		}
	}
	if len(lines) == 0 {
		return errors.New("plot: none of the scenarios makes a target sick")
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "plot")
	}
	p.Y.Max *= legendRoom
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return errors.Wrap(err, "save plot")
	}
	return nil
}

// rate returns the work of each second.
func rate(r Summary) plotter.XYs {
	var points plotter.XYs
	for second := range plotSeconds {
		sum := 0
		for i := second * 10; i < (second+1)*10 && i < len(r.RequestsToFaultyOverTime); i++ {
			sum += r.RequestsToFaultyOverTime[i]
		}
		points = append(points, plotter.XY{X: float64(second) + 0.5, Y: float64(sum) / float64(r.Seeds)})
	}
	return points
}

package experiment

import (
	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot, and the time after the start of the first fault that it shows.
const (
	plotWidth   = 18 * vg.Centimeter
	plotHeight  = 11 * vg.Centimeter
	plotSeconds = 30
	// yAxisScale extends the y axis to leave space for the legend above the lines.
	yAxisScale = 1.5
)

// Plot writes a plot of the rate of requests that were started at faulty targets
// since the start of the first fault, with a line for each summary. The extension
// of the file's name determines its format.
func Plot(file string, summaries []Summary) error {
	p := plot.New()
	p.Title.Text = "Requests started at faulty targets"
	p.X.Label.Text = "seconds since the start of the fault"
	p.Y.Label.Text = "requests per second, mean of the runs"
	p.Legend.Top = true
	var lines []any
	for _, s := range summaries {
		if len(s.RequestsToFaultyOverTime) > 0 {
			lines = append(lines, s.Scenario+" "+s.Policy, requestRates(s))
		}
	}
	if len(lines) == 0 {
		return errors.New("plot: no request was started at a faulty target in any scenario")
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "plot")
	}
	p.Y.Max *= yAxisScale
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return errors.Wrap(err, "save plot")
	}
	return nil
}

// requestRates returns the rate of RequestsToFaultyOverTime in each second.
func requestRates(s Summary) plotter.XYs {
	var points plotter.XYs
	for second := range plotSeconds {
		sum := 0
		for i := second * 10; i < (second+1)*10 && i < len(s.RequestsToFaultyOverTime); i++ {
			sum += s.RequestsToFaultyOverTime[i]
		}
		points = append(points, plotter.XY{X: float64(second) + 0.5, Y: float64(sum) / float64(s.Seeds)})
	}
	return points
}

package load

import (
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot plots the latency over time to a file, SVG or PNG by its extension.
func (report *Report) Plot(path, title string) error {
	chart := plot.New()
	chart.Title.Text = title
	chart.X.Label.Text = "time, s"
	chart.Y.Label.Text = "latency, ms"
	var median, tail plotter.XYs
	for _, interval := range report.Timeline {
		if interval.Answers == 0 {
			continue
		}
		at := interval.At.Std().Seconds()
		median = append(median, plotter.XY{X: at, Y: milliseconds(interval.P50.Std())})
		tail = append(tail, plotter.XY{X: at, Y: milliseconds(interval.P99.Std())})
	}
	if err := plotutil.AddLinePoints(chart, "p50", median, "p99", tail); err != nil {
		return err
	}
	return chart.Save(plotWidth, plotHeight, path)
}

func milliseconds(duration time.Duration) float64 { return duration.Seconds() * 1000 }

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

// Plot writes the timeline of latency to an SVG or PNG file, by its ending.
func (report *Report) Plot(path, title string) error {
	drawing := plot.New()
	drawing.Title.Text = title
	drawing.X.Label.Text = "time, s"
	drawing.Y.Label.Text = "latency, ms"
	var median, tail plotter.XYs
	for _, slice := range report.Timeline {
		if slice.Answers == 0 {
			continue
		}
		at := slice.At.Std().Seconds()
		median = append(median, plotter.XY{X: at, Y: milliseconds(slice.P50.Std())})
		tail = append(tail, plotter.XY{X: at, Y: milliseconds(slice.P99.Std())})
	}
	if err := plotutil.AddLinePoints(drawing, "p50", median, "p99", tail); err != nil {
		return err
	}
	return drawing.Save(plotWidth, plotHeight, path)
}

func milliseconds(duration time.Duration) float64 { return duration.Seconds() * 1000 }

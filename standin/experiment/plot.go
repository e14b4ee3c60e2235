package experiment

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// WritePlot draws the share of requests answered in time over the load, one line for
// each strategy. The file's extension selects the format, such as .svg.
func WritePlot(file, title string, reports []*Report) error {
	lines := map[string]plotter.XYs{}
	var strategies []string
	for _, r := range reports {
		if lines[r.Strategy] == nil {
			strategies = append(strategies, r.Strategy)
		}
		lines[r.Strategy] = append(lines[r.Strategy], plotter.XY{X: r.Level, Y: r.InTimeShare()})
	}
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "load, as a share of what the targets can do"
	p.Y.Label.Text = "share in time"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = false
	p.Legend.Left = true
	var items []any
	for _, strategy := range strategies {
		items = append(items, strategy, lines[strategy])
	}
	if err := plotutil.AddLinePoints(p, items...); err != nil {
		return fmt.Errorf("add lines to plot %q: %w", title, err)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("save plot %q as %s: %w", title, file, err)
	}
	return nil
}

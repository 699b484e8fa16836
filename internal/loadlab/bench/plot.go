package main

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/carawaylanding/carawaylanding/internal/loadlab"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	// plotMax is the upper end of the Y axis, in percent over the floor.
	plotMax = 200
)

// plotResults plots the mean response time over the floor against the load, with one
// line for each policy, for the site of the first result. It omits loads of 1 and more.
func plotResults(file string, results []loadlab.Result) error {
	p := plot.New()
	p.Title.Text = "mean job response time over the clairvoyant floor, " + results[0].Config.Site.Name
	p.X.Label.Text = "offered load"
	p.Y.Label.Text = "percent over the floor and one round trip"
	p.Y.Max = plotMax
	p.Legend.Top = true
	p.Legend.Left = true
	var lines []any
	for _, policy := range loadlab.Policies {
		var pts plotter.XYs
		for _, r := range results {
			if r.Config.Site.Name == results[0].Config.Site.Name && r.Config.Policy.Name == policy.Name && r.Config.Load < 1 {
				pts = append(pts, plotter.XY{X: r.Config.Load, Y: min(plotMax, 100*r.MeanOverhead())})
			}
		}
		lines = append(lines, policy.Name, pts)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, file)
}

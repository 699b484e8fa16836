package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// point is a measurement of the cost at a size.
type point struct {
	size, cost float64
}

// slope is the linear fit cost = fixed + perUnit*size, by least squares over at least
// minPoints points.
type slope struct {
	name string
	// size is the unit of the points' sizes, and unit that of their costs.
	size, unit     string
	points         []point
	fixed, perUnit float64
}

// minPoints is the minimum number of points of a slope.
const minPoints = 3

func newSlope(name, size, unit string, points []point) (slope, error) {
	s := slope{name: name, size: size, unit: unit, points: points}
	if len(points) < minPoints {
		return s, fmt.Errorf("%s: %d points, but a slope needs at least %d", name, len(points), minPoints)
	}
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx += p.size
		sy += p.cost
		sxx += p.size * p.size
		sxy += p.size * p.cost
	}
	s.perUnit = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	s.fixed = (sy - s.perUnit*sx) / n
	return s, nil
}

// at returns the cost at a size according to the fit.
func (s slope) at(size float64) float64 { return s.fixed + s.perUnit*size }

func printSlopes(out io.Writer, slopes []slope) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SLOPE\tUNIT\tPER\tFIXED\tEACH\tPOINTS")
	for _, s := range slopes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.4g\t%.4g\t", s.name, s.unit, s.size, s.fixed, s.perUnit)
		for _, p := range s.points {
			fmt.Fprintf(w, "%g:%.4g ", p.size, p.cost)
		}
		fmt.Fprintln(w)
	}
	w.Flush()
}

package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// point is one measurement: the size that was set, and what it cost.
type point struct {
	size, cost float64
}

// slope is a cost that grows with a size: cost = fixed + per*size, by least
// squares over at least three points.
type slope struct {
	name string
	// size and unit name what grows and what it costs.
	size, unit string
	points     []point
	fixed, per float64
}

// minPoints is the number of sizes that a slope needs.
const minPoints = 3

func newSlope(name, size, unit string, points []point) (slope, error) {
	s := slope{name: name, size: size, unit: unit, points: points}
	if len(points) < minPoints {
		return s, fmt.Errorf("%s: %d points: a slope needs %d", name, len(points), minPoints)
	}
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx += p.size
		sy += p.cost
		sxx += p.size * p.size
		sxy += p.size * p.cost
	}
	s.per = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	s.fixed = (sy - s.per*sx) / n
	return s, nil
}

// at returns the cost at a size.
func (s slope) at(size float64) float64 { return s.fixed + s.per*size }

func printSlopes(out io.Writer, slopes []slope) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SLOPE\tUNIT\tPER\tFIXED\tEACH\tPOINTS")
	for _, s := range slopes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.4g\t%.4g\t", s.name, s.unit, s.size, s.fixed, s.per)
		for _, p := range s.points {
			fmt.Fprintf(w, "%g:%.4g ", p.size, p.cost)
		}
		fmt.Fprintln(w)
	}
	w.Flush()
}

// Package surveyor measures how the cost of each role grows: with the
// instances, the services, the targets and the changes. It fits a line to each
// series and works out the cost at the size that the design is made for.
package surveyor

import (
	"cmp"
	"math"
	"slices"

	"github.com/zeebo/errs"
	"gonum.org/v1/gonum/stat"
)

// Error is the class of this package's errors.
var Error = errs.Class("surveyor")

// Size is a size of the fleet to work the costs out for.
type Size struct {
	Instances        float64
	Services         float64
	Targets          float64
	ChangesPerMinute float64
}

// Stated is the size that the design is made for. Its number of instances is
// worked out in docs/CAPACITY.md.
var Stated = Size{Instances: 2270, Services: 2400, Targets: 20000, ChangesPerMinute: 6900.0 / (24 * 60)}

// Axis is what a series grows with.
type Axis string

// The axes.
const (
	AxisInstances Axis = "instances"
	AxisServices  Axis = "services"
	AxisTargets   Axis = "targets of one service"
	AxisChanges   Axis = "changes a minute"
)

// At returns where a size lies on the axis.
func (s Size) At(axis Axis) float64 {
	switch axis {
	case AxisInstances:
		return s.Instances
	case AxisServices:
		return s.Services
	case AxisTargets:
		return s.Targets / s.Services
	default:
		return s.ChangesPerMinute
	}
}

// Point is one measured value.
type Point struct {
	X, Y float64
}

// Series is one cost, measured several times at each place of its axis.
type Series struct {
	Role   string
	Cost   string // Cost names what was measured, with its unit.
	Axis   Axis
	Goal   float64 // Goal is the most that is allowed; zero means that no goal is stated.
	Points []Point
}

// Line is a straight line through a series.
type Line struct {
	Intercept float64
	Slope     float64
	RSquared  float64
	Spread    float64 // Spread is the widest range of the runs at one place, as a share of their median.
}

// Fit returns the line through the medians of the series, so that one run that
// was disturbed shows in the spread and not in the line.
func (s Series) Fit() Line {
	medians := s.Medians()
	xs, ys := make([]float64, len(medians)), make([]float64, len(medians))
	for i, p := range medians {
		xs[i], ys[i] = p.X, p.Y
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	r2 := stat.RSquared(xs, ys, nil, intercept, slope)
	if math.IsNaN(r2) {
		r2 = 1 // All values are equal.
	}
	return Line{Intercept: intercept, Slope: slope, RSquared: r2, Spread: s.spread()}
}

// At returns the line's value.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

func (s Series) spread() float64 {
	widest := 0.0
	for x, list := range s.byPlace() {
		low, high, middle := list[0], list[len(list)-1], list[len(list)/2]
		if middle > 0 && x >= 0 {
			widest = max(widest, (high-low)/middle)
		}
	}
	return widest
}

// byPlace returns the sorted values at each place of the axis.
func (s Series) byPlace() map[float64][]float64 {
	places := map[float64][]float64{}
	for _, p := range s.Points {
		places[p.X] = append(places[p.X], p.Y)
	}
	for _, list := range places {
		slices.Sort(list)
	}
	return places
}

// Medians returns the middle value at each place, in the order of the places.
func (s Series) Medians() []Point {
	var medians []Point
	for x, list := range s.byPlace() {
		medians = append(medians, Point{X: x, Y: list[len(list)/2]})
	}
	slices.SortFunc(medians, func(a, b Point) int { return cmp.Compare(a.X, b.X) })
	return medians
}

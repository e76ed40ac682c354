package main

import (
	"math"
	"slices"
)

// Point is a figure at a size.
type Point struct {
	Size  float64
	Value float64
}

// Series is a figure measured at several sizes of one thing, all else kept small. Points ascend by size.
type Series struct {
	// Name tells the figure and Unit its unit.
	Name string
	Unit string
	// Varied names what the sizes count.
	Varied string
	// Target is the size in question.
	Target float64
	// Flat tells that the figure is of one call and doesn't grow with the size: beyond the measured sizes the figure at
	// the nearest one stands.
	Flat   bool
	Points []Point
}

// Fit returns the least-squares line through the points.
func (s Series) Fit() (base, slope float64) {
	n := float64(len(s.Points))
	if n == 0 {
		return 0, 0
	}
	var x, y, xx, xy float64
	for _, p := range s.Points {
		x += p.Size
		y += p.Value
		xx += p.Size * p.Size
		xy += p.Size * p.Value
	}
	d := n*xx - x*x
	if d == 0 {
		return y / n, 0
	}
	slope = (n*xy - x*y) / d
	return (y - slope*x) / n, slope
}

// IsExtrapolated tells whether a size is outside the measured ones.
func (s Series) IsExtrapolated(size float64) bool {
	return len(s.Points) == 0 || size < s.Points[0].Size || size > s.Points[len(s.Points)-1].Size
}

// At returns the figure at a size: between two measured sizes by the line through them, outside by the fitted line, or
// by the nearest figure where the series is flat, and never less than 0.
func (s Series) At(size float64) float64 {
	if s.IsExtrapolated(size) {
		if s.Flat && len(s.Points) > 0 {
			return s.nearest(size)
		}
		base, slope := s.Fit()
		return max(0, base+slope*size)
	}
	i := slices.IndexFunc(s.Points, func(p Point) bool { return p.Size >= size })
	high := s.Points[i]
	if i == 0 || high.Size == size {
		return high.Value
	}
	low := s.Points[i-1]
	return low.Value + (high.Value-low.Value)*(size-low.Size)/(high.Size-low.Size)
}

func (s Series) nearest(size float64) float64 {
	if size < s.Points[0].Size {
		return s.Points[0].Value
	}
	return s.Points[len(s.Points)-1].Value
}

// AtTarget returns the figure at the size in question.
func (s Series) AtTarget() float64 { return s.At(s.Target) }

// median returns the middle of the values, or NaN where there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	m := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[m]
	}
	return (sorted[m-1] + sorted[m]) / 2
}

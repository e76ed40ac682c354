package main

import (
	"math"
	"slices"
)

// Point is a figure measured at one size.
type Point struct {
	Size  float64
	Value float64
}

// Series is a figure measured at several sizes of one parameter, with all other sizes kept small. Points are sorted by
// size.
type Series struct {
	// Name is the name of the figure and Unit its unit.
	Name string
	Unit string
	// Parameter names the quantity whose size is varied.
	Parameter string
	// Target is the size for which the figure is needed.
	Target float64
	// IsConstant is set if the figure is per call and doesn't grow with the size. Outside the measured sizes the figure
	// at the nearest measured size is used.
	IsConstant bool
	Points     []Point
}

// FitLine returns the least-squares line through the points.
func (s Series) FitLine() (base, slope float64) {
	n := float64(len(s.Points))
	if n == 0 {
		return 0, 0
	}
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range s.Points {
		sumX += p.Size
		sumY += p.Value
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Value
	}
	denominator := n*sumXX - sumX*sumX
	if denominator == 0 {
		return sumY / n, 0
	}
	slope = (n*sumXY - sumX*sumY) / denominator
	return (sumY - slope*sumX) / n, slope
}

// IsExtrapolated reports whether a size is outside the range of the measured sizes.
func (s Series) IsExtrapolated(size float64) bool {
	return len(s.Points) == 0 || size < s.Points[0].Size || size > s.Points[len(s.Points)-1].Size
}

// At returns the figure at a size. It interpolates linearly between measured sizes. Outside them it uses the fitted
// line, but not less than 0, or the nearest figure if the series is constant.
func (s Series) At(size float64) float64 {
	if s.IsExtrapolated(size) {
		if s.IsConstant && len(s.Points) > 0 {
			return s.nearestValue(size)
		}
		base, slope := s.FitLine()
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

func (s Series) nearestValue(size float64) float64 {
	if size < s.Points[0].Size {
		return s.Points[0].Value
	}
	return s.Points[len(s.Points)-1].Value
}

// AtTarget returns the figure at the target size.
func (s Series) AtTarget() float64 { return s.At(s.Target) }

// median returns the median of the values, or NaN if there are none.
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

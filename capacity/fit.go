package capacity

import "math"

// Point is a measurement at a size.
type Point struct {
	Size  float64
	Value float64
}

// Line is fitted to points by least squares.
type Line struct {
	Base  float64
	Slope float64
	// Residual is the root mean square of the distances, as a share of the
	// mean value.
	Residual float64
}

// Fit returns the line through the points.
func Fit(points []Point) Line {
	var sx, sy, sxx, sxy float64
	n := float64(len(points))
	for _, p := range points {
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	l := Line{Slope: slope, Base: (sy - slope*sx) / n}
	var squares float64
	for _, p := range points {
		d := p.Value - l.At(p.Size)
		squares += d * d
	}
	if sy > 0 {
		l.Residual = math.Sqrt(squares/n) / (sy / n)
	}
	return l
}

// At returns the line's value at a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }

package tbscenario

import "math"

// line is a straight line fitted to measured points.
type line struct {
	base  float64
	slope float64
	// residual is the largest distance of a point from the line as a share of the largest value.
	residual float64
}

// fitLine returns the line of least squares.
func fitLine(x, y []float64) line {
	n := float64(len(x))
	var sumX, sumY, sumXX, sumXY, largest float64
	for i := range x {
		sumX += x[i]
		sumY += y[i]
		sumXX += x[i] * x[i]
		sumXY += x[i] * y[i]
		largest = math.Max(largest, math.Abs(y[i]))
	}
	l := line{slope: (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)}
	l.base = (sumY - l.slope*sumX) / n
	for i := range x {
		off := math.Abs(y[i] - l.base - l.slope*x[i])
		l.residual = math.Max(l.residual, off/math.Max(largest, math.SmallestNonzeroFloat64))
	}
	return l
}

package tbscenario

import "math"

// line is a straight line fitted to points.
type line struct {
	intercept float64
	slope     float64
	// maxResidual is the largest vertical distance of a point from the line, as a share of the largest |y|.
	maxResidual float64
}

// fitLine returns the least-squares line.
func fitLine(x, y []float64) line {
	n := float64(len(x))
	var sumX, sumY, sumXX, sumXY, maxAbsY float64
	for i := range x {
		sumX += x[i]
		sumY += y[i]
		sumXX += x[i] * x[i]
		sumXY += x[i] * y[i]
		maxAbsY = math.Max(maxAbsY, math.Abs(y[i]))
	}
	l := line{slope: (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)}
	l.intercept = (sumY - l.slope*sumX) / n
	for i := range x {
		residual := math.Abs(y[i] - l.intercept - l.slope*x[i])
		l.maxResidual = math.Max(l.maxResidual, residual/math.Max(maxAbsY, math.SmallestNonzeroFloat64))
	}
	return l
}

package tbruntime

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Run times have a long tail: most runs of an image take about as long as each other, and a few take many
// times as long. A moving mean jumps with each of these few. Estimates may be far from the truth, so that
// what an image took before may say more than what its jobs announce.

const (
	// windowSize is the number of observations in a window. A distribution consists of the newest window and
	// the one before, so that it follows a change within two windows. A tail of a few percent shows in one.
	windowSize = 256
	// ratioScale is the value that a histogram records for a run that takes exactly as long as estimated.
	ratioScale = 1000
	maxRatio   = 100 * ratioScale
	maxMillis  = int64(time.Hour / time.Millisecond)
	// significantDigits bounds the error of quantiles to about 6 percent, and a histogram to about 2 KiB.
	significantDigits = 1
	// absoluteVarianceShare is the share of the variance of the ratios that the variance of the run times
	// has to be below for the estimates to be left aside.
	absoluteVarianceShare = 0.8
)

// sums are the moments of the values of a window.
type sums struct{ value, log, logSquare float64 }

func (s *sums) add(v float64) {
	log := math.Log(v)
	s.value += v
	s.log += log
	s.logSquare += log * log
}

// window holds the values of up to windowSize runs in one measure.
type window struct {
	histogram *hdrhistogram.Histogram
	sums      sums
}

// series holds the newest values of one measure: the ratio of run time to estimate, or the run time.
type series struct {
	maxValue          int64
	current, previous window
}

func newSeries(maxValue int64) series {
	return series{
		maxValue: maxValue,
		current:  window{histogram: hdrhistogram.New(1, maxValue, significantDigits)},
		previous: window{histogram: hdrhistogram.New(1, maxValue, significantDigits)},
	}
}

func (s *series) add(v float64) {
	v = min(max(v, 1), float64(s.maxValue))
	// The value is within the bounds of the histogram.
	_ = s.current.histogram.RecordValue(int64(math.Round(v)))
	s.current.sums.add(v)
}

func (s *series) rotate() {
	s.current, s.previous = s.previous, s.current
	s.current.histogram.Reset()
	s.current.sums = sums{}
}

func (s *series) reset() {
	s.rotate()
	s.rotate()
}

func (s *series) mean(n int) float64 {
	return (s.current.sums.value + s.previous.sums.value) / float64(n)
}

// logVariance returns the variance of the logarithms, which does not depend on the measure's unit.
func (s *series) logVariance(n int) float64 {
	mean := (s.current.sums.log + s.previous.sums.log) / float64(n)
	return (s.current.sums.logSquare+s.previous.sums.logSquare)/float64(n) - mean*mean
}

// quantile returns the value that a share p of the values does not exceed. scratch is overwritten.
func (s *series) quantile(p float64, scratch *hdrhistogram.Histogram) float64 {
	scratch.Reset()
	scratch.Merge(s.current.histogram)
	scratch.Merge(s.previous.histogram)
	return float64(scratch.ValueAtQuantile(100 * p))
}

// exceedingShare returns the share of the values above v.
func (s *series) exceedingShare(v float64, n int) float64 {
	above := int64(0)
	for _, h := range []*hdrhistogram.Histogram{s.current.histogram, s.previous.histogram} {
		for _, bar := range h.Distribution() {
			if float64(bar.From) > v {
				above += bar.Count
			}
		}
	}
	return float64(above) / float64(n)
}

// distribution is the distribution of the newest run times of a kind of runs.
type distribution struct {
	ratios, millis  series
	currentCount    int
	previousCount   int
	lastObservation uint64
	// quantiles holds the quantiles that were asked for since the last observation.
	quantiles map[float64]float64
}

func newDistribution() *distribution {
	return &distribution{ratios: newSeries(maxRatio), millis: newSeries(maxMillis), quantiles: map[float64]float64{}}
}

func (d *distribution) reset() {
	d.ratios.reset()
	d.millis.reset()
	d.currentCount, d.previousCount = 0, 0
	clear(d.quantiles)
}

func (d *distribution) count() int { return d.currentCount + d.previousCount }

func (d *distribution) add(estimate, runTime time.Duration) {
	if d.currentCount == windowSize {
		d.ratios.rotate()
		d.millis.rotate()
		d.previousCount, d.currentCount = d.currentCount, 0
	}
	d.ratios.add(ratioScale * float64(runTime) / float64(estimate))
	d.millis.add(float64(runTime) / float64(time.Millisecond))
	d.currentCount++
	clear(d.quantiles)
}

// ignoresEstimates reports whether the run times vary less than their ratios to the estimates, so that the
// estimates would make predictions worse.
func (d *distribution) ignoresEstimates() bool {
	return d.millis.logVariance(d.count()) < absoluteVarianceShare*d.ratios.logVariance(d.count())
}

// toRunTime converts a value of the chosen measure.
func (d *distribution) toRunTime(v float64, estimate time.Duration) time.Duration {
	if d.ignoresEstimates() {
		return time.Duration(v * float64(time.Millisecond))
	}
	return time.Duration(v / ratioScale * float64(estimate))
}

func (d *distribution) chosen() *series {
	if d.ignoresEstimates() {
		return &d.millis
	}
	return &d.ratios
}

// exceedingShare returns the share of the runs that would take longer than runTime with this estimate.
func (d *distribution) exceedingShare(estimate, runTime time.Duration) float64 {
	if d.ignoresEstimates() {
		return d.millis.exceedingShare(float64(runTime)/float64(time.Millisecond), d.count())
	}
	return d.ratios.exceedingShare(ratioScale*float64(runTime)/float64(estimate), d.count())
}

func (d *distribution) mean(estimate time.Duration) time.Duration {
	return d.toRunTime(d.chosen().mean(d.count()), estimate)
}

func (d *distribution) quantile(p float64, estimate time.Duration, scratch *hdrhistogram.Histogram) time.Duration {
	v, ok := d.quantiles[p]
	if !ok {
		v = d.chosen().quantile(p, scratch)
		d.quantiles[p] = v
	}
	return d.toRunTime(v, estimate)
}

package tbadmission

import "time"

// minObservationWeight is the weight of a new observation in the moving average of the mean.
const minObservationWeight = 0.05

// highQuantile is the quantile of the response times that P99 estimates.
const highQuantile = 0.99

// highStepFactor is the step size of the high estimate as a share of the mean.
const highStepFactor = 0.1

// initialHighFactor is the initial high estimate as a multiple of the first observation.
const initialHighFactor = 2

// Estimator estimates the mean and a high quantile of the response times of runners.
// The zero value has no observations.
type Estimator struct {
	mean         float64
	high         float64
	observations int
}

// Observe adds the response time of one answered request.
func (e *Estimator) Observe(d time.Duration) {
	x := float64(d)
	e.observations++
	weight := max(minObservationWeight, 1/float64(e.observations))
	e.mean += weight * (x - e.mean)
	if e.observations == 1 {
		e.high = initialHighFactor * x
	}
	// An observation above the estimate raises it 99 times as far as one below
	// lowers it, so that it converges to the value that one answer in a hundred exceeds.
	step := highStepFactor * e.mean
	if x > e.high {
		e.high += step * highQuantile
		return
	}
	e.high -= step * (1 - highQuantile)
}

// Mean returns the estimated mean response time, or 0 before the first observation.
func (e *Estimator) Mean() time.Duration { return time.Duration(e.mean) }

// P99 returns the estimated response time that one answer in a hundred exceeds, or 0 before the
// first observation.
func (e *Estimator) P99() time.Duration { return time.Duration(e.high) }

// WaitLimit limits how long a request may wait for a slot.
type WaitLimit struct {
	// Target is the target latency, from arrival to answer.
	Target time.Duration
	// MinWaitShare is the share of Target that a request may always wait.
	MinWaitShare float64
}

// MaxWait returns how long a request may wait for a slot and still meet the target latency.
func (r WaitLimit) MaxWait(e *Estimator) time.Duration {
	minWait := time.Duration(float64(r.Target) * r.MinWaitShare)
	return max(r.Target-e.P99(), minWait)
}

// ExpectedWait returns the expected wait for the last of queued requests that share
// slots, or 0 if there are no slots.
func ExpectedWait(e *Estimator, queued, slots int) time.Duration {
	if slots == 0 {
		return 0
	}
	return e.Mean() * time.Duration(queued) / time.Duration(slots)
}

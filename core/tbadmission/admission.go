package tbadmission

import "time"

// minObservationWeight is the smallest weight of a new observation in the mean; the first 20
// observations count equally.
const minObservationWeight = 0.05

// p99Quantile is the quantile of the response times that P99 estimates.
const p99Quantile = 0.99

// p99StepFactor is the step size of the P99 estimate as a share of the mean.
const p99StepFactor = 0.1

// initialP99Factor is the initial P99 estimate as a multiple of the first observation.
const initialP99Factor = 2

// Estimator estimates the mean and a high quantile of the response times of runners.
// The zero value has no observations.
type Estimator struct {
	mean         float64
	p99          float64
	observations int
}

// Observe adds the response time of one answered request.
func (e *Estimator) Observe(d time.Duration) {
	x := float64(d)
	e.observations++
	weight := max(minObservationWeight, 1/float64(e.observations))
	e.mean += weight * (x - e.mean)
	if e.observations == 1 {
		e.p99 = initialP99Factor * x
	}
	// An observation above the estimate raises the estimate 99 times as far as an observation below
	// lowers the estimate. The estimate therefore converges to the value that one answer in a hundred
	// exceeds.
	step := p99StepFactor * e.mean
	if x > e.p99 {
		e.p99 += step * p99Quantile
		return
	}
	e.p99 -= step * (1 - p99Quantile)
}

// Mean returns the estimated mean response time, or 0 before the first observation.
func (e *Estimator) Mean() time.Duration { return time.Duration(e.mean) }

// P99 returns the estimated response time that one answer in a hundred exceeds, or 0 before the
// first observation.
func (e *Estimator) P99() time.Duration { return time.Duration(e.p99) }

// WaitLimit limits how long a request may wait for a slot.
type WaitLimit struct {
	// Target is the target latency, from arrival to answer.
	Target time.Duration
	// MinWaitShare is the share of Target that a request may always wait.
	MinWaitShare float64
}

// MaxWait returns how long a request may wait for a slot: the target latency minus the
// P99 response time, but at least MinWaitShare of the target latency.
func (r WaitLimit) MaxWait(e *Estimator) time.Duration {
	minWait := time.Duration(float64(r.Target) * r.MinWaitShare)
	return max(r.Target-e.P99(), minWait)
}

// ExpectedWait returns the expected wait of the last request in a queue of the given length that
// shares the given number of slots. Without slots it returns 0, so that the wait does not limit
// admission.
func ExpectedWait(e *Estimator, queued, slots int) time.Duration {
	if slots == 0 {
		return 0
	}
	return e.Mean() * time.Duration(queued) / time.Duration(slots)
}

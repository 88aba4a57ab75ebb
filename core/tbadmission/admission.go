package tbadmission

import "time"

// observeWeight is the weight of one answer in the estimates.
const observeWeight = 0.05

// highDeviations is how far above the mean a slow answer is assumed.
const highDeviations = 2

// Estimator follows how long runners take for one request.
type Estimator struct {
	mean      float64
	deviation float64
	seen      int
}

// Observe takes in the time of one answered request.
func (e *Estimator) Observe(d time.Duration) {
	x := float64(d)
	e.seen++
	weight := max(observeWeight, 1/float64(e.seen))
	off := x - e.mean
	e.mean += weight * off
	e.deviation += weight * (max(off, -off) - e.deviation)
}

// Mean returns the mean time, or 0 before the first answer.
func (e *Estimator) Mean() time.Duration { return time.Duration(e.mean) }

// High returns the time that few answers exceed.
func (e *Estimator) High() time.Duration {
	return time.Duration(e.mean + highDeviations*e.deviation)
}

// Rule tells how long a request may wait.
type Rule struct {
	// Target is the time within which an answer is on time.
	Target time.Duration
	// MinWaitShare is the share of Target that a request may wait in any case.
	MinWaitShare float64
}

// MaxWait returns how long a request may wait for a slot and still be on time.
func (r Rule) MaxWait(e *Estimator) time.Duration {
	least := time.Duration(float64(r.Target) * r.MinWaitShare)
	return max(r.Target-e.High(), least)
}

// ExpectedWait returns how long a request waits behind queued others for slots.
func ExpectedWait(e *Estimator, queued, slots int) time.Duration {
	if slots == 0 {
		return 0
	}
	return e.Mean() * time.Duration(queued) / time.Duration(slots)
}

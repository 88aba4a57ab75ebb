package tbadmission

import "time"

// observeWeight is the weight of one answer in the estimates.
const observeWeight = 0.05

// highShare is the share of answers that take less than High.
const highShare = 0.99

// highStep is the size of one step of the high estimate as a share of the mean.
const highStep = 0.1

// firstHigh is where the high estimate starts, as a multiple of the first answer's time.
const firstHigh = 2

// Estimator follows how long runners take for one request.
type Estimator struct {
	mean float64
	high float64
	seen int
}

// Observe takes in the time of one answered request.
func (e *Estimator) Observe(d time.Duration) {
	x := float64(d)
	e.seen++
	weight := max(observeWeight, 1/float64(e.seen))
	e.mean += weight * (x - e.mean)
	if e.seen == 1 {
		e.high = firstHigh * x
	}
	// Each answer above moves the estimate up 99 times as far as one below moves
	// it down, so that it rests where one answer in a hundred is above.
	step := highStep * e.mean
	if x > e.high {
		e.high += step * highShare
		return
	}
	e.high -= step * (1 - highShare)
}

// Mean returns the mean time, or 0 before the first answer.
func (e *Estimator) Mean() time.Duration { return time.Duration(e.mean) }

// High returns the time that one answer in a hundred exceeds.
func (e *Estimator) High() time.Duration { return time.Duration(e.high) }

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

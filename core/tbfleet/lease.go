package tbfleet

import "time"

// maxLeaseDuration returns the longest time that a lease of length d can last on a slow clock, plus
// a margin of 50 ms.
func (f *Fleet) maxLeaseDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d)/(1-f.params.ClockRateBound)) + 50*time.Millisecond
}

// renewLease records that an order renews the lease now. It returns the new expiry on the worker's
// clock, or 0 while that clock is unknown.
//
// An order may be executed seconds after it was sent. If it named a duration, the lease would then
// last longer than the leader assumes. The expiry is therefore an absolute time on the worker's
// clock, counted from the lowest value that the clock can show now.
func (f *Fleet) renewLease(now time.Time, w *Worker) int64 {
	clockMs, ok := w.lastClockReading.lowestPossibleMs(now, f.params.ClockRateBound)
	if !ok {
		return 0
	}
	r := f.renewalsOf(w.ID)
	r.inFlight++
	r.lastIssuedAt = now
	w.leaseEndMs = clockMs + f.params.Lease.Milliseconds()
	w.leaseExpiresAt = maxTime(w.leaseExpiresAt, now.Add(f.maxLeaseDuration(f.params.Lease)))
	return w.leaseEndMs
}

// leaseLogInputs returns the leader's knowledge of a worker's lease, for the log.
func (w *Worker) leaseLogInputs(now time.Time) []any {
	return []any{
		"leaseEndMs", w.leaseEndMs, "clockMs", w.lastClockReading.valueMs, "clockAgeMs", w.lastClockReading.age(now).Milliseconds(),
		"lapsesInMs", w.leaseExpiresAt.Sub(now).Milliseconds(),
	}
}

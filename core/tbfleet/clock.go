package tbfleet

import "time"

// clockReading is the value of a worker's monotonic clock when the worker was last heard from.
type clockReading struct {
	ms int64
	at time.Time
}

// update replaces the reading by one that arrives now and was made after since, or at an unknown
// time if since is zero; a ms of 0 means that the worker gave no time. The new reading counts as
// made now.
//
// A reading that may be older than the stored one replaces it only if it shows a higher value than
// the stored one implies.
func (c *clockReading) update(now, since time.Time, ms int64, rateBound float64) {
	bound, ok := c.lowerBound(now, rateBound)
	if ms > 0 && (!ok || ms > bound || since.After(c.at)) {
		*c = clockReading{ms: ms, at: now}
	}
}

// clockTolerance is the discrepancy at which two readings of one clock still count as consistent.
const clockTolerance = 100 * time.Millisecond

// isBehind reports whether ms, read after since, is less than the clock must have shown then.
//
// That proves a restart, because each incarnation of a worker has a clock of its own.
func (c clockReading) isBehind(since time.Time, ms int64, rateBound float64) bool {
	if !c.isKnown() || ms <= 0 {
		return false
	}
	elapsed := since.Sub(c.at)
	if elapsed > 0 {
		elapsed = time.Duration(float64(elapsed) * (1 - rateBound))
	}
	return time.Duration(ms-c.ms)*time.Millisecond < elapsed-clockTolerance
}

func (c clockReading) isKnown() bool { return !c.at.IsZero() }

// age returns the age of the reading, or 0 if there is none.
func (c clockReading) age(now time.Time) time.Duration {
	if !c.isKnown() {
		return 0
	}
	return now.Sub(c.at)
}

// lowerBound returns the lowest value that the clock can show now, or false if it was never read.
func (c clockReading) lowerBound(now time.Time, rateBound float64) (int64, bool) {
	if !c.isKnown() {
		return 0, false
	}
	return c.ms + int64(float64(c.age(now).Milliseconds())*(1-rateBound)), true
}

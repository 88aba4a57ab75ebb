package tbfleet

import "time"

// clockReading is the value of a worker's monotonic clock when the worker was last heard from.
type clockReading struct {
	ms int64
	at time.Time
}

// update replaces the stored reading by a new one that arrives now. The new reading was made after
// since, or at an unknown time if since is zero. If ms is 0, the worker gave no time and nothing
// changes.
//
// A new reading that may be older than the stored one replaces it only if its value is higher than
// the lowest value that the clock can show now. The time stored with the new reading is now.
func (c *clockReading) update(now, since time.Time, ms int64, rateBound float64) {
	bound, ok := c.lowerBound(now, rateBound)
	if ms > 0 && (!ok || ms > bound || since.After(c.at)) {
		*c = clockReading{ms: ms, at: now}
	}
}

// clockTolerance is how far a reading may be below the lowest possible value and still be taken as
// one of the same clock.
const clockTolerance = 100 * time.Millisecond

// isBehind reports whether ms, read after since, is lower than any value that this clock can have
// shown by then. The clock may be slow, and clockTolerance is allowed.
//
// Such a value proves that the worker has restarted, because each incarnation has a clock of its
// own.
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

package tbfleet

import "time"

// clockReading is a reading of a worker's monotonic clock. valueMs is the reading in milliseconds.
// receivedAt is when the leader received the reading, or zero if there is no reading.
type clockReading struct {
	valueMs    int64
	receivedAt time.Time
}

// update replaces the stored reading by a new one that arrives now. The worker read its clock after
// readAfter, or at an unknown time if readAfter is zero. If readingMs is 0, the worker gave no time
// and nothing changes.
//
// If readAfter is not later than receivedAt, the new reading may be older than the stored one. The
// new reading is then stored only if its value is higher than the lowest value that the clock can
// show now.
func (c *clockReading) update(now, readAfter time.Time, readingMs int64, rateBound float64) {
	bound, ok := c.lowestPossibleMs(now, rateBound)
	if readingMs > 0 && (!ok || readingMs > bound || readAfter.After(c.receivedAt)) {
		*c = clockReading{valueMs: readingMs, receivedAt: now}
	}
}

// clockTolerance is how far a reading may be below the lowest possible value of a clock. A reading
// further below is taken as a reading of another clock.
const clockTolerance = 100 * time.Millisecond

// isBehind reports whether readingMs is lower than any value that this clock can have shown after
// readAfter. The lowest possible value is that of a slow clock, less clockTolerance.
//
// Such a value proves that the worker has restarted, because each incarnation has a separate clock.
func (c clockReading) isBehind(readAfter time.Time, readingMs int64, rateBound float64) bool {
	if !c.isKnown() || readingMs <= 0 {
		return false
	}
	elapsed := readAfter.Sub(c.receivedAt)
	if elapsed > 0 {
		elapsed = time.Duration(float64(elapsed) * (1 - rateBound))
	}
	return time.Duration(readingMs-c.valueMs)*time.Millisecond < elapsed-clockTolerance
}

func (c clockReading) isKnown() bool { return !c.receivedAt.IsZero() }

// age returns the age of the reading, or 0 if there is none.
func (c clockReading) age(now time.Time) time.Duration {
	if !c.isKnown() {
		return 0
	}
	return now.Sub(c.receivedAt)
}

// lowestPossibleMs returns the lowest value, in milliseconds, that the clock can show now, or false
// if the clock was never read.
func (c clockReading) lowestPossibleMs(now time.Time, rateBound float64) (int64, bool) {
	if !c.isKnown() {
		return 0, false
	}
	return c.valueMs + int64(float64(c.age(now).Milliseconds())*(1-rateBound)), true
}

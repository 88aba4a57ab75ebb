package tbfleet

import "time"

// clockReading is what a worker's steady clock showed when it was last heard.
type clockReading struct {
	ms int64
	at time.Time
}

// take replaces the reading; workers report 0 where they name no time.
func (c *clockReading) take(now time.Time, ms int64) {
	if ms > 0 {
		*c = clockReading{ms: ms, at: now}
	}
}

func (c clockReading) known() bool { return !c.at.IsZero() }

// age returns how old the reading is, or 0 where there is none.
func (c clockReading) age(now time.Time) time.Duration {
	if !c.known() {
		return 0
	}
	return now.Sub(c.at)
}

// atLeast returns the least time that the clock can show, and false where it was never read.
func (c clockReading) atLeast(now time.Time, rateBound float64) (int64, bool) {
	if !c.known() {
		return 0, false
	}
	return c.ms + int64(float64(c.age(now).Milliseconds())*(1-rateBound)), true
}

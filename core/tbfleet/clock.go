package tbfleet

import "time"

// clockReading is what a worker's steady clock showed when it was last heard.
type clockReading struct {
	ms int64
	at time.Time
}

// take replaces the reading by one that was made after since; workers report 0 where they name no time.
//
// One that may be older than the known one is taken only where it shows more than that proves.
func (c *clockReading) take(now, since time.Time, ms int64, rateBound float64) {
	least, ok := c.atLeast(now, rateBound)
	if ms > 0 && (!ok || ms > least || since.After(c.at)) {
		*c = clockReading{ms: ms, at: now}
	}
}

// clockSlack is by how much two readings of one clock may seem to disagree.
const clockSlack = 100 * time.Millisecond

// behind reports whether ms, read after since, is less than the clock can have shown then.
//
// That proves a restart, since a worker's clock begins anew with each life.
func (c clockReading) behind(since time.Time, ms int64, rateBound float64) bool {
	if !c.known() || ms <= 0 {
		return false
	}
	passed := since.Sub(c.at)
	if passed > 0 {
		passed = time.Duration(float64(passed) * (1 - rateBound))
	}
	return time.Duration(ms-c.ms)*time.Millisecond < passed-clockSlack
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

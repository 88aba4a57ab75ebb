package tbdaemon

import "time"

// A process that gets no processor answers late, like one whose network or disk is slow. A goroutine that does nothing but wait
// tells them apart, because it is late only if the process is.

const (
	// pauseCheckInterval is how long the goroutine waits at a time.
	pauseCheckInterval = 50 * time.Millisecond
	// minPause is how late the end of a wait has to be to be a pause. A shorter one is well within the time limits of orders.
	minPause = 200 * time.Millisecond
	// pauseLogInterval is the least time between two log lines about pauses.
	pauseLogInterval = time.Second
)

// pauseMeter measures how late the waits of a goroutine end.
type pauseMeter struct {
	waitsSince time.Time
	// longest and sum are of the delays since takenAt.
	longest, sum time.Duration
	takenAt      time.Time
}

func newPauseMeter(now time.Time) *pauseMeter { return &pauseMeter{waitsSince: now, takenAt: now} }

// endWait ends a wait of pauseCheckInterval and begins the next one. It returns how late the end is.
func (m *pauseMeter) endWait(now time.Time) time.Duration {
	late := max(0, now.Sub(m.waitsSince)-pauseCheckInterval)
	m.waitsSince = now
	m.longest, m.sum = max(m.longest, late), m.sum+late
	return late
}

// take returns the longest delay and the sum of all since the last call that took them. It takes nothing and returns
// false if pauseLogInterval has not passed since, and also returns false if no delay was a pause.
func (m *pauseMeter) take(now time.Time) (longest, sum time.Duration, ok bool) {
	if now.Sub(m.takenAt) < pauseLogInterval {
		return 0, 0, false
	}
	longest, sum = m.longest, m.sum
	m.longest, m.sum, m.takenAt = 0, 0, now
	return longest, sum, longest > minPause
}

// watchPauses logs and counts pauses of the process until the daemon stops. readClock has to go on during pauses.
func (d *Daemon) watchPauses(readClock func() time.Time) {
	m := newPauseMeter(readClock())
	timer := time.NewTimer(pauseCheckInterval)
	defer timer.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-timer.C:
		}
		now := readClock()
		if late := m.endWait(now); late > minPause {
			d.counters.add("process.pauses")
			d.counters.addMany("process.pausedMs", int(late.Milliseconds()))
		}
		if longest, sum, ok := m.take(now); ok {
			d.log.Warn("process was paused", "longestMs", longest.Milliseconds(), "sumMs", sum.Milliseconds())
		}
		timer.Reset(pauseCheckInterval)
	}
}

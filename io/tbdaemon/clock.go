package tbdaemon

import (
	"time"

	"golang.org/x/sys/unix"
)

// clock reads a time that advances steadily, also while the instance is suspended.
//
// The monotonic clock of the Go runtime stops during a suspension. With that clock, a lease that
// expired during a suspension would still seem valid afterwards.
//
// The offset aligns readings with the wall clock at process start. Later steps of the wall clock do
// not affect readings.
type clock struct{ offset time.Duration }

func newClock() clock {
	return clock{offset: time.Duration(time.Now().UnixNano()) - readBootTime()}
}

// Now returns the current time without a monotonic clock reading.
func (c clock) Now() time.Time { return time.Unix(0, int64(readBootTime()+c.offset)) }

// Now returns the time on the daemon's clock, which also advances while the instance is suspended. The
// times in results of orders are on this clock.
func (d *Daemon) Now() time.Time { return d.clock.Now() }

func readBootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

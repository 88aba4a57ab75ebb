package tbforecast

import (
	"math"
	"time"
)

// Short jobs burst on a pool that is full, and more of them are accepted than can be done in the time in which their
// results are of use. The last of them then wait for many seconds and are worked on for nothing. Whether a new job can
// still be of use follows from the work that goes before it and from the processors that do this work.

// Work is waiting work of one kind, in processor seconds.
type Work struct {
	// OnTime is the work of jobs that can still meet their objective. Late is that of jobs that cannot, but whose
	// results will be of use.
	OnTime float64
	Late   float64
}

// Total returns all the work that is of use.
func (w Work) Total() float64 { return w.OnTime + w.Late }

// Load is what a new job meets: the work that goes before it, and the processors that do this work.
type Load struct {
	Ahead      Work
	Processors float64
}

// Job is a job whose end is predicted.
type Job struct {
	// Work is the work of all tasks in processor seconds, and Path the time of the longest chain of steps.
	Work float64
	Path time.Duration
	// Objective is the time in which the job has to end to be on time, and Useful that in which it has to end to be
	// of use. Both count from now.
	Objective time.Duration
	Useful    time.Duration
}

// Prediction says when a job would end.
type Prediction struct {
	// Start is when its first task would start, and End when its last one would end, counted from now.
	Start time.Duration
	End   time.Duration
	// Excess is how much longer than its Useful time the job would take. It is 0 or less if the job would be of use.
	Excess time.Duration
}

// IsUseful reports whether the job would end while its result is of use.
func (p Prediction) IsUseful() bool { return p.Excess <= 0 }

// longest is the longest predicted time.
const longest = time.Hour

// Predict returns when a job would end. Jobs that can be on time go before late ones. A job that could not be on time
// behind the former would therefore soon be late itself, and start behind all work that is of use. Work that arrives
// later is not counted: a burst may end at any moment, and nothing is refused that may still be of use.
func Predict(l Load, j Job) Prediction {
	duration := max(j.Path, timeFor(j.Work, l.Processors))
	start := timeFor(l.Ahead.OnTime, l.Processors)
	if start+duration > j.Objective {
		start = timeFor(l.Ahead.Total(), l.Processors)
	}
	end := start + duration
	return Prediction{Start: start, End: end, Excess: end - j.Useful}
}

// timeFor returns the time that processors need for some work, at most longest.
func timeFor(work, processors float64) time.Duration {
	if work <= 0 {
		return 0
	}
	seconds := work / processors
	if math.IsNaN(seconds) || seconds >= longest.Seconds() {
		return longest
	}
	return time.Duration(seconds * float64(time.Second))
}

package tbcontrol_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// Guards against an odd entry in the lists of a worker after which its ends are no longer recorded: the
// highest listed number counts as recorded, so that a number that is too large ended all recording.
func TestOddEntriesInListsDoNotStopTheOthers(t *testing.T) {
	for name, add := range map[string]func(a *tbfleet.PollAnswered){
		"largest number of an end": func(a *tbfleet.PollAnswered) {
			a.Ended = append(a.Ended, tbfleet.ListedEnd{Number: math.MaxUint64, Ref: tbflow.TaskRef{Job: "odd"}, Run: 1})
		},
		"large number of an end": func(a *tbfleet.PollAnswered) {
			a.Ended = append([]tbfleet.ListedEnd{{Number: 1 << 40, Ref: tbflow.TaskRef{Job: "odd"}, Run: 1}}, a.Ended...)
		},
		"unreadable row": func(a *tbfleet.PollAnswered) {
			a.Running = append(a.Running, tbfleet.ListedRun{Ref: tbflow.TaskRef{Job: "odd"}})
		},
		"large indexes": func(a *tbfleet.PollAnswered) {
			ref := tbflow.TaskRef{Job: "load00", Occurrence: math.MaxInt, Step: math.MinInt, Index: math.MaxInt}
			a.Running = append(a.Running, tbfleet.ListedRun{Ref: ref, Run: math.MaxUint64, Progress: math.MaxInt, Measurement: math.MaxInt64})
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newCrashSimulation(t, 1, 4)
			sim.addOddEntries = add
			sim.submitLoad("load", 12)
			// A start without an answer is settled although the odd entry stays.
			sim.machines[0].unreachableUntil = sim.now.Add(time.Second)
			sim.submitLoad("late", 12)
			sim.run(20 * time.Second)
			sim.checkOthersSurvive("")
		})
	}
}

// Guards against reports of other writers with the id of a worker, after which the worker's own reports count
// as outdated or its runs as lost.
func TestOddReportsDoNotShutOutAWorker(t *testing.T) {
	valid := tbfleet.Report{Address: "m00", Incarnation: 1, Class: "c", ClockMs: 1, Sequence: 1, Capacity: machineCapacity}
	for name, change := range map[string]func(r *tbfleet.Report){
		"sequence":    func(r *tbfleet.Report) { r.Sequence = math.MaxUint64 },
		"incarnation": func(r *tbfleet.Report) { r.Incarnation = math.MaxInt64 },
		"clock":       func(r *tbfleet.Report) { r.Sequence, r.ClockMs = 1<<40, math.MaxInt64 },
		"capacity": func(r *tbfleet.Report) {
			r.Sequence, r.Capacity = 1<<40, tbresource.Amount{MilliProcessors: math.MaxInt64}
		},
		"negative": func(r *tbfleet.Report) { r.Sequence, r.Capacity = 1<<40, tbresource.Amount{MemoryMB: math.MinInt64} },
	} {
		t.Run(name, func(t *testing.T) {
			sim := newCrashSimulation(t, 1, 1)
			m := sim.machines[0]
			odd := valid
			odd.ID, odd.Incarnation, odd.ClockMs = m.id, m.incarnation, m.clockMs(sim.now)
			change(&odd)
			a := sim.ask(tbcontrol.WorkerReported{Report: odd})
			qt.Check(t, a.Answer.Code, qt.Equals, tbcontrol.Invalid)
			sim.submitLoad("load", 12)
			sim.run(20 * time.Second)
			sim.checkOthersSurvive("")
		})
	}
}

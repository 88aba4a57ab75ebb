package tbflow

import (
	"slices"
	"time"
)

// A task can crash each worker that starts it. Other tasks on these workers are lost with it and have to
// run again, and at first they all look the same. Workers also crash by themselves, with all their tasks.
//
// What tells a harmful task from the others is that these run well on other workers. The state therefore
// records the crashes under each task. A run is unproven until it has executed for ObservationTime. Only
// unproven runs are suspects of a crash. A crash points at the runs that began just before it, and the
// fewer jobs are suspects, the more it says. A suspect starts apart from other unproven runs (tbassign),
// so that its next crash says more. A job is given up after several crashes under one of its tasks.

// Bounds of the time that a run is observed, and crashes after which a job is given up.
const (
	// minObservation is the observation time of a task without crashes. A task that takes longer to crash
	// its worker is observed for longer after its first crash.
	minObservation = time.Second
	maxObservation = crashRetention / 4
	// crashRetention is how long a crash counts. A long-running task must not be given up for rare crashes
	// of its machines.
	crashRetention = 5 * time.Minute
)

// Crash is a crash of a worker on which a run of a task may have been executing.
type Crash struct {
	Worker      string
	Incarnation int64
	Address     string
	Run         uint64
	// AtMs is when the crash was recorded, in milliseconds since 1970.
	AtMs int64
	// RanMs is how long the run is known to have executed, in milliseconds.
	RanMs int64
	// AgeMs is the time from the first proof that the run was executing to the crash, in milliseconds, or 0
	// if that is unknown.
	AgeMs int64
	// Suspects is the number of jobs with an unproven run on the worker. It is 0 if this run was proven.
	Suspects int
	// SuspicionPermille is the share of the suspicion that falls on the job of the task, in thousandths. The
	// rest falls on the other suspects and on the machine.
	SuspicionPermille int
}

// CrashedRun is a run that may have been executing when its worker crashed or was last heard from.
type CrashedRun struct {
	Ref TaskRef
	Run uint64
	// RanMs is how long the run is known to have executed, in milliseconds.
	RanMs int64
	// AgeMs has the meaning that it has in Crash.
	AgeMs int64
	// Unconfirmed is true if it is not known that the worker has received the start.
	Unconfirmed bool
}

// LostRuns are the runs of a worker incarnation whose lease expired in silence. If a later incarnation
// shows that the worker had crashed, they are part of that crash.
type LostRuns struct {
	Incarnation int64
	Runs        []CrashedRun
}

// RecordCrash records that an incarnation of a worker has crashed, and the runs that it may have been
// executing. A crash that is already recorded for a task is not recorded again.
type RecordCrash struct {
	Worker      string
	Incarnation int64
	Address     string
	// EarlierCrashes is the number of other recent crashes at the address.
	EarlierCrashes int
	Runs           []CrashedRun
}

// RecordLost records the runs of a worker incarnation whose lease expired in silence. Without runs it
// records that the incarnation has been heard from again.
type RecordLost struct {
	Worker      string
	Incarnation int64
	Runs        []CrashedRun
}

// RecordProven records that runs have executed for the observation time of their tasks. The earlier crashes
// under these tasks no longer count.
type RecordProven struct{ Runs []RunRef }

func (RecordCrash) isCommand()  {}
func (RecordLost) isCommand()   {}
func (RecordProven) isCommand() {}

// ObservationTime returns how long a run of a task has to execute until it is proven not to crash its
// worker. The argument holds the recorded crashes of the task.
func ObservationTime(crashes []Crash) time.Duration {
	observation := minObservation
	for i := range crashes {
		observation = max(observation, 2*time.Duration(crashes[i].RanMs)*time.Millisecond)
	}
	return min(observation, maxObservation)
}

// SuspectedCrashes returns the number of recorded crashes of which the task is a suspect.
func SuspectedCrashes(crashes []Crash) int {
	n := 0
	for i := range crashes {
		if crashes[i].Suspects > 0 {
			n++
		}
	}
	return n
}

func (s *State) recordCrash(c RecordCrash) {
	if l, ok := s.Lost[c.Worker]; ok && l.Incarnation <= c.Incarnation {
		delete(s.Lost, c.Worker)
	}
	if w := s.Workers[c.Worker]; w != nil && w.Incarnation == c.Incarnation && w.Draining {
		return
	}
	var involved []CrashedRun
	weights, weightByJob, totalWeight := map[TaskRef]int{}, map[string]int{}, c.machineWeight()
	for _, r := range c.Runs {
		t := s.task(r.Ref)
		if t == nil || t.Phase == TaskDone || s.lastRun(r.Ref, t) < r.Run {
			continue
		}
		involved = append(involved, r)
		crashes := s.Crashes[r.Ref]
		if time.Duration(r.RanMs)*time.Millisecond < ObservationTime(crashes) {
			weights[r.Ref] = r.weight(crashes)
			// The number of its tasks does not make a job more suspect.
			weightByJob[r.Ref.Job] = max(weightByJob[r.Ref.Job], weights[r.Ref])
		}
	}
	for _, weight := range weightByJob {
		totalWeight += weight
	}
	for _, r := range involved {
		crash := Crash{Worker: c.Worker, Incarnation: c.Incarnation, Address: c.Address, Run: r.Run, AtMs: s.NowMs, RanMs: r.RanMs, AgeMs: r.AgeMs}
		if weight, isSuspect := weights[r.Ref]; isSuspect {
			total := totalWeight
			if r.Unconfirmed {
				// The worker may have crashed before the start arrived.
				total += weight
			}
			crash.Suspects, crash.SuspicionPermille = len(weightByJob), 1000*weightByJob[r.Ref.Job]/total
		}
		s.addCrash(r.Ref, crash)
	}
	for _, r := range involved {
		if j := s.Jobs[r.Ref.Job]; !j.Phase.Ended() && MustGiveUp(s.Crashes[r.Ref]) {
			s.endJob(j, Failed)
		}
	}
}

// addCrash adds a crash to those of a task and removes those before crashRetention. A proven run shows
// that the task does not crash its workers as in earlier crashes, which are therefore removed, too.
func (s *State) addCrash(ref TaskRef, crash Crash) {
	crashes := s.Crashes[ref]
	if slices.ContainsFunc(crashes, func(c Crash) bool { return c.Worker == crash.Worker && c.Incarnation == crash.Incarnation }) {
		return
	}
	kept := slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool {
		return crash.Suspects == 0 || c.AtMs+crashRetention.Milliseconds() < crash.AtMs
	})
	s.Crashes[ref] = append(kept, crash)
}

func (s *State) recordLost(c RecordLost) {
	l, ok := s.Lost[c.Worker]
	switch {
	case ok && l.Incarnation > c.Incarnation:
	case len(c.Runs) == 0:
		delete(s.Lost, c.Worker)
	case ok && l.Incarnation == c.Incarnation:
		s.Lost[c.Worker] = LostRuns{Incarnation: c.Incarnation, Runs: append(slices.Clone(l.Runs), c.Runs...)}
	default:
		s.Lost[c.Worker] = LostRuns{Incarnation: c.Incarnation, Runs: c.Runs}
	}
}

// IsLost reports whether a run of a task was lost in silence, and it is not known yet whether its worker
// has crashed.
func (s *State) IsLost(ref TaskRef) bool {
	for _, l := range s.Lost {
		if slices.ContainsFunc(l.Runs, func(r CrashedRun) bool { return r.Ref == ref }) {
			return true
		}
	}
	return false
}

func (s *State) recordProven(c RecordProven) {
	for _, r := range c.Runs {
		if t := s.task(r.Ref); t != nil && t.Phase == TaskAssigned && (t.Run == r.Run || s.Copies[r.Ref].IsAssigned() && s.Copies[r.Ref].Run == r.Run) {
			delete(s.Crashes, r.Ref)
		}
	}
}

// task returns the task that ref identifies, or nil if there is none.
func (s *State) task(ref TaskRef) *Task {
	if j := s.Jobs[ref.Job]; j != nil {
		return j.Task(ref)
	}
	return nil
}

// removeCrashes removes the recorded crashes of a job's tasks.
func (s *State) removeCrashes(j *Job) {
	if len(s.Crashes) == 0 {
		return
	}
	j.EachTask(func(ref TaskRef, _ *Task) { delete(s.Crashes, ref) })
}

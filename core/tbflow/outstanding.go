package tbflow

import "slices"

// A start that gets no answer may be executed seconds later, by whichever incarnation of its worker is there
// then. The incarnation that confirms a stop of the run, or that has seen a higher token, refuses the start. The
// next one knows neither, so no answer of a worker settles such a start.
//
// The state keeps the start as outstanding until it can have no effect any more. Meanwhile, the task is bound: it
// is assigned only to the worker to which the start was sent, or to the one that took over its address. There it may
// start again at once under a higher run number. One incarnation at a time executes there. While it goes on, it
// refuses the earlier run, and when it ends, the later run ends with it. So whichever of the starts are executed, and
// when, the task runs at one place at a time.

// OutstandingStart is a start without an answer that a worker may still execute.
type OutstandingStart struct {
	Run uint64
	// Worker, Incarnation and Address are those to which the start was sent.
	Worker      string
	Incarnation int64
	Address     string
}

// RecordUnanswered ends the assignment of runs whose starts got no answer and that the worker does not execute.
// The starts are outstanding from then on.
type RecordUnanswered struct {
	Worker      string
	Incarnation int64
	Address     string
	Runs        []RunRef
}

// RecordSettled records that outstanding starts cannot be executed any more.
type RecordSettled struct{ Starts []SettledStart }

// SettledStart is an outstanding start of a task that is settled.
type SettledStart struct {
	Ref   TaskRef
	Start OutstandingStart
}

func (RecordUnanswered) isCommand() {}
func (RecordSettled) isCommand()    {}

// IsBound reports whether a start of the task is outstanding.
func (s *State) IsBound(ref TaskRef) bool { return len(s.Outstanding[ref]) > 0 }

// MayAssign reports whether the outstanding starts of a task allow an assignment to the worker.
func (s *State) MayAssign(ref TaskRef, worker string) bool {
	for _, o := range s.Outstanding[ref] {
		if o.Worker != worker && (o.Address == "" || o.Address != s.addressOf(worker)) {
			return false
		}
	}
	return true
}

// addressOf returns the recorded address of a worker, or "" if there is none.
func (s *State) addressOf(worker string) string {
	if w := s.Workers[worker]; w != nil {
		return w.Address
	}
	return ""
}

func (s *State) recordUnanswered(c RecordUnanswered) {
	for _, r := range c.Runs {
		t := s.task(r.Ref)
		if t == nil || t.Phase != TaskAssigned || t.Run != r.Run || t.Worker != c.Worker || t.Incarnation != c.Incarnation {
			continue
		}
		s.addOutstanding(r.Ref, OutstandingStart{Run: r.Run, Worker: c.Worker, Incarnation: c.Incarnation, Address: c.Address})
		s.endRun(c.Worker, c.Incarnation, End{Ref: r.Ref, Run: r.Run, Kind: EndNeverRan})
	}
}

func (s *State) recordSettled(c RecordSettled) {
	for _, settled := range c.Starts {
		s.removeOutstanding(settled.Ref, settled.Start)
	}
}

func (s *State) removeOutstanding(ref TaskRef, start OutstandingStart) {
	kept := slices.DeleteFunc(slices.Clone(s.Outstanding[ref]), func(o OutstandingStart) bool { return o == start })
	if s.Outstanding[ref] = kept; len(kept) == 0 {
		delete(s.Outstanding, ref)
	}
}

func (s *State) addOutstanding(ref TaskRef, o OutstandingStart) {
	s.Outstanding[ref] = append(slices.Clone(s.Outstanding[ref]), o)
}

// endOutstanding records the end of a run that is not assigned to the worker, which has executed an outstanding
// start of it. If the task is done by that, its later run is not needed. Whether the start of that run was executed is
// not known here.
func (s *State) endOutstanding(worker string, j *Job, t *Task, e End) {
	i := slices.IndexFunc(s.Outstanding[e.Ref], func(o OutstandingStart) bool { return o.Run == e.Run && o.Worker == worker })
	if i < 0 {
		return
	}
	s.removeOutstanding(e.Ref, s.Outstanding[e.Ref][i])
	if t.Phase == TaskDone {
		return
	}
	if t.Phase == TaskAssigned && e.Kind == EndDone && !j.Steps[e.Ref.Step].LongRunning {
		s.addOutstanding(e.Ref, OutstandingStart{Run: t.Run, Worker: t.Worker, Incarnation: t.Incarnation, Address: s.addressOf(t.Worker)})
		s.removeRun(j, e.Ref, t)
	}
	s.applyEnd(worker, j, t, e)
}

// removeOutstandingOf removes the outstanding starts of a job's tasks.
func (s *State) removeOutstandingOf(j *Job) {
	if len(s.Outstanding) == 0 {
		return
	}
	j.EachTask(func(ref TaskRef, _ *Task) { delete(s.Outstanding, ref) })
}

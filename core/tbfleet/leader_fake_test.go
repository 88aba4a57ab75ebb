package tbfleet_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// leader is one term's leader; only the newest one commits anything.
type leader struct {
	term  uint64
	fleet *tbfleet.Fleet
	// frozenUntil is when the process runs again; answers wait until then.
	frozenUntil time.Time
	// Without its quorum until quorumAt, it is not confirmed from unsureFrom on.
	unsureFrom time.Time
	quorumAt   time.Time
	// assigning is true while a plan is proposed and not yet applied.
	assigning bool
	// gone is true once it is down or knows that another one leads.
	gone bool
}

// proposal is a command that a leader wants to commit.
type proposal struct {
	c  tbflow.Command
	at time.Time
}

// confirmed reports whether a leader may act: a quorum has lately said so.
func (w *world) confirmed(l *leader) bool {
	return l == w.leader && !l.gone && !w.now.Before(l.frozenUntil) &&
		(w.now.Before(l.unsureFrom) || !w.now.Before(l.quorumAt))
}

// lead lets a new leader take over what is committed; any first part of what the one
// before proposed may be.
func (w *world) lead() {
	survive := w.rng.IntN(len(w.pending) + 1)
	for _, p := range w.pending[:survive] {
		w.state.Apply(w.now.UnixMilli(), p.c)
	}
	w.pending = nil
	if old := w.leader; old != nil && !old.gone {
		learns := time.Duration(w.rng.IntN(1500)) * time.Millisecond
		if old.frozenUntil.After(w.now) {
			learns += old.frozenUntil.Sub(w.now)
		}
		w.after(learns, func() { old.gone = true })
	}
	w.term++
	w.leader = &leader{term: w.term, fleet: tbfleet.New(terms, w.term)}
	w.note("leader of term %d takes over, %d of the proposals are committed", w.term, survive)
	w.leader.fleet.TakeOver(w.now, w.state)
	for _, id := range w.jobs {
		w.stopEnded(id)
	}
}

// elect replaces the present leader after a while, unless somebody else did.
func (w *world) elect(after time.Duration) {
	old := w.leader
	w.after(after, func() {
		if w.leader == old {
			w.lead()
		}
	})
}

func (w *world) propose(c tbflow.Command) {
	w.pending = append(w.pending, proposal{c: c, at: w.now})
}

// insist proposes a command again and again until it has taken effect.
func (w *world) insist(c tbflow.Command, done func() bool) {
	if done() {
		return
	}
	if w.leader != nil && w.confirmed(w.leader) {
		w.propose(c)
	}
	w.after(300*time.Millisecond, func() { w.insist(c, done) })
}

// commit applies what a quorum has on disk.
func (w *world) commit() {
	if w.now.Before(w.leader.quorumAt) {
		return
	}
	for len(w.pending) > 0 && w.now.Sub(w.pending[0].at) >= commitTime {
		c := w.pending[0].c
		w.pending = w.pending[1:]
		w.state.Apply(w.now.UnixMilli(), c)
		w.leader.fleet.Applied(w.now, w.state, c)
		w.applied(c)
	}
}

// applied does what a leader does beside its fleet after a command is committed.
func (w *world) applied(c tbflow.Command) {
	switch c := c.(type) {
	case tbflow.Assign:
		w.leader.assigning = false
	case tbflow.Cancel:
		w.stopEnded(c.ID)
	case tbflow.NoteEnds:
		w.note("recorded of %s/%d through %d: %v", c.Worker, c.Born, c.Through, c.Ends)
		w.judge.committed(c)
		for _, e := range c.Ends {
			w.stopEnded(e.Ref.Job)
		}
	case tbflow.NoteDraining:
		w.after(2*time.Millisecond, func() { w.drainingAcked(c) })
	}
}

// stopEnded stops what is left of a job that has ended.
func (w *world) stopEnded(id string) {
	j := w.state.Jobs[id]
	if j == nil || !j.Phase.Ended() {
		return
	}
	j.EachTask(func(ref tbflow.TaskRef, t *tbflow.Task) {
		if t.Phase == tbflow.TaskAssigned {
			w.leader.fleet.Stop(w.now, t.Worker, ref)
		}
	})
}

// act lets the leader do what is due; one that is not confirmed sends nothing.
func (w *world) act(n int) {
	l := w.leader
	if !w.confirmed(l) {
		return
	}
	w.commit()
	if n%10 == 0 {
		l.fleet.Tick(w.now)
		w.evacuate()
	}
	w.plan()
	w.carryOut(l)
}

// evacuate stops the lasting tasks of workers that leave.
func (w *world) evacuate() {
	for _, v := range w.leader.fleet.Workers() {
		if !v.Draining {
			continue
		}
		for _, ref := range sortedRuns(v) {
			if step := w.state.StepOf(ref); step != nil && step.Lasting {
				w.leader.fleet.Stop(w.now, v.ID, ref)
			}
		}
	}
}

func sortedRuns(v *tbfleet.Worker) []tbflow.TaskRef {
	var refs []tbflow.TaskRef
	v.EachRun(func(ref tbflow.TaskRef, _ *tbfleet.Run) { refs = append(refs, ref) })
	slices.SortFunc(refs, compareRefs)
	return refs
}

// plan assigns every waiting task to a usable worker; one plan is under way at most.
func (w *world) plan() {
	l := w.leader
	if l.assigning {
		return
	}
	var usable []*tbfleet.Worker
	for _, v := range l.fleet.Workers() {
		if l.fleet.Usable(v, w.now) {
			usable = append(usable, v)
		}
	}
	if len(usable) == 0 {
		return
	}
	var runs []tbflow.Assignment
	for _, j := range w.state.Active() {
		if strings.HasPrefix(j.ID, probe) {
			continue
		}
		j.EachTask(func(ref tbflow.TaskRef, t *tbflow.Task) {
			if t.Phase == tbflow.TaskWaiting && j.StepReady(ref.Occurrence, ref.Step) {
				v := usable[w.rng.IntN(len(usable))]
				runs = append(runs, tbflow.Assignment{Ref: ref, Run: t.Run + 1, Worker: v.ID, Born: v.Born})
			}
		})
	}
	if len(runs) > 0 {
		l.assigning = true
		w.propose(tbflow.Assign{Runs: runs})
	}
}

// carryOut sends the leader's orders and proposes its commands.
//
// The fleet keeps its workers in maps; sorted, one seed makes one schedule.
func (w *world) carryOut(l *leader) {
	out := l.fleet.Take()
	for i, c := range out.Commands {
		if c, ok := c.(tbflow.NoteEnds); ok {
			c.Ends = slices.Clone(c.Ends)
			slices.SortFunc(c.Ends, func(a, b tbflow.End) int { return compareRefs(a.Ref, b.Ref) })
			out.Commands[i] = c
		}
	}
	if len(out.Commands) > 1 {
		slices.SortStableFunc(out.Commands, func(a, b tbflow.Command) int { return strings.Compare(commandKey(a), commandKey(b)) })
	}
	if len(out.Calls) > 1 {
		slices.SortStableFunc(out.Calls, func(a, b tbfleet.Call) int { return strings.Compare(callKey(a), callKey(b)) })
	}
	for _, c := range out.Commands {
		w.propose(c)
	}
	for _, n := range out.Notes {
		w.note("%s: %s %s", n.Worker, n.What, n.Detail)
	}
	for _, c := range out.Calls {
		w.checkDrained(c)
		w.send(l, c)
	}
}

func commandKey(c tbflow.Command) string {
	switch c := c.(type) {
	case tbflow.NoteEnds:
		key := fmt.Sprintf("%s 0 %020d %020d", c.Worker, c.Born, c.Through)
		for _, e := range c.Ends {
			key += " " + e.Ref.String()
		}
		return key
	case tbflow.ForgetWorker:
		return c.Worker + " 1"
	}
	panic(fmt.Sprintf("the fleet proposed %T", c))
}

func callKey(c tbfleet.Call) string {
	t, _, _ := callTarget(c)
	switch c := c.(type) {
	case tbfleet.Start:
		return fmt.Sprintf("%s 0 %v %d", t.ID, c.Ref, c.Run)
	case tbfleet.Stop:
		return fmt.Sprintf("%s 1 %v %d", t.ID, c.Ref, c.Run)
	}
	return t.ID + " 2"
}

// checkDrained asserts that a worker which was promised no more tasks gets none.
func (w *world) checkDrained(c tbfleet.Call) {
	t, _, _ := callTarget(c)
	fw := w.hosts[t.Address]
	if _, ok := c.(tbfleet.Start); !ok || fw == nil || fw.id != t.ID || fw.born != t.Born || fw.drainingAcked.IsZero() {
		return
	}
	if w.now.Sub(fw.drainingAcked) > time.Second {
		w.fail("%s/%d gets %v after its draining was acknowledged", fw.id, fw.born, c)
	}
}

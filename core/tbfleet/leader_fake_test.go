package tbfleet_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// leader is the leader of one term. Only the newest leader commits commands.
type leader struct {
	term  uint64
	fleet *tbfleet.Fleet
	// pausedUntil is when the paused process resumes. Answers are delivered only then.
	pausedUntil time.Time
	// The leader may not act from noQuorumFrom until quorumBackAt, because it has lost its quorum.
	// Before noQuorumFrom, the last confirmation by the quorum still allows it to act.
	noQuorumFrom time.Time
	quorumBackAt time.Time
	// clockOffset is how far the leader's wall clock is ahead of the others.
	clockOffset time.Duration
	// assignInFlight is true while an Assign command is proposed and not yet applied.
	assignInFlight bool
	// stopped is true once the leader's process has ended, or the leader knows that another one has
	// been elected.
	stopped bool
}

// maxClockOffset is the largest error of a leader's wall clock.
const maxClockOffset = 2 * time.Second

// proposal is a command that a leader wants to commit.
type proposal struct {
	command    tbflow.Command
	proposedAt time.Time
}

// mayAct reports whether l is the current leader, is running, and was recently confirmed by a
// quorum.
func (sim *simulation) mayAct(l *leader) bool {
	return l == sim.leader && !l.stopped && !sim.now.Before(l.pausedUntil) &&
		(sim.now.Before(l.noQuorumFrom) || !sim.now.Before(l.quorumBackAt))
}

// electLeader lets a new leader take over. Some of the old leader's pending proposals are committed
// first: a prefix of random length.
func (sim *simulation) electLeader() {
	committedCount := sim.rng.IntN(len(sim.pendingProposals) + 1)
	for _, p := range sim.pendingProposals[:committedCount] {
		sim.applyCommitted(p, sim.leader.clockOffset, false)
	}
	sim.pendingProposals = nil
	replica := sim.replicas.elect(sim.now, sim.leader)
	sim.checkReplica(replica)
	if old := sim.leader; old != nil && !old.stopped {
		delay := time.Duration(sim.rng.IntN(1500)) * time.Millisecond
		if old.pausedUntil.After(sim.now) {
			delay += old.pausedUntil.Sub(sim.now)
		}
		sim.schedule(delay, func() { old.stopped = true })
	}
	sim.lastTerm++
	sim.leader = &leader{term: sim.lastTerm, fleet: tbfleet.New(sim.params, sim.lastTerm)}
	if sim.rng.IntN(3) == 0 {
		sim.leader.clockOffset = sim.randomDuration(-maxClockOffset, maxClockOffset)
	}
	sim.logf("leader of term %d takes over, %d pending proposals are committed", sim.lastTerm, committedCount)
	sim.leader.fleet.TakeOver(sim.now, sim.state, replica.times)
	for _, id := range sim.jobIDs {
		sim.stopEndedJob(id)
	}
}

// electAfter elects another leader after a while, unless the current leader has been replaced by
// then.
func (sim *simulation) electAfter(delay time.Duration) {
	old := sim.leader
	sim.schedule(delay, func() {
		if sim.leader == old {
			sim.electLeader()
		}
	})
}

func (sim *simulation) propose(c tbflow.Command) {
	sim.pendingProposals = append(sim.pendingProposals, proposal{command: c, proposedAt: sim.now})
}

// proposeUntil proposes a command repeatedly until done returns true.
func (sim *simulation) proposeUntil(c tbflow.Command, done func() bool) {
	if done() {
		return
	}
	if sim.leader != nil && sim.mayAct(sim.leader) {
		sim.propose(c)
	}
	sim.schedule(300*time.Millisecond, func() { sim.proposeUntil(c, done) })
}

// commit applies the proposals that a quorum has stored on disk.
func (sim *simulation) commit() {
	if sim.now.Before(sim.leader.quorumBackAt) || sim.commitsPause() {
		return
	}
	for len(sim.pendingProposals) > 0 && sim.now.Sub(sim.pendingProposals[0].proposedAt) >= commitDelay {
		p := sim.pendingProposals[0]
		c := p.command
		sim.pendingProposals = sim.pendingProposals[1:]
		sim.applyCommitted(p, sim.leader.clockOffset, true)
		sim.leader.fleet.HandleApplied(sim.now, sim.state, c)
		sim.onApplied(c)
		sim.checker.checkCopies()
	}
}

// applyCommitted applies a committed command to the state, and gives it to the replicas.
func (sim *simulation) applyCommitted(p proposal, clockOffset time.Duration, hasLeader bool) {
	sim.state.Apply(p.proposedAt.Add(clockOffset).UnixMilli(), p.command)
	sim.replicas.commit(sim.now, p, clockOffset, hasLeader)
}

// onApplied does what a leader does in other parts than its fleet after a command is committed.
func (sim *simulation) onApplied(c tbflow.Command) {
	switch c := c.(type) {
	case tbflow.Assign:
		sim.leader.assignInFlight = false
	case tbflow.AssignCopies:
		for _, a := range c.Assignments {
			if sim.state.Copies[a.Ref].Run == a.Run {
				sim.copyCount++
			}
		}
	case tbflow.Cancel:
		sim.stopEndedJob(c.ID)
	case tbflow.RecordEnds:
		sim.logf("recorded ends of %s/%d through %d: %v", c.Worker, c.Incarnation, c.LastEnd, c.Ends)
		sim.checker.onEndsRecorded(c)
		for _, e := range c.Ends {
			sim.stopEndedJob(e.Ref.Job)
		}
	case tbflow.RecordUnanswered:
		sim.logf("recorded unanswered starts at %s/%d: %v", c.Worker, c.Incarnation, c.Runs)
	case tbflow.RecordSettled:
		sim.logf("recorded settled starts: %v", c.Starts)
	case tbflow.RecordCrash:
		sim.checkCrash(c)
		for _, r := range c.Runs {
			sim.stopEndedJob(r.Ref.Job)
		}
	case tbflow.RecordDraining:
		sim.schedule(2*time.Millisecond, func() { sim.ackDraining(c) })
	}
}

// checkCrash checks that a worker whose crash is recorded has ended, and that no run is named that the
// worker never had.
func (sim *simulation) checkCrash(c tbflow.RecordCrash) {
	sim.logf("recorded crash of %s/%d: %v", c.Worker, c.Incarnation, c.Runs)
	sim.crashCount++
	sim.eachWorker(func(fw *fakeWorker) {
		if fw.id == c.Worker && fw.incarnation == c.Incarnation {
			sim.failf("%s/%d is running, but its crash is recorded", c.Worker, c.Incarnation)
		}
	})
	for _, r := range c.Runs {
		if ran := time.Duration(r.RanMs) * time.Millisecond; ran > sim.now.Sub(time.UnixMilli(c.Incarnation)) {
			sim.failf("%v is said to have executed for %v on %s/%d", r.Ref, ran, c.Worker, c.Incarnation)
		}
	}
}

// stopEndedJob stops the remaining runs of a job that has ended.
func (sim *simulation) stopEndedJob(id string) {
	j := sim.state.Jobs[id]
	if j == nil || !j.Phase.Ended() {
		return
	}
	if sim.copyRNG != nil && j.Phase == tbflow.Completed {
		// Only second runs are left, which the fleet stops by itself.
		return
	}
	sim.state.EachRunOf(j, func(ref tbflow.TaskRef, worker string) { sim.leader.fleet.Stop(sim.now, worker, ref) })
}

// advanceLeader lets the current leader act. A leader that may not act sends nothing.
func (sim *simulation) advanceLeader(n int) {
	l := sim.leader
	if !sim.mayAct(l) {
		return
	}
	sim.commit()
	if n%10 == 0 {
		l.fleet.Tick(sim.now)
		sim.stopLongRunningOnDraining()
	}
	sim.assignWaiting()
	sim.assignCopies()
	sim.sendOutput(l)
}

// stopLongRunningOnDraining stops the long-running tasks of draining workers.
func (sim *simulation) stopLongRunningOnDraining() {
	for _, w := range sim.leader.fleet.Workers() {
		if !w.Draining {
			continue
		}
		for _, ref := range sortedTaskRefs(w) {
			if step := sim.state.StepOf(ref); step != nil && step.LongRunning {
				sim.leader.fleet.Stop(sim.now, w.ID, ref)
			}
		}
	}
}

func sortedTaskRefs(v *tbfleet.Worker) []tbflow.TaskRef {
	var refs []tbflow.TaskRef
	v.EachRun(func(ref tbflow.TaskRef, _ *tbfleet.Run) { refs = append(refs, ref) })
	slices.SortFunc(refs, compareRefs)
	return refs
}

// assignWaiting assigns every waiting task to a usable worker. It does nothing while an Assign
// command is in flight.
func (sim *simulation) assignWaiting() {
	l := sim.leader
	if l.assignInFlight {
		return
	}
	var runs []tbflow.Assignment
	for _, j := range sim.state.Active() {
		if strings.HasPrefix(j.ID, probePrefix) {
			continue
		}
		j.EachTask(func(ref tbflow.TaskRef, t *tbflow.Task) {
			if t.Phase == tbflow.TaskWaiting && j.StepReady(ref.Occurrence, ref.Step) {
				runs = append(runs, tbflow.Assignment{Ref: ref, Run: sim.state.NextRun(ref)})
			}
		})
	}
	if len(runs) == 0 {
		return
	}
	var usable []*tbfleet.Worker
	for _, v := range l.fleet.Workers() {
		if l.fleet.Usable(v, sim.now) {
			usable = append(usable, v)
		}
	}
	if len(usable) == 0 {
		return
	}
	var chosen []tbflow.Assignment
	for _, a := range runs {
		if sim.chooseWorker(&a, usable) {
			chosen = append(chosen, a)
		}
	}
	if len(chosen) == 0 {
		return
	}
	l.assignInFlight = true
	sim.propose(tbflow.Assign{Assignments: chosen})
}

// copyAge is the age from which the first run of a task is copied.
const copyAge = 4 * time.Second

// assignCopies proposes second runs of tasks whose first runs take long, and sometimes of others, which the state
// refuses.
func (sim *simulation) assignCopies() {
	if sim.copyRNG == nil || sim.copyRNG.IntN(10) > 0 {
		return
	}
	var copies []tbflow.Assignment
	for _, j := range sim.state.Active() {
		j.EachTask(func(ref tbflow.TaskRef, t *tbflow.Task) {
			isOld := t.AssignedMs+copyAge.Milliseconds() < sim.now.UnixMilli()
			if t.Phase != tbflow.TaskAssigned || !isOld || !j.Steps[ref.Step].Speculative && sim.copyRNG.IntN(20) > 0 {
				return
			}
			for _, v := range sim.leader.fleet.Workers() {
				if sim.leader.fleet.Usable(v, sim.now) && sim.leader.fleet.MayCopy(sim.state, v, ref) && sim.copyRNG.IntN(2) == 0 {
					copies = append(copies, tbflow.Assignment{Ref: ref, Run: sim.state.NextRun(ref), Worker: v.ID, Incarnation: v.Incarnation})
					return
				}
			}
		})
	}
	if len(copies) > 0 {
		sim.propose(tbflow.AssignCopies{Assignments: copies})
	}
}

// chooseWorker assigns a run to one of the workers that may start it, and reports whether there is one.
func (sim *simulation) chooseWorker(a *tbflow.Assignment, workers []*tbfleet.Worker) bool {
	var allowed []*tbfleet.Worker
	for _, v := range workers {
		if sim.leader.fleet.MayStart(sim.state, v, a.Ref) {
			allowed = append(allowed, v)
		}
	}
	if len(allowed) == 0 {
		return false
	}
	v := allowed[sim.rng.IntN(len(allowed))]
	a.Worker, a.Incarnation = v.ID, v.Incarnation
	return true
}

// sendOutput sends the leader's orders and proposes its commands.
//
// The fleet keeps the runs of a worker in a map, so their order is random. sendOutput sorts the
// output, so that a seed always gives the same schedule.
func (sim *simulation) sendOutput(l *leader) {
	out := l.fleet.TakeOutput()
	for i, c := range out.Commands {
		if c, ok := c.(tbflow.RecordEnds); ok {
			c.Ends = slices.Clone(c.Ends)
			slices.SortFunc(c.Ends, func(a, b tbflow.End) int { return compareRefs(a.Ref, b.Ref) })
			out.Commands[i] = c
		}
	}
	if len(out.Commands) > 1 {
		slices.SortStableFunc(out.Commands, func(a, b tbflow.Command) int { return strings.Compare(commandKey(a), commandKey(b)) })
	}
	if len(out.Orders) > 1 {
		slices.SortStableFunc(out.Orders, func(a, b tbfleet.Order) int { return strings.Compare(orderKey(a), orderKey(b)) })
	}
	for _, c := range out.Commands {
		sim.checkNotSilent(c)
		sim.propose(c)
	}
	for _, n := range out.LogEvents {
		sim.logf("%s: %s %s", n.Worker, n.Message, n.Detail)
	}
	for _, c := range out.Orders {
		sim.checkNoStartAfterDraining(c)
		sim.sendOrder(l, c)
	}
}

func commandKey(c tbflow.Command) string {
	switch c := c.(type) {
	case tbflow.RecordEnds:
		key := fmt.Sprintf("%s 0 %020d %020d", c.Worker, c.Incarnation, c.LastEnd)
		for _, e := range c.Ends {
			key += " " + e.Ref.String()
		}
		return key
	case tbflow.RecordCrash:
		// A crash is recorded before the ends that it causes.
		return fmt.Sprintf("%s !%020d", c.Worker, c.Incarnation)
	case tbflow.RecordLost:
		return fmt.Sprintf("%s !%020d %v", c.Worker, c.Incarnation, c.Runs)
	case tbflow.RecordProven:
		return fmt.Sprint("proven ", c.Runs)
	case tbflow.RecordUnanswered:
		return fmt.Sprintf("%s 0 %020d %v", c.Worker, c.Incarnation, c.Runs)
	case tbflow.RecordSettled:
		return fmt.Sprint("settled ", c.Starts)
	case tbflow.RecordSilent:
		return c.Worker + " 4"
	case tbflow.RecordSilenceEnded:
		return c.Worker + " 5"
	case tbflow.RecordSignedOff:
		return fmt.Sprintf("%s 3 %020d", c.Worker, c.Incarnation)
	case tbflow.RemoveWorker:
		return c.Worker + " 1"
	case tbflow.RecordListed:
		return fmt.Sprintf("%s 2 %020d %v", c.Worker, c.Incarnation, c.Runs)
	}
	panic(fmt.Sprintf("the fleet proposed %T", c))
}

func orderKey(c tbfleet.Order) string {
	t, _, _ := orderTarget(c)
	switch c := c.(type) {
	case tbfleet.Start:
		return fmt.Sprintf("%s 0 %v %d", t.ID, c.Ref, c.Run)
	case tbfleet.Stop:
		return fmt.Sprintf("%s 1 %v %d", t.ID, c.Ref, c.Run)
	}
	return t.ID + " 2"
}

// checkNoStartAfterDraining checks that no start is sent to a worker after its draining was
// acknowledged.
func (sim *simulation) checkNoStartAfterDraining(c tbfleet.Order) {
	t, _, _ := orderTarget(c)
	fw := sim.workersByAddress[t.Address]
	if _, ok := c.(tbfleet.Start); !ok || fw == nil || fw.id != t.ID || fw.incarnation != t.Incarnation || fw.drainingAckedAt.IsZero() {
		return
	}
	if sim.now.Sub(fw.drainingAckedAt) > time.Second {
		sim.failf("%s/%d gets %v after its draining was acknowledged", fw.id, fw.incarnation, c)
	}
}

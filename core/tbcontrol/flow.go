package tbcontrol

import (
	"fmt"
	"slices"
	"time"

	"tamarackbarrow/core/tbassign"
	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbstate"
)

// flowLeaderState is the leader's unreplicated state for multi-step jobs and their workers. Their
// replicated state is tbflow.State.
type flowLeaderState struct {
	fleet        *tbfleet.Fleet
	learner      *tbassign.Learner
	rebalancer   *tbassign.Rebalancer
	planner      tbassign.Planner
	groupManager groupManager
	// pendingSubmits holds the admissions of jobs by id until their submission is applied. A repeated
	// submission skips the admission check, because the earlier submission may be committed already.
	pendingSubmits map[string]tbassign.Admission
	// predictions holds, for each active job that this leader has admitted, what it has predicted.
	predictions map[string]tbassign.Admission
	// assignInFlight is true while a plan is proposed and not yet applied.
	assignInFlight bool
	// failInFlight is true while FailExhausted is proposed and not yet applied.
	failInFlight bool
	// refused holds the assignments of the last plan that the state would reject, with the reasons.
	refused map[tbflow.Assignment]tbflow.Reason
	// needsPlan is true if a plan has to be made as soon as earliestPlanAt is reached and no plan is in
	// flight. Requests to the leader, answers to polls, applied commands and the tick every
	// flowTickInterval set needsPlan.
	needsPlan  bool
	nextTickAt time.Time
	// nextInterferenceRecordAt is when the learned interference of images is recorded next.
	nextInterferenceRecordAt time.Time
	// earliestPlanAt is the earliest time of the next plan. Applied submissions, assignments and ends set
	// earliestPlanAt to the zero time, so that short steps do not wait for the next full plan.
	earliestPlanAt time.Time
	// takenOverAt is when this leader took over.
	takenOverAt time.Time
	// nextCopiesAt is when stragglers are looked for next.
	nextCopiesAt time.Time
	summary      summaryState
}

// Intervals of the leader's work for multi-step jobs.
const (
	// flowTickInterval is the interval at which leases and other time limits are checked and
	// unanswered orders are repeated.
	flowTickInterval = 100 * time.Millisecond
	// interferenceInterval is the interval at which learned interference is recorded. A new leader
	// without a record would need about ten seconds to learn the interference again.
	interferenceInterval = 2 * time.Second
	// copyInterval is the interval at which stragglers are looked for.
	copyInterval = 50 * time.Millisecond
)

func newFlowLeaderState(c *Control, now time.Time) *flowLeaderState {
	l := &flowLeaderState{
		fleet:          tbfleet.New(c.cfg.Fleet, c.replica.Term()),
		learner:        tbassign.NewLearner(),
		rebalancer:     tbassign.NewRebalancer(),
		groupManager:   newGroupManager(c.cfg.GroupSize),
		pendingSubmits: map[string]tbassign.Admission{},
		predictions:    map[string]tbassign.Admission{},
		needsPlan:      true,
		takenOverAt:    now,
		summary:        summaryState{nextAt: now.Add(summaryInterval)},
	}
	l.learner.Features = c.cfg.Scheduling
	l.fleet.TakeOver(now, c.state.Flow, c.outstandingTimes)
	l.learner.RestoreInterference(c.state.Flow.Interference)
	l.nextInterferenceRecordAt = now.Add(interferenceInterval)
	for _, j := range c.state.Flow.Jobs {
		if j.Phase.Ended() {
			l.stopRunsOfEndedJob(now, c.state.Flow, j)
		}
	}
	return l
}

// onLeaderRequest answers from the state, or proposes the command that has to be committed first.
func (c *Control) onLeaderRequest(now time.Time, ev LeaderRequestArrived) {
	if !c.IsConfirmedLeader(now) {
		c.emit(AnswerLeaderRequest{Request: ev.Request, NotLeader: true, Leader: c.leaderHint(now)})
		return
	}
	switch q := ev.LeaderRequest.(type) {
	case SubmitRequested:
		c.onSubmit(now, ev.Request, q)
	case CancelRequested:
		c.commitThenAnswer(ev, q.Cancel)
	case ConfigPutRequested:
		c.commitThenAnswer(ev, tbflow.PutConfig{Config: q.Config})
	case EvacuationRequested:
		c.onEvacuationRequested(now, ev, q)
	case JobStateRequested:
		c.onJobStateRequested(now, ev.Request, q)
	case QueueLengthRequested:
		c.answerLeaderRequest(ev.Request, c.buildQueueAnswer(q))
	case ConfigReadRequested:
		c.answerLeaderRequest(ev.Request, c.buildConfigAnswer())
	case WorkerReported:
		c.onWorkerReported(now, ev, q.Report)
	case WorkersReported:
		c.onWorkersReported(now, ev.Request, q.Reports)
	case WorkerSignedOff:
		c.leader.flow.fleet.HandleSignOff(now, q.ID)
		c.answerLeaderRequest(ev.Request, Answer{})
	case JoinRequested:
		c.answerLeaderRequest(ev.Request, c.leader.flow.groupManager.recordJoinRequest(now, c.replica, q))
	default:
		panic(fmt.Sprintf("leader request of unknown type %T", q))
	}
	c.leader.flow.needsPlan = true
}

func (c *Control) answerLeaderRequest(request uint64, a Answer) {
	if a.Code == NotReady || a.Code == Unconfirmed {
		c.emit(Log{Message: "question not answered", Args: []any{"outcome", a.Code.String(), "term", c.replica.Term()}})
	}
	a.Limits = c.state.Flow.Config.Limits
	c.emit(AnswerLeaderRequest{Request: request, Leader: c.replica.LeaderID(), Answer: a})
}

// commitThenAnswer proposes a command and answers the request once the command is applied. It refuses
// the request with NotReady if this leader is busy or the group is not complete, and with TooLarge if the
// command is larger than a log entry may be. It returns whether the command was proposed.
//
// In an incomplete group, an acknowledged change could be lost with fewer failed disks than the
// deployment has to tolerate.
func (c *Control) commitThenAnswer(ev LeaderRequestArrived, command tbflow.Command) bool {
	if !c.leader.flow.groupManager.isComplete(c.replica) || c.isBusy() {
		c.answerLeaderRequest(ev.Request, Answer{Code: NotReady, RetryAfter: time.Second})
		return false
	}
	if !c.enqueue(ev.Request, []tbstate.Command{tbstate.FlowChange{Command: command}}) {
		c.answerLeaderRequest(ev.Request, Answer{Code: TooLarge})
		return false
	}
	c.pendingLeaderRequests[ev.Request] = true
	return true
}

// onSubmit admits a job and proposes its submission. The submission of a job whose id is known succeeds
// without a change.
func (c *Control) onSubmit(now time.Time, request uint64, q SubmitRequested) {
	flow := c.state.Flow
	queue := flow.Config.Match(q.Submit.Host, q.Submit.Path)
	switch {
	case flow.Config.Version == 0:
		c.answerLeaderRequest(request, Answer{Code: NoConfig, RetryAfter: time.Second})
		return
	case flow.Jobs[q.Submit.Job.ID] != nil:
		c.answerLeaderRequest(request, Answer{})
		return
	case queue == nil:
		c.answerLeaderRequest(request, Answer{Code: NoQueue})
		return
	}
	if err := q.Submit.Job.Validate(); err != nil {
		c.emit(Log{Message: "job refused", Detail: err.Error(), Args: []any{"job", q.Submit.Job.ID}})
		c.answerLeaderRequest(request, Answer{Code: Invalid})
		return
	}
	l := c.leader.flow
	admission, isPending := l.pendingSubmits[q.Submit.Job.ID]
	if c.cfg.MaxJobBytes > 0 && !isPending && flow.JobBytesAt(flow.TimeAt(now))+q.Submit.StoredBytes() > c.cfg.MaxJobBytes {
		c.emit(Log{Message: "job turned away", Detail: "the stored jobs have no room for it", Args: []any{
			"job", q.Submit.Job.ID, "jobBytes", q.Submit.StoredBytes(), "storedBytes", flow.JobBytesAt(flow.TimeAt(now)), "maxBytes", c.cfg.MaxJobBytes,
		}})
		c.answerLeaderRequest(request, Answer{Code: Overloaded, RetryAfter: flow.NextJobExpiry(flow.TimeAt(now))})
		return
	}
	if !isPending {
		admission = tbassign.Admit(now, flow, l.fleet, l.learner, queue, &q.Submit.Job)
		if !admission.IsAccepted() {
			c.logRefusal(q.Submit.Job.ID, queue, admission)
			c.answerLeaderRequest(request, Answer{Code: Overloaded, RetryAfter: admission.RetryAfter})
			return
		}
	}
	if c.commitThenAnswer(LeaderRequestArrived{Request: request}, q.Submit) {
		l.pendingSubmits[q.Submit.Job.ID] = admission
	}
}

func (c *Control) buildJobAnswer(q JobStateRequested) Answer {
	if c.state.Flow.Config.Version == 0 {
		return Answer{Code: NoConfig, RetryAfter: time.Second}
	}
	if j := c.state.Flow.Find(q.ID, q.Host, q.Path); j != nil {
		return Answer{Phase: j.Phase}
	}
	return Answer{Code: NoJob}
}

func (c *Control) buildQueueAnswer(q QueueLengthRequested) Answer {
	flow := c.state.Flow
	if flow.Config.Version == 0 {
		return Answer{Code: NoConfig, RetryAfter: time.Second}
	}
	queue := flow.Config.Match(q.Host, q.Path)
	if queue == nil {
		return Answer{Code: NoQueue}
	}
	return Answer{QueueLength: flow.QueuedJobs(queue.Key)}
}

func (c *Control) buildConfigAnswer() Answer {
	if c.state.Flow.Config.Version == 0 {
		return Answer{Code: NoConfig, RetryAfter: time.Second}
	}
	return Answer{Source: c.state.Flow.Config.Source}
}

// answerCommitted answers a request whose command was applied. An outcome whose reason is not in codes
// is answered with Done.
func (c *Control) answerCommitted(request uint64, outcome tbstate.Outcome) {
	delete(c.pendingLeaderRequests, request)
	codeByReason := map[tbstate.Reason]AnswerCode{
		tbstate.Reason(tbflow.NoConfig):     NoConfig,
		tbstate.Reason(tbflow.QueueUnknown): NoQueue,
		tbstate.Reason(tbflow.JobUnknown):   NoJob,
		tbstate.Reason(tbflow.JobInvalid):   Invalid,
		tbstate.Reason(tbflow.OrderInDoubt): NotReady,
	}
	c.answerLeaderRequest(request, Answer{Code: codeByReason[outcome.Reason]})
}

// handleApplied updates the leader's state for a command that was applied.
func (l *flowLeaderState) handleApplied(c *Control, now time.Time, command tbflow.Command) {
	l.fleet.HandleApplied(now, c.state.Flow, command)
	l.needsPlan = true
	switch command := command.(type) {
	case tbflow.Submit:
		if a, ok := l.pendingSubmits[command.Job.ID]; ok && a.Objective > 0 {
			l.predictions[command.Job.ID] = a
		}
		delete(l.pendingSubmits, command.Job.ID)
		l.earliestPlanAt = time.Time{}
	case tbflow.Assign, tbflow.AssignCopies:
		l.assignInFlight = false
		l.earliestPlanAt = time.Time{}
	case tbflow.RemoveWorker:
		// A newer incarnation of the worker may be in the fleet already.
		if l.fleet.Worker(command.Worker) == nil {
			l.learner.RemoveWorker(command.Worker)
		}
	case tbflow.Cancel:
		l.stopRunsOfEndedJob(now, c.state.Flow, c.state.Flow.Jobs[command.ID])
	case tbflow.RecordCrash:
		for _, r := range command.Runs {
			l.stopRunsOfEndedJob(now, c.state.Flow, c.state.Flow.Jobs[r.Ref.Job])
		}
	case tbflow.FailExhausted:
		l.failInFlight = false
		for _, id := range command.Jobs {
			l.stopRunsOfEndedJob(now, c.state.Flow, c.state.Flow.Jobs[id])
		}
	case tbflow.RecordUnanswered, tbflow.RecordSettled:
		l.earliestPlanAt = time.Time{}
	case tbflow.RecordEnds:
		l.earliestPlanAt = time.Time{}
		for _, e := range command.Ends {
			l.learnRunTime(now, c.state.Flow, command.Worker, e)
			if j := c.state.Flow.Jobs[e.Ref.Job]; j != nil && j.Phase.Ended() {
				l.stopRunsOfEndedJob(now, c.state.Flow, j)
			}
		}
	}
}

// learnRunTime learns the run time of a task that ended successfully. The run time is counted from the
// task's assignment.
func (l *flowLeaderState) learnRunTime(now time.Time, s *tbflow.State, worker string, e tbflow.End) {
	j := s.Jobs[e.Ref.Job]
	if j == nil || e.Kind != tbflow.EndDone || j.Task(e.Ref) == nil || j.Task(e.Ref).Run != e.Run {
		return
	}
	runTime := time.Duration(s.NowMs-j.Task(e.Ref).AssignedMs) * time.Millisecond
	if s.Copies[e.Ref].Run == 0 {
		// The time of a copy is not known once it has ended.
		l.learner.ObserveWorker(now, worker, j, &j.Steps[e.Ref.Step], runTime)
	}
	l.learner.ObserveRunTime(j, &j.Steps[e.Ref.Step], runTime)
}

// stopRunsOfEndedJob stops the remaining runs of a job that has ended.
func (l *flowLeaderState) stopRunsOfEndedJob(now time.Time, s *tbflow.State, j *tbflow.Job) {
	if j == nil || !j.Phase.Ended() {
		return
	}
	delete(l.predictions, j.ID)
	s.EachRunOf(j, func(ref tbflow.TaskRef, worker string) { l.fleet.Stop(now, worker, ref) })
}

// tickMultiStepJobs makes the decisions about multi-step jobs that are due.
func (c *Control) tickMultiStepJobs(now time.Time) {
	l := c.leader.flow
	if !now.Before(l.nextTickAt) {
		l.nextTickAt = now.Add(flowTickInterval)
		// A leader whose events wait gives up what serves no accepted job first: moves, which cost the most at a
		// time, the speeds of tasks that have just started, and polls that only confirm that a worker is well. Only
		// then do best-effort starts wait (see tbassign.Planner).
		l.fleet.SavePolls(l.planner.IsLate())
		l.fleet.Tick(now)
		l.stopUnfinishableRuns(c, now)
		if !l.planner.IsLate() {
			l.moveLongRunningTasks(c, now)
		}
		l.groupManager.reconcileMembership(c, now)
		l.recordInterference(c, now)
		l.logSummary(c, now)
		l.needsPlan = true
	}
}

// recordInterference records the learned interference of images for the next leader.
func (l *flowLeaderState) recordInterference(c *Control, now time.Time) {
	if now.Before(l.nextInterferenceRecordAt) {
		return
	}
	l.nextInterferenceRecordAt = now.Add(interferenceInterval)
	if slopes := l.learner.KnownInterference(); len(slopes) > 0 {
		c.proposeFlowChange(tbflow.RecordInterference{Interference: slopes})
	}
}

// stopUnfinishableRuns stops the runs on draining workers that cannot finish in time. A bound task could not start
// elsewhere meanwhile, so its run goes on.
func (l *flowLeaderState) stopUnfinishableRuns(c *Control, now time.Time) {
	for _, w := range l.fleet.Workers() {
		if !w.Draining {
			continue
		}
		w.EachRun(func(ref tbflow.TaskRef, r *tbfleet.Run) {
			if step := c.state.Flow.StepOf(ref); step != nil && !c.state.Flow.IsBound(ref) && !tbassign.EndsBeforeDrain(now, w, r, step) {
				l.fleet.Stop(now, w.ID, ref)
			}
		})
	}
}

// moveLongRunningTasks stops the long-running tasks that should move to another worker; later plans
// start them there.
func (l *flowLeaderState) moveLongRunningTasks(c *Control, now time.Time) {
	for _, m := range l.rebalancer.PlanMoves(now, c.state.Flow, l.fleet, l.learner) {
		c.emit(Log{Message: "lasting task moves", Args: []any{
			"job", m.Ref.Job, "task", m.Ref.String(), "worker", m.From, "to", m.To, "gain", m.Gain, "index", c.state.Applied,
		}})
		l.fleet.Stop(now, m.From, m.Ref)
	}
}

// planRuns proposes the runs to start now. It does nothing while an earlier plan is in flight.
func (c *Control) planRuns(now time.Time) {
	if c.leader == nil || !c.IsConfirmedLeader(now) {
		return
	}
	l := c.leader.flow
	if !l.needsPlan || l.assignInFlight || now.Before(l.earliestPlanAt) {
		return
	}
	underWay := l.fleet.BestEffortUnderWay(now)
	l.summary.underWay = underWay
	answerTime, _ := l.fleet.AnswerTime()
	plan := l.planner.NextPlan(now, c.state.Flow, l.fleet, l.learner, l.rebalancer)
	// A partial plan covers short steps only (see tbassign.Planner); the next full plan covers the rest.
	l.needsPlan, l.earliestPlanAt = !plan.IsFull, l.planner.NextFullPlanAt()
	if plan.IsFull || plan.WaitingSteps > 0 {
		c.emit(PlanMade{IsFull: plan.IsFull, Runs: len(plan.Runs), Limit: plan.Limit, WaitingSteps: plan.WaitingSteps, ReservedWorkers: plan.ReservedWorkers, UnderWay: underWay, AnswerTime: answerTime})
	}
	for _, h := range plan.Held {
		c.logHeldTask(h)
	}
	if runs := c.dropRefused(plan.Runs); len(runs) > 0 {
		l.assignInFlight = true
		c.proposeFlowChange(tbflow.Assign{Assignments: runs})
	}
}

// dropRefused returns the assignments of a plan without those that the state would reject, and logs these once while the
// plans repeat them. Proposed, they would change nothing and be planned again at once. A gang is dropped whole, because
// its members work only together.
func (c *Control) dropRefused(runs []tbflow.Assignment) []tbflow.Assignment {
	flow, l := c.state.Flow, c.leader.flow
	loggedBefore := l.refused
	l.refused = nil
	gangs := map[tbflow.TaskRef]bool{}
	for _, a := range runs {
		reason := flow.AssignRefusal(a)
		if reason == tbflow.OK {
			continue
		}
		if l.refused == nil {
			l.refused = map[tbflow.Assignment]tbflow.Reason{}
		}
		if l.refused[a] = reason; loggedBefore[a] != reason {
			c.emit(Log{Message: "run not proposed", Reason: string(reason), Args: []any{
				"job", a.Ref.Job, "task", a.Ref.String(), "run", a.Run, "worker", a.Worker, "index", c.state.Applied,
			}})
		}
		if step := flow.StepOf(a.Ref); step != nil && step.Gang {
			gangs[firstOfStep(a.Ref)] = true
		}
	}
	if l.refused == nil {
		return runs
	}
	return slices.DeleteFunc(runs, func(a tbflow.Assignment) bool { return l.refused[a] != tbflow.OK || gangs[firstOfStep(a.Ref)] })
}

// firstOfStep returns the first task of the step of a task.
func firstOfStep(ref tbflow.TaskRef) tbflow.TaskRef {
	ref.Index = 0
	return ref
}

// failExhausted proposes to end the jobs that have a waiting task without attempts.
func (c *Control) failExhausted(now time.Time) {
	if c.leader == nil || c.leader.flow.failInFlight || !c.IsConfirmedLeader(now) {
		return
	}
	if jobs := c.state.Flow.ExhaustedJobs(); len(jobs) > 0 {
		c.leader.flow.failInFlight = true
		c.proposeFlowChange(tbflow.FailExhausted{Jobs: jobs})
	}
}

// planCopies proposes second runs of stragglers. It does nothing while a plan is in flight, or while the leader is
// late.
func (c *Control) planCopies(now time.Time) {
	if c.leader == nil || !c.cfg.Scheduling.SecondCopies || !c.IsConfirmedLeader(now) {
		return
	}
	l := c.leader.flow
	if l.assignInFlight || now.Before(l.nextCopiesAt) || l.planner.IsLate() {
		return
	}
	l.nextCopiesAt = now.Add(copyInterval)
	copies := tbassign.PlanCopies(now, c.state.Flow, l.fleet, l.learner, l.rebalancer)
	copies = slices.DeleteFunc(copies, func(a tbflow.Assignment) bool { return c.state.Flow.CopyRefusal(a) != tbflow.OK })
	if len(copies) > 0 {
		l.assignInFlight = true
		c.proposeFlowChange(tbflow.AssignCopies{Assignments: copies})
	}
}

func (c *Control) proposeFlowChange(command tbflow.Command) {
	c.enqueue(0, []tbstate.Command{tbstate.FlowChange{Command: command}})
}

// processFleetOutput turns the fleet's output into effects and proposals.
//
// A leader whose leader lease has expired may have been replaced. The new leader counts the leases of
// workers from its takeover. A worker that the new leader cannot reach would still accept a renewal from
// the old leader, and its tasks could run twice. So a leader without the lease holds its orders back.
func (c *Control) processFleetOutput(now time.Time) {
	if !c.IsConfirmedLeader(now) {
		return
	}
	out := c.leader.flow.fleet.TakeOutput()
	for _, order := range out.Orders {
		c.emit(SendOrder{Order: order, Term: c.replica.Term(), IssuedAt: now})
	}
	for _, command := range out.Commands {
		c.proposeFlowChange(command)
	}
	for _, event := range out.LogEvents {
		c.logFleetEvent(event)
	}
}

// onPollAnswered processes a worker's answer to a poll. The answer lists the worker's runs and has
// measurements, which determine the speeds of best-effort tasks and show which runs are stalled.
func (c *Control) onPollAnswered(now time.Time, a tbfleet.PollAnswered) {
	l := c.leader.flow
	l.fleet.HandlePollAnswered(now, a)
	if w := l.fleet.Worker(a.Worker); w != nil && a.Outcome == tbfleet.Accepted {
		l.learner.ObservePoll(now, c.state.Flow, w)
		l.updateBestEffortSpeeds(c, now, w)
		for _, ref := range l.learner.StalledRuns(now, c.state.Flow, w) {
			l.fleet.StopStalled(now, w.ID, ref)
		}
	}
	l.needsPlan = true
}

func (l *flowLeaderState) updateBestEffortSpeeds(c *Control, now time.Time, w *tbfleet.Worker) {
	for _, p := range l.learner.SpeedChanges(now, c.state.Flow, w) {
		l.fleet.SetSpeed(now, w.ID, p.Ref, p.Percent)
	}
}

// setBestEffortSpeedAtStart slows down a best-effort task that has just started, if the long-running tasks on
// the worker require that. Without this, the best-effort task would run at full speed until the next poll, as
// it does while the leader is late.
func (l *flowLeaderState) setBestEffortSpeedAtStart(c *Control, now time.Time, a tbfleet.StartAnswered) {
	if step := c.state.Flow.StepOf(a.Ref); step == nil || !step.BestEffort || l.planner.IsLate() {
		return
	}
	if w := l.fleet.Worker(a.Worker); w != nil {
		l.updateBestEffortSpeeds(c, now, w)
	}
}

package tbcontrol

import (
	"fmt"
	"time"

	"tamarackbarrow/core/tbassign"
	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbstate"
)

// flowLead is what only a leader knows of jobs of steps and their workers.
type flowLead struct {
	fleet     *tbfleet.Fleet
	learner   *tbassign.Learner
	rebalance *tbassign.Rebalancer
	planner   tbassign.Planner
	group     groupKeeper
	// submitting holds the jobs whose acceptance is proposed: they may run and are not turned away.
	submitting map[string]bool
	// assigning is true while a plan is proposed and not yet applied.
	assigning bool
	// stale is true when something changed since the last plan.
	stale    bool
	nextTick time.Time
	// nextSlopes is when what was learned of images is recorded next.
	nextSlopes time.Time
	// planAt is the earliest time of the next plan unless something changes for short steps.
	planAt time.Time
}

// Times of the leader's work for jobs of steps.
const (
	// flowTickInterval is how often leases, repeated orders and due times are looked at.
	flowTickInterval = 100 * time.Millisecond
	// slopesInterval is how often what was learned of images is recorded; a new leader learns it again in about ten seconds.
	slopesInterval = 2 * time.Second
)

func newFlowLead(c *Control, now time.Time) *flowLead {
	l := &flowLead{
		fleet:      tbfleet.New(c.cfg.Fleet, c.replica.Term()),
		learner:    tbassign.NewLearner(),
		rebalance:  tbassign.NewRebalancer(),
		group:      newGroupKeeper(c.cfg.GroupSize),
		submitting: map[string]bool{},
		stale:      true,
	}
	l.fleet.TakeOver(now, c.state.Flow)
	l.learner.Adopt(c.state.Flow.Slopes)
	l.nextSlopes = now.Add(slopesInterval)
	for _, j := range c.state.Flow.Jobs {
		if j.Phase.Ended() {
			l.stopRuns(now, j)
		}
	}
	return l
}

// onQuestion answers from the state, or proposes what has to be committed first.
func (c *Control) onQuestion(now time.Time, ev QuestionArrived) {
	if !c.Leads(now) {
		c.emit(AnswerQuestion{Request: ev.Request, NotLeader: true, Leader: c.leaderToAsk(now)})
		return
	}
	switch q := ev.Question.(type) {
	case SubmitAsked:
		c.onSubmit(ev.Request, q)
	case CancelAsked:
		c.commitFlow(ev, q.Cancel)
	case ConfigPut:
		c.commitFlow(ev, tbflow.PutConfig{Config: q.Config})
	case JobAsked:
		c.onJobAsked(now, ev.Request, q)
	case QueueAsked:
		c.answer(ev.Request, c.queueAnswer(q))
	case ConfigAsked:
		c.answer(ev.Request, c.configAnswer())
	case WorkerReported:
		c.onWorkerReported(now, ev, q.Report)
	case WorkersReported:
		c.onWorkersReported(now, ev.Request, q.Reports)
	case WorkerLeft:
		c.lead.flow.fleet.Left(now, q.ID)
		c.answer(ev.Request, Answer{})
	case JoinAsked:
		c.answer(ev.Request, c.lead.flow.group.asked(now, c.replica, q))
	default:
		panic(fmt.Sprintf("question of unknown type %T", q))
	}
	c.lead.flow.stale = true
}

func (c *Control) answer(request uint64, a Answer) {
	if a.Code == NotReady || a.Code == Unsure {
		c.emit(Log{Message: "question not answered", Args: []any{"outcome", a.Code.String(), "term", c.replica.Term()}})
	}
	c.emit(AnswerQuestion{Request: request, Leader: c.replica.LeaderID(), Answer: a})
}

// commitFlow proposes a command and answers once it is applied.
//
// Until the group has its full size a promise could be lost with fewer disks than
// the deployment has to bear.
func (c *Control) commitFlow(ev QuestionArrived, command tbflow.Command) {
	if !c.lead.flow.group.complete(c.replica) || len(c.waiting) >= c.cfg.MaxWaiting {
		c.answer(ev.Request, Answer{Code: NotReady, RetryAfter: time.Second})
		return
	}
	c.asked[ev.Request] = true
	c.waiting = append(c.waiting, proposal{request: ev.Request, commands: []tbstate.Command{tbstate.FlowChange{Command: command}}})
}

func (c *Control) onSubmit(request uint64, q SubmitAsked) {
	flow := c.state.Flow
	queue := flow.Config.Match(q.Submit.Host, q.Submit.Path)
	switch {
	case flow.Config.Version == 0:
		c.answer(request, Answer{Code: NoConfig, RetryAfter: time.Second})
		return
	case flow.Jobs[q.Submit.Job.ID] != nil:
		c.answer(request, Answer{})
		return
	case queue == nil:
		c.answer(request, Answer{Code: NoQueue})
		return
	}
	l := c.lead.flow
	if ok, after := tbassign.Admit(flow, l.fleet, l.learner, queue, &q.Submit.Job); !ok && !l.submitting[q.Submit.Job.ID] {
		c.emit(Log{Message: "job turned away", Args: []any{
			"job", q.Submit.Job.ID, "queue", queue.Key.Host + queue.Key.Prefix, "retryAfterMs", after.Milliseconds(), "version", flow.Config.Version,
		}})
		c.answer(request, Answer{Code: Overloaded, RetryAfter: after})
		return
	}
	l.submitting[q.Submit.Job.ID] = true
	c.commitFlow(QuestionArrived{Request: request}, q.Submit)
}

func (c *Control) jobAnswer(q JobAsked) Answer {
	if c.state.Flow.Config.Version == 0 {
		return Answer{Code: NoConfig, RetryAfter: time.Second}
	}
	if j := c.state.Flow.Find(q.ID, q.Host, q.Path); j != nil {
		return Answer{Phase: j.Phase}
	}
	return Answer{Code: NoJob}
}

func (c *Control) queueAnswer(q QueueAsked) Answer {
	flow := c.state.Flow
	if flow.Config.Version == 0 {
		return Answer{Code: NoConfig, RetryAfter: time.Second}
	}
	queue := flow.Config.Match(q.Host, q.Path)
	if queue == nil {
		return Answer{Code: NoQueue}
	}
	return Answer{Pending: flow.Pending(queue.Key)}
}

func (c *Control) configAnswer() Answer {
	if c.state.Flow.Config.Version == 0 {
		return Answer{Code: NoConfig, RetryAfter: time.Second}
	}
	return Answer{Source: c.state.Flow.Config.Source}
}

// answerAsked answers a question whose command was applied.
func (c *Control) answerAsked(request uint64, outcome tbstate.Outcome) {
	delete(c.asked, request)
	codes := map[tbstate.Reason]Code{
		tbstate.Reason(tbflow.NoConfig):     NoConfig,
		tbstate.Reason(tbflow.QueueUnknown): NoQueue,
		tbstate.Reason(tbflow.JobUnknown):   NoJob,
	}
	c.answer(request, Answer{Code: codes[outcome.Reason]})
}

// applied follows a change of the state that was committed.
func (l *flowLead) applied(c *Control, now time.Time, command tbflow.Command) {
	l.fleet.Applied(now, c.state.Flow, command)
	l.stale = true
	switch command := command.(type) {
	case tbflow.Submit:
		delete(l.submitting, command.Job.ID)
		l.planAt = time.Time{}
	case tbflow.Assign:
		l.assigning = false
		l.planAt = time.Time{}
	case tbflow.ForgetWorker:
		if l.fleet.Worker(command.Worker) == nil {
			l.learner.Forget(command.Worker)
		}
	case tbflow.Cancel:
		l.stopRuns(now, c.state.Flow.Jobs[command.ID])
	case tbflow.NoteEnds:
		l.planAt = time.Time{}
		for _, e := range command.Ends {
			l.learnRunTime(c.state.Flow, e)
			if j := c.state.Flow.Jobs[e.Ref.Job]; j != nil && j.Phase.Ended() {
				l.stopRuns(now, j)
			}
		}
	}
}

// learnRunTime takes the run time of a task that ended well.
func (l *flowLead) learnRunTime(s *tbflow.State, e tbflow.End) {
	j := s.Jobs[e.Ref.Job]
	if j == nil || e.Kind != tbflow.EndDone || j.Task(e.Ref) == nil {
		return
	}
	ran := time.Duration(s.NowMs-j.Task(e.Ref).AssignedMs) * time.Millisecond
	l.learner.Ended(j, &j.Steps[e.Ref.Step], ran)
}

// stopRuns stops what is left of a job that has ended.
func (l *flowLead) stopRuns(now time.Time, j *tbflow.Job) {
	if j == nil || !j.Phase.Ended() {
		return
	}
	j.EachTask(func(ref tbflow.TaskRef, t *tbflow.Task) {
		if t.Phase == tbflow.TaskAssigned {
			l.fleet.Stop(now, t.Worker, ref)
		}
	})
}

// tickFlow makes the decisions about jobs of steps that are due.
func (c *Control) tickFlow(now time.Time) {
	l := c.lead.flow
	if !now.Before(l.nextTick) {
		l.nextTick = now.Add(flowTickInterval)
		l.fleet.Tick(now)
		l.evacuate(c, now)
		l.moveLasting(c, now)
		l.group.keep(c, now)
		l.recordSlopes(c, now)
		l.stale = true
	}
}

// recordSlopes keeps what was learned of images for the next leader.
func (l *flowLead) recordSlopes(c *Control, now time.Time) {
	if now.Before(l.nextSlopes) {
		return
	}
	l.nextSlopes = now.Add(slopesInterval)
	if slopes := l.learner.Slopes(); len(slopes) > 0 {
		c.proposeFlow(tbflow.NoteSlopes{Slopes: slopes})
	}
}

// evacuate stops what cannot finish on workers that leave.
func (l *flowLead) evacuate(c *Control, now time.Time) {
	for _, w := range l.fleet.Workers() {
		if !w.Draining {
			continue
		}
		w.EachRun(func(ref tbflow.TaskRef, r *tbfleet.Run) {
			if step := c.state.Flow.StepOf(ref); step != nil && !tbassign.FinishesBefore(now, w, r, step) {
				l.fleet.Stop(now, w.ID, ref)
			}
		})
	}
}

// moveLasting stops the lasting tasks that should change places; the next plans start them there.
func (l *flowLead) moveLasting(c *Control, now time.Time) {
	for _, m := range l.rebalance.Moves(now, c.state.Flow, l.fleet, l.learner) {
		c.emit(Log{Message: "lasting task moves", Args: []any{
			"job", m.Ref.Job, "task", m.Ref.String(), "worker", m.From, "to", m.To, "gain", m.Gain, "index", c.state.Applied,
		}})
		l.fleet.Stop(now, m.From, m.Ref)
	}
}

// planFlow proposes the runs that should start now; one plan is under way at most.
func (c *Control) planFlow(now time.Time) {
	if c.lead == nil || !c.Leads(now) {
		return
	}
	l := c.lead.flow
	if !l.stale || l.assigning || now.Before(l.planAt) {
		return
	}
	runs, all := l.planner.Next(now, c.state.Flow, l.fleet, l.learner, l.rebalance)
	// What was not considered waits for the next plan of everything.
	l.stale, l.planAt = !all, l.planner.NextFull()
	if len(runs) > 0 {
		l.assigning = true
		c.proposeFlow(tbflow.Assign{Runs: runs})
	}
}

func (c *Control) proposeFlow(command tbflow.Command) {
	c.waiting = append(c.waiting, proposal{commands: []tbstate.Command{tbstate.FlowChange{Command: command}}})
}

// takeFleetOutput turns what the fleet asks for into effects and proposals.
//
// A leader that its group may have replaced holds everything back: the next one counts
// leases from its own take-over, and workers that it does not reach would believe both.
func (c *Control) takeFleetOutput(now time.Time) {
	if !c.Leads(now) {
		return
	}
	out := c.lead.flow.fleet.Take()
	for _, call := range out.Calls {
		c.emit(CallWorker{Call: call, Term: c.replica.Term()})
	}
	for _, command := range out.Commands {
		c.proposeFlow(command)
	}
	for _, n := range out.Notes {
		c.logNote(n)
	}
}

// onLook takes a worker's list and sets the pace of filling tasks by its readings.
func (c *Control) onLook(now time.Time, a tbfleet.LookAnswered) {
	l := c.lead.flow
	l.fleet.LookAnswered(now, a)
	if w := l.fleet.Worker(a.Worker); w != nil && a.Verdict == tbfleet.Accepted {
		l.learner.Observe(now, c.state.Flow, w)
		l.setPaces(c, now, w)
		for _, ref := range l.learner.Stalled(now, c.state.Flow, w) {
			l.fleet.GiveUp(now, w.ID, ref)
		}
	}
	l.stale = true
}

func (l *flowLead) setPaces(c *Control, now time.Time, w *tbfleet.Worker) {
	for _, p := range l.learner.Paces(now, c.state.Flow, w) {
		l.fleet.SetPace(now, w.ID, p.Ref, p.Percent)
	}
}

// paceStarted slows a filling task that has just started where lasting tasks cannot bear
// it; until the next look it would work at full speed.
func (l *flowLead) paceStarted(c *Control, now time.Time, a tbfleet.StartAnswered) {
	if step := c.state.Flow.StepOf(a.Ref); step == nil || !step.Fills {
		return
	}
	if w := l.fleet.Worker(a.Worker); w != nil {
		l.setPaces(c, now, w)
	}
}

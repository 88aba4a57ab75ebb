package tbcontrol

import (
	"fmt"
	"strconv"
	"time"

	"tamarackbarrow/core/tbassign"
	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbstate"
)

// logFleetEvent logs an event of the fleet that concerns a worker or one of its runs.
func (c *Control) logFleetEvent(event tbfleet.LogEvent) {
	args := []any{"worker", event.Worker, "term", c.replica.Term()}
	if event.Ref.Job != "" {
		args = append(args, "job", event.Ref.Job, "task", event.Ref.String(), "run", event.Run)
	}
	c.emit(Log{Message: event.Message, Detail: event.Detail, Args: append(args, event.Inputs...)})
}

// logRoleChanges logs the role changes of this replica.
func (c *Control) logRoleChanges(changes []tbconsensus.RoleChange) {
	for _, r := range changes {
		args := []any{"from", r.From.String(), "to", r.To.String(), "term", r.Term, "cause", string(r.Cause), "absenceMs", r.SinceLastEvent.Milliseconds()}
		if r.By != 0 {
			args = append(args, "by", r.By)
		}
		c.emit(Log{Message: "role changes", Args: args})
	}
}

// logDecisions logs the decisions about multi-step jobs in a committed batch.
//
// The previous leader may have stopped before it learned that its last entries were committed. So a new
// leader also logs the decisions in the newest entries of the previous leader; see maxReloggedEntries.
func (c *Control) logDecisions(now time.Time, batch tbstate.Batch) {
	for _, command := range batch.Commands {
		if change, ok := command.(tbstate.FlowChange); ok {
			c.logDecision(now, change.Command)
		}
	}
	c.pendingLogLines.emit(c)
}

// logDecision logs a committed decision with the index of its entry, which is the same on every replica.
func (c *Control) logDecision(now time.Time, command tbflow.Command) {
	index := c.state.Applied
	flow := c.state.Flow
	lines := &c.pendingLogLines
	switch command := command.(type) {
	case tbflow.PutConfig:
		lines.add(Log{Message: "configuration stored", Args: []any{
			"version", command.Config.Version, "inForce", flow.Config.Version, "queues", len(command.Config.Queues), "index", index,
		}})
	case tbflow.SetEvacuation:
		lines.add(c.evacuationLine(index, command))
	case tbflow.Submit:
		if j := flow.Jobs[command.Job.ID]; j != nil {
			args := []any{
				"job", j.ID, "queue", j.Queue.Host + j.Queue.Prefix, "steps", len(j.Steps), "tasks", taskCount(j), "version", flow.Config.Version, "index", index,
			}
			lines.add(Log{Message: "job accepted", Args: append(args, c.predictionArgs(j.ID)...)})
		}
	case tbflow.Cancel:
		if j := flow.Jobs[command.ID]; j != nil {
			lines.add(Log{Message: "job cancelled", Args: []any{"job", j.ID, "phase", j.Phase.String(), "index", index}})
		}
	case tbflow.Assign:
		for _, a := range command.Assignments {
			c.logAssignment(now, index, a)
		}
	case tbflow.AssignCopies:
		for _, a := range command.Assignments {
			c.logCopy(now, index, a)
		}
	case tbflow.RecordEnds:
		for _, e := range command.Ends {
			c.logEndOfTwo(command.Worker, index, e)
			c.logEnd(command.Worker, index, e, endKindTexts[e.Kind])
		}
	case tbflow.RecordUnanswered:
		for _, r := range command.Runs {
			c.logEnd(command.Worker, index, tbflow.End{Ref: r.Ref, Run: r.Run, Kind: tbflow.EndNeverRan}, "unanswered")
		}
	case tbflow.FailExhausted:
		for _, id := range command.Jobs {
			if j := flow.Jobs[id]; j != nil && j.Phase == tbflow.Failed {
				lines.add(Log{Message: "job ended", Detail: "a waiting task has no attempts left", Args: []any{
					"job", id, "phase", j.Phase.String(), "maxFailures", j.MaxFailures, "index", index,
				}})
			}
		}
	case tbflow.RecordCrash:
		c.logCrash(index, command)
	case tbflow.RecordDraining:
		lines.add(Log{Message: "worker drains", Args: []any{"worker", command.Worker, "born", command.Incarnation, "index", index}})
	}
}

// taskCount returns the number of tasks of a job in all occurrences.
func taskCount(j *tbflow.Job) int {
	n := 0
	j.EachTask(func(tbflow.TaskRef, *tbflow.Task) { n++ })
	return n
}

// predictionArgs returns what was predicted for a job when it was admitted, or nothing if this replica did not admit it.
func (c *Control) predictionArgs(id string) []any {
	a, ok := c.predictionOf(id)
	if !ok {
		return nil
	}
	return []any{
		"predictedStartMs", a.Predicted.Start.Milliseconds(), "predictedEndMs", a.Predicted.End.Milliseconds(), "objectiveMs", a.Objective.Milliseconds(),
	}
}

// predictionOf returns the admission of a job and whether an end was predicted for it by this replica.
func (c *Control) predictionOf(id string) (tbassign.Admission, bool) {
	if c.leader == nil {
		return tbassign.Admission{}, false
	}
	a, ok := c.leader.flow.pendingSubmits[id]
	if !ok {
		a = c.leader.flow.predictions[id]
	}
	return a, a.Objective > 0
}

// logRefusal logs why a job is not accepted.
func (c *Control) logRefusal(id string, q *tbflow.Queue, a tbassign.Admission) {
	args := []any{"job", id, "queue", q.Key.Host + q.Key.Prefix, "retryAfterMs", a.RetryAfter.Milliseconds(), "version", c.state.Flow.Config.Version}
	switch a.Reason {
	case tbassign.EndsTooLate, tbassign.StartsTooLate:
		args = append(args, "predictedStartMs", a.Predicted.Start.Milliseconds(), "predictedEndMs", a.Predicted.End.Milliseconds(), "objectiveMs", a.Objective.Milliseconds())
	case tbassign.RoomForShortJobs:
		args = append(args, "keptProcessors", int(a.Kept), "leftProcessors", int(a.Left))
	}
	c.emit(Log{Message: "job turned away", Reason: string(a.Reason), Args: args})
}

// logHeldTask logs why a long-running task that has waited for long has no worker yet.
func (c *Control) logHeldTask(h tbassign.HeldTask) {
	c.emit(Log{Message: "lasting task waits", Detail: h.Cause, Args: []any{
		"job", h.Ref.Job, "task", h.Ref.String(), "waitedMs", h.WaitedMs, "processors", h.Need.MilliProcessors, "memoryMB", h.Need.MemoryMB,
		"usable", h.Usable, "room", h.Room, "closed", h.Closed, "kept", h.Kept, "unsuitable", h.Unsuitable, "avoided", h.Avoided,
		"headroom", h.Headroom, "bestEffort", h.BestEffort, "unusable", h.Unusable,
	}})
}

// lateStartThreshold is the wait from which an assignment is late. A late assignment is not logged as
// routine.
const lateStartThreshold = time.Second

func (c *Control) logAssignment(now time.Time, index uint64, a tbflow.Assignment) {
	j := c.state.Flow.Jobs[a.Ref.Job]
	if j == nil || j.Task(a.Ref) == nil {
		return
	}
	t := j.Task(a.Ref)
	if t.Phase != tbflow.TaskAssigned || t.Run != a.Run || t.Worker != a.Worker {
		// The state has rejected the assignment, because the worker drains or the task has changed since the plan.
		c.pendingLogLines.addRunText(runLineKey{message: "run not assigned", job: j.ID, index: index}, newRunText(a.Ref, a.Run, a.Worker))
		return
	}
	waitedMs := t.AssignedMs - t.WaitingSinceMs
	runText := newRunText(a.Ref, a.Run, a.Worker)
	runText = appendNumber(runText, "waitedMs", waitedMs)
	runText = appendNumber(runText, "failures", int64(t.Failures))
	if w := c.assignedWorker(a); w != nil {
		runText = appendNumber(runText, "reportAgeMs", now.Sub(w.LastHeardAt).Milliseconds())
	}
	c.pendingLogLines.addRunText(runLineKey{
		message: "run assigned", job: j.ID, index: index,
		isRoutine: t.Failures == 0 && a.Run == 1 && waitedMs < lateStartThreshold.Milliseconds(),
	}, runText)
}

// logCopy logs a second run of a task that was assigned.
func (c *Control) logCopy(now time.Time, index uint64, a tbflow.Assignment) {
	flow := c.state.Flow
	if flow.Copies[a.Ref].Run != a.Run || !flow.Copies[a.Ref].IsAssigned() {
		return
	}
	t := flow.Jobs[a.Ref.Job].Task(a.Ref)
	runText := newRunText(a.Ref, a.Run, a.Worker)
	runText = appendNumber(runText, "ageMs", flow.Copies[a.Ref].AssignedMs-t.AssignedMs)
	if first := c.runOf(t.Worker, a.Ref); first != nil {
		runText = appendNumber(runText, "progress", int64(first.Progress))
		if !first.ListedAt.IsZero() {
			runText = appendNumber(runText, "listedMsAgo", now.Sub(first.ListedAt).Milliseconds())
		}
	}
	c.pendingLogLines.addRunText(runLineKey{message: "run copied", job: a.Ref.Job, index: index}, runText)
}

// runOf returns the leader's view of a run, or nil.
func (c *Control) runOf(worker string, ref tbflow.TaskRef) *tbfleet.Run {
	if c.leader == nil || c.leader.flow.fleet.Worker(worker) == nil {
		return nil
	}
	return c.leader.flow.fleet.Worker(worker).Run(ref)
}

// logEndOfTwo logs which run of a task that has two has ended first, and the end of the other one, whose work was
// for nothing.
func (c *Control) logEndOfTwo(worker string, index uint64, e tbflow.End) {
	j := c.state.Flow.Jobs[e.Ref.Job]
	if j == nil || j.Task(e.Ref) == nil {
		return
	}
	t, other := j.Task(e.Ref), c.state.Flow.Copies[e.Ref]
	key := runLineKey{job: j.ID, index: index}
	switch {
	case t.Phase != tbflow.TaskDone:
		return
	case t.Run != e.Run:
		key.message = "other run ended"
	case !other.IsAssigned():
		return
	case e.Run > other.Run:
		key.message = "copy ended first"
	default:
		key.message = "copied run ended first"
	}
	c.pendingLogLines.addRunText(key, newRunText(e.Ref, e.Run, worker))
}

// assignedWorker returns the leader's view of the worker of an assignment, or nil.
func (c *Control) assignedWorker(a tbflow.Assignment) *tbfleet.Worker {
	if c.leader == nil {
		return nil
	}
	return c.leader.flow.fleet.Worker(a.Worker)
}

// endKindTexts are the names of the kinds of end in the log.
var endKindTexts = map[tbflow.EndKind]string{
	tbflow.EndDone: "done", tbflow.EndFailed: "failed", tbflow.EndStopped: "stopped", tbflow.EndNeverRan: "neverRan",
}

// logEnd logs the end of a run. how says in one word how the run ended.
func (c *Control) logEnd(worker string, index uint64, e tbflow.End, how string) {
	j := c.state.Flow.Jobs[e.Ref.Job]
	if j == nil || j.Task(e.Ref) == nil {
		return
	}
	t := j.Task(e.Ref)
	runText := newRunText(e.Ref, e.Run, worker)
	runText = append(append(runText, " how="...), how...)
	runText = appendNumber(runText, "ranMs", c.state.Flow.NowMs-t.AssignedMs)
	runText = strconv.AppendBool(append(runText, " checkpoint="...), e.Checkpoint != "")
	c.pendingLogLines.addRunText(runLineKey{message: "run ended", job: j.ID, index: index, isRoutine: e.Kind == tbflow.EndDone}, runText)
	if j.Phase.Ended() && j.EndedMs == c.state.Flow.NowMs {
		args := []any{"job", j.ID, "phase", j.Phase.String(), "tookMs", j.EndedMs - j.SubmittedMs, "index", index}
		line := Log{Message: "job ended"}
		if a, ok := c.predictionOf(j.ID); ok {
			line.Reason = a.Outcome(time.Duration(j.EndedMs-j.SubmittedMs) * time.Millisecond)
			args = append(args, "predictedEndMs", a.Predicted.End.Milliseconds(), "objectiveMs", a.Objective.Milliseconds())
		}
		line.Args = args
		c.pendingLogLines.add(line)
	}
}

// logCrash logs the runs that a worker may have been executing when it crashed, and the jobs that are given
// up because of the crash.
func (c *Control) logCrash(index uint64, command tbflow.RecordCrash) {
	flow := c.state.Flow
	givenUp := map[string]bool{}
	for _, r := range command.Runs {
		j, crashes := flow.Jobs[r.Ref.Job], flow.Crashes[r.Ref]
		if j == nil || len(crashes) == 0 {
			continue
		}
		last := crashes[len(crashes)-1]
		if last.Worker != command.Worker || last.Incarnation != command.Incarnation {
			continue
		}
		runText := newRunText(r.Ref, r.Run, command.Worker)
		runText = appendNumber(runText, "ranMs", r.RanMs)
		runText = appendNumber(runText, "ageMs", r.AgeMs)
		runText = appendNumber(runText, "suspects", int64(last.Suspects))
		runText = appendNumber(runText, "suspicionPermille", int64(last.SuspicionPermille))
		runText = appendNumber(runText, "crashes", int64(tbflow.SuspectedCrashes(crashes)))
		c.pendingLogLines.addRunText(runLineKey{message: "worker crashed under run", job: j.ID, index: index}, runText)
		if j.Phase == tbflow.Failed && tbflow.MustGiveUp(crashes) && !givenUp[j.ID] {
			givenUp[j.ID] = true
			c.pendingLogLines.add(Log{Message: "job given up", Args: []any{
				"job", j.ID, "task", r.Ref.String(), "tookMs", j.EndedMs - j.SubmittedMs, "crashes", crashTexts(crashes), "index", index,
			}})
		}
	}
}

// crashTexts describes the crashes that decided that a job is given up.
func crashTexts(crashes []tbflow.Crash) []string {
	var texts []string
	for _, crash := range crashes {
		texts = append(texts, fmt.Sprintf("run=%d worker=%s address=%s at=%s ranMs=%d suspects=%d suspicionPermille=%d",
			crash.Run, crash.Worker, crash.Address, time.UnixMilli(crash.AtMs).UTC().Format(time.RFC3339Nano), crash.RanMs, crash.Suspects, crash.SuspicionPermille))
	}
	return texts
}

// newRunText returns the fields task, run and worker, with which the description of a run in a log line
// begins. "tamarackbarrow explain" parses the description.
func newRunText(ref tbflow.TaskRef, run uint64, worker string) []byte {
	b := make([]byte, 0, 128)
	b = append(append(b, "task="...), ref.String()...)
	b = strconv.AppendUint(append(b, " run="...), run, 10)
	return append(append(b, " worker="...), worker...)
}

func appendNumber(b []byte, key string, n int64) []byte {
	b = append(append(append(b, ' '), key...), '=')
	return strconv.AppendInt(b, n, 10)
}

// logLines collects the log lines for one entry of the replicated log. One plan often starts tens of
// tasks of a step. Therefore all routine assignments of a job share one line. The job's other
// assignments share a second line, its routine ends a third, and its other ends a fourth.
type logLines struct {
	lines      []Log
	indexByKey map[runLineKey]int
}

// runLineKey identifies a log line. Runs with equal keys share one line.
type runLineKey struct {
	message   string
	job       string
	index     uint64
	isRoutine bool
}

func (l *logLines) add(line Log) { l.lines = append(l.lines, line) }

func (l *logLines) addRunText(key runLineKey, runText []byte) {
	i, ok := l.indexByKey[key]
	if !ok {
		if l.indexByKey == nil {
			l.indexByKey = map[runLineKey]int{}
		}
		i = len(l.lines)
		l.indexByKey[key] = i
		l.add(Log{Message: key.message, Args: []any{"job", key.job, "index", key.index}, Routine: key.isRoutine})
	}
	l.lines[i].Runs = append(l.lines[i].Runs, string(runText))
}

// emit emits the collected lines as effects and resets l.
func (l *logLines) emit(c *Control) {
	for _, line := range l.lines {
		c.emit(line)
	}
	l.lines = l.lines[:0]
	clear(l.indexByKey)
}

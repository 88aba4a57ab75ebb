package tbcontrol

import (
	"strconv"
	"time"

	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbstate"
)

// logNote logs what the fleet learned of a worker or decided about one of its runs.
func (c *Control) logNote(n tbfleet.Note) {
	args := []any{"worker", n.Worker, "term", c.replica.Term()}
	if n.Ref.Job != "" {
		args = append(args, "job", n.Ref.Job, "task", n.Ref.String(), "run", n.Run)
	}
	c.emit(Log{Message: n.What, Detail: n.Detail, Args: append(args, n.Inputs...)})
}

// logRoles logs what elections did to this replica.
func (c *Control) logRoles(changes []tbconsensus.RoleChange) {
	for _, r := range changes {
		args := []any{"from", r.From.String(), "to", r.To.String(), "term", r.Term, "cause", string(r.Cause), "absenceMs", r.Absence.Milliseconds()}
		if r.By != 0 {
			args = append(args, "by", r.By)
		}
		c.emit(Log{Message: "role changes", Args: args})
	}
}

// logBatch logs what a committed batch decided about jobs of steps.
//
// A replica does so from its election on: what a new leader commits of its predecessor's
// decisions that one may never have known to be committed.
func (c *Control) logBatch(now time.Time, batch tbstate.Batch) {
	for _, command := range batch.Commands {
		if change, ok := command.(tbstate.FlowChange); ok {
			c.logApplied(now, change.Command)
		}
	}
	c.lines.emit(c)
}

// logApplied logs a committed decision with the index at which every replica has it.
func (c *Control) logApplied(now time.Time, command tbflow.Command) {
	index := c.state.Applied
	flow := c.state.Flow
	lines := &c.lines
	switch command := command.(type) {
	case tbflow.PutConfig:
		lines.add(Log{Message: "configuration stored", Args: []any{
			"version", command.Config.Version, "inForce", flow.Config.Version, "queues", len(command.Config.Queues), "index", index,
		}})
	case tbflow.Submit:
		if j := flow.Jobs[command.Job.ID]; j != nil {
			lines.add(Log{Message: "job accepted", Args: []any{
				"job", j.ID, "queue", j.Queue.Host + j.Queue.Prefix, "steps", len(j.Steps), "version", flow.Config.Version, "index", index,
			}})
		}
	case tbflow.Cancel:
		if j := flow.Jobs[command.ID]; j != nil {
			lines.add(Log{Message: "job cancelled", Args: []any{"job", j.ID, "phase", j.Phase.String(), "index", index}})
		}
	case tbflow.Assign:
		for _, a := range command.Runs {
			c.logAssignment(now, index, a)
		}
	case tbflow.NoteEnds:
		for _, e := range command.Ends {
			c.logEnd(command.Worker, index, e)
		}
	case tbflow.NoteDraining:
		lines.add(Log{Message: "worker drains", Args: []any{"worker", command.Worker, "born", command.Born, "index", index}})
	}
}

// longWait is the wait from which on a start is told of even when many lines are dropped.
const longWait = time.Second

func (c *Control) logAssignment(now time.Time, index uint64, a tbflow.Assignment) {
	j := c.state.Flow.Jobs[a.Ref.Job]
	if j == nil || j.Task(a.Ref) == nil {
		return
	}
	t := j.Task(a.Ref)
	waited := t.AssignedMs - t.WaitingMs
	run := runText(a.Ref, a.Run, a.Worker)
	run = appendNumber(run, "waitedMs", waited)
	run = appendNumber(run, "failures", int64(t.Failures))
	if w := c.workerOf(a); w != nil {
		run = appendNumber(run, "reportAgeMs", now.Sub(w.HeardAt).Milliseconds())
	}
	c.lines.addRun(runLine{
		message: "run assigned", job: j.ID, index: index,
		routine: t.Failures == 0 && a.Run == 1 && waited < longWait.Milliseconds(),
	}, run)
}

// workerOf returns the leader's view of the worker of an assignment, or nil.
func (c *Control) workerOf(a tbflow.Assignment) *tbfleet.Worker {
	if c.lead == nil {
		return nil
	}
	return c.lead.flow.fleet.Worker(a.Worker)
}

// endTexts are the kinds of end in the log.
var endTexts = map[tbflow.EndKind]string{
	tbflow.EndDone: "done", tbflow.EndFailed: "failed", tbflow.EndStopped: "stopped", tbflow.EndNeverRan: "neverRan",
}

func (c *Control) logEnd(worker string, index uint64, e tbflow.End) {
	j := c.state.Flow.Jobs[e.Ref.Job]
	if j == nil || j.Task(e.Ref) == nil {
		return
	}
	t := j.Task(e.Ref)
	run := runText(e.Ref, e.Run, worker)
	run = append(append(run, " how="...), endTexts[e.Kind]...)
	run = appendNumber(run, "ranMs", c.state.Flow.NowMs-t.AssignedMs)
	run = strconv.AppendBool(append(run, " checkpoint="...), e.Checkpoint != "")
	c.lines.addRun(runLine{message: "run ended", job: j.ID, index: index, routine: e.Kind == tbflow.EndDone}, run)
	if j.Phase.Ended() && j.EndedMs == c.state.Flow.NowMs {
		c.lines.add(Log{Message: "job ended", Args: []any{
			"job", j.ID, "phase", j.Phase.String(), "tookMs", j.EndedMs - j.SubmittedMs, "index", index,
		}})
	}
}

// runText begins the text of one run; "tamarackbarrow explain" reads it.
func runText(ref tbflow.TaskRef, run uint64, worker string) []byte {
	b := make([]byte, 0, 128)
	b = append(append(b, "task="...), ref.String()...)
	b = strconv.AppendUint(append(b, " run="...), run, 10)
	return append(append(b, " worker="...), worker...)
}

func appendNumber(b []byte, key string, n int64) []byte {
	b = append(append(append(b, ' '), key...), '=')
	return strconv.AppendInt(b, n, 10)
}

// logLines gathers the lines of one log entry. The starts of a job share a line, and so
// do its ends: a plan starts the tasks of a step by tens.
type logLines struct {
	all []Log
	at  map[runLine]int
}

// runLine tells which runs share a line.
type runLine struct {
	message string
	job     string
	index   uint64
	routine bool
}

func (l *logLines) add(line Log) { l.all = append(l.all, line) }

func (l *logLines) addRun(key runLine, run []byte) {
	at, ok := l.at[key]
	if !ok {
		if l.at == nil {
			l.at = map[runLine]int{}
		}
		at = len(l.all)
		l.at[key] = at
		l.add(Log{Message: key.message, Args: []any{"job", key.job, "index", key.index}, Routine: key.routine})
	}
	l.all[at].Runs = append(l.all[at].Runs, string(run))
}

// emit turns the lines into effects.
func (l *logLines) emit(c *Control) {
	for _, line := range l.all {
		c.emit(line)
	}
	l.all = l.all[:0]
	clear(l.at)
}

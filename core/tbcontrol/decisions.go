package tbcontrol

import (
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// logNote logs what the fleet learned of a worker or decided about one of its runs.
func (c *Control) logNote(n tbfleet.Note) {
	args := []any{"worker", n.Worker, "term", c.replica.Term()}
	if n.Ref.Job != "" {
		args = append(args, "job", n.Ref.Job, "task", n.Ref.String(), "run", n.Run)
	}
	c.emit(Log{Message: n.What, Detail: n.Detail, Args: append(args, n.Inputs...)})
}

// logApplied logs a committed decision with the index at which every replica has it.
func (c *Control) logApplied(now time.Time, command tbflow.Command) {
	index := c.state.Applied
	flow := c.state.Flow
	switch command := command.(type) {
	case tbflow.PutConfig:
		c.emit(Log{Message: "configuration stored", Args: []any{
			"version", command.Config.Version, "inForce", flow.Config.Version, "queues", len(command.Config.Queues), "index", index,
		}})
	case tbflow.Submit:
		if j := flow.Jobs[command.Job.ID]; j != nil {
			c.emit(Log{Message: "job accepted", Args: []any{
				"job", j.ID, "queue", j.Queue.Host + j.Queue.Prefix, "steps", len(j.Steps), "version", flow.Config.Version, "index", index,
			}})
		}
	case tbflow.Cancel:
		if j := flow.Jobs[command.ID]; j != nil {
			c.emit(Log{Message: "job cancelled", Args: []any{"job", j.ID, "phase", j.Phase.String(), "index", index}})
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
		c.emit(Log{Message: "worker drains", Args: []any{"worker", command.Worker, "born", command.Born, "index", index}})
	}
}

func (c *Control) logAssignment(now time.Time, index uint64, a tbflow.Assignment) {
	j := c.state.Flow.Jobs[a.Ref.Job]
	if j == nil || j.Task(a.Ref) == nil {
		return
	}
	t := j.Task(a.Ref)
	args := []any{
		"job", j.ID, "task", a.Ref.String(), "run", a.Run, "worker", a.Worker,
		"waitedMs", t.AssignedMs - t.WaitingMs, "failures", t.Failures, "index", index,
	}
	if w := c.lead.flow.fleet.Worker(a.Worker); w != nil {
		args = append(args, "reportAgeMs", now.Sub(w.HeardAt).Milliseconds())
	}
	c.emit(Log{Message: "run assigned", Args: args})
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
	c.emit(Log{Message: "run ended", Args: []any{
		"job", j.ID, "task", e.Ref.String(), "run", e.Run, "worker", worker, "how", endTexts[e.Kind],
		"ranMs", c.state.Flow.NowMs - t.AssignedMs, "checkpoint", e.Checkpoint != "", "index", index,
	}})
	if j.Phase.Ended() && j.EndedMs == c.state.Flow.NowMs {
		c.emit(Log{Message: "job ended", Args: []any{
			"job", j.ID, "phase", j.Phase.String(), "tookMs", j.EndedMs - j.SubmittedMs, "index", index,
		}})
	}
}

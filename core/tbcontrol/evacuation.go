package tbcontrol

import (
	"maps"
	"slices"
	"time"

	"tamarackbarrow/core/tbflow"
)

// discoveryTime is how long after its takeover a leader waits for workers before it calls a data centre unknown. Workers
// report several times in that time.
const discoveryTime = 10 * time.Second

// onEvacuationRequested commits an order to start or to stop an evacuation. An order for an unknown data centre is
// refused, but not before the leader can know the workers.
func (c *Control) onEvacuationRequested(now time.Time, ev LeaderRequestArrived, q EvacuationRequested) {
	switch {
	case c.knowsDataCentre(q.DataCentre):
		c.commitThenAnswer(ev, tbflow.SetEvacuation(q))
	case !c.knowsAnyDataCentre() || now.Sub(c.leader.flow.takenOverAt) < discoveryTime:
		c.answerLeaderRequest(ev.Request, Answer{Code: NotReady, RetryAfter: time.Second})
	default:
		c.emit(Log{Message: "evacuation refused", Detail: "the data centre is unknown", Args: []any{"dataCentre", shortened(q.DataCentre), "active", q.Active}})
		c.answerLeaderRequest(ev.Request, Answer{Code: NoDataCentre})
	}
}

// knowsDataCentre reports whether a worker was ever recorded in a data centre, or an entry, runner or worker is there now.
func (c *Control) knowsDataCentre(name string) bool {
	if _, hasOrders := c.state.Flow.Evacuations[name]; hasOrders || c.state.Flow.KnowsDataCentre(name) {
		return true
	}
	for _, s := range c.state.Sessions {
		if s.DataCentre == name {
			return true
		}
	}
	for _, r := range c.state.Runners {
		if r.DataCentre == name {
			return true
		}
	}
	for _, w := range c.state.Workers {
		if w.DataCentre == name {
			return true
		}
	}
	return false
}

// knowsAnyDataCentre reports whether knowsDataCentre is true of any data centre.
func (c *Control) knowsAnyDataCentre() bool {
	return len(c.state.Flow.DataCentres)+len(c.state.Sessions)+len(c.state.Runners)+len(c.state.Workers) > 0
}

// evacuationStatuses lists the data centres that are or were evacuated.
func (c *Control) evacuationStatuses() []EvacuationStatus {
	flow := c.state.Flow
	runs := map[string]int{}
	for _, id := range flow.BusyWorkers() {
		if w := flow.Workers[id]; w != nil {
			runs[w.DataCentre] += flow.RunCount(id)
		}
	}
	for id, w := range c.state.Workers {
		runs[w.DataCentre] += c.state.TaskCount(id)
	}
	var statuses []EvacuationStatus
	for _, name := range slices.Sorted(maps.Keys(flow.Evacuations)) {
		e := flow.Evacuations[name]
		statuses = append(statuses, EvacuationStatus{DataCentre: name, Active: e.Active, SinceMs: e.SinceMs, Runs: runs[name]})
	}
	return statuses
}

// evacuationLine returns the log line for a committed order to start or to stop an evacuation.
func (c *Control) evacuationLine(index uint64, command tbflow.SetEvacuation) Log {
	e := c.state.Flow.Evacuations[command.DataCentre]
	line := Log{Message: "evacuation ended", Args: []any{"dataCentre", command.DataCentre, "index", index}}
	if command.Active {
		line.Message = "evacuation started"
	}
	switch {
	case e.Active != command.Active:
		line.Message, line.Detail = "evacuation order in doubt", "it may be a late copy of an order that a later one has undone"
		line.Args = append(line.Args, "active", command.Active)
	case e.SinceMs != c.state.Flow.NowMs:
		line.Message = "evacuation order repeated"
		line.Args = append(line.Args, "active", command.Active)
	}
	return line
}

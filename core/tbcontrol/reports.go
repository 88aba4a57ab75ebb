package tbcontrol

import (
	"hash/crc32"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// reportersAtLeader is how many workers report to the leader itself, which saves a hop.
//
// Each keeps a connection open; a process has about 3,900 descriptors, and the leader
// needs one more for each worker that it looks at.
const reportersAtLeader = 768

// reportsElsewhere chooses the workers that report to other replicas, the same ones at each call.
func reportsElsewhere(id string, workers int) bool {
	return uint64(crc32.ChecksumIEEE([]byte(id)))*uint64(workers)>>32 >= reportersAtLeader
}

// onWorkerReported takes a report; that a worker drains is committed before it is acknowledged.
func (c *Control) onWorkerReported(now time.Time, ev QuestionArrived, r tbfleet.Report) {
	a, unrecorded := c.takeReport(now, r)
	if unrecorded {
		c.commitFlow(ev, tbflow.NoteDraining{Worker: r.ID, Born: r.Born})
		return
	}
	c.answer(ev.Request, Answer{Code: a.Code, Elsewhere: a.Elsewhere})
}

// onWorkersReported takes several reports; one that has to be committed is not acknowledged.
func (c *Control) onWorkersReported(now time.Time, request uint64, reports []tbfleet.Report) {
	answers := make([]ReportAnswer, 0, len(reports))
	for _, r := range reports {
		a, unrecorded := c.takeReport(now, r)
		if unrecorded {
			a.Code = NotReady
		}
		answers = append(answers, a)
	}
	c.answer(request, Answer{Reports: answers})
}

// takeReport takes a report and returns whether it has to be committed first that the worker drains.
//
// A report of a class that no configuration in force has names no worker of ours, and says
// nothing about the one whose id or address it uses.
func (c *Control) takeReport(now time.Time, r tbfleet.Report) (a ReportAnswer, unrecorded bool) {
	known := c.state.Flow.Workers[r.ID]
	ours := known != nil && known.Born == r.Born && known.Class == r.Class
	if cfg := &c.state.Flow.Config; cfg.Version > 0 && !cfg.HasClass(r.Class) && !ours {
		c.emit(Log{Message: "report of an unknown class", Args: []any{
			"worker", r.ID, "class", r.Class, "address", r.Address, "version", cfg.Version,
		}})
		return ReportAnswer{Code: Outdated}, false
	}
	// A report that was already taken may not be recorded yet.
	unrecorded = r.Draining && (known == nil || known.Born < r.Born || known.Born == r.Born && !known.Draining)
	heard := c.lead.flow.fleet.Heard(now, r)
	if !heard && !unrecorded {
		return ReportAnswer{Code: Outdated}, false
	}
	if heard && (known == nil || known.Born < r.Born || known.Address != r.Address || known.Capacity != r.Capacity) {
		c.proposeFlow(tbflow.NoteWorker{
			Worker: r.ID, Born: r.Born, Address: r.Address, Class: r.Class, DataCentre: r.DataCentre,
			Rack: r.Rack, Labels: r.Labels, Capacity: r.Capacity,
		})
	}
	return ReportAnswer{Elsewhere: reportsElsewhere(r.ID, len(c.state.Flow.Workers))}, unrecorded
}

package tbcontrol

import (
	"hash/crc32"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// maxLeaderReporters is the approximate maximum number of workers that report to the leader itself. A
// report to another replica takes one more hop.
//
// Each of these workers keeps a connection open. A process has about 3,900 file descriptors, and the
// leader needs one more for each worker that it polls.
const maxLeaderReporters = 768

// shouldReportElsewhere reports whether a worker should report to another replica than the
// leader. The result depends only on the id and the number of workers, so that repeated calls agree. The
// hash maps the id to a number below workers. Workers with a number below
// maxLeaderReporters report to the leader.
func shouldReportElsewhere(id string, workers int) bool {
	return uint64(crc32.ChecksumIEEE([]byte(id)))*uint64(workers)>>32 >= maxLeaderReporters
}

// onWorkerReported handles one report. A report that the worker is draining is acknowledged only after
// the draining is committed.
func (c *Control) onWorkerReported(now time.Time, ev LeaderRequestArrived, r tbfleet.Report) {
	a, mustCommit := c.handleReport(now, r)
	if mustCommit {
		c.commitThenAnswer(ev, tbflow.RecordDraining{Worker: r.ID, Incarnation: r.Incarnation})
		return
	}
	c.answerLeaderRequest(ev.Request, Answer{Code: a.Code, ReportElsewhere: a.ReportElsewhere})
}

// maxLoggedBytes bounds what a log line has of a text that another program has sent.
const maxLoggedBytes = 200

func shortened(text string) string { return text[:min(len(text), maxLoggedBytes)] }

// onWorkersReported handles several reports. A report that needs a commit first is answered with NotReady.
func (c *Control) onWorkersReported(now time.Time, request uint64, reports []tbfleet.Report) {
	answers := make([]ReportAnswer, 0, len(reports))
	for _, r := range reports {
		a, mustCommit := c.handleReport(now, r)
		if mustCommit {
			a.Code = NotReady
		}
		answers = append(answers, a)
	}
	c.answerLeaderRequest(request, Answer{Reports: answers})
}

// handleReport processes a report and returns whether the worker's draining has to be committed
// before the report is acknowledged.
//
// A report whose class is in no stored configuration does not come from a worker of this deployment. The
// report may have the id or address of a worker of the deployment, and must not change that worker's
// state. It is therefore ignored, unless its incarnation and class match the recorded worker.
func (c *Control) handleReport(now time.Time, r tbfleet.Report) (a ReportAnswer, mustCommit bool) {
	if err := r.Validate(); err != nil {
		c.emit(Log{Message: "report is invalid", Detail: err.Error(), Args: []any{"worker", shortened(r.ID)}})
		return ReportAnswer{Code: Invalid}, false
	}
	recordedWorker := c.state.Flow.Workers[r.ID]
	matchesRecord := recordedWorker != nil && recordedWorker.Incarnation == r.Incarnation && recordedWorker.Class == r.Class
	if cfg := &c.state.Flow.Config; cfg.Version > 0 && !cfg.HasClass(r.Class) && !matchesRecord {
		c.emit(Log{Message: "report of an unknown class", Args: []any{
			"worker", r.ID, "class", r.Class, "address", r.Address, "version", cfg.Version,
		}})
		return ReportAnswer{Code: ReportIgnored}, false
	}
	// The report may be repeated before the draining is committed. The repeat must not be answered with
	// ReportIgnored, because the worker would take that as an acknowledgement.
	mustCommit = r.Draining && (recordedWorker == nil || recordedWorker.Incarnation < r.Incarnation || recordedWorker.Incarnation == r.Incarnation && !recordedWorker.Draining)
	isAccepted := c.leader.flow.fleet.HandleReport(now, r)
	if !isAccepted && !mustCommit {
		return ReportAnswer{Code: ReportIgnored}, false
	}
	if isAccepted && (recordedWorker == nil || recordedWorker.Incarnation < r.Incarnation || recordedWorker.Address != r.Address || recordedWorker.DataCentre != r.DataCentre || recordedWorker.Capacity != r.Capacity) {
		c.proposeFlowChange(tbflow.RecordWorker{
			Worker: r.ID, Incarnation: r.Incarnation, Address: r.Address, Class: r.Class, DataCentre: r.DataCentre,
			Rack: r.Rack, Labels: r.Labels, Capacity: r.Capacity,
		})
	}
	return ReportAnswer{ReportElsewhere: shouldReportElsewhere(r.ID, len(c.state.Flow.Workers))}, mustCommit
}

package tbcontrol_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// Each worker keeps a connection open to the replica that it reports to. Of 66 workers all report to the
// leader. Of 2,000 workers about 768 do, and they are the same ones at each report.
func TestNumberOfWorkersReportingToTheLeaderIsBounded(t *testing.T) {
	g := newFullGroup(t)
	config := tbflow.Config{Version: 2, Source: []byte("source"), Queues: []tbflow.Queue{{
		Name: "q", Key: tbflow.QueueKey{Host: "h", Prefix: "/q/"}, WorkerClass: "c",
	}}}
	qt.Assert(t, g.ask(tbcontrol.ConfigPutRequested{Config: config}).Answer.Code, qt.Equals, tbcontrol.Done)
	r := g.leader()
	reportAll := func(workerCount int, sequence uint64) (elsewhere map[string]bool) {
		elsewhere = map[string]bool{}
		for i := range workerCount {
			g.lastRequest++
			id := fmt.Sprintf("i-%08x", uint32(i)*2654435761)
			g.step(r, tbcontrol.LeaderRequestArrived{Request: g.lastRequest, LeaderRequest: tbcontrol.WorkerReported{Report: tbfleet.Report{
				ID: id, Address: id, Incarnation: 1, Class: "c", ClockMs: 1, Sequence: sequence,
				Capacity: tbresource.Amount{MilliProcessors: 8000, MemoryMB: 8000},
			}}})
			if a := r.answerByRequest[g.lastRequest].Answer; a.ReportElsewhere {
				elsewhere[id] = true
			}
		}
		g.advance(time.Second)
		return elsewhere
	}
	// The first call of reportAll for 66 or 2000 workers only registers the new workers, so its result is
	// not checked.
	reportAll(66, 1)
	qt.Check(t, reportAll(66, 2), qt.HasLen, 0)
	reportAll(2000, 3)
	elsewhere := reportAll(2000, 4)
	reportingToLeader := 2000 - len(elsewhere)
	qt.Check(t, reportingToLeader > 700 && reportingToLeader < 840, qt.IsTrue, qt.Commentf("%d of 2000 workers report to the leader", reportingToLeader))
	qt.Check(t, reportAll(2000, 5), qt.DeepEquals, elsewhere)
}

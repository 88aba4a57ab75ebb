package tbcontrol_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbfleet"
)

// One request carries four reports. The second repeats the first. The third has a class that is not in the
// configuration. The fourth says that its worker is draining, which has to be committed before the report
// is acknowledged.
func TestBatchedReportsAreAnsweredOneByOne(t *testing.T) {
	g := newGroupWithRunningJob(t)
	newReport := func(id, class string, sequence uint64) tbfleet.Report {
		return tbfleet.Report{ID: id, Address: id + ":1", Incarnation: 1, Class: class, ClockMs: 20, Sequence: sequence}
	}
	drainingReport := newReport("v", "c", 1)
	drainingReport.Draining = true
	a := g.ask(tbcontrol.WorkersReported{Reports: []tbfleet.Report{
		newReport("u", "c", 1), newReport("u", "c", 1), newReport("x", "nobody", 1), drainingReport,
	}})
	qt.Check(t, a.Answer.Reports, qt.DeepEquals, []tbcontrol.ReportAnswer{
		{Code: tbcontrol.Done}, {Code: tbcontrol.ReportIgnored}, {Code: tbcontrol.ReportIgnored}, {Code: tbcontrol.NotReady},
	})
	workers := g.leader().control.State().Flow.Workers
	qt.Check(t, workers["u"], qt.IsNotNil)
	qt.Check(t, workers["x"], qt.IsNil)
	qt.Check(t, workers["v"] == nil || !workers["v"].Draining, qt.IsTrue)
}

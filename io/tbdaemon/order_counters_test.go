package tbdaemon

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/io/tbcodec"
	"tamarackbarrow/io/tbpeer"
)

func (c *counters) value(name string) uint64 {
	for _, n := range c.all() {
		if n.name == name {
			return n.value
		}
	}
	return 0
}

func TestResultsOfOrdersAreCountedByOutcomeAndCause(t *testing.T) {
	for _, test := range []struct {
		name  string
		order tbfleet.Order
		r     tbcodec.OrderResult
	}{
		{"orders.start.accepted", tbfleet.Start{}, tbcodec.OrderResult{Outcome: tbfleet.Accepted}},
		{"orders.start.refused.noRoom", tbfleet.Start{}, tbcodec.OrderResult{Outcome: tbfleet.Refused, Cause: tbfleet.CauseNoRoom}},
		{"orders.start.refused.status409late", tbfleet.Start{}, tbcodec.OrderResult{Outcome: tbfleet.Refused, Cause: "status 409 late"}},
		{"orders.start.notSent.connectTimeout", tbfleet.Start{}, tbcodec.OrderResult{Outcome: tbfleet.Refused, Cause: tbfleet.CauseConnectTimeout}},
		{"orders.start.notSent.expired", tbfleet.Start{}, tbcodec.OrderResult{Outcome: tbfleet.NotSent, Cause: causeExpired}},
		{"orders.start.unanswered.other", tbfleet.Start{}, tbcodec.OrderResult{Cause: "read tcp 10.0.0.1:80: some text"}},
		{"orders.stop.unanswered.timeout", tbfleet.Stop{}, tbcodec.OrderResult{Cause: tbfleet.CauseTimeout}},
		{"orders.poll.refused.fence", tbfleet.Poll{}, tbcodec.OrderResult{Outcome: tbfleet.Refused, Cause: tbfleet.CauseFence}},
		{"orders.poll.otherWorker", tbfleet.Poll{}, tbcodec.OrderResult{Outcome: tbfleet.OtherWorker}},
		{"orders.speed.accepted", tbfleet.SetSpeed{}, tbcodec.OrderResult{Outcome: tbfleet.Accepted}},
	} {
		d := &Daemon{counters: newCounters(&tbpeer.Traffic{})}
		d.countOrder(test.order, test.r)
		qt.Check(t, d.counters.value(test.name), qt.Equals, uint64(1), qt.Commentf("%s: %v", test.name, d.counters.all()))
		qt.Check(t, d.counters.all(), qt.HasLen, 1)
	}
}

// The process that sends the order counts its result: a relay those of relayed starts, and the leader none.
func TestRelayCountsResultsOfOrders(t *testing.T) {
	leader, _, relay, _, _ := newRelayedLeader(t)
	before, ownBefore := relay.counters.value("orders.start.accepted"), leader.counters.value("orders.start.accepted")
	leader.orders.send(startOrder("counted"))
	qt.Check(t, nextStartAnswer(t, leader).Outcome, qt.Equals, tbfleet.Accepted)
	qt.Check(t, relay.counters.value("orders.start.accepted"), qt.Equals, before+1)
	qt.Check(t, leader.counters.value("orders.start.accepted"), qt.Equals, ownBefore)
}

// A poll of an earlier leader that is refused is a warning that names both terms. One that a later order of the same leader
// has overtaken is not.
func TestOnlyPollOfEarlierLeaderIsAWarning(t *testing.T) {
	poll := tbfleet.Poll{Target: tbfleet.Target{ID: "w", Token: 7<<28 | 5}}
	for newestTerm, want := range map[uint64][]string{
		7: {`[INFO]`, "poll overtaken", "token=1879048197", "term=7"},
		8: {`[WARN]`, "poll refused", "token=1879048197", "term=7", "newestTerm=8"},
	} {
		var text bytes.Buffer
		log := hclog.New(&hclog.LoggerOptions{Output: &text})
		d := &Daemon{log: log, routineLog: log}
		d.term.Store(newestTerm)
		d.logFenced(poll)
		for _, part := range want {
			qt.Check(t, strings.Contains(text.String(), part), qt.IsTrue, qt.Commentf("%s in %s", part, text.String()))
		}
	}
}

package tbcontrol_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// A leader is frozen, another one takes over, and the first one handles answers of workers
// before it learns so. The new leader counts leases from its take-over; one that is renewed
// later would let a task run twice.
func TestDeposedLeaderRenewsNoLease(t *testing.T) {
	g := runningJob(t)
	old := g.leader()
	old.cut = true
	g.run(3 * time.Second)
	qt.Assert(t, g.leader(), qt.IsNotNil)
	old.orders = nil
	g.step(old, tbcontrol.LookAnswered{Term: old.control.Replica().Term(), Answer: tbfleet.LookAnswered{
		Worker: "w", Born: 1, ActualBorn: 1, SentAt: g.now, Verdict: tbfleet.Accepted, ClockMs: 3000,
	}})
	qt.Check(t, old.orders, qt.HasLen, 0)
}

// A leader that hears nothing for a moment holds its orders back, and sends them once its
// group confirms it again. It checks its quorum once in an election timeout, so that it
// depends on the moment whether it goes on leading.
func TestLeaderThatIsConfirmedAgainSendsWhatItHeldBack(t *testing.T) {
	tried := false
	for offset := time.Duration(0); offset < 600*time.Millisecond && !tried; offset += 50 * time.Millisecond {
		g := runningJob(t)
		r := g.leader()
		g.run(offset)
		r.deaf = true
		for r.control.Leads(g.now) {
			g.run(10 * time.Millisecond)
		}
		r.orders = nil
		g.step(r, tbcontrol.LookAnswered{Term: r.control.Replica().Term(), Answer: tbfleet.LookAnswered{
			Worker: "w", Born: 1, ActualBorn: 1, SentAt: g.now, Verdict: tbfleet.Accepted, ClockMs: 3000,
		}})
		qt.Check(t, r.orders, qt.HasLen, 0)
		r.deaf = false
		g.run(100 * time.Millisecond)
		if g.leader() == r {
			tried = true
			qt.Check(t, len(r.orders) > 0, qt.IsTrue)
		}
	}
	qt.Check(t, tried, qt.IsTrue)
}

// A leader is deposed and elected again while a look of its first term is under way. The
// answer must not settle a run whose start, of that term too, may still be carried out: the
// worker has not seen the token of the new term.
func TestAnswerToAnOrderOfAnEarlierTermSettlesNothing(t *testing.T) {
	g := runningJob(t)
	first := g.leader()
	g.run(100 * time.Millisecond)
	first.cut = true
	g.run(3 * time.Second)
	r := g.leader()
	qt.Assert(t, r, qt.IsNotNil)
	answer := tbfleet.LookAnswered{Worker: "w", Born: 1, ActualBorn: 1, SentAt: g.now, Verdict: tbfleet.Accepted, ClockMs: 3000}
	phase := func() tbflow.TaskPhase { return r.control.State().Flow.Jobs["j"].Tasks[0][0][0].Phase }
	run := func() uint64 { return r.control.State().Flow.Jobs["j"].Tasks[0][0][0].Run }
	before := run()
	qt.Assert(t, phase(), qt.Equals, tbflow.TaskAssigned)

	g.step(r, tbcontrol.LookAnswered{Answer: answer, Term: first.control.Replica().Term()})
	g.run(200 * time.Millisecond)
	qt.Check(t, phase(), qt.Equals, tbflow.TaskAssigned)
	qt.Check(t, run(), qt.Equals, before)

	g.step(r, tbcontrol.LookAnswered{Answer: answer, Term: r.control.Replica().Term()})
	g.run(200 * time.Millisecond)
	qt.Check(t, run(), qt.Equals, before+1)
}

// A leader that is cut off from its quorum named itself until it stepped down, so that fronts
// which still reached it asked it again and again while the other half had a new leader.
func TestLeaderWhoseQuorumIsSilentNamesNoLeader(t *testing.T) {
	g := runningJob(t)
	old := g.leader()
	old.deaf = true
	for old.control.Leads(g.now) {
		g.run(10 * time.Millisecond)
	}
	qt.Assert(t, old.control.Replica().Role(), qt.Equals, tbconsensus.Leader)
	g.next++
	g.step(old, tbcontrol.QuestionArrived{Request: g.next, Question: tbcontrol.ConfigAsked{}})
	qt.Check(t, old.answers[g.next].NotLeader, qt.IsTrue)
	qt.Check(t, old.answers[g.next].Leader, qt.Equals, tbconsensus.ReplicaID(0))
}

// A replica that was elected and does not lead yet names itself: callers wait for it.
func TestElectedReplicaThatDoesNotLeadYetNamesItself(t *testing.T) {
	g := restartedGroup(t, 2000)
	g.applyCost = 250 * time.Microsecond
	var elected *replica
	for elected == nil {
		g.run(10 * time.Millisecond)
		for _, r := range g.replicas {
			if r.control.Replica().Role() == tbconsensus.Leader {
				elected = r
			}
		}
	}
	qt.Assert(t, elected.control.Leads(g.now), qt.IsFalse)
	g.step(elected, tbcontrol.QuestionArrived{Request: 7, Question: tbcontrol.ConfigAsked{}})
	qt.Check(t, elected.answers[7].NotLeader, qt.IsTrue)
	qt.Check(t, elected.answers[7].Leader, qt.Equals, elected.id)
}

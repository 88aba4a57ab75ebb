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

// A leader is isolated, and a new leader takes over. The old leader handles answers of workers before it
// learns of the new leader. The new leader counts leases from its takeover. If the old leader renewed a
// lease after the takeover, the task could run twice.
func TestDeposedLeaderDoesNotRenewLeases(t *testing.T) {
	g := newGroupWithRunningJob(t)
	deposedLeader := g.leader()
	deposedLeader.isolated = true
	g.advance(3 * time.Second)
	qt.Assert(t, g.leader(), qt.IsNotNil)
	deposedLeader.workerOrders = nil
	g.step(deposedLeader, tbcontrol.PollAnswered{Term: deposedLeader.control.Replica().Term(), Answer: tbfleet.PollAnswered{
		Worker: "w", Incarnation: 1, ActualIncarnation: 1, SentAt: g.now, Outcome: tbfleet.Accepted, ClockMs: 3000,
	}})
	qt.Check(t, deposedLeader.workerOrders, qt.HasLen, 0)
}

// A leader that receives nothing for a moment delays its orders. It sends them once a quorum of its group
// replies again. The leader checks its quorum once per election timeout, so whether it stays leader
// depends on when the pause begins. The test therefore tries several offsets.
func TestReconfirmedLeaderSendsDelayedOrders(t *testing.T) {
	isReconfirmed := false
	for offset := time.Duration(0); offset < 600*time.Millisecond && !isReconfirmed; offset += 50 * time.Millisecond {
		g := newGroupWithRunningJob(t)
		r := g.leader()
		g.advance(offset)
		r.dropsInbound = true
		for r.control.IsConfirmedLeader(g.now) {
			g.advance(10 * time.Millisecond)
		}
		r.workerOrders = nil
		g.step(r, tbcontrol.PollAnswered{Term: r.control.Replica().Term(), Answer: tbfleet.PollAnswered{
			Worker: "w", Incarnation: 1, ActualIncarnation: 1, SentAt: g.now, Outcome: tbfleet.Accepted, ClockMs: 3000,
		}})
		qt.Check(t, r.workerOrders, qt.HasLen, 0)
		r.dropsInbound = false
		g.advance(100 * time.Millisecond)
		if g.leader() == r {
			isReconfirmed = true
			qt.Check(t, len(r.workerOrders) > 0, qt.IsTrue)
		}
	}
	qt.Check(t, isReconfirmed, qt.IsTrue)
}

// A leader is deposed while a poll of its term is in flight. The next leader gets the answer, which does
// not list a run that was started in the earlier term. The answer must not end that run: the worker has
// not seen the token of the new term, so it may still carry out the start.
func TestPollAnswerOfEarlierTermIsIgnored(t *testing.T) {
	g := newGroupWithRunningJob(t)
	earlierLeader := g.leader()
	g.advance(100 * time.Millisecond)
	earlierLeader.isolated = true
	g.advance(3 * time.Second)
	r := g.leader()
	qt.Assert(t, r, qt.IsNotNil)
	answer := tbfleet.PollAnswered{Worker: "w", Incarnation: 1, ActualIncarnation: 1, SentAt: g.now, Outcome: tbfleet.Accepted, ClockMs: 3000}
	currentPhase := func() tbflow.TaskPhase { return r.control.State().Flow.Jobs["j"].Tasks[0][0][0].Phase }
	currentRun := func() uint64 { return r.control.State().Flow.Jobs["j"].Tasks[0][0][0].Run }
	runBefore := currentRun()
	qt.Assert(t, currentPhase(), qt.Equals, tbflow.TaskAssigned)

	g.step(r, tbcontrol.PollAnswered{Answer: answer, Term: earlierLeader.control.Replica().Term()})
	g.advance(200 * time.Millisecond)
	qt.Check(t, currentPhase(), qt.Equals, tbflow.TaskAssigned)
	qt.Check(t, currentRun(), qt.Equals, runBefore)

	g.step(r, tbcontrol.PollAnswered{Answer: answer, Term: r.control.Replica().Term()})
	g.advance(200 * time.Millisecond)
	qt.Check(t, currentRun(), qt.Equals, runBefore+1)
}

// A leader without a quorum must not return itself as leader hint. An earlier version did so until it
// stepped down, and entries that could still reach it kept asking it while the other replicas had a new
// leader.
func TestLeaderWithoutQuorumReturnsNoLeaderHint(t *testing.T) {
	g := newGroupWithRunningJob(t)
	leaderWithoutQuorum := g.leader()
	leaderWithoutQuorum.dropsInbound = true
	for leaderWithoutQuorum.control.IsConfirmedLeader(g.now) {
		g.advance(10 * time.Millisecond)
	}
	qt.Assert(t, leaderWithoutQuorum.control.Replica().Role(), qt.Equals, tbconsensus.Leader)
	g.lastRequest++
	g.step(leaderWithoutQuorum, tbcontrol.LeaderRequestArrived{Request: g.lastRequest, LeaderRequest: tbcontrol.ConfigReadRequested{}})
	qt.Check(t, leaderWithoutQuorum.answerByRequest[g.lastRequest].NotLeader, qt.IsTrue)
	qt.Check(t, leaderWithoutQuorum.answerByRequest[g.lastRequest].Leader, qt.Equals, tbconsensus.ReplicaID(0))
}

// A replica that is elected but does not make decisions yet returns itself as leader hint, so that callers
// wait for it.
func TestElectedReplicaReturnsItselfAsLeaderHintBeforeItLeads(t *testing.T) {
	g := newRestartedGroup(t, 2000)
	g.applyCost = 250 * time.Microsecond
	var elected *replica
	for elected == nil {
		g.advance(10 * time.Millisecond)
		for _, r := range g.replicas {
			if r.control.Replica().Role() == tbconsensus.Leader {
				elected = r
			}
		}
	}
	qt.Assert(t, elected.control.IsConfirmedLeader(g.now), qt.IsFalse)
	g.step(elected, tbcontrol.LeaderRequestArrived{Request: 7, LeaderRequest: tbcontrol.ConfigReadRequested{}})
	qt.Check(t, elected.answerByRequest[7].NotLeader, qt.IsTrue)
	qt.Check(t, elected.answerByRequest[7].Leader, qt.Equals, elected.id)
}

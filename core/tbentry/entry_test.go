package tbentry

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbbundle"
	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tblease"
	"tamarackbarrow/core/tbrouting"
	"tamarackbarrow/core/tbstate"
)

// fixture is an entry that has a lease and may use one slot on each of two runners.
type fixture struct {
	t       *testing.T
	entry   *Entry
	now     time.Time
	effects []Effect
	index   uint64
	nextID  uint64
}

func testLeaseParams() tblease.Params { return tblease.Params{Duration: 3 * time.Second} }

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, now: time.Unix(1000, 0)}
	f.entry = New(Config{
		ID: "entry-1", Incarnation: 1, DataCentre: "north", PeerAddress: "peer-1",
		Control:    []tbconsensus.Member{{ID: 1, Address: "control-1"}, {ID: 2, Address: "control-2"}},
		EntryLease: testLeaseParams(), TaskLease: testLeaseParams(), SyncInterval: 200 * time.Millisecond,
		DeliveryMargin: time.Second, Routing: tbrouting.DefaultPolicy(), AdmissionEnabled: true, HandoverEnabled: true,
	}, f.now)
	f.sync(f.view(1))
	return f
}

// view returns a full view with two runners, on each of which this entry has the given target of
// slots. Granted is at least 1, so a target of 0 asks the entry to release a slot.
func (f *fixture) view(target int) tbcontrol.View {
	f.index++
	v := tbcontrol.View{
		Index: f.index, Full: true, LeaseGranted: true,
		Bundle: &tbbundle.Bundle{Version: 1, Services: []tbbundle.Service{{
			Name: "quotes", TargetLatency: time.Second, RunDeadline: 2 * time.Second,
			IdempotentMethods: []string{"quote"}, RetryPercent: 100, QueueLimit: 10,
		}}},
		Sessions: []tbstate.Session{{Key: f.entry.Session(), ID: "entry-1"}},
	}
	for i := range 2 {
		v.Runners = append(v.Runners, tbstate.Runner{
			ID: fmt.Sprint("runner-", i), Incarnation: 1, Address: fmt.Sprint("address-", i), Service: "quotes", Slots: 8,
			Phase:  tbstate.RunnerPresent,
			Grants: []tbstate.Grant{{Session: f.entry.Session(), Granted: max(1, target), Target: target, Changed: f.index}},
		})
	}
	return v
}

func (f *fixture) step(ev Event) {
	f.effects = append(f.effects, f.entry.Step(f.now, ev)...)
	f.effects = append(f.effects, f.entry.Step(f.now, EventBatchEnded{})...)
}

func (f *fixture) sync(v tbcontrol.View) { f.step(SyncEnded{SentAt: f.now, Leader: 1, View: v}) }

func (f *fixture) advance(d time.Duration) {
	f.now = f.now.Add(d)
	f.step(Tick{})
}

// call sends a request and returns the id of the call. Without a key, the request is idempotent
// (quote). With a key, the request must not be executed twice (order).
func (f *fixture) call(key string) uint64 {
	f.nextID++
	method := "quote"
	if key != "" {
		method = "order"
	}
	f.step(CallArrived{ID: f.nextID, Call: Call{Service: "quotes", Method: method, Key: key, Timeout: 2 * time.Second}})
	return f.nextID
}

// lastEffect returns the newest effect of type E.
func lastEffect[E Effect](f *fixture) (E, bool) {
	for i := len(f.effects) - 1; i >= 0; i-- {
		if e, ok := f.effects[i].(E); ok {
			return e, true
		}
	}
	var none E
	return none, false
}

func mustLastEffect[E Effect](f *fixture) E {
	f.t.Helper()
	e, ok := lastEffect[E](f)
	qt.Assert(f.t, ok, qt.IsTrue, qt.Commentf("no %T among %d effects", e, len(f.effects)))
	return e
}

// outcome returns the answer to a call and whether there is one.
func (f *fixture) outcome(id uint64) (Outcome, bool) {
	for _, e := range f.effects {
		if a, ok := e.(AnswerCall); ok && a.ID == id {
			return a.Outcome, true
		}
	}
	return Outcome{}, false
}

func (f *fixture) checkOutcome(id uint64, status Status, reason Reason) {
	f.t.Helper()
	o, ok := f.outcome(id)
	qt.Assert(f.t, ok, qt.IsTrue, qt.Commentf("call %d has no outcome", id))
	qt.Check(f.t, o.Status, qt.Equals, status)
	qt.Check(f.t, o.Reason, qt.Equals, reason)
}

// answerClaim answers the newest proposal, which has to be a request for a claim, with o.
func (f *fixture) answerClaim(o tbstate.Outcome) {
	p := mustLastEffect[SendProposal](f)
	f.step(ProposalEnded{ID: p.ID, Outcomes: []tbstate.Outcome{o}})
}

// endAttempt ends the newest attempt and returns it.
func (f *fixture) endAttempt(result AttemptResult) StartAttempt {
	start := mustLastEffect[StartAttempt](f)
	f.step(AttemptEnded{Attempt: start.Attempt, Result: result, Payload: []byte("answer")})
	return start
}

// settleAttempt answers the newest SettleAttempt.
func (f *fixture) settleAttempt(state SettlementResult, answered bool) {
	s := mustLastEffect[SettleAttempt](f)
	f.step(AttemptSettled{Attempt: s.Attempt, State: state, Answered: answered, Payload: []byte("answer")})
}

func TestIdempotentCallIsAnsweredDespiteOneFailedAttempt(t *testing.T) {
	for _, test := range []struct {
		name    string
		results []AttemptResult
		status  Status
		reason  Reason
	}{
		{"answered", []AttemptResult{AttemptAnswered}, Answered, NoReason},
		{"refused, then answered", []AttemptResult{AttemptRefused, AttemptAnswered}, Answered, NoReason},
		{"not reached, then answered", []AttemptResult{AttemptNotSent, AttemptAnswered}, Answered, NoReason},
		{"lost, then answered", []AttemptResult{AttemptLost, AttemptAnswered}, Answered, NoReason},
		{"truncated, then answered", []AttemptResult{AttemptBadAnswer, AttemptAnswered}, Answered, NoReason},
		{"failed, then answered", []AttemptResult{AttemptError, AttemptAnswered}, Answered, NoReason},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			id := f.call("")
			for _, result := range test.results {
				f.endAttempt(result)
			}
			f.checkOutcome(id, test.status, test.reason)
		})
	}
}

func TestLostAttemptIsSettledWithItsRunner(t *testing.T) {
	for _, test := range []struct {
		name     string
		state    SettlementResult
		answered bool
		status   Status
		reason   Reason
	}{
		{"ended with an answer", SettledEnded, true, Answered, NoReason},
		{"ended without an answer", SettledEnded, false, Unknown, ConnectionLost},
		{"runner cannot tell", SettledUnknown, false, Unknown, ConnectionLost},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			id := f.call("order-1")
			f.answerClaim(tbstate.Outcome{})
			f.endAttempt(AttemptLost)
			_, hasOutcome := f.outcome(id)
			qt.Assert(t, hasOutcome, qt.IsFalse)
			f.settleAttempt(test.state, test.answered)
			f.checkOutcome(id, test.status, test.reason)
		})
	}
}

func TestAttemptSettledAsNotExecutedIsRetriedOnAnotherRunner(t *testing.T) {
	f := newFixture(t)
	id := f.call("order-1")
	f.answerClaim(tbstate.Outcome{})
	first := f.endAttempt(AttemptLost)
	f.settleAttempt(SettledNotExecuted, false)
	second := f.endAttempt(AttemptAnswered)
	qt.Check(t, second.Runner, qt.Not(qt.Equals), first.Runner)
	f.checkOutcome(id, Answered, NoReason)
}

func TestUnsettledCallEndsAsUnknownAtItsDeadline(t *testing.T) {
	f := newFixture(t)
	id := f.call("order-1")
	f.answerClaim(tbstate.Outcome{})
	f.endAttempt(AttemptLost)
	f.settleAttempt(SettlementUnanswered, false)
	f.advance(2 * time.Second)
	f.checkOutcome(id, Unknown, DeadlineWhileExecuting)
}

func TestClaimOutcomeDecidesCallWithoutAttempt(t *testing.T) {
	for _, test := range []struct {
		name    string
		outcome tbstate.Outcome
		status  Status
		reason  Reason
	}{
		{"stored answer", tbstate.Outcome{Reason: tbstate.ClaimFinished, Claim: &tbstate.Claim{Status: tbstate.ClaimAnswered}}, Answered, NoReason},
		{"stored unknown outcome", tbstate.Outcome{Reason: tbstate.ClaimFinished, Claim: &tbstate.Claim{Status: tbstate.ClaimOutcomeUnknown}}, Unknown, ClaimOutcomeUnknown},
		{"table full", tbstate.Outcome{Reason: tbstate.ClaimTableFull}, NotExecuted, ClaimTableFull},
		{"session closed", tbstate.Outcome{Reason: tbstate.SessionUnknown}, NotExecuted, NoLease},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			id := f.call("order-1")
			f.answerClaim(test.outcome)
			f.checkOutcome(id, test.status, test.reason)
			_, started := lastEffect[StartAttempt](f)
			qt.Check(t, started, qt.IsFalse)
		})
	}
}

func TestUndecidedClaimIsEndedAsNotExecutedAtDeadline(t *testing.T) {
	f := newFixture(t)
	id := f.call("order-1")
	claim := mustLastEffect[SendProposal](f).Commands[0].(tbstate.AcquireClaim)
	f.advance(2 * time.Second)
	f.checkOutcome(id, NotExecuted, DeadlineWhileClaiming)
	finish := mustLastEffect[SendProposal](f).Commands[0].(tbstate.FinishClaim)
	qt.Check(t, finish.CallID, qt.Equals, claim.CallID)
	qt.Check(t, finish.Status, qt.Equals, tbstate.ClaimNotExecuted)
}

func TestSlotIsHeldUntilRunDeadlineAndDeliveryMarginHavePassed(t *testing.T) {
	f := newFixture(t)
	f.call("")
	f.call("")
	f.advance(2 * time.Second)
	pool := f.entry.lookupService("quotes").pool
	qt.Check(t, pool.FreeSlots(f.now), qt.Equals, 0, qt.Commentf("the calls have ended but the runners may still execute them"))
	f.advance(999 * time.Millisecond)
	qt.Check(t, pool.FreeSlots(f.now), qt.Equals, 0)
	f.advance(time.Millisecond)
	qt.Check(t, pool.FreeSlots(f.now), qt.Equals, 2)
}

func TestQueuedCallIsRefusedAtDeadlineAndNeverStarts(t *testing.T) {
	f := newFixture(t)
	f.call("")
	f.call("")
	id := f.call("")
	started := countEffects[StartAttempt](f)
	f.advance(2 * time.Second)
	f.checkOutcome(id, NotExecuted, DeadlineWhileQueued)
	f.endAttempt(AttemptAnswered)
	qt.Check(t, countEffects[StartAttempt](f), qt.Equals, started)
}

func countEffects[E Effect](f *fixture) int {
	n := 0
	for _, e := range f.effects {
		if _, ok := e.(E); ok {
			n++
		}
	}
	return n
}

func TestNoWorkIsAcceptedWithoutLease(t *testing.T) {
	f := newFixture(t)
	f.advance(testLeaseParams().HolderDuration())
	id := f.call("")
	f.checkOutcome(id, NotExecuted, NoLease)
	f.step(WorkerAnnounced{Request: 7, Worker: tbstate.Worker{ID: "worker-1", Incarnation: 1}})
	qt.Check(t, mustLastEffect[AnswerWorker](f).Reason, qt.Equals, NoLease)
}

func TestDrainingRunnerGetsNoNewAttempts(t *testing.T) {
	f := newFixture(t)
	f.step(RunnerAnnounced{Runner: tbstate.Runner{ID: "runner-0", Incarnation: 1, Service: "quotes", Phase: tbstate.RunnerDraining}})
	f.call("")
	f.call("")
	qt.Check(t, countEffects[StartAttempt](f), qt.Equals, 1)
	qt.Check(t, mustLastEffect[StartAttempt](f).Runner, qt.Equals, "runner-1")
}

func TestReleasesOnlyUnusedSlots(t *testing.T) {
	f := newFixture(t)
	f.call("")
	used := mustLastEffect[StartAttempt](f)
	f.sync(f.view(0))
	release := mustLastEffect[SendProposal](f).Commands[0].(tbstate.ReleaseSlots)
	qt.Assert(t, release.Changes, qt.HasLen, 1)
	qt.Check(t, release.Changes[0].Runner, qt.Not(qt.Equals), used.Runner)
	f.endAttempt(AttemptAnswered)
	f.advance(10 * time.Millisecond)
	release = mustLastEffect[SendProposal](f).Commands[0].(tbstate.ReleaseSlots)
	qt.Check(t, release.Changes[0].Runner, qt.Equals, used.Runner)
}

func TestShutdownFinishesCallsBeforeTheSessionIsClosed(t *testing.T) {
	f := newFixture(t)
	id := f.call("")
	f.step(ShutdownStarted{})
	refused := f.call("")
	f.checkOutcome(refused, NotExecuted, EntryStopping)
	_, proposed := lastEffect[SendProposal](f)
	qt.Check(t, proposed, qt.IsFalse)
	f.endAttempt(AttemptAnswered)
	f.checkOutcome(id, Answered, NoReason)
	f.advance(10 * time.Millisecond)
	closing := mustLastEffect[SendProposal](f)
	qt.Check(t, closing.Commands[0], qt.Equals, tbstate.Command(tbstate.CloseSession{Key: f.entry.Session()}))
	f.step(ProposalEnded{ID: closing.ID, Outcomes: []tbstate.Outcome{{}}})
	f.advance(10 * time.Millisecond)
	mustLastEffect[Stopped](f)
}

func TestCallIsHandedOverToPeerButCallFromPeerIsNot(t *testing.T) {
	f := newFixture(t)
	v := f.view(1)
	v.Sessions = append(v.Sessions, tbstate.Session{Key: "entry-2@1.1", ID: "entry-2", Address: "peer-2"})
	v.Loads = []tbcontrol.EntryLoad{{Session: "entry-2@1.1", Loads: []tbcontrol.ServiceLoad{{Service: "quotes", Free: 1}}}}
	f.sync(v)
	f.call("")
	f.call("")
	third := f.call("")
	qt.Check(t, mustLastEffect[StartHandover](f).ID, qt.Equals, third)
	f.step(HandoverEnded{ID: third, Outcome: Outcome{Status: Answered, Payload: []byte("answer")}})
	f.checkOutcome(third, Answered, NoReason)
	f.step(CallArrived{ID: 99, FromPeer: true, Call: Call{Service: "quotes", Method: "quote", Timeout: time.Second}})
	f.checkOutcome(99, NotExecuted, NoFreeSlot)
}

func TestReportIsAcknowledgedOnlyOnceItIsDecided(t *testing.T) {
	f := newFixture(t)
	announced := WorkerAnnounced{
		Worker:  tbstate.Worker{ID: "worker-1", Incarnation: 1, Phase: tbstate.WorkerPresent},
		Reports: []TaskReport{{Job: "job-1", Run: 1, Phase: tbstate.TaskFinished}},
	}
	f.step(announced)
	qt.Check(t, mustLastEffect[AnswerWorker](f).Orders.Acknowledged, qt.HasLen, 0)
	p := mustLastEffect[SendProposal](f)
	f.step(ProposalEnded{ID: p.ID, Outcomes: make([]tbstate.Outcome, len(p.Commands))})
	f.step(announced)
	qt.Check(t, mustLastEffect[AnswerWorker](f).Orders.Acknowledged, qt.DeepEquals, []TaskAck{{Job: "job-1", Run: 1, Accepted: true}})
}

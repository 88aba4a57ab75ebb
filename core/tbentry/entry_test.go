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

// bench is an entry with a lease and two runners of one slot each.
type bench struct {
	t       *testing.T
	entry   *Entry
	now     time.Time
	effects []Effect
	index   uint64
	nextID  uint64
}

func testTerms() tblease.Terms { return tblease.Terms{Length: 3 * time.Second} }

func newBench(t *testing.T) *bench {
	b := &bench{t: t, now: time.Unix(1000, 0)}
	b.entry = New(Config{
		ID: "entry-1", Incarnation: 1, DataCentre: "north", PeerAddress: "peer-1",
		Control:    []tbconsensus.Member{{ID: 1, Address: "control-1"}, {ID: 2, Address: "control-2"}},
		EntryLease: testTerms(), TaskLease: testTerms(), SyncInterval: 200 * time.Millisecond,
		DeliveryMargin: time.Second, Routing: tbrouting.DefaultPolicy(), Admission: true, Handover: true,
	}, b.now)
	b.sync(b.view(1))
	return b
}

func (b *bench) view(limit int) tbcontrol.View {
	b.index++
	v := tbcontrol.View{
		Index: b.index, Full: true, LeaseGranted: true,
		Bundle: &tbbundle.Bundle{Version: 1, Services: []tbbundle.Service{{
			Name: "quotes", TargetLatency: time.Second, RunDeadline: 2 * time.Second,
			IdempotentMethods: []string{"quote"}, RetryPercent: 100, QueueLimit: 10,
		}}},
		Sessions: []tbstate.Session{{Key: b.entry.Session(), ID: "entry-1"}},
	}
	for i := range 2 {
		v.Runners = append(v.Runners, tbstate.Runner{
			ID: fmt.Sprint("runner-", i), Incarnation: 1, Address: fmt.Sprint("address-", i), Service: "quotes", Slots: 8,
			Phase:  tbstate.RunnerPresent,
			Grants: []tbstate.Grant{{Session: b.entry.Session(), Granted: max(1, limit), Target: limit, Changed: b.index}},
		})
	}
	return v
}

func (b *bench) step(ev Event) {
	b.effects = append(b.effects, b.entry.Step(b.now, ev)...)
	b.effects = append(b.effects, b.entry.Step(b.now, BatchEnded{})...)
}

func (b *bench) sync(v tbcontrol.View) { b.step(SyncEnded{SentAt: b.now, Leader: 1, View: v}) }

func (b *bench) advance(d time.Duration) {
	b.now = b.now.Add(d)
	b.step(Ticked{})
}

// call sends a quote, or an order when key is set, and returns its id.
func (b *bench) call(key string) uint64 {
	b.nextID++
	method := "quote"
	if key != "" {
		method = "order"
	}
	b.step(CallArrived{ID: b.nextID, Call: Call{Service: "quotes", Method: method, Key: key, Within: 2 * time.Second}})
	return b.nextID
}

// last returns the newest effect of a type.
func last[E Effect](b *bench) (E, bool) {
	for i := len(b.effects) - 1; i >= 0; i-- {
		if e, ok := b.effects[i].(E); ok {
			return e, true
		}
	}
	var none E
	return none, false
}

func mustLast[E Effect](b *bench) E {
	b.t.Helper()
	e, ok := last[E](b)
	qt.Assert(b.t, ok, qt.IsTrue, qt.Commentf("no %T among %d effects", e, len(b.effects)))
	return e
}

func (b *bench) outcome(id uint64) (Outcome, bool) {
	for _, e := range b.effects {
		if a, ok := e.(AnswerCall); ok && a.ID == id {
			return a.Outcome, true
		}
	}
	return Outcome{}, false
}

func (b *bench) checkOutcome(id uint64, status Status, reason Reason) {
	b.t.Helper()
	o, ok := b.outcome(id)
	qt.Assert(b.t, ok, qt.IsTrue, qt.Commentf("call %d has no outcome", id))
	qt.Check(b.t, o.Status, qt.Equals, status)
	qt.Check(b.t, o.Reason, qt.Equals, reason)
}

// claim grants the newest claim.
func (b *bench) claim(o tbstate.Outcome) {
	p := mustLast[SendProposal](b)
	b.step(ProposalEnded{ID: p.ID, Outcomes: []tbstate.Outcome{o}})
}

func (b *bench) end(kind RunKind) StartRun {
	run := mustLast[StartRun](b)
	b.step(RunEnded{Attempt: run.Attempt, Kind: kind, Payload: []byte("answer")})
	return run
}

func (b *bench) settle(state SettleState, answered bool) {
	s := mustLast[SettleRun](b)
	b.step(RunSettled{Attempt: s.Attempt, State: state, Answered: answered, Payload: []byte("answer")})
}

func TestEndsOfAQuote(t *testing.T) {
	for _, test := range []struct {
		name   string
		kinds  []RunKind
		status Status
		reason Reason
	}{
		{"answered", []RunKind{RunAnswered}, Answered, NoReason},
		{"refused, then answered", []RunKind{RunRefused, RunAnswered}, Answered, NoReason},
		{"not reached, then answered", []RunKind{RunNotSent, RunAnswered}, Answered, NoReason},
		{"lost, then answered", []RunKind{RunLost, RunAnswered}, Answered, NoReason},
		{"cut short, then answered", []RunKind{RunBadAnswer, RunAnswered}, Answered, NoReason},
		{"failed, then answered", []RunKind{RunError, RunAnswered}, Answered, NoReason},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t)
			id := b.call("")
			for _, kind := range test.kinds {
				b.end(kind)
			}
			b.checkOutcome(id, test.status, test.reason)
		})
	}
}

func TestLostOrderIsSettledWithItsRunner(t *testing.T) {
	for _, test := range []struct {
		name     string
		state    SettleState
		answered bool
		status   Status
		reason   Reason
	}{
		{"ended with an answer", SettledEnded, true, Answered, NoReason},
		{"ended without an answer", SettledEnded, false, Unknown, ConnectionLost},
		{"runner cannot tell", SettledUnknown, false, Unknown, ConnectionLost},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t)
			id := b.call("order-1")
			b.claim(tbstate.Outcome{})
			b.end(RunLost)
			_, decided := b.outcome(id)
			qt.Assert(t, decided, qt.IsFalse)
			b.settle(test.state, test.answered)
			b.checkOutcome(id, test.status, test.reason)
		})
	}
}

func TestLostOrderThatNeverRanGoesToAnotherRunner(t *testing.T) {
	b := newBench(t)
	id := b.call("order-1")
	b.claim(tbstate.Outcome{})
	first := b.end(RunLost)
	b.settle(SettledNotRun, false)
	second := b.end(RunAnswered)
	qt.Check(t, second.Runner, qt.Not(qt.Equals), first.Runner)
	b.checkOutcome(id, Answered, NoReason)
}

func TestLostOrderEndsAsUnknownAtItsDeadline(t *testing.T) {
	b := newBench(t)
	id := b.call("order-1")
	b.claim(tbstate.Outcome{})
	b.end(RunLost)
	b.settle(SettleFailed, false)
	b.advance(2 * time.Second)
	b.checkOutcome(id, Unknown, DeadlineWhileRunning)
}

func TestOrderFollowsItsClaim(t *testing.T) {
	for _, test := range []struct {
		name    string
		outcome tbstate.Outcome
		status  Status
		reason  Reason
	}{
		{"kept answer", tbstate.Outcome{Reason: tbstate.ClaimFinished, Claim: &tbstate.Claim{Status: tbstate.ClaimAnswered}}, Answered, NoReason},
		{"kept unknown", tbstate.Outcome{Reason: tbstate.ClaimFinished, Claim: &tbstate.Claim{Status: tbstate.ClaimOutcomeUnknown}}, Unknown, ClaimUndecided},
		{"table full", tbstate.Outcome{Reason: tbstate.ClaimTableFull}, NotRun, ClaimTableFull},
		{"session closed", tbstate.Outcome{Reason: tbstate.SessionUnknown}, NotRun, NoLease},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t)
			id := b.call("order-1")
			b.claim(test.outcome)
			b.checkOutcome(id, test.status, test.reason)
			_, ran := last[StartRun](b)
			qt.Check(t, ran, qt.IsFalse)
		})
	}
}

func TestUndecidedClaimIsReleased(t *testing.T) {
	b := newBench(t)
	id := b.call("order-1")
	claim := mustLast[SendProposal](b).Commands[0].(tbstate.MakeClaim)
	b.advance(2 * time.Second)
	b.checkOutcome(id, NotRun, DeadlineWhileClaiming)
	release := mustLast[SendProposal](b).Commands[0].(tbstate.FinishClaim)
	qt.Check(t, release.Attempt, qt.Equals, claim.Attempt)
	qt.Check(t, release.Status, qt.Equals, tbstate.ClaimNotRun)
}

func TestSlotStaysHeldUntilTheRequestHasSurelyEnded(t *testing.T) {
	b := newBench(t)
	b.call("")
	b.call("")
	b.advance(2 * time.Second)
	pool := b.entry.serviceOf("quotes").pool
	qt.Check(t, pool.Free(b.now), qt.Equals, 0, qt.Commentf("callers gave up but the runners may still work"))
	b.advance(999 * time.Millisecond)
	qt.Check(t, pool.Free(b.now), qt.Equals, 0)
	b.advance(time.Millisecond)
	qt.Check(t, pool.Free(b.now), qt.Equals, 2)
}

func TestQueuedCallIsRefusedInTimeAndNeverRuns(t *testing.T) {
	b := newBench(t)
	b.call("")
	b.call("")
	id := b.call("")
	runs := countEffects[StartRun](b)
	b.advance(2 * time.Second)
	b.checkOutcome(id, NotRun, DeadlineWhileQueued)
	b.end(RunAnswered)
	qt.Check(t, countEffects[StartRun](b), qt.Equals, runs)
}

func countEffects[E Effect](b *bench) int {
	n := 0
	for _, e := range b.effects {
		if _, ok := e.(E); ok {
			n++
		}
	}
	return n
}

func TestNothingStartsWithoutALease(t *testing.T) {
	b := newBench(t)
	b.advance(testTerms().HolderLength())
	id := b.call("")
	b.checkOutcome(id, NotRun, NoLease)
	b.step(WorkerAnnounced{Request: 7, Worker: tbstate.Worker{ID: "worker-1", Incarnation: 1}})
	qt.Check(t, mustLast[AnswerWorker](b).Reason, qt.Equals, NoLease)
}

func TestLeavingRunnerGetsNoNewWorkAtOnce(t *testing.T) {
	b := newBench(t)
	b.step(RunnerAnnounced{Runner: tbstate.Runner{ID: "runner-0", Incarnation: 1, Service: "quotes", Phase: tbstate.RunnerLeaving}})
	b.call("")
	b.call("")
	qt.Check(t, countEffects[StartRun](b), qt.Equals, 1)
	qt.Check(t, mustLast[StartRun](b).Runner, qt.Equals, "runner-1")
}

func TestSurrendersOnlyUnusedSlots(t *testing.T) {
	b := newBench(t)
	b.call("")
	used := mustLast[StartRun](b)
	b.sync(b.view(0))
	given := mustLast[SendProposal](b).Commands[0].(tbstate.Surrender)
	qt.Assert(t, given.Changes, qt.HasLen, 1)
	qt.Check(t, given.Changes[0].Runner, qt.Not(qt.Equals), used.Runner)
	b.end(RunAnswered)
	b.advance(10 * time.Millisecond)
	given = mustLast[SendProposal](b).Commands[0].(tbstate.Surrender)
	qt.Check(t, given.Changes[0].Runner, qt.Equals, used.Runner)
}

func TestStopFinishesCallsBeforeTheSessionIsClosed(t *testing.T) {
	b := newBench(t)
	id := b.call("")
	b.step(StopBegun{})
	refused := b.call("")
	b.checkOutcome(refused, NotRun, EntryStopping)
	_, early := last[SendProposal](b)
	qt.Check(t, early, qt.IsFalse)
	b.end(RunAnswered)
	b.checkOutcome(id, Answered, NoReason)
	b.advance(10 * time.Millisecond)
	closing := mustLast[SendProposal](b)
	qt.Check(t, closing.Commands[0], qt.Equals, tbstate.Command(tbstate.CloseSession{Key: b.entry.Session()}))
	b.step(ProposalEnded{ID: closing.ID, Outcomes: []tbstate.Outcome{{}}})
	b.advance(10 * time.Millisecond)
	mustLast[Stopped](b)
}

func TestHandsOverOnceAndNeverFromAPeer(t *testing.T) {
	b := newBench(t)
	v := b.view(1)
	v.Sessions = append(v.Sessions, tbstate.Session{Key: "entry-2@1.1", ID: "entry-2", Address: "peer-2"})
	v.Loads = []tbcontrol.EntryLoad{{Session: "entry-2@1.1", Loads: []tbcontrol.ServiceLoad{{Service: "quotes", Free: 1}}}}
	b.sync(v)
	b.call("")
	b.call("")
	third := b.call("")
	qt.Check(t, mustLast[StartHandover](b).ID, qt.Equals, third)
	b.step(HandoverEnded{ID: third, Outcome: Outcome{Status: Answered, Payload: []byte("answer")}})
	b.checkOutcome(third, Answered, NoReason)
	b.step(CallArrived{ID: 99, Handover: true, Call: Call{Service: "quotes", Method: "quote", Within: time.Second}})
	b.checkOutcome(99, NotRun, NoFreeSlot)
}

func TestReportIsAcknowledgedOnlyWhenRecorded(t *testing.T) {
	b := newBench(t)
	announced := WorkerAnnounced{
		Worker:  tbstate.Worker{ID: "worker-1", Incarnation: 1, Phase: tbstate.WorkerPresent},
		Reports: []TaskReport{{Job: "job-1", Epoch: 1, Phase: tbstate.TaskFinished}},
	}
	b.step(announced)
	qt.Check(t, mustLast[AnswerWorker](b).Orders.Acknowledged, qt.HasLen, 0)
	p := mustLast[SendProposal](b)
	b.step(ProposalEnded{ID: p.ID, Outcomes: make([]tbstate.Outcome, len(p.Commands))})
	b.step(announced)
	qt.Check(t, mustLast[AnswerWorker](b).Orders.Acknowledged, qt.DeepEquals, []TaskAck{{Job: "job-1", Epoch: 1, Accepted: true}})
}

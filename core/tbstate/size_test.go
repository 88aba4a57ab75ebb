package tbstate

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbbundle"
)

// submit returns the reason with which a job of payloadBytes is refused, or OK.
func (fx *crashFixture) submit(id string, payloadBytes int) Reason {
	fx.index++
	c := SubmitJob{Job: Job{ID: id, Kind: "plan", Team: "team", Payload: make([]byte, payloadBytes)}}
	return fx.s.Apply(fx.index, Batch{NowMs: fx.nowMs, Commands: []Command{c}})[0].Reason
}

// Guards against payloads that no view of an entry can hold.
func TestPayloadsOfJobsAreBounded(t *testing.T) {
	fx := newCrashFixture(t)
	const payloadBytes = MaxPayloadBytes / 4
	for i := range 4 {
		qt.Check(t, fx.submit(fmt.Sprintf("j%d", i), payloadBytes), qt.Equals, OK)
	}
	qt.Check(t, fx.submit("j4", 1), qt.Equals, TooManyJobs)
	fx.apply(CancelJob{ID: "j0"})
	qt.Check(t, fx.submit("j4", payloadBytes), qt.Equals, OK)
	qt.Check(t, fx.s.payloadBytes, qt.Equals, MaxPayloadBytes)
}

// Guards against kept answers that no snapshot can hold. Claims are granted again once answers expire.
func TestKeptAnswersAreBounded(t *testing.T) {
	fx := &crashFixture{t: t, s: New(), nowMs: 1000}
	const retention = time.Minute
	fx.apply(SignOff{Bundle: tbbundle.Bundle{Version: 1, Services: []tbbundle.Service{{Name: "s", ClaimLimit: 1000, IdempotencyRetention: retention}}}})
	fx.apply(RollOut{Version: 1})
	fx.apply(OpenSession{Session: Session{Key: "e", ID: "e"}})
	acquire := func(key string) Reason {
		fx.index++
		c := AcquireClaim{Key: ClaimKey{Service: "s", Key: key}, Session: "e", CallID: fx.index}
		return fx.s.Apply(fx.index, Batch{NowMs: fx.nowMs, Commands: []Command{c}})[0].Reason
	}
	for i := range 4 {
		key := fmt.Sprint(i)
		qt.Assert(t, acquire(key), qt.Equals, OK)
		fx.apply(FinishClaim{Key: ClaimKey{Service: "s", Key: key}, Session: "e", CallID: fx.index, Status: ClaimAnswered, Answer: make([]byte, MaxAnswerBytes/4)})
	}
	qt.Check(t, acquire("next"), qt.Equals, ClaimTableFull)
	fx.nowMs += retention.Milliseconds()
	qt.Check(t, acquire("next"), qt.Equals, OK)
}

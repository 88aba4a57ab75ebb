package tbfleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
)

// Guards against leases that expire on workers that are well because the leader's commits are slow: an end was listed, and
// the worker was not polled until the end was recorded.
func TestLeaseIsRenewedWhileAnEndIsNotRecordedYet(t *testing.T) {
	f, s, now := newStartsFixture(t)
	begin := now
	running := orderStart(f, s, now, 0, "a")
	ended := orderStart(f, s, now, 1, "a")
	answerStart(f, now, running, Accepted)
	answerStart(f, now, ended, Accepted)
	lastRenewalAt := now
	clockMs := func() int64 { return 1 + now.Sub(begin).Milliseconds() }
	for now.Sub(begin) < 5*time.Second {
		for _, o := range f.TakeOutput().Orders {
			p, ok := o.(Poll)
			if !ok || p.Target.ID != "a" {
				continue
			}
			if p.LeaseEndMs > 0 {
				lastRenewalAt = now
			}
			f.HandlePollAnswered(now, PollAnswered{
				Worker: "a", Incarnation: 1, ActualIncarnation: 1, SentAt: now, LeaseEndMs: p.LeaseEndMs, Outcome: Accepted, ClockMs: clockMs(),
				Running: []ListedRun{{Ref: running.Ref, Run: running.Run}},
				Ended:   []ListedEnd{{Number: 1, Ref: ended.Ref, Run: ended.Run, Kind: tbflow.EndDone}},
			})
		}
		// The commands of the fleet are proposed, and none is committed yet.
		qt.Assert(t, now.Sub(lastRenewalAt) < f.params.Lease*3/4, qt.IsTrue, qt.Commentf("no renewal for %v, the lease is %v", now.Sub(lastRenewalAt), f.params.Lease))
		now = now.Add(100 * time.Millisecond)
		f.Tick(now)
	}
}

// The polls that renew a lease meanwhile are answered at once, and list the ends that are proposed already.
func TestRenewalsBeforeAnEndIsRecordedAreFewAndProposeNothingAgain(t *testing.T) {
	f, s, now := newStartsFixture(t)
	begin := now
	running := orderStart(f, s, now, 0, "a")
	ended := orderStart(f, s, now, 1, "a")
	answerStart(f, now, running, Accepted)
	answerStart(f, now, ended, Accepted)
	polls, proposals := 0, 0
	for now.Sub(begin) < 8*time.Second {
		out := f.TakeOutput()
		for _, c := range out.Commands {
			if _, ok := c.(tbflow.RecordEnds); ok {
				proposals++
			}
		}
		for _, o := range out.Orders {
			p, ok := o.(Poll)
			if !ok || p.Target.ID != "a" {
				continue
			}
			polls++
			f.HandlePollAnswered(now, PollAnswered{
				Worker: "a", Incarnation: 1, ActualIncarnation: 1, SentAt: now, LeaseEndMs: p.LeaseEndMs, Outcome: Accepted, ClockMs: 1 + now.Sub(begin).Milliseconds(),
				Running: []ListedRun{{Ref: running.Ref, Run: running.Run}},
				Ended:   []ListedEnd{{Number: 1, Ref: ended.Ref, Run: ended.Run, Kind: tbflow.EndFailed}},
			})
		}
		now = now.Add(10 * time.Millisecond)
		f.Tick(now)
	}
	qt.Check(t, proposals, qt.Equals, 1)
	qt.Check(t, polls <= int(8*time.Second/f.params.renewalInterval())+1, qt.IsTrue, qt.Commentf("%d polls in 8 s", polls))
	qt.Check(t, f.Worker("a").Failures, qt.Equals, 1)
}

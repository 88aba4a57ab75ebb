package tbfleet

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
)

// Guards against workers that cannot be used for seconds after a takeover although all of them answer: the number of polls
// in flight to workers that have not answered is fixed, and answers take long on slow machines.
func TestNewLeaderReachesLargeFleetThatAnswersSlowly(t *testing.T) {
	const workers, answerTime, limit = 1800, 350 * time.Millisecond, 3 * time.Second
	_, s, now := newStartsFixture(t)
	for i := range workers {
		id := fmt.Sprintf("w%04d", i)
		qt.Assert(t, s.Apply(now.UnixMilli(), tbflow.RecordWorker{Worker: id, Incarnation: 1, Address: id, Class: "c"}), qt.Equals, tbflow.OK)
	}
	begin := now
	f := New(Params{
		Lease: 4 * time.Second, MaxLease: 6 * time.Second, MaxOrderDelay: 12 * time.Second, ClockRateBound: 0.02,
		PollWait: time.Second, OrderTimeout: 400 * time.Millisecond, SilenceTimeout: 3500 * time.Millisecond, PollRetryDelay: 250 * time.Millisecond,
	}, 2)
	f.TakeOver(now, s, NewOutstandingTimes(now, s))
	type answer struct {
		at   time.Time
		poll Poll
	}
	var inFlight []answer
	usable := 0
	for now.Sub(begin) < 30*time.Second {
		if elapsed := now.Sub(begin); elapsed%time.Second == 0 {
			for i := range workers {
				id := fmt.Sprintf("w%04d", i)
				f.HandleReport(now, Report{ID: id, Address: id, Incarnation: 1, Class: "c", ClockMs: 1 + elapsed.Milliseconds(), Sequence: uint64(elapsed/time.Second) + 1})
			}
		}
		f.Tick(now)
		for len(inFlight) > 0 && !inFlight[0].at.After(now) {
			p := inFlight[0].poll
			inFlight = inFlight[1:]
			f.HandlePollAnswered(now, PollAnswered{
				Worker: p.Target.ID, Incarnation: 1, ActualIncarnation: 1, SentAt: now.Add(-answerTime), LeaseEndMs: p.LeaseEndMs, Outcome: Accepted, ClockMs: 1 + now.Sub(begin).Milliseconds(),
			})
		}
		for _, o := range f.TakeOutput().Orders {
			if p, ok := o.(Poll); ok {
				inFlight = append(inFlight, answer{at: now.Add(answerTime), poll: p})
			}
		}
		usable = 0
		for i := range workers {
			if f.Usable(f.Worker(fmt.Sprintf("w%04d", i)), now) {
				usable++
			}
		}
		if usable == workers {
			break
		}
		now = now.Add(10 * time.Millisecond)
	}
	qt.Check(t, now.Sub(begin) <= limit, qt.IsTrue, qt.Commentf("%d of %d workers are usable %v after the takeover, answers take %v", usable, workers, now.Sub(begin), answerTime))
}

package tbfleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// answerHeldPolls lets worker a answer n polls after d, which it holds open for their whole wait, and returns the time.
func answerHeldPolls(f *Fleet, now time.Time, n int, d time.Duration) time.Time {
	w := f.Worker("a")
	for range n {
		w.pollInFlight = true
		sentAt := now
		now = now.Add(w.pollWait + d)
		f.HandlePollAnswered(now, PollAnswered{Worker: "a", Incarnation: 1, ActualIncarnation: 1, SentAt: sentAt, Outcome: Accepted, ClockMs: 1})
		f.HandleReport(now, Report{ID: "a", Address: "a", Incarnation: 1, Class: "c", ClockMs: 1, Sequence: w.Sequence + 1})
	}
	return now
}

// failPoll leaves a poll of worker a without an answer until its timeout, and returns the time.
func failPoll(f *Fleet, now time.Time) time.Time {
	w := f.Worker("a")
	w.pollInFlight = true
	sentAt := now
	now = now.Add(f.orderTimeout(w))
	f.HandlePollAnswered(now, PollAnswered{Worker: "a", Incarnation: 1, SentAt: sentAt})
	return now
}

func TestTimeoutStaysTheLeastWhileAnswersAreFast(t *testing.T) {
	for _, d := range []time.Duration{time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond} {
		f, _, now := newStartsFixture(t)
		for range 30 {
			now = answerHeldPolls(f, now, 1, d)
			qt.Check(t, f.orderTimeout(f.Worker("a")), qt.Equals, 400*time.Millisecond, qt.Commentf("%v", d))
		}
	}
}

func TestTimeoutFollowsAnswerTimesInBothDirections(t *testing.T) {
	f, _, now := newStartsFixture(t)
	now = answerHeldPolls(f, now, 10, 5*time.Millisecond)
	now = answerHeldPolls(f, now, 10, 600*time.Millisecond)
	slow := f.orderTimeout(f.Worker("a"))
	qt.Check(t, slow > 600*time.Millisecond && slow <= f.params.maxAnswerTime(), qt.IsTrue, qt.Commentf("%v", slow))
	answerHeldPolls(f, now, 20, 5*time.Millisecond)
	qt.Check(t, f.orderTimeout(f.Worker("a")), qt.Equals, 400*time.Millisecond)
}

func TestTimeoutDoublesOnlyForWorkersThatReport(t *testing.T) {
	f, _, now := newStartsFixture(t)
	f.params.SilenceTimeout, f.params.Lease = 3500*time.Millisecond, 12*time.Second
	now = answerHeldPolls(f, now, 3, 5*time.Millisecond)
	for _, want := range []time.Duration{800 * time.Millisecond, 1600 * time.Millisecond} {
		now = failPoll(f, now)
		qt.Check(t, f.orderTimeout(f.Worker("a")), qt.Equals, want)
	}
	// The next answer says how slow the worker is.
	now = answerHeldPolls(f, now, 1, 5*time.Millisecond)
	qt.Check(t, f.orderTimeout(f.Worker("a")), qt.Equals, 400*time.Millisecond)
	now = now.Add(f.params.SilenceTimeout)
	failPoll(f, now)
	qt.Check(t, f.orderTimeout(f.Worker("a")), qt.Equals, 400*time.Millisecond)
}

// A start at a worker that has not answered yet gets the usual timeout of the others, and a second while none has answered.
func TestFirstStartTimeoutFollowsOtherWorkers(t *testing.T) {
	f, _, now := newStartsFixture(t)
	qt.Check(t, f.startTimeout(f.Worker("b")), qt.Equals, initialTimeout)
	qt.Check(t, f.orderTimeout(f.Worker("b")), qt.Equals, 400*time.Millisecond)
	for range 30 {
		f.answers.observe(now, 5*time.Millisecond)
	}
	qt.Check(t, f.startTimeout(f.Worker("b")), qt.Equals, 400*time.Millisecond)
	f.answers = answerTimes{}
	for range 30 {
		f.answers.observe(now, 700*time.Millisecond)
	}
	qt.Check(t, f.startTimeout(f.Worker("b")) > 700*time.Millisecond, qt.IsTrue)
	qt.Check(t, f.startTimeout(f.Worker("b")) < initialTimeout, qt.IsTrue)
}

// Several orders that time out together say as little as one.
func TestOrdersIssuedBeforeTheTimeoutDoubledDoNotDoubleItAgain(t *testing.T) {
	f, _, now := newStartsFixture(t)
	w := f.Worker("a")
	for range 5 {
		f.noteTimeout(now.Add(400*time.Millisecond), w, now)
	}
	qt.Check(t, f.orderTimeout(w), qt.Equals, 800*time.Millisecond)
}

// A renewal that is answered as late as possible is followed by one that arrives before the lease has ended.
func TestLongestTimeoutLeavesTimeForTheNextRenewal(t *testing.T) {
	for _, lease := range []time.Duration{4 * time.Second, 6 * time.Second, 20 * time.Second} {
		p := Params{Lease: lease, PollWait: time.Second, OrderTimeout: 400 * time.Millisecond}
		for _, wait := range []time.Duration{p.PollWait, p.maxPollWait(), p.renewalInterval()} {
			qt.Check(t, wait+2*p.maxAnswerTime() <= lease, qt.IsTrue, qt.Commentf("lease of %v, wait of %v", lease, wait))
		}
		f := New(p, 1)
		f.HandleReport(time.UnixMilli(0), Report{ID: "a", Address: "a", Incarnation: 1, Sequence: 1})
		w := f.Worker("a")
		w.noteAnswerTime(time.Minute)
		qt.Check(t, f.orderTimeout(w), qt.Equals, p.maxAnswerTime())
	}
}

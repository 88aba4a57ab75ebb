package tbrelay

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.UnixMilli(1_700_000_000_000)

// issue issues orders at a constant rate for one second and returns how many were relayed.
func issue(r *Router, now *time.Time, perSecond int) int {
	relayed := 0
	for i := range perSecond {
		*now = now.Add(time.Second / time.Duration(perSecond))
		if i%50 == 0 {
			r.HandleAnswer(*now, now.Add(-time.Millisecond), "a:1", "dc1", Reading{Session: 1, Clock: now.Sub(start)})
		}
		if _, ok := r.Choose(*now, fmt.Sprint(i), "dc1"); ok {
			relayed++
		}
	}
	return relayed
}

func TestRelaysAreUsedWhileManyOrdersAreIssued(t *testing.T) {
	r, now := NewRouter(ByLoad), start
	qt.Check(t, issue(r, &now, 300), qt.Equals, 0)
	qt.Check(t, issue(r, &now, 2000) > 1000, qt.IsTrue)
	// The rate is between the two limits, so nothing changes.
	qt.Check(t, issue(r, &now, 600) > 500, qt.IsTrue)
	qt.Check(t, issue(r, &now, 300) < 200, qt.IsTrue)
	qt.Check(t, issue(r, &now, 600), qt.Equals, 0)
}

func TestPoliciesAlwaysAndNever(t *testing.T) {
	now := start
	qt.Check(t, issue(NewRouter(Always), &now, 100), qt.Equals, 100)
	qt.Check(t, issue(NewRouter(Never), &now, 5000), qt.Equals, 0)
}

func newAnsweringRouter(now time.Time, answerTimes map[string]time.Duration) *Router {
	r := NewRouter(Always)
	for address, d := range answerTimes {
		r.HandleAnswer(now, now.Add(-d), address, "dc-"+address, Reading{Session: 1, Clock: time.Second})
	}
	return r
}

func choices(r *Router, now time.Time, dataCentre string) map[string]int {
	counts := map[string]int{}
	for i := range 1000 {
		c, ok := r.Choose(now, fmt.Sprintf("w%d", i), dataCentre)
		if !ok {
			c.Address = "none"
		}
		counts[c.Address]++
	}
	return counts
}

func TestWorkersAreSpreadOverRelays(t *testing.T) {
	r := newAnsweringRouter(start, map[string]time.Duration{"a": 1, "b": 1, "c": 1, "d": 1})
	for address, n := range choices(r, start, "elsewhere") {
		qt.Check(t, n > 180 && n < 320, qt.IsTrue, qt.Commentf("%s: %d of 1000", address, n))
	}
	qt.Check(t, choices(r, start, "dc-b"), qt.DeepEquals, map[string]int{"b": 1000})
}

// The loss of one relay must not move the workers of the others, whose connections are in use.
func TestLossOfRelayMovesOnlyItsWorkers(t *testing.T) {
	r := newAnsweringRouter(start, map[string]time.Duration{"a": 1, "b": 1, "c": 1})
	before := map[string]string{}
	for i := range 500 {
		c, _ := r.Choose(start, fmt.Sprint(i), "")
		before[fmt.Sprint(i)] = c.Address
	}
	r.HandleFailure("b")
	for worker, address := range before {
		c, ok := r.Choose(start, worker, "")
		qt.Assert(t, ok, qt.IsTrue)
		if address != "b" {
			qt.Check(t, c.Address, qt.Equals, address)
		}
	}
}

func TestSilentAndSlowRelaysAreNotUsed(t *testing.T) {
	r := newAnsweringRouter(start, map[string]time.Duration{"a": 2 * time.Millisecond, "b": 200 * time.Millisecond})
	qt.Check(t, choices(r, start, ""), qt.DeepEquals, map[string]int{"a": 1000})
	qt.Check(t, choices(r, start.Add(answerTimeout), ""), qt.DeepEquals, map[string]int{"none": 1000})
	// All relays answer slowly if the leader itself is slow. Its load is a reason to use them.
	r = newAnsweringRouter(start, map[string]time.Duration{"a": 150 * time.Millisecond, "b": 200 * time.Millisecond})
	qt.Check(t, choices(r, start, ""), qt.HasLen, 2)
}

// slowRouter returns a router with one relay whose requests take d, and the time of its last answer.
func slowRouter(d time.Duration) (r *Router, now time.Time) {
	r, now = NewRouter(Always), start
	for range 20 {
		timeout := r.Timeout("a")
		now = now.Add(min(d, timeout))
		if d > timeout {
			r.HandleFailure("a")
			continue
		}
		r.HandleAnswer(now, now.Add(-d), "a", "", Reading{Session: 1, Clock: now.Sub(start)})
	}
	return r, now
}

// Guards against relays that are never used on machines where each request takes longer than the usual timeout.
func TestRelayThatAnswersSlowlyIsUsedUntilItsNextAnswerIsLate(t *testing.T) {
	for _, d := range []time.Duration{300 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond, 900 * time.Millisecond} {
		r, now := slowRouter(d)
		qt.Check(t, choices(r, now.Add(d+ProbeInterval-time.Millisecond), ""), qt.DeepEquals, map[string]int{"a": 1000}, qt.Commentf("%v", d))
		qt.Check(t, choices(r, now.Add(MaxTimeout+ProbeInterval), ""), qt.DeepEquals, map[string]int{"none": 1000}, qt.Commentf("%v", d))
		c, _ := r.Choose(now, "w", "")
		qt.Check(t, c.Margin >= d, qt.IsTrue, qt.Commentf("%v: %v", d, c.Margin))
	}
}

func TestTimeoutsOfFastRelaysAreTheLeastOnes(t *testing.T) {
	r, now := slowRouter(5 * time.Millisecond)
	qt.Check(t, r.Timeout("a"), qt.Equals, MinTimeout)
	c, _ := r.Choose(now, "w", "")
	qt.Check(t, c.Margin, qt.Equals, MinMargin)
	qt.Check(t, r.Timeout("unknown"), qt.Equals, MinTimeout)
}

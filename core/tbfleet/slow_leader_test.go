package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A leader without processor time handles few answers in a second, however many polls are in flight. More of them would only
// time out.
func TestSlowLeaderKeepsFewPollsInFlight(t *testing.T) {
	const answersPerSecond = 700
	l := newMassTakeoverFixture(t, 2900, 0)
	start := l.now
	l.fleet.Tick(l.now)
	l.takePolls()
	mostLater := 0
	for len(l.openPolls) > 0 {
		l.now = l.now.Add(time.Second / answersPerSecond)
		l.answerOldest(true)
		if l.now.Sub(start) > time.Second {
			mostLater = max(mostLater, len(l.openPolls))
		}
	}
	qt.Check(t, l.maxOpenPolls <= 256, qt.IsTrue, qt.Commentf("%d polls were in flight", l.maxOpenPolls))
	qt.Check(t, mostLater <= 128, qt.IsTrue, qt.Commentf("%d polls were in flight after the first second", mostLater))
	qt.Check(t, l.firstAnsweredAt, qt.HasLen, 2900)
}

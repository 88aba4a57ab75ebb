package tbdaemon

import (
	"bytes"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"tamarackbarrow/io/tbsettings"
)

// wait ends waits of the given real lengths and returns what the meter reports in the end of each.
func (m *pauseMeter) wait(lengths ...time.Duration) (reported []time.Duration) {
	now := m.waitsSince
	for _, d := range lengths {
		now = now.Add(d)
		m.endWait(now)
		if longest, sum, ok := m.take(now); ok {
			reported = append(reported, longest, sum)
		}
	}
	return reported
}

func TestPauseIsReportedOnceASecond(t *testing.T) {
	m := newPauseMeter(time.UnixMilli(1_700_000_000_000))
	waits := []time.Duration{pauseCheckInterval + 300*time.Millisecond, pauseCheckInterval + 250*time.Millisecond}
	qt.Check(t, m.wait(waits...), qt.HasLen, 0)
	qt.Check(t, m.wait(400*time.Millisecond), qt.DeepEquals, []time.Duration{350 * time.Millisecond, 900 * time.Millisecond})
	for range 40 {
		qt.Check(t, m.wait(pauseCheckInterval), qt.HasLen, 0)
	}
}

func TestLongPauseIsReportedAtItsEnd(t *testing.T) {
	m := newPauseMeter(time.UnixMilli(1_700_000_000_000))
	qt.Check(t, m.wait(3*time.Second+pauseCheckInterval), qt.DeepEquals, []time.Duration{3 * time.Second, 3 * time.Second})
}

// Delays of a busy machine that no time limit notices are no pauses, however many there are.
func TestShortDelaysAreNoPauses(t *testing.T) {
	m := newPauseMeter(time.UnixMilli(1_700_000_000_000))
	for range 100 {
		qt.Check(t, m.wait(pauseCheckInterval+minPause), qt.HasLen, 0)
	}
}

// The clock goes on while the process gets no processor, so that the goroutine sees a long wait. It ends with the daemon.
func TestPauseOfTheProcessIsLoggedAndCounted(t *testing.T) {
	var text bytes.Buffer
	d, err := New(tbsettings.Settings{ID: "d"}, hclog.New(&hclog.LoggerOptions{Output: &text}), hclog.NewNullLogger(), hclog.NewNullLogger())
	qt.Assert(t, err, qt.IsNil)
	pause, readings := time.Duration(0), 0
	d.spawn(func() {
		d.watchPauses(func() time.Time {
			if readings++; readings == 2 {
				pause = 3 * time.Second
			}
			return d.clock.Now().Add(pause)
		})
	})
	for deadline := time.Now().Add(5 * time.Second); d.counters.value("process.pauses") == 0; time.Sleep(time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("no pause is counted"))
	}
	d.cancel()
	d.wg.Wait()
	qt.Check(t, d.counters.value("process.pausedMs") >= 3000, qt.IsTrue)
	qt.Check(t, strings.Contains(text.String(), "process was paused: longestMs="), qt.IsTrue, qt.Commentf("%s", text.String()))
}

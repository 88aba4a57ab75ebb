package tblog

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// stuck is an output whose reader never reads.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestNeverWaitsForASlowOutput(t *testing.T) {
	out := stuck{release: make(chan struct{})}
	w := New(out, time.Now())
	for i := range 2 * queueLines {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Check(t, w.Dropped() > 0, qt.IsTrue)
	close(out.release)
	w.Close()
}

func TestDropsWhatExceedsTheBudgetAndSaysSo(t *testing.T) {
	var out bytes.Buffer
	now := time.Now()
	w := New(&out, now)
	w.filled = now.Add(time.Hour) // No line is earned during the test.
	for range BurstLines + 10 {
		_, err := w.Write([]byte("{}\n"))
		qt.Assert(t, err, qt.IsNil)
	}
	w.Close()
	qt.Check(t, w.Dropped() >= 1, qt.IsTrue)
	qt.Check(t, strings.Contains(out.String(), "log lines dropped"), qt.IsTrue)
}

// Goroutines that still run while the process ends may log.
func TestLinesAfterCloseAreDropped(t *testing.T) {
	var out bytes.Buffer
	w := New(&out, time.Now())
	w.Close()
	_, err := w.Write([]byte("{}\n"))
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, w.Dropped(), qt.Equals, int64(1))
}

// Starts and ordinary ends must not push out the line that tells of a failure.
func TestRoutineLinesLeaveTheReserveToOthers(t *testing.T) {
	var out bytes.Buffer
	now := time.Now()
	w := New(&out, now)
	w.filled = now.Add(time.Millisecond) // No line is earned during the test.
	for range BurstLines + 10 {
		_, err := fmt.Fprintln(w.Routine(), "routine")
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Check(t, w.Dropped() > reservedLines/2, qt.IsTrue)
	before := w.Dropped()
	for range reservedLines / 2 {
		_, err := fmt.Fprintln(w, "failure")
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Check(t, w.Dropped(), qt.Equals, before)
	w.Close()
	qt.Check(t, strings.Count(out.String(), "failure\n"), qt.Equals, reservedLines/2)
}

// Routine lines fill the queue of a slow output only up to the reserve.
func TestRoutineLinesLeaveRoomInTheQueueOfASlowOutput(t *testing.T) {
	out := stuck{release: make(chan struct{})}
	w := New(out, time.Now())
	for range queueLines {
		w.tokens = BurstLines
		_, err := fmt.Fprintln(w.Routine(), "routine")
		qt.Assert(t, err, qt.IsNil)
	}
	before := w.Dropped()
	for range reservedLines / 2 {
		w.tokens = BurstLines
		_, err := fmt.Fprintln(w, "failure")
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Check(t, w.Dropped(), qt.Equals, before)
	close(out.release)
	w.Close()
}

// counting remembers what each call wrote.
type counting struct {
	stuck
	written []string
}

func (c *counting) Write(p []byte) (int, error) {
	<-c.release
	c.written = append(c.written, string(p))
	return len(p), nil
}

func TestWaitingLinesAreWrittenTogetherAndInOrder(t *testing.T) {
	out := &counting{stuck: stuck{release: make(chan struct{})}}
	w := New(out, time.Now())
	var expected strings.Builder
	for i := range 100 {
		fmt.Fprintf(&expected, "line %d\n", i)
		_, err := fmt.Fprintf(w, "line %d\n", i)
		qt.Assert(t, err, qt.IsNil)
	}
	close(out.release)
	w.Close()
	qt.Check(t, strings.Join(out.written, ""), qt.Equals, expected.String())
	qt.Check(t, len(out.written) < 50, qt.IsTrue, qt.Commentf("%d writes", len(out.written)))
}

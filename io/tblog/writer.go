package tblog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Budget of one process's log.
const (
	// LinesPerSecond is what is written on average; a busy leader logs about 400 decisions a second.
	LinesPerSecond = 1000
	// BurstLines may be written at once.
	BurstLines = 2000
	// reservedLines of the burst are kept for lines that are not routine.
	reservedLines = 1000
	// writeBytes bounds what is written at once.
	writeBytes = 64 << 10
	// queueLines wait for a slow reader of the output.
	queueLines = 4096
	// reportEvery is how often dropped lines are reported.
	reportEvery = time.Second
)

// Writer passes whole lines on without ever making the caller wait.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	total   atomic.Int64
	mu      sync.Mutex
	tokens  float64
	filled  time.Time
	closed  bool
	done    chan struct{}
}

// New returns a writer to out; Close ends it.
func New(out io.Writer, now time.Time) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), tokens: BurstLines, filled: now, done: make(chan struct{})}
	go w.run()
	return w
}

// Dropped returns how many lines were dropped so far.
func (w *Writer) Dropped() int64 { return w.total.Load() }

// Write takes one line; it reports success also for a line that is dropped.
func (w *Writer) Write(line []byte) (int, error) {
	w.write(line, 0)
	return len(line), nil
}

// Routine returns a writer for lines that are dropped before any other is.
func (w *Writer) Routine() io.Writer { return routine{w} }

type routine struct{ w *Writer }

// Write takes one line; it reports success also for a line that is dropped.
func (r routine) Write(line []byte) (int, error) {
	r.w.write(line, reservedLines)
	return len(line), nil
}

// write takes a line unless so many lines of the budget and of the queue are left only.
func (w *Writer) write(line []byte, reserved int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.lines) >= queueLines-reserved || !w.take(time.Now(), reserved) {
		w.drop()
		return
	}
	// Only this function sends, under the lock, so that there is room.
	w.lines <- append([]byte(nil), line...)
}

func (w *Writer) drop() {
	w.dropped.Add(1)
	w.total.Add(1)
}

// take spends one line of the budget unless only the reserved ones are left.
func (w *Writer) take(now time.Time, reserved int) bool {
	w.tokens = min(BurstLines, w.tokens+now.Sub(w.filled).Seconds()*LinesPerSecond)
	w.filled = now
	if w.tokens < float64(reserved)+1 {
		return false
	}
	w.tokens--
	return true
}

func (w *Writer) run() {
	defer close(w.done)
	reported := time.Now()
	var together []byte
	for line := range w.lines {
		together = w.gather(append(together[:0], line...))
		// Nothing can be told of an output that fails.
		_, _ = w.out.Write(together)
		if now := time.Now(); now.Sub(reported) > reportEvery {
			reported = now
			w.report(now)
		}
	}
	w.report(time.Now())
}

// gather adds the lines that wait already, which saves calls of the system.
func (w *Writer) gather(together []byte) []byte {
	for len(together) < writeBytes {
		select {
		case line, ok := <-w.lines:
			if !ok {
				return together
			}
			together = append(together, line...)
		default:
			return together
		}
	}
	return together
}

// report writes how many lines were dropped since the last report.
func (w *Writer) report(now time.Time) {
	n := w.dropped.Swap(0)
	if n == 0 {
		return
	}
	fmt.Fprintf(w.out, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"@timestamp\":%q,\"lines\":%d}\n", now.UTC().Format(time.RFC3339Nano), n)
}

// Close writes what waits and ends the writer; later lines are dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	close(w.lines)
	w.mu.Unlock()
	<-w.done
}

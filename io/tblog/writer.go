package tblog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Rate limit and buffer sizes of one process's log.
const (
	// LinesPerSecond is the average rate limit; a busy leader logs about 400 decisions per second.
	LinesPerSecond = 1000
	// BurstLines is how many lines may be written in a burst.
	BurstLines = 2000
	// reservedLines is the part of the burst and of the queue that routine lines may not use.
	reservedLines = 1000
	// maxWriteBytes is the size from which a write to the output takes no more lines.
	maxWriteBytes = 64 << 10
	// queueSize is how many lines may wait for a slow output.
	queueSize = 4096
	// reportInterval is the minimum time between two reports of dropped lines; a report follows
	// the next write, or Close.
	reportInterval = time.Second
)

// Writer passes whole lines on to an output and never blocks its caller.
type Writer struct {
	out        io.Writer
	lines      chan []byte
	unreported atomic.Int64
	dropped    atomic.Int64
	mu         sync.Mutex
	tokens     float64
	refilled   time.Time
	closed     bool
	done       chan struct{}
}

// New returns a writer to out that runs until Close; the rate limit counts from now.
func New(out io.Writer, now time.Time) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueSize), tokens: BurstLines, refilled: now, done: make(chan struct{})}
	go w.run()
	return w
}

// Dropped returns how many lines were dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Write queues one line; it reports success even if the line is dropped.
func (w *Writer) Write(line []byte) (int, error) {
	w.write(line, 0)
	return len(line), nil
}

// Routine returns a writer for lines that are dropped before any other line.
func (w *Writer) Routine() io.Writer { return routineWriter{w} }

type routineWriter struct{ w *Writer }

// Write queues one line; it reports success even if the line is dropped.
func (r routineWriter) Write(line []byte) (int, error) {
	r.w.write(line, reservedLines)
	return len(line), nil
}

// write queues a line, or drops it if at most reserved tokens or places in the queue are left.
func (w *Writer) write(line []byte, reserved int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.lines) >= queueSize-reserved || !w.takeToken(time.Now(), reserved) {
		w.countDropped()
		return
	}
	// Only this function sends, and it holds the lock, so that this does not block.
	w.lines <- append([]byte(nil), line...)
}

func (w *Writer) countDropped() {
	w.unreported.Add(1)
	w.dropped.Add(1)
}

// takeToken takes a token of the rate limit unless only reserved ones are left.
func (w *Writer) takeToken(now time.Time, reserved int) bool {
	w.tokens = min(BurstLines, w.tokens+now.Sub(w.refilled).Seconds()*LinesPerSecond)
	w.refilled = now
	if w.tokens < float64(reserved)+1 {
		return false
	}
	w.tokens--
	return true
}

func (w *Writer) run() {
	defer close(w.done)
	reported := time.Now()
	var buf []byte
	for line := range w.lines {
		buf = w.appendQueued(append(buf[:0], line...))
		// There is nowhere to report an error of the log output.
		_, _ = w.out.Write(buf)
		if now := time.Now(); now.Sub(reported) > reportInterval {
			reported = now
			w.report(now)
		}
	}
	w.report(time.Now())
}

// appendQueued appends lines that are already queued to buf, which saves system calls.
func (w *Writer) appendQueued(buf []byte) []byte {
	for len(buf) < maxWriteBytes {
		select {
		case line, ok := <-w.lines:
			if !ok {
				return buf
			}
			buf = append(buf, line...)
		default:
			return buf
		}
	}
	return buf
}

// report writes how many lines were dropped since the last report.
func (w *Writer) report(now time.Time) {
	n := w.unreported.Swap(0)
	if n == 0 {
		return
	}
	fmt.Fprintf(w.out, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"@timestamp\":%q,\"lines\":%d}\n", now.UTC().Format(time.RFC3339Nano), n)
}

// Close writes the queued lines and stops the writer; later lines are dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	close(w.lines)
	w.mu.Unlock()
	<-w.done
}

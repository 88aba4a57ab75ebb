package tblog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the log of one process.
const (
	// LinesPerSecond is the average rate limit. A busy leader logs about 400 decisions per second.
	LinesPerSecond = 1000
	// BurstLines is how many lines may be written in a burst.
	BurstLines = 2000
	// reservedLines is how many lines of the burst and of the queue are reserved for lines that are not
	// routine.
	reservedLines = 1000
	// jobLines is how many of the reserved lines are reserved for lines that are not about single runs.
	jobLines = 500
	// maxWriteBytes is the size from which no more lines are added to one write to the output.
	maxWriteBytes = 64 << 10
	// queueSize is how many lines may wait to be written to the output.
	queueSize = 4096
	// reportInterval is the minimum time between two reports of dropped lines. A report follows a write
	// to the output. Close writes a last report regardless of the interval.
	reportInterval = time.Second
)

// Writer queues lines and writes them to an output in a separate goroutine. A slow output does not
// block the callers of Write.
type Writer struct {
	out             io.Writer
	lines           chan []byte
	unreportedDrops atomic.Int64
	dropped         atomic.Int64
	mu              sync.Mutex
	tokens          float64
	lastRefillAt    time.Time
	closed          bool
	done            chan struct{}
}

// New returns a writer to out that runs until Close. It starts with the tokens of a full burst. Further
// tokens accrue from the time given as now.
func New(out io.Writer, now time.Time) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueSize), tokens: BurstLines, lastRefillAt: now, done: make(chan struct{})}
	go w.run()
	return w
}

// Dropped returns how many lines have been dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Write queues one line; it reports success even if the line is dropped.
func (w *Writer) Write(line []byte) (int, error) {
	w.write(line, 0)
	return len(line), nil
}

// Routine returns a writer for routine lines. These lines cannot use the reserved part of the burst
// and of the queue, so they are dropped before other lines.
func (w *Writer) Routine() io.Writer { return reservingWriter{w, reservedLines} }

// Runs returns a writer for lines about single runs that are not routine. Under overload, most runs start late and
// are not routine. The lines about whole jobs, without which nothing of a job can be explained, have to survive them.
func (w *Writer) Runs() io.Writer { return reservingWriter{w, jobLines} }

// reservingWriter leaves a part of the burst and of the queue to other lines.
type reservingWriter struct {
	w        *Writer
	reserved int
}

// Write queues one line; it reports success even if the line is dropped.
func (r reservingWriter) Write(line []byte) (int, error) {
	r.w.write(line, r.reserved)
	return len(line), nil
}

// write queues a line. It drops the line if only reserved tokens or reserved places in the queue are
// left, or if the writer is closed.
func (w *Writer) write(line []byte, reserved int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.lines) >= queueSize-reserved || !w.takeToken(time.Now(), reserved) {
		w.countDropped()
		return
	}
	// This does not block: the queue has space, and only this function sends lines, under the lock.
	w.lines <- append([]byte(nil), line...)
}

func (w *Writer) countDropped() {
	w.unreportedDrops.Add(1)
	w.dropped.Add(1)
}

// takeToken takes a token of the rate limit. It returns false if only reserved tokens are left.
func (w *Writer) takeToken(now time.Time, reserved int) bool {
	w.tokens = min(BurstLines, w.tokens+now.Sub(w.lastRefillAt).Seconds()*LinesPerSecond)
	w.lastRefillAt = now
	if w.tokens < float64(reserved)+1 {
		return false
	}
	w.tokens--
	return true
}

func (w *Writer) run() {
	defer close(w.done)
	lastReportAt := time.Now()
	var buf []byte
	for line := range w.lines {
		buf = w.appendQueued(append(buf[:0], line...))
		// An error is ignored, because the log itself is the only place to report it.
		_, _ = w.out.Write(buf)
		if now := time.Now(); now.Sub(lastReportAt) > reportInterval {
			lastReportAt = now
			w.report(now)
		}
	}
	w.report(time.Now())
}

// appendQueued appends lines that are already queued to buf. One write of many lines saves system
// calls.
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

// report writes how many lines were dropped since the last report, if any were.
func (w *Writer) report(now time.Time) {
	n := w.unreportedDrops.Swap(0)
	if n == 0 {
		return
	}
	fmt.Fprintf(w.out, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"@timestamp\":%q,\"lines\":%d}\n", now.UTC().Format(time.RFC3339Nano), n)
}

// Close writes the queued lines and stops the writer. Later lines are dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	close(w.lines)
	w.mu.Unlock()
	<-w.done
}

package tbstandin

import (
	"fmt"
	"sync"
	"time"
)

// maxKeptViolations bounds the violations that are kept in words; all are counted.
const maxKeptViolations = 20

// Ledger records what really happened at all backend servers of a process.
type Ledger struct {
	mu         sync.Mutex
	violations []string
	count      int
	// requestRuns counts the runs of each order by its own number.
	requestRuns map[string]int
	jobs        map[string]*jobRecord
}

// jobRecord is the true history of one job.
type jobRecord struct {
	runningOn string
	epoch     uint64
	// completed counts runs to the end, published the results that the system accepted.
	completed  int
	published  int
	starts     int
	firstStart time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{requestRuns: map[string]int{}, jobs: map[string]*jobRecord{}}
}

// Violate records a broken promise.
func (l *Ledger) Violate(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violateLocked(format, args...)
}

func (l *Ledger) violateLocked(format string, args ...any) {
	l.count++
	if len(l.violations) < maxKeptViolations {
		l.violations = append(l.violations, fmt.Sprintf(format, args...))
	}
}

// Violations returns the number of broken promises and the first ones in words.
func (l *Ledger) Violations() (int, []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count, append([]string(nil), l.violations...)
}

// noteRun counts one run of a request and returns the runs so far.
func (l *Ledger) noteRun(number string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requestRuns[number]++
	return l.requestRuns[number]
}

// Runs returns how often the request of that number was run.
func (l *Ledger) Runs(number string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requestRuns[number]
}

func (l *Ledger) job(id string) *jobRecord {
	j := l.jobs[id]
	if j == nil {
		j = &jobRecord{}
		l.jobs[id] = j
	}
	return j
}

// taskStarted records a start; two places at once, an old epoch and a start after the end are violations.
func (l *Ledger) taskStarted(id, worker string, epoch uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.job(id)
	switch {
	case j.runningOn != "":
		l.violateLocked("job %s starts on %s while it runs on %s", id, worker, j.runningOn)
	case epoch <= j.epoch:
		l.violateLocked("job %s starts in epoch %d after epoch %d", id, epoch, j.epoch)
	case j.published > 0:
		l.violateLocked("job %s starts again after its result was published", id)
	}
	if j.firstStart.IsZero() {
		j.firstStart = time.Now()
	}
	j.runningOn = worker
	j.epoch = epoch
	j.starts++
}

// taskEnded records that a task no longer runs; completed means that it ran to its end.
func (l *Ledger) taskEnded(id, worker string, completed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.job(id)
	if j.runningOn == worker {
		j.runningOn = ""
	}
	if completed {
		j.completed++
	}
}

// resultPublished records that a worker published a result after the system accepted its report.
func (l *Ledger) resultPublished(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.job(id)
	j.published++
	if j.published > 1 {
		l.violateLocked("job %s published %d results", id, j.published)
	}
}

// JobFacts is the true history of a job.
type JobFacts struct {
	Starts int
	// Completed counts runs to the end, Published the results that the system accepted.
	Completed int
	Published int
	Running   bool
	// FirstStart is the zero time before the first start.
	FirstStart time.Time
}

// Job returns the true history of a job.
func (l *Ledger) Job(id string) JobFacts {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	if j == nil {
		return JobFacts{}
	}
	return JobFacts{Starts: j.starts, Completed: j.completed, Published: j.published, Running: j.runningOn != "", FirstStart: j.firstStart}
}

// Finished returns the number of jobs that finished.
func (l *Ledger) Finished() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, j := range l.jobs {
		if j.completed > 0 {
			n++
		}
	}
	return n
}

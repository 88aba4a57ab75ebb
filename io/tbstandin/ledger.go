package tbstandin

import (
	"fmt"
	"sync"
	"time"
)

// maxViolationMessages bounds the violations whose messages are kept; all violations are counted.
const maxViolationMessages = 20

// Ledger checks the guarantees of the system against the events that the fakes of a process
// observe. Its methods may be called concurrently.
type Ledger struct {
	mu             sync.Mutex
	violations     []string
	violationCount int
	// executions counts how often each request was executed, by its id.
	executions map[string]int
	jobs       map[string]*jobRecord
}

// jobRecord is the history of one job as the workers observed it.
type jobRecord struct {
	// runningOn is the worker that runs the job, or empty.
	runningOn string
	// run is the number of the latest run.
	run uint64
	// completed counts the runs that ran to completion, published the results that the
	// system accepted.
	completed  int
	published  int
	starts     int
	firstStart time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{executions: map[string]int{}, jobs: map[string]*jobRecord{}}
}

// RecordViolation records a violation of a guarantee.
func (l *Ledger) RecordViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordViolationLocked(format, args...)
}

func (l *Ledger) recordViolationLocked(format string, args ...any) {
	l.violationCount++
	if len(l.violations) < maxViolationMessages {
		l.violations = append(l.violations, fmt.Sprintf(format, args...))
	}
}

// Violations returns the number of violations and the messages of the first ones, at most
// maxViolationMessages.
func (l *Ledger) Violations() (int, []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.violationCount, append([]string(nil), l.violations...)
}

// recordExecution counts one execution of a request and returns the number so far.
func (l *Ledger) recordExecution(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions[id]++
	return l.executions[id]
}

// Executions returns how often the request with the given id was executed.
func (l *Ledger) Executions(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.executions[id]
}

func (l *Ledger) job(id string) *jobRecord {
	j := l.jobs[id]
	if j == nil {
		j = &jobRecord{}
		l.jobs[id] = j
	}
	return j
}

// taskStarted records a start. It is a violation if the job already runs elsewhere, if the run
// is not newer than that of the latest start, or if a result of the job was published.
func (l *Ledger) taskStarted(id, worker string, run uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.job(id)
	switch {
	case j.runningOn != "":
		l.recordViolationLocked("job %s started on worker %s while it runs on worker %s", id, worker, j.runningOn)
	case run <= j.run:
		l.recordViolationLocked("job %s started as run %d after run %d", id, run, j.run)
	case j.published > 0:
		l.recordViolationLocked("job %s started again after its result was published", id)
	}
	if j.firstStart.IsZero() {
		j.firstStart = time.Now()
	}
	j.runningOn = worker
	j.run = run
	j.starts++
}

// taskEnded records that a task no longer runs; completed means that it ran to completion.
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

// resultPublished records that a worker published a result after the system had accepted its report.
func (l *Ledger) resultPublished(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.job(id)
	j.published++
	if j.published > 1 {
		l.recordViolationLocked("job %s published %d results", id, j.published)
	}
}

// JobHistory is the history of a job as the workers observed it.
type JobHistory struct {
	Starts int
	// Completed counts the runs that ran to completion, Published the results that the system accepted.
	Completed int
	Accepted  int
	Running   bool
	// FirstStart is the zero time before the first start.
	FirstStart time.Time
}

// Job returns the history of a job, which is the zero value for a job that never started.
func (l *Ledger) Job(id string) JobHistory {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	if j == nil {
		return JobHistory{}
	}
	return JobHistory{Starts: j.starts, Completed: j.completed, Accepted: j.published, Running: j.runningOn != "", FirstStart: j.firstStart}
}

// CompletedJobs returns the number of jobs that ran to completion at least once.
func (l *Ledger) CompletedJobs() int {
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

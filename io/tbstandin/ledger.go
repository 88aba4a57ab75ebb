package tbstandin

import (
	"fmt"
	"sync"
	"time"
)

// maxViolationMessages bounds the number of violations whose messages are kept. Violations beyond it
// are only counted.
const maxViolationMessages = 20

// Ledger records the events that the fakes of a process observe and checks that they violate no
// guarantee of the system. The methods of a ledger may be called concurrently.
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
	// completed counts the runs that ran to completion.
	completed int
	// accepted counts the results that the system accepted.
	accepted   int
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

func (l *Ledger) getOrCreateJob(id string) *jobRecord {
	j := l.jobs[id]
	if j == nil {
		j = &jobRecord{}
		l.jobs[id] = j
	}
	return j
}

// taskStarted records the start of a job's task. The start is a violation if the job already runs, if
// the run number is not above that of the latest start, or if the system has accepted a result of the
// job.
func (l *Ledger) taskStarted(job, worker string, run uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.getOrCreateJob(job)
	switch {
	case j.runningOn != "":
		l.recordViolationLocked("job %s started on worker %s while it runs on worker %s", job, worker, j.runningOn)
	case run <= j.run:
		l.recordViolationLocked("job %s started as run %d after run %d", job, run, j.run)
	case j.accepted > 0:
		l.recordViolationLocked("job %s started again after its result was published", job)
	}
	if j.firstStart.IsZero() {
		j.firstStart = time.Now()
	}
	j.runningOn = worker
	j.run = run
	j.starts++
}

// taskEnded records that the task of a job no longer runs; completed means that it ran to completion.
func (l *Ledger) taskEnded(job, worker string, completed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.getOrCreateJob(job)
	if j.runningOn == worker {
		j.runningOn = ""
	}
	if completed {
		j.completed++
	}
}

// resultAccepted records that the system accepted a worker's report of a finished run. Accepting
// more than one such report of a job is a violation.
func (l *Ledger) resultAccepted(job string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.getOrCreateJob(job)
	j.accepted++
	if j.accepted > 1 {
		l.recordViolationLocked("job %s published %d results", job, j.accepted)
	}
}

// JobHistory is the history of a job as the workers observed it.
type JobHistory struct {
	Starts int
	// Completed counts the runs that ran to completion.
	Completed int
	// Accepted counts the results that the system accepted.
	Accepted int
	Running  bool
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
	return JobHistory{Starts: j.starts, Completed: j.completed, Accepted: j.accepted, Running: j.runningOn != "", FirstStart: j.firstStart}
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

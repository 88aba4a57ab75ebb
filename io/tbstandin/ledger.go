package tbstandin

import (
	"fmt"
	"sync"
	"time"
)

// maxViolationMessages bounds the number of violations whose messages are kept. Further
// violations are only counted.
const maxViolationMessages = 20

// Ledger records the events that the fakes of a process observe and checks the guarantees
// of the system against these events. The methods of a ledger may be called concurrently.
type Ledger struct {
	mu                sync.Mutex
	violationMessages []string
	violationCount    int
	// executionCounts holds the number of executions of each request by request id.
	executionCounts map[string]int
	jobsByID        map[string]*jobRecord
}

// jobRecord is the history of one job as the workers observed it.
type jobRecord struct {
	// runningOn is the worker that runs the job, or empty.
	runningOn string
	// latestRun is the number of the latest run.
	latestRun uint64
	// completedCount is the number of runs that ran to completion.
	completedCount int
	// acceptedCount is the number of results that the system accepted.
	acceptedCount int
	startCount    int
	firstStart    time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{executionCounts: map[string]int{}, jobsByID: map[string]*jobRecord{}}
}

// RecordViolation records a violation of a guarantee.
func (l *Ledger) RecordViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordViolationLocked(format, args...)
}

func (l *Ledger) recordViolationLocked(format string, args ...any) {
	l.violationCount++
	if len(l.violationMessages) < maxViolationMessages {
		l.violationMessages = append(l.violationMessages, fmt.Sprintf(format, args...))
	}
}

// Violations returns the number of violations and the messages of the first ones, at most
// maxViolationMessages.
func (l *Ledger) Violations() (int, []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.violationCount, append([]string(nil), l.violationMessages...)
}

// recordExecution counts one execution of a request and returns the number so far.
func (l *Ledger) recordExecution(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executionCounts[id]++
	return l.executionCounts[id]
}

// Executions returns how often the request with the given id was executed.
func (l *Ledger) Executions(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.executionCounts[id]
}

func (l *Ledger) getOrCreateJob(id string) *jobRecord {
	j := l.jobsByID[id]
	if j == nil {
		j = &jobRecord{}
		l.jobsByID[id] = j
	}
	return j
}

// recordTaskStart records the start of a job's task. The start is a violation if the job already runs,
// if the run number is not above that of the latest start, or if the system has accepted a result of the
// job.
func (l *Ledger) recordTaskStart(job, worker string, run uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.getOrCreateJob(job)
	switch {
	case j.runningOn != "":
		l.recordViolationLocked("job %s started on worker %s while it runs on worker %s", job, worker, j.runningOn)
	case run <= j.latestRun:
		l.recordViolationLocked("job %s started as run %d after run %d", job, run, j.latestRun)
	case j.acceptedCount > 0:
		l.recordViolationLocked("job %s started again after its result was published", job)
	}
	if j.firstStart.IsZero() {
		j.firstStart = time.Now()
	}
	j.runningOn = worker
	j.latestRun = run
	j.startCount++
}

// recordTaskEnd records that the task of a job no longer runs; completed means that it ran to completion.
func (l *Ledger) recordTaskEnd(job, worker string, completed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.getOrCreateJob(job)
	if j.runningOn == worker {
		j.runningOn = ""
	}
	if completed {
		j.completedCount++
	}
}

// recordAcceptedResult records that the system accepted a worker's report of a finished run. Accepting
// more than one such report of a job is a violation.
func (l *Ledger) recordAcceptedResult(job string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.getOrCreateJob(job)
	j.acceptedCount++
	if j.acceptedCount > 1 {
		l.recordViolationLocked("job %s published %d results", job, j.acceptedCount)
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
	j := l.jobsByID[id]
	if j == nil {
		return JobHistory{}
	}
	return JobHistory{Starts: j.startCount, Completed: j.completedCount, Accepted: j.acceptedCount, Running: j.runningOn != "", FirstStart: j.firstStart}
}

// CompletedJobs returns the number of jobs that ran to completion at least once.
func (l *Ledger) CompletedJobs() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, j := range l.jobsByID {
		if j.completedCount > 0 {
			n++
		}
	}
	return n
}

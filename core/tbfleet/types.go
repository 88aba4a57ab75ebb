package tbfleet

import (
	"time"

	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// Terms are the time limits of dealing with workers.
type Terms struct {
	// Lease is the length of a worker's lease, on the worker's clock.
	Lease time.Duration
	// LongestLease is what any earlier leader may have granted.
	LongestLease time.Duration
	// LongestDelay is how long after its sending an order may still be carried out.
	LongestDelay time.Duration
	// ClockRateBound is how much slower a worker's clock may run.
	ClockRateBound float64
	// LookWait is how long a worker keeps a look open while nothing ends.
	LookWait time.Duration
	// OrderTimeout is the silence after which an order counts as unanswered.
	OrderTimeout time.Duration
	// HeartbeatSilence is the silence after which a worker gets no new tasks.
	HeartbeatSilence time.Duration
	// RetryPause is the pause between two tries to reach a silent worker.
	RetryPause time.Duration
}

// Report is what a worker says of itself.
type Report struct {
	ID      string
	Address string
	// Born is the worker's start in milliseconds since 1970; it tells lives apart.
	Born       int64
	Class      string
	DataCentre string
	Rack       string
	Labels     []string
	Capacity   tbresource.Amount
	Draining   bool
	// LeavesIn is the least time left while draining, or 0 when unknown.
	LeavesIn time.Duration
	// ClockMs is the worker's steady clock.
	ClockMs  int64
	Sequence uint64
}

// Target names one life of a worker for an order.
type Target struct {
	ID      string
	Address string
	Born    int64
	// Token fences off earlier leaders.
	Token uint64
}

// Call is an order to a worker; its answer comes back as the event named with it.
type Call interface{ isCall() }

// Start orders a run; the answer is StartAnswered.
type Start struct {
	Target     Target
	Ref        tbflow.TaskRef
	Run        uint64
	Spec       string
	Checkpoint string
	// LeaseEndMs is the lease's end on the worker's clock.
	LeaseEndMs int64
	Timeout    time.Duration
}

// Stop ends a run and blocks it for good; the answer is StopAnswered.
type Stop struct {
	Target  Target
	Ref     tbflow.TaskRef
	Run     uint64
	Timeout time.Duration
}

// Look renews the lease and asks what runs and what has ended; the answer is LookAnswered.
type Look struct {
	Target Target
	// LeaseEndMs is 0 for a look that renews nothing.
	LeaseEndMs int64
	// Seen is the number of the last end that is recorded.
	Seen    uint64
	Wait    time.Duration
	Timeout time.Duration
}

// Pace sets the share of its speed at which a run works; the answer is PaceAnswered.
type Pace struct {
	Target  Target
	Ref     tbflow.TaskRef
	Run     uint64
	Percent int
	Timeout time.Duration
}

func (Start) isCall() {}
func (Stop) isCall()  {}
func (Look) isCall()  {}
func (Pace) isCall()  {}

// Verdict is a worker's answer to an order.
type Verdict uint8

// Verdicts of a worker.
const (
	// Unanswered means that the order may be carried out, now or later.
	Unanswered Verdict = iota
	Accepted
	// Refused means that the order was not carried out and will not be.
	Refused
	// OtherLife means that another life of the worker answered.
	OtherLife
)

// StartAnswered is the answer to Start.
type StartAnswered struct {
	Worker  string
	Born    int64
	Ref     tbflow.TaskRef
	Run     uint64
	Verdict Verdict
	// Cause is the worker's reason for a refusal.
	Cause   string
	ClockMs int64
}

// StopAnswered is the answer to Stop.
type StopAnswered struct {
	Worker  string
	Born    int64
	Ref     tbflow.TaskRef
	Run     uint64
	Verdict Verdict
}

// PaceAnswered is the answer to Pace.
type PaceAnswered struct {
	Worker  string
	Born    int64
	Ref     tbflow.TaskRef
	Run     uint64
	Percent int
	Verdict Verdict
}

// RunReport is one run that a worker lists as going on.
type RunReport struct {
	Ref        tbflow.TaskRef
	Run        uint64
	Checkpoint string
	// Percent is the progress; a lasting task is at work at 100.
	Percent int
	// Reading is the tail latency in milliseconds of a task that serves, else the processors in use.
	Reading int64
}

// EndReport is one end that a worker lists.
type EndReport struct {
	Number     uint64
	Ref        tbflow.TaskRef
	Run        uint64
	Kind       tbflow.EndKind
	Checkpoint string
}

// LookAnswered is the answer to Look.
type LookAnswered struct {
	Worker  string
	Born    int64
	SentAt  time.Time
	Seen    uint64
	Verdict Verdict
	// ActualBorn is the life that answered.
	ActualBorn int64
	ClockMs    int64
	Running    []RunReport
	Ended      []EndReport
	// Partial is true where the lists may leave runs out.
	Partial bool
}

// Note is something that an on-call engineer should find in the log.
type Note struct {
	What   string
	Worker string
	Ref    tbflow.TaskRef
	Run    uint64
	Detail string
	// Inputs are the values that decided it, as pairs of a name and a value.
	Inputs []any
}

// Output is what has to be done after an event.
type Output struct {
	Calls    []Call
	Commands []tbflow.Command
	Notes    []Note
}

package tbfleet

import (
	"time"

	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// Params holds the time limits for leases, orders and polls.
type Params struct {
	// Lease is the length of a worker's lease, on the worker's clock.
	Lease time.Duration
	// MaxLease is the longest lease that any earlier leader may have granted.
	MaxLease time.Duration
	// MaxOrderDelay is the longest time from sending an order until it may still be executed.
	MaxOrderDelay time.Duration
	// ClockRateBound is the largest fraction by which a worker's clock may be slow.
	ClockRateBound float64
	// PollWait is how long a worker holds a poll open while no run ends.
	PollWait time.Duration
	// OrderTimeout is the time without an answer after which an order is unconfirmed.
	OrderTimeout time.Duration
	// SilenceTimeout is the time without a heartbeat after which a worker gets no new tasks.
	SilenceTimeout time.Duration
	// PollRetryDelay is the delay between two polls of a worker that does not answer.
	PollRetryDelay time.Duration
}

// Report is a worker's heartbeat: its address, properties and state.
type Report struct {
	ID      string
	Address string
	// Incarnation is the worker's start in milliseconds since 1970; it distinguishes its
	// incarnations.
	Incarnation int64
	Class       string
	DataCentre  string
	Rack        string
	Labels      []string
	Capacity    tbresource.Amount
	Draining    bool
	// DrainTimeLeft is the least time until a draining worker ends, or 0 if unknown.
	DrainTimeLeft time.Duration
	// ClockMs is the worker's monotonic clock in milliseconds, or 0 if not given.
	ClockMs  int64
	Sequence uint64
}

// Target identifies the worker incarnation to which an order is addressed.
type Target struct {
	ID          string
	Address     string
	Incarnation int64
	// Token is the fencing token: a worker refuses orders with a lower one than it has seen.
	Token uint64
}

// Order is a request to a worker: Start, Stop, Poll or SetSpeed. Its answer is passed to the method
// of Fleet that is named after the answer's type.
type Order interface{ isOrder() }

// Start orders a worker to start a run; the answer is StartAnswered.
type Start struct {
	Target     Target
	Ref        tbflow.TaskRef
	Run        uint64
	Spec       string
	Checkpoint string
	// LeaseEndMs is the lease's expiry on the worker's clock.
	LeaseEndMs int64
	Timeout    time.Duration
}

// Stop orders a worker to end a run and to refuse any later start of it; the answer is
// StopAnswered.
type Stop struct {
	Target  Target
	Ref     tbflow.TaskRef
	Run     uint64
	Timeout time.Duration
}

// Poll renews the lease and lists running tasks and ends; the answer is PollAnswered.
type Poll struct {
	Target Target
	// LeaseEndMs is the lease's expiry on the worker's clock, or 0 for a poll that does not renew
	// it.
	LeaseEndMs int64
	// LastRecordedEnd is the number of the last recorded end; the worker discards the ends up to it.
	LastRecordedEnd uint64
	Wait            time.Duration
	Timeout         time.Duration
}

// SetSpeed sets the speed of a run, in percent of full speed; the answer is SpeedAnswered.
type SetSpeed struct {
	Target  Target
	Ref     tbflow.TaskRef
	Run     uint64
	Percent int
	Timeout time.Duration
}

func (Start) isOrder()    {}
func (Stop) isOrder()     {}
func (Poll) isOrder()     {}
func (SetSpeed) isOrder() {}

// Outcome is the outcome of an order.
type Outcome uint8

// Outcomes of an order.
const (
	// Unconfirmed means that the order is unconfirmed: it may be executed, now or later.
	Unconfirmed Outcome = iota
	// Accepted means that the order was executed.
	Accepted
	// Refused means that the order was not executed and will not be.
	Refused
	// OtherWorker means that a worker with another ID answered at the address.
	OtherWorker
)

// StartAnswered is the answer to Start.
type StartAnswered struct {
	Worker      string
	Incarnation int64
	Ref         tbflow.TaskRef
	Run         uint64
	Outcome     Outcome
	// Cause is the worker's reason for a refusal.
	Cause   string
	ClockMs int64
}

// StopAnswered is the answer to Stop.
type StopAnswered struct {
	Worker      string
	Incarnation int64
	Ref         tbflow.TaskRef
	Run         uint64
	Outcome     Outcome
}

// SpeedAnswered is the answer to SetSpeed.
type SpeedAnswered struct {
	Worker      string
	Incarnation int64
	Ref         tbflow.TaskRef
	Run         uint64
	Percent     int
	Outcome     Outcome
}

// ListedRun is a run that a worker lists as running.
type ListedRun struct {
	Ref        tbflow.TaskRef
	Run        uint64
	Checkpoint string
	// Progress is in percent; a long-running task is at work at 100.
	Progress int
	// Measurement is the tail latency in milliseconds of a task that serves requests, otherwise the
	// processors in use.
	Measurement int64
}

// ListedEnd is an end that a worker lists. Ends of an incarnation are numbered from 1.
type ListedEnd struct {
	Number     uint64
	Ref        tbflow.TaskRef
	Run        uint64
	Kind       tbflow.EndKind
	Checkpoint string
}

// PollAnswered is the answer to Poll.
type PollAnswered struct {
	Worker          string
	Incarnation     int64
	SentAt          time.Time
	LastRecordedEnd uint64
	Outcome         Outcome
	// ActualIncarnation is the incarnation that answered.
	ActualIncarnation int64
	ClockMs           int64
	Running           []ListedRun
	Ended             []ListedEnd
	// Partial is true if the lists may be incomplete.
	Partial bool
}

// LogEvent is an event for the log that helps on-call engineers.
type LogEvent struct {
	Message string
	Worker  string
	Ref     tbflow.TaskRef
	Run     uint64
	Detail  string
	// Inputs are the values on which the decision is based, as alternating names and values.
	Inputs []any
}

// Output is the work that results from events: requests to send, commands to propose, and log
// events.
type Output struct {
	Orders    []Order
	Commands  []tbflow.Command
	LogEvents []LogEvent
}

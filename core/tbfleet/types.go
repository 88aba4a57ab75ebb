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
	// MaxOrderDelay is the longest time from the decision of the Fleet on an order to the execution of
	// the order by a worker. It contains MaxDeliveryDelay and the longest time until no part of the order
	// is sent any more, by the leader or by a relay. It does not depend on the timeout of the order.
	MaxOrderDelay time.Duration
	// MaxDeliveryDelay is the longest time from the sending of an order, which SentBefore in its result
	// bounds, to its execution by a worker.
	MaxDeliveryDelay time.Duration
	// ClockRateBound is the largest fraction by which a worker's clock may be slow, for example
	// 0.01 for 1 percent.
	ClockRateBound float64
	// PollWait is how long a worker holds a poll open while no run ends.
	PollWait time.Duration
	// OrderTimeout is the least time without an answer after which an order is unconfirmed.
	OrderTimeout time.Duration
	// SilenceTimeout is the time without a report, an accepted start or an answered poll after
	// which a worker gets no new tasks.
	SilenceTimeout time.Duration
	// PollRetryDelay is the delay between two polls of a worker that does not answer.
	PollRetryDelay time.Duration
}

// Report is a worker's heartbeat: its address, properties and state.
type Report struct {
	ID      string
	Address string
	// Incarnation identifies one lifetime of the worker's process by its start time, in
	// milliseconds since 1970. A later incarnation has a higher number.
	Incarnation int64
	Class       string
	DataCentre  string
	Rack        string
	Labels      []string
	Capacity    tbresource.Amount
	Draining    bool
	// DrainTimeLeft is the least time until the process of a draining worker ends, or 0 if unknown.
	DrainTimeLeft time.Duration
	// ClockMs is the worker's monotonic clock in milliseconds, or 0 if not given.
	ClockMs int64
	// Sequence is the number of this report within the incarnation. A report is ignored if its
	// number is not higher than that of the last report.
	Sequence uint64
}

// Target identifies the worker incarnation to which an order is addressed.
type Target struct {
	ID          string
	Address     string
	Incarnation int64
	DataCentre  string
	// Token is the fencing token. A worker refuses an order whose token is lower than one that the
	// worker has seen.
	Token uint64
}

// Term returns the term of the leader that has issued the token.
func (t Target) Term() uint64 { return t.Token >> serialBits }

// Order is a request to a worker: Start, Stop, Poll or SetSpeed. The caller passes the result to
// the Fleet method that has the result type in its name, for example HandleStartAnswered for
// StartAnswered.
type Order interface{ isOrder() }

// Start orders a worker to start a run; the result is StartAnswered.
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

// Stop orders a worker to end a run and to refuse any later start of that run. The result is
// StopAnswered.
type Stop struct {
	Target  Target
	Ref     tbflow.TaskRef
	Run     uint64
	Timeout time.Duration
}

// Poll asks a worker for its running tasks and ends, and may renew its lease. The result is
// PollAnswered.
type Poll struct {
	Target Target
	// LeaseEndMs is the new expiry of the lease on the worker's clock. It is 0 if the poll does not
	// renew the lease.
	LeaseEndMs int64
	// LastRecordedEnd acknowledges the recorded ends up to this number, and the worker discards
	// them. 0 acknowledges none.
	LastRecordedEnd uint64
	// Wait is how long the worker delays its answer while no run ends. 0 means that it answers at
	// once.
	Wait    time.Duration
	Timeout time.Duration
}

// SetSpeed sets the speed of a run, in percent of full speed; 0 suspends it. The result is
// SpeedAnswered.
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
	// Unconfirmed means that no answer came: the order may have been executed, or may be executed
	// later.
	Unconfirmed Outcome = iota
	// Accepted means that the order was executed.
	Accepted
	// Refused means that the order was not executed and will not be executed. Either the worker
	// refused the order, or the order was not sent. A refused Start may have renewed the lease
	// nevertheless.
	Refused
	// OtherWorker means that a worker with another ID answered at the address.
	OtherWorker
	// NotSent means that the order was given up before it was sent to the worker, for example
	// because the sending process was suspended for too long, or because no connection to the worker was
	// established in time. It does not tell whether the worker could have received the order.
	NotSent
)

// StartAnswered is the result of a Start: its answer, or that there was none.
type StartAnswered struct {
	Worker string
	// Incarnation is the incarnation to which the order was addressed. Another incarnation may have
	// answered.
	Incarnation int64
	Ref         tbflow.TaskRef
	Run         uint64
	Outcome     Outcome
	// Cause is the worker's reason for a refusal. If there was no answer, Cause says why.
	Cause string
	// ClockMs is the answering worker's monotonic clock in milliseconds, or 0 if not given.
	ClockMs int64
	// SentBefore is a time on the leader's clock after which no part of the order was sent. It is zero
	// if no such time is known.
	SentBefore time.Time
}

// StopAnswered is the result of a Stop: its answer, or that there was none.
type StopAnswered struct {
	Worker string
	// Incarnation is the incarnation to which the order was addressed. Another incarnation may have
	// answered.
	Incarnation int64
	Ref         tbflow.TaskRef
	Run         uint64
	Outcome     Outcome
	// Cause says why the order was refused, or why there was no answer.
	Cause string
}

// SpeedAnswered is the result of a SetSpeed: its answer, or that there was none.
type SpeedAnswered struct {
	Worker string
	// Incarnation is the incarnation to which the order was addressed. Another incarnation may have
	// answered.
	Incarnation int64
	Ref         tbflow.TaskRef
	Run         uint64
	// Percent is the speed that was ordered, in percent of full speed.
	Percent int
	Outcome Outcome
	// SentBefore is a time on the leader's clock after which no part of the order was sent. It is zero
	// if no such time is known.
	SentBefore time.Time
}

// ListedRun is a run that a worker lists as running.
type ListedRun struct {
	Ref tbflow.TaskRef
	// Run is 0 if the entry of the task cannot be read. It then says nothing about any run of the task, which
	// may be running, and neither does its absence elsewhere in the lists.
	Run        uint64
	Checkpoint string
	// Progress is in percent. It is 100 for a long-running task that has finished its start-up.
	Progress int
	// Measurement depends on the task. For a task that serves requests, it is the tail latency in
	// milliseconds. For any other task, it is the processors in use, in thousandths of a processor.
	Measurement int64
}

// Stray is a run that a worker lists as running, but that is not assigned to it.
type Stray struct {
	tbflow.RunRef
	// Since is when a poll answer listed the run for the first time.
	Since time.Time
}

// ListedEnd is an end that a worker lists. The ends of an incarnation are numbered from 1.
type ListedEnd struct {
	Number     uint64
	Ref        tbflow.TaskRef
	Run        uint64
	Kind       tbflow.EndKind
	Checkpoint string
}

// PollAnswered is the result of a Poll: its answer, or that there was none.
type PollAnswered struct {
	Worker string
	// Incarnation is the incarnation to which the poll was addressed. ActualIncarnation may differ.
	Incarnation int64
	// SentAt is a time before which the poll was not sent. LastRecordedEnd is the number up to which
	// the poll acknowledged ends, or 0 if it acknowledged none.
	SentAt time.Time
	// SentBefore is a time on the leader's clock after which no part of the poll was sent. It is zero if
	// no such time is known.
	SentBefore      time.Time
	LastRecordedEnd uint64
	// LeaseEndMs is the lease's expiry in the poll, or 0 if the poll did not renew the lease.
	LeaseEndMs int64
	Outcome    Outcome
	// Cause says why the poll was refused, or why there was no answer. CauseDisconnected means that the worker closed the connection.
	Cause string
	// ActualIncarnation is the incarnation that answered.
	ActualIncarnation int64
	// ClockMs is the answering worker's monotonic clock in milliseconds, or 0 if not given.
	ClockMs int64
	// Running lists the runs that execute. Ended lists the ends that no poll received by the worker
	// has acknowledged.
	Running []ListedRun
	Ended   []ListedEnd
	// Partial is true if the lists may be incomplete, because there are too many ends.
	Partial bool
}

// LogEvent is one log entry about a worker or a run.
type LogEvent struct {
	Message string
	Worker  string
	Ref     tbflow.TaskRef
	Run     uint64
	Detail  string
	// Inputs are the values that led to the event, as alternating names and values.
	Inputs []any
}

// Output is what the leader has to do after calls of Fleet methods: orders to send, commands to
// propose and events to log.
type Output struct {
	Orders    []Order
	Commands  []tbflow.Command
	LogEvents []LogEvent
}

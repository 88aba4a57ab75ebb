package tbcontrol

import (
	"fmt"
	"time"

	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// LeaderRequest is a request about multi-step jobs, workers or the group that only the leader
// answers.
type LeaderRequest interface{ isLeaderRequest() }

// SubmitRequested submits a multi-step job.
type SubmitRequested struct{ Submit tbflow.Submit }

// CancelRequested cancels a multi-step job.
type CancelRequested struct{ Cancel tbflow.Cancel }

// JobStateRequested asks for the phase of a multi-step job in the queue that Host and Path select.
type JobStateRequested struct {
	ID   string
	Host string
	Path string
}

// QueueLengthRequested asks how many jobs of the queue that Host and Path select have not started.
type QueueLengthRequested struct {
	Host string
	Path string
}

// ConfigPutRequested stores a configuration of queues and worker classes.
type ConfigPutRequested struct{ Config tbflow.Config }

// ConfigReadRequested asks for the newest configuration.
type ConfigReadRequested struct{}

// WorkerReported carries a report of a worker that runs multi-step jobs.
type WorkerReported struct{ Report tbfleet.Report }

// WorkersReported carries reports of several workers. The report of a draining worker is answered with
// NotReady until the draining is committed; such a worker has to report by WorkerReported.
type WorkersReported struct{ Reports []tbfleet.Report }

// WorkerSignedOff reports that a drained worker has ended.
type WorkerSignedOff struct{ ID string }

// JoinRequested asks to add a replica to the control group.
type JoinRequested struct {
	Replica tbconsensus.ReplicaID
	Address string
}

// EvacuationRequested starts the evacuation of a data centre if Active is true, and stops it if not. It may be repeated.
type EvacuationRequested struct {
	DataCentre string
	Active     bool
}

func (SubmitRequested) isLeaderRequest()      {}
func (CancelRequested) isLeaderRequest()      {}
func (JobStateRequested) isLeaderRequest()    {}
func (QueueLengthRequested) isLeaderRequest() {}
func (ConfigPutRequested) isLeaderRequest()   {}
func (ConfigReadRequested) isLeaderRequest()  {}
func (WorkerReported) isLeaderRequest()       {}
func (WorkersReported) isLeaderRequest()      {}
func (WorkerSignedOff) isLeaderRequest()      {}
func (JoinRequested) isLeaderRequest()        {}
func (EvacuationRequested) isLeaderRequest()  {}

// AnswerCode is the outcome of a request to the leader.
type AnswerCode uint8

// Outcomes of a request to the leader.
const (
	// Done means that the request succeeded. A requested change is committed or was not needed. The
	// answer to a query has the requested data.
	Done AnswerCode = iota
	// NoConfig means that no configuration has been stored yet.
	NoConfig
	// NoQueue means that no queue of the configuration matches.
	NoQueue
	// NoJob means that the requested queue has no job with the id.
	NoJob
	// Overloaded means that the job was refused and will never run.
	Overloaded
	// NotReady means that the sender should try again. The group may have too few voters or the leader
	// too many waiting proposals; the change was then not proposed. Or a change, such as the draining of
	// a worker or the removal of a replica, is not committed yet.
	NotReady
	// ReportIgnored means that the leader has a newer report of the worker, or that no configuration has
	// the class of the worker.
	ReportIgnored
	// Unconfirmed means that the replica lost leadership before it applied the change. The change may or
	// may not be committed.
	Unconfirmed
	// Removed means that the replica was removed from the group and its disk is no longer needed.
	Removed
	// Invalid means that the job cannot be stored or executed, see tbflow.Job.Validate.
	Invalid
	// TooLarge means that the change has more bytes than a log entry may have. It was not proposed.
	TooLarge
	// NoDataCentre means that no instance, worker or runner is known in the data centre.
	NoDataCentre
)

// String returns the outcome in lower camel case.
func (c AnswerCode) String() string {
	names := [...]string{
		"done", "noConfig", "noQueue", "noJob", "overloaded", "notReady", "outdated", "unsure", "removed", "invalid", "tooLarge",
		"noDataCentre",
	}
	if int(c) >= len(names) {
		// A leader of a later version may send codes that this version does not know.
		return fmt.Sprintf("code%d", c)
	}
	return names[c]
}

// Answer is the answer to a LeaderRequest; fields that do not belong to the request are zero.
type Answer struct {
	Code  AnswerCode
	Phase tbflow.JobPhase
	// QueueLength is the number of jobs of the queue that have not started.
	QueueLength int
	// Source is the text of the newest configuration, byte for byte as it was stored.
	Source []byte
	// RetryAfter is how long a refused caller should wait before it tries again; 0 recommends nothing.
	RetryAfter time.Duration
	// ReportElsewhere is true if the worker should send its reports to a replica other than the
	// leader.
	ReportElsewhere bool
	// Reports holds one answer for each report of WorkersReported, in the same order.
	Reports []ReportAnswer
	// Limits are those of the newest configuration.
	Limits tbflow.RequestLimits
}

// ReportAnswer is the answer to one report of a worker.
type ReportAnswer struct {
	Code            AnswerCode
	ReportElsewhere bool
}

// LeaderRequestArrived carries a request to the leader.
type LeaderRequestArrived struct {
	Request       uint64
	LeaderRequest LeaderRequest
}

// StartAnswered, StopAnswered, SpeedAnswered and PollAnswered carry a worker's answer to an order;
// Term is the term in which the order was sent.
type (
	StartAnswered struct {
		Answer tbfleet.StartAnswered
		Term   uint64
	}
	StopAnswered struct {
		Answer tbfleet.StopAnswered
		Term   uint64
	}
	SpeedAnswered struct {
		Answer tbfleet.SpeedAnswered
		Term   uint64
	}
	PollAnswered struct {
		Answer tbfleet.PollAnswered
		Term   uint64
	}
)

func (LeaderRequestArrived) isEvent() {}
func (StartAnswered) isEvent()        {}
func (StopAnswered) isEvent()         {}
func (SpeedAnswered) isEvent()        {}
func (PollAnswered) isEvent()         {}

// AnswerLeaderRequest answers a LeaderRequestArrived. Leader is the leader, or 0 if it is not known.
type AnswerLeaderRequest struct {
	Request   uint64
	NotLeader bool
	Leader    tbconsensus.ReplicaID
	Answer    Answer
}

// SendOrder sends an order to a worker; the answer comes back as an event with the same term.
type SendOrder struct {
	Order tbfleet.Order
	Term  uint64
	// IssuedAt is when the leader last confirmed that it may issue the order.
	IssuedAt time.Time
}

func (AnswerLeaderRequest) isEffect() {}
func (SendOrder) isEffect()           {}

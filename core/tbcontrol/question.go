package tbcontrol

import (
	"time"

	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// Question is something that only the leader can answer about jobs of steps, workers or the group.
type Question interface{ isQuestion() }

// SubmitAsked hands in a job.
type SubmitAsked struct{ Submit tbflow.Submit }

// CancelAsked cancels a job.
type CancelAsked struct{ Cancel tbflow.Cancel }

// JobAsked asks for the phase of a job of the queue that Host and Path select.
type JobAsked struct {
	ID   string
	Host string
	Path string
}

// QueueAsked asks how many jobs of a queue have not started.
type QueueAsked struct {
	Host string
	Path string
}

// ConfigPut stores a configuration of queues and worker classes.
type ConfigPut struct{ Config tbflow.Config }

// ConfigAsked asks for the newest configuration.
type ConfigAsked struct{}

// WorkerReported carries what a worker says of itself.
type WorkerReported struct{ Report tbfleet.Report }

// WorkersReported carries what several workers say of themselves, none of which drains.
type WorkersReported struct{ Reports []tbfleet.Report }

// WorkerLeft tells that a drained worker has ended.
type WorkerLeft struct{ ID string }

// JoinAsked asks to take a replica into the control group.
type JoinAsked struct {
	Replica tbconsensus.ReplicaID
	Address string
}

func (SubmitAsked) isQuestion()     {}
func (CancelAsked) isQuestion()     {}
func (JobAsked) isQuestion()        {}
func (QueueAsked) isQuestion()      {}
func (ConfigPut) isQuestion()       {}
func (ConfigAsked) isQuestion()     {}
func (WorkerReported) isQuestion()  {}
func (WorkersReported) isQuestion() {}
func (WorkerLeft) isQuestion()      {}
func (JoinAsked) isQuestion()       {}

// Code is the outcome of a question.
type Code uint8

// Outcomes of a question.
const (
	// Done means that what was asked for is committed, or that the answer holds it.
	Done Code = iota
	// NoConfig means that no configuration has been stored yet.
	NoConfig
	NoQueue
	NoJob
	// Overloaded means that the job was not taken and never runs.
	Overloaded
	// NotReady means that the group cannot take promises yet; nothing was done.
	NotReady
	// Outdated means that a newer report of the worker is known.
	Outdated
	// Unsure means that a change may or may not take effect.
	Unsure
	// Removed means that the replica was removed from the group and its disk counts no more.
	Removed
)

// String returns the outcome in lower camel case.
func (c Code) String() string {
	return [...]string{
		"done", "noConfig", "noQueue", "noJob", "overloaded", "notReady", "outdated", "unsure", "removed",
	}[c]
}

// Answer answers a Question.
type Answer struct {
	Code    Code
	Phase   tbflow.Phase
	Pending int
	// Source is the newest configuration as it was sent.
	Source []byte
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
	// Elsewhere is true for a worker that should report to a replica other than the leader.
	Elsewhere bool
	// Reports answers each report of WorkersReported.
	Reports []ReportAnswer
}

// ReportAnswer answers one report of a worker.
type ReportAnswer struct {
	Code      Code
	Elsewhere bool
}

// QuestionArrived asks the leader a question.
type QuestionArrived struct {
	Request  uint64
	Question Question
}

// StartAnswered, StopAnswered, PaceAnswered and LookAnswered bring a worker's answer to an order of a term.
type (
	StartAnswered struct {
		Answer tbfleet.StartAnswered
		Term   uint64
	}
	StopAnswered struct {
		Answer tbfleet.StopAnswered
		Term   uint64
	}
	PaceAnswered struct {
		Answer tbfleet.PaceAnswered
		Term   uint64
	}
	LookAnswered struct {
		Answer tbfleet.LookAnswered
		Term   uint64
	}
)

func (QuestionArrived) isEvent() {}
func (StartAnswered) isEvent()   {}
func (StopAnswered) isEvent()    {}
func (PaceAnswered) isEvent()    {}
func (LookAnswered) isEvent()    {}

// AnswerQuestion answers QuestionArrived.
type AnswerQuestion struct {
	Request   uint64
	NotLeader bool
	Leader    tbconsensus.ReplicaID
	Answer    Answer
}

// CallWorker sends an order to a worker; its answer comes back as an event with the same term.
type CallWorker struct {
	Call tbfleet.Call
	Term uint64
}

func (AnswerQuestion) isEffect() {}
func (CallWorker) isEffect()     {}

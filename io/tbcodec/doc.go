// Package tbcodec converts the domain types of core to protobuf messages and back.
//
// Fields are converted one by one, so that the domain types need no tags. A new field in a domain
// type or a message is not sent until it is added here. There are two exceptions: bundles are sent as
// their source, and package tbflowcodec encodes the data of multi-step jobs.
//
// Some names on the wire differ from the names of the domain types:
//
//	on the wire         in the domain types
//	Epoch               Run
//	InForce             ActiveVersion
//	Evictions           Requeues
//	ProbationUntilMs    BackoffUntilMs
//	AtMs of a claim     ExpiresMs
//	Attempt of a claim  CallID
//	Gone*               Removed*
//	Surrender           ReleaseSlots
//	LoseWorker          MarkWorkerGone
//	RunnerForget        RemoveRunner
//	EntryRecord         Session
package tbcodec

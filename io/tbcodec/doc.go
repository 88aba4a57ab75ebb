// Package tbcodec converts the domain types of core to protobuf messages and back.
//
// Every field is converted explicitly, so that the domain types need no tags and a change on
// either side requires a change here. Only bundles are parsed from their source.
//
// Some names on the wire differ from those of the domain: Epoch is Run, InForce is the active
// version, Evictions are Requeues, ProbationUntilMs is BackoffUntilMs, a claim's AtMs is ExpiresMs
// and its Attempt is CallID, Gone* are Removed*, Surrender is ReleaseSlots, LoseWorker is
// MarkWorkerGone, RunnerForget is RemoveRunner, and EntryRecord is a Session.
package tbcodec

// Package tbconsensus implements the Raft consensus algorithm as a pure state machine.
//
// A Replica takes messages, proposals and ticks, each with the current time,
// and collects the resulting work in an Output: state to persist, messages to
// send and entries to apply. It does no I/O and starts no goroutines, so a test
// can simulate a whole group deterministically from one seed.
//
// Beyond the basic algorithm, the package implements pre-vote, check-quorum,
// leader leases, leader transfer, chunked snapshots and membership changes of
// one replica at a time.
package tbconsensus

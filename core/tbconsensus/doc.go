// Package tbconsensus is a replicated log as a pure state machine.
//
// A Replica takes messages, proposals and ticks, each with the present time,
// and collects what has to be done in an Output: state to save, messages to
// send and entries to apply. It opens no socket or file and starts no
// goroutine, so a whole group can be run from a seed in one test.
//
// The algorithm is Raft with pre-vote, check-quorum, leader transfer, chunked
// snapshots and membership changes of one replica at a time.
package tbconsensus

// Package tbentry implements the entry role of a daemon: the front end that
// callers, runners and workers connect to.
//
// An entry queues calls, chooses a runner for each of them, claims idempotency
// keys for requests that must not execute twice, tells workers which tasks to
// run and keeps a copy of the replicated state, which it receives from the leader
// of the control group.
// The entry stores nothing on disk. Entry is a state machine that does no input or output itself:
// Step takes an event with the current time and returns the effects to carry out.
package tbentry

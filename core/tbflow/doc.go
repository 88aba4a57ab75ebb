// Package tbflow is the replicated state of multi-step jobs: jobs, queues, worker classes, worker
// records and learned interference.
//
// The state changes only through Apply, with commands in log order, so that every replica holds the
// same state. Scheduling decisions are made elsewhere; this package rejects those that a job's
// state does not permit.
package tbflow

// Package tbflow is the replicated state of multi-step jobs: jobs, queues, worker classes, worker
// records and learned interference.
//
// Only Apply changes the state. Every replica applies the same commands in log order, so all
// replicas hold the same state. Scheduling decisions are made elsewhere. This package rejects those
// that a job's state does not permit.
package tbflow

// Package tbassign schedules jobs: admission, placement, speeds of best-effort runs, moves of
// long-running tasks, and detection of stalled runs.
//
// The package does no I/O and changes neither the replicated state nor the fleet. Learner,
// Rebalancer and Planner keep the leader's own state between calls. Where a file handles one
// load pattern, its top describes the pattern.
package tbassign

// Package tbassign schedules jobs. It covers admission, placement, the speeds of best-effort runs,
// moves of long-running tasks, and the detection of stalled runs.
//
// The package does no I/O and changes neither the replicated state nor the fleet. Learner,
// Rebalancer and Planner keep data of the leader between calls. A file that handles one kind of
// load describes that load in a comment at its top.
package tbassign

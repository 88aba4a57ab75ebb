// Package tbstate is the replicated state: bundles, sessions of entries,
// runners with their slot grants, workers, jobs and idempotency claims.
//
// It changes only through batches of commands, which all replicas apply in log
// order. Applying a command checks the invariants (slots and resources are never
// overcommitted, a task is on one worker only, a claim lets one call execute), so that
// a bug in a planner cannot violate them.
package tbstate

// Package tbstate is the replicated state: bundles, sessions of entries,
// runners with their slot grants, workers, jobs and idempotency claims.
//
// It changes only by batches of commands, which all replicas apply in the same
// order. Each command checks the promises itself (slots and resources never
// overfilled, one place per task, one run per claim), so that no mistake of a
// planner can break them.
package tbstate

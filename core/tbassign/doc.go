// Package tbassign decides which waiting task starts on which worker.
//
// The decisions are pure functions: they read the replicated state and the fleet and return
// assignments. Each file handles one load pattern, described at its top.
package tbassign

// Package tbconfigcheck looks for mistakes in a configuration of queues and worker classes before operators send it, and
// compares it with the one in force.
//
// A configuration that can be stored may still have queues that no request matches, or limits that no job can keep.
// The package does no I/O.
package tbconfigcheck

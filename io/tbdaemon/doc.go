// Package tbdaemon runs the process of one instance.
//
// One goroutine passes events to a tbnode.Node, which has the entry role, the control role or both.
// Other goroutines perform the resulting effects that use the network, the disk or timers.
package tbdaemon

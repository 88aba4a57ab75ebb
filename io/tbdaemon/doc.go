// Package tbdaemon runs the process of one instance.
//
// One goroutine feeds events to a tbnode.Node, which holds the entry role, the control role or
// both. Other goroutines carry out the resulting effects with sockets, disk and clocks.
package tbdaemon

// Package tbdaemon runs the process of one instance: a single goroutine feeds events to
// the node reducer, and the resulting effects are carried out with sockets, disk and clocks.
package tbdaemon

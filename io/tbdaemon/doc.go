// Package tbdaemon runs one daemon: it feeds events to the node reducer in one
// goroutine and carries out the effects with sockets, disk and clocks.
package tbdaemon

// Package tblog prevents a slow log output from slowing a process down. A line is
// queued if the rate limit allows it and the queue has space. Otherwise the line is dropped and counted.
// A separate goroutine writes the queued lines.
package tblog

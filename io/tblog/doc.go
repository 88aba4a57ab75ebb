// Package tblog prevents a slow log output from slowing a process down. Lines are queued up to a rate
// limit, and a separate goroutine writes them. Lines that exceed the rate limit or the queue are
// counted and dropped.
package tblog

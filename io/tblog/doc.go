// Package tblog prevents logging from slowing a process down: a separate goroutine writes lines
// at a limited rate, and lines in excess of it are counted and dropped.
package tblog

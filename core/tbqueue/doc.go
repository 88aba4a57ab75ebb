// Package tbqueue implements a bounded queue that serves members round-robin.
package tbqueue

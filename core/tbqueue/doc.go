// Package tbqueue implements a bounded queue that serves members (customers) round-robin.
package tbqueue

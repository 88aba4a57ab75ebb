// Package tbproxy forwards TCP connections and injects faults into them, for tests
// and measurements.
//
// A fault applies to the connections from one source IP address. Each instance has
// its own loopback address, so instances can be partitioned individually.
package tbproxy

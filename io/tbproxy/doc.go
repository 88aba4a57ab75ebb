// Package tbproxy forwards TCP connections and injects faults into them, for tests
// and measurements.
//
// A fault applies to the connections from one source IP address, so that each
// instance, which has its own loopback address, can be partitioned individually.
package tbproxy

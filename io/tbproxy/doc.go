// Package tbproxy forwards TCP connections and injects faults between them.
//
// It is for tests and measurements only. A fault applies to connections from one
// source IP number, so that instances on loopback addresses of their own can be
// parted one by one.
package tbproxy

// Package tblaunch starts all daemons of a system as real processes on loopback
// addresses, for tests and measurements.
package tblaunch

// Package tblaunch starts a whole deployment as real daemon processes on loopback
// addresses, for tests and measurements.
package tblaunch

// Package tblaunch runs a whole deployment as real processes on loopback, for
// tests and measurements.
package tblaunch

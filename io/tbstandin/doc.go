// Package tbstandin plays the platform and the backend servers in tests and
// measurements: runners, workers and callers.
//
// The stand-ins check the promises themselves, from what they see: a runner
// knows how many requests it runs at once and a worker what its tasks hold. No
// check asks the system whether the system behaved.
package tbstandin

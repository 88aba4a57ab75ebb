// Package tbstandin has fake runners, workers and callers for tests and measurements.
//
// The fakes check the guarantees of the system from their own observations: a
// runner counts the requests that it executes at once, and a worker adds up the
// resources of its tasks. No check relies on what the system reports about itself.
package tbstandin

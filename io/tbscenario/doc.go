// Package tbscenario contains the scenarios of tbbench: each measures real
// daemon processes that serve fake runners, workers and callers.
//
// A scenario measures everything that it compares in one invocation and reports
// figures with the bounds they must meet. Violated guarantees are detected by the
// fakes and callers from what they observe, never by asking the system.
package tbscenario

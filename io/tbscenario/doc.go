// Package tbscenario contains the scenarios of tbbench: each measures real
// daemon processes that serve fake runners, workers and callers.
//
// All measurements that a scenario compares are made in the same call of Run. Its
// report holds figures and the bounds that they must meet. The fakes detect the
// reported violations from what they observe, not from what the system reports.
package tbscenario

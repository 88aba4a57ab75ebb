// Package tbscenario measures deployments of real processes with stand-ins.
//
// A scenario runs everything that it compares in one run and reports figures
// with the bounds that they have to meet. Violations are found by the stand-ins
// and callers, never by asking the system.
package tbscenario

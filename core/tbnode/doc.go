// Package tbnode composes the roles of one daemon into one reducer.
//
// It is the only writer of a process's state, so that a run is a list of events
// and can be played again.
package tbnode

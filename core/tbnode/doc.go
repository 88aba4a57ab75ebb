// Package tbnode combines the entry and the control role of one daemon into a single state machine.
//
// Only events change the state of this machine, so a recorded list of events reproduces the state exactly.
package tbnode

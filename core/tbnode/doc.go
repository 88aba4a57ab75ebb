// Package tbnode combines the entry and the control role of one daemon into a single state machine.
//
// Only events change its state, so a recorded list of events reproduces it exactly.
package tbnode

// Package tbnode combines the roles of one daemon into a single reducer.
//
// Only the reducer changes the state of the process, so a recorded list of
// events reproduces it exactly.
package tbnode

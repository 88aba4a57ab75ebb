// Package tbcontrol implements the control role of a daemon as one state machine.
//
// The state machine combines the replicated log, the replicated state and the decisions that only
// a confirmed leader makes: leases of entries, slot grants, expiry of unresponsive backend
// servers, and placement. Step takes an event and the current time and returns effects
// as data. Step performs no I/O.
package tbcontrol

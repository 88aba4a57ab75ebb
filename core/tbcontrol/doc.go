// Package tbcontrol is the control role of a daemon as one reducer.
//
// It joins the replicated log, the replicated state and the decisions that only
// a confirmed leader makes: leases of entries, slot grants, loss of silent
// backend servers and placement. Step takes an event with the present time and
// returns effects as data; it does no input or output.
package tbcontrol

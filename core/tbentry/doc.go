// Package tbentry is the entry role of a daemon as one reducer.
//
// It takes calls, chooses runners, keeps claims for requests that may run only
// once, tells workers what to run and follows the leader's view. Nothing in it
// has to survive a restart. Step takes an event with the present time and
// returns effects as data; it does no input or output.
package tbentry

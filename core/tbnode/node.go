package tbnode

import (
	"time"

	"tamarackbarrow/core/tbassign"
	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbentry"
)

// Event is an input of one role; exactly one field is set.
type Event struct {
	Entry   tbentry.Event
	Control tbcontrol.Event
}

// Effect is an action that one role asks the caller to perform; exactly one field is set.
type Effect struct {
	Entry   tbentry.Effect
	Control tbcontrol.Effect
}

// Node is the state of one daemon. Control is nil if the daemon has no data folder. Entry is nil if the
// daemon serves no calls.
type Node struct {
	Entry   *tbentry.Entry
	Control *tbcontrol.Control
}

// New returns a node with the given roles, either of which may be nil.
func New(entry *tbentry.Entry, control *tbcontrol.Control) *Node {
	return &Node{Entry: entry, Control: control}
}

// Step processes one event and returns its effects. It ignores events for an absent role.
func (n *Node) Step(now time.Time, ev Event) []Effect {
	var effects []Effect
	if ev.Entry != nil && n.Entry != nil {
		for _, e := range n.Entry.Step(now, ev.Entry) {
			effects = append(effects, Effect{Entry: e})
		}
	}
	if ev.Control != nil && n.Control != nil {
		for _, e := range n.Control.Step(now, ev.Control) {
			effects = append(effects, Effect{Control: e})
		}
	}
	return effects
}

// Tick processes the timers that are due at now, in all roles.
func (n *Node) Tick(now time.Time) []Effect {
	return append(
		n.Step(now, Event{Entry: tbentry.Tick{}}),
		n.Step(now, Event{Control: tbcontrol.Tick{}})...,
	)
}

// entryTickInterval is how often an entry checks its queues and deadlines.
const entryTickInterval = 5 * time.Millisecond

// idleTickInterval is the maximum time between two ticks.
const idleTickInterval = time.Second

// NextDue returns the time by which Tick has to be called next.
func (n *Node) NextDue(now time.Time) time.Time {
	due := now.Add(idleTickInterval)
	if n.Entry != nil {
		due = now.Add(entryTickInterval)
	}
	if n.Control != nil {
		if d := n.Control.NextDue(); d.Before(due) {
			due = d
		}
	}
	return due
}

// EndEventBatch tells all roles that no further events are queued. The load is what the caller observed since
// the last call.
func (n *Node) EndEventBatch(now time.Time, load tbassign.Load) []Effect {
	return append(
		n.Step(now, Event{Entry: tbentry.EventBatchEnded{}}),
		n.Step(now, Event{Control: tbcontrol.EventBatchEnded{Load: load}})...,
	)
}

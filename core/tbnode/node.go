package tbnode

import (
	"time"

	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbentry"
)

// Event is for one of the roles; exactly one field is set.
type Event struct {
	Entry   tbentry.Event
	Control tbcontrol.Event
}

// Effect comes from one of the roles; exactly one field is set.
type Effect struct {
	Entry   tbentry.Effect
	Control tbcontrol.Effect
}

// Node is one daemon; Control is nil without a data folder.
type Node struct {
	Entry   *tbentry.Entry
	Control *tbcontrol.Control
}

// New returns a node of the given roles.
func New(entry *tbentry.Entry, control *tbcontrol.Control) *Node {
	return &Node{Entry: entry, Control: control}
}

// Step handles one event and returns what has to be done.
func (n *Node) Step(now time.Time, ev Event) []Effect {
	var effects []Effect
	if ev.Entry != nil {
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

// Tick lets time pass in all roles.
func (n *Node) Tick(now time.Time) []Effect {
	return append(
		n.Step(now, Event{Entry: tbentry.Ticked{}}),
		n.Step(now, Event{Control: tbcontrol.Ticked{}})...,
	)
}

// EndBatch tells all roles that no more events are at hand.
func (n *Node) EndBatch(now time.Time) []Effect {
	return append(
		n.Step(now, Event{Entry: tbentry.BatchEnded{}}),
		n.Step(now, Event{Control: tbcontrol.BatchEnded{}})...,
	)
}

package tbcontrol

import (
	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// FleetWorker returns the leader's view of a worker, for tests.
func (c *Control) FleetWorker(id string) *tbfleet.Worker { return c.leader.flow.fleet.Worker(id) }

// Fleet returns the leader's view of the workers, for tests.
func (c *Control) Fleet() *tbfleet.Fleet { return c.leader.flow.fleet }

// ProposeFlowChange proposes a command, for tests.
func (c *Control) ProposeFlowChange(command tbflow.Command) { c.proposeFlowChange(command) }

// DropRefused returns the assignments without those that the state would reject, for tests.
func (c *Control) DropRefused(runs []tbflow.Assignment) []tbflow.Assignment {
	return c.dropRefused(runs)
}

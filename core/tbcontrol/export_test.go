package tbcontrol

import "tamarackbarrow/core/tbfleet"

// FleetWorker returns the leader's view of a worker, for tests.
func (c *Control) FleetWorker(id string) *tbfleet.Worker { return c.leader.flow.fleet.Worker(id) }

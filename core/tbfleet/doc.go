// Package tbfleet is a leader's view of the workers: which of them respond, which runs they report,
// when their leases expire, and which orders are unconfirmed.
//
// A worker holds one lease for all of its runs. An order may be executed late or without an answer,
// so a run is treated as possibly executing until the worker has refused its start, lists its end
// or no longer lists it after the start was fenced off or blocked, or until every lease that it may
// run under has certainly expired. Nothing here survives a change of leader: a new leader polls
// each worker whose address is recorded, with its own, higher fencing token, before it assigns new
// tasks to it.
package tbfleet

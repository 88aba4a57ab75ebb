// Package tbfleet is a leader's view of the workers: which of them respond, which runs they report,
// when their leases expire, and which orders are unconfirmed.
//
// A worker holds one lease for all of its runs. An order may be executed late or without an answer,
// so a run is treated as possibly executing until the worker has denied it or its lease has
// certainly expired. Nothing here survives a change of leader: a new leader adopts each worker with
// its own, higher fencing token before it trusts any report.
package tbfleet

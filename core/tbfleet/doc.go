// Package tbfleet is a leader's view of the workers: which of them respond, which runs they report,
// when their leases expire, and which orders are unconfirmed.
//
// A worker holds one lease for all of its runs. An order may be executed late, and its answer may
// be lost. A run is therefore treated as possibly executing until one of these is certain:
//   - The worker has refused the start or lists the end of the run.
//   - The worker no longer lists the run, and the start was fenced off or blocked.
//   - The worker has restarted or was replaced, and the start cannot be executed any more.
//   - Every lease that the run may have has expired.
//
// A start without an answer may be executed by a later incarnation even then. It is outstanding, and its task is
// bound to the place of the start until the start can have no effect (see tbflow.OutstandingStart).
//
// The view is lost with a change of leader. The new leader has a higher fencing token and polls
// each worker whose address is recorded. A worker gets new tasks only after it has answered that
// poll.
package tbfleet

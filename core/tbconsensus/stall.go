package tbconsensus

import "time"

// Durations in heartbeat intervals.
const (
	// timerCheckIntervals is the time without an event after which a replica checks its timers. It is
	// shorter than stallIntervals, so that an idle replica does not count as stalled.
	timerCheckIntervals = 2
	// stallIntervals is the time without an event above which a replica counts as stalled: its
	// process got no CPU time, was stopped, or was busy with other work.
	stallIntervals = 3
	// catchUpIntervals is the time after a stall within which the queued messages are processed.
	catchUpIntervals = 2
)

// stallDetector records stalls of the local replica. After a stall, expired timers do not show
// that other replicas failed.
type stallDetector struct {
	// lastEvent is the time of the last event, gap the time between it and the event before; gap is logged
	// with each change of role.
	lastEvent time.Time
	gap       time.Duration
	// stallEnd is when the last stall ended, zero if there was none.
	stallEnd time.Time
}

// recordEvent records that an event is processed at now and detects the end of a stall.
func (r *Replica) recordEvent(now time.Time) {
	r.stalls.gap = now.Sub(r.stalls.lastEvent)
	r.stalls.lastEvent = now
	if r.stalls.gap > stallIntervals*r.cfg.HeartbeatInterval {
		r.stalls.stallEnd = now
	}
}

// isCatchingUp reports whether messages that arrived during a stall may still be queued.
func (r *Replica) isCatchingUp(now time.Time) bool {
	return !r.stalls.stallEnd.IsZero() && now.Before(r.catchUpDeadline())
}

// catchUpDeadline is when the messages that arrived during the last stall count as processed.
func (r *Replica) catchUpDeadline() time.Time {
	return r.stalls.stallEnd.Add(catchUpIntervals * r.cfg.HeartbeatInterval)
}

// shouldDeferElection reports whether a follower processes queued messages before it campaigns
// or grants a vote, because a message from its leader may be among them. The limit of two
// election timeouts keeps a follower that stalls repeatedly from deferring forever.
func (r *Replica) shouldDeferElection(now time.Time) bool {
	return r.role == Follower && r.leaderID != 0 && r.isCatchingUp(now) && now.Sub(r.lastLeaderContact) < 2*r.cfg.ElectionTimeout
}

// shouldDeferStepDown reports whether a leader without recent replies from a quorum processes
// queued messages before it steps down.
//
// Meanwhile it has no lease, and its caller holds back orders to workers until it has one again. These
// must not be sent later than two election timeouts after the last contact with a quorum: the bound on
// the delay of orders, tbfleet.Params.MaxOrderDelay, assumes so.
func (r *Replica) shouldDeferStepDown(now time.Time) bool {
	return r.isCatchingUp(now) && r.catchUpDeadline().Sub(r.lastQuorumContact()) <= 2*r.cfg.ElectionTimeout
}

// lastQuorumContact is when the leader was elected or sent the last heartbeat that a quorum acknowledged.
func (r *Replica) lastQuorumContact() time.Time {
	if r.leaseStart.After(r.electedAt) {
		return r.leaseStart
	}
	return r.electedAt
}

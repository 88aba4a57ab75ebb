package tbconsensus

import "time"

// Durations for the detection of stalls, in heartbeat intervals.
const (
	// timerCheckIntervals is the number of heartbeat intervals without an event after which a replica
	// checks its timers. It is less than stallIntervals, so that an idle replica is not taken for a
	// stalled one.
	timerCheckIntervals = 2
	// stallIntervals is the number of heartbeat intervals without an event after which a replica is
	// regarded as stalled, for example because the process got no CPU time, was stopped, or was busy with
	// other work.
	stallIntervals = 3
	// catchUpIntervals is the number of heartbeat intervals after a stall that are allowed for processing
	// the queued messages.
	catchUpIntervals = 2
)

// stallDetector records stalls of the local replica. After a stall, expired timers do not show
// that other replicas failed.
type stallDetector struct {
	// lastEventAt is the time of the last event. lastEventGap is the time between the last two events, which
	// is logged with each change of role.
	lastEventAt  time.Time
	lastEventGap time.Duration
	// stallEndedAt is when the last stall ended. It is zero if there was none.
	stallEndedAt time.Time
}

// recordEvent records that an event is processed at now and detects the end of a stall.
func (r *Replica) recordEvent(now time.Time) {
	r.stalls.lastEventGap = now.Sub(r.stalls.lastEventAt)
	r.stalls.lastEventAt = now
	if r.stalls.lastEventGap > stallIntervals*r.cfg.HeartbeatInterval {
		r.stalls.stallEndedAt = now
	}
}

// isCatchingUp reports whether messages that arrived during a stall may still be queued.
func (r *Replica) isCatchingUp(now time.Time) bool {
	return !r.stalls.stallEndedAt.IsZero() && now.Before(r.catchUpDeadline())
}

// catchUpDeadline returns when the messages that arrived during the last stall should be processed.
func (r *Replica) catchUpDeadline() time.Time {
	return r.stalls.stallEndedAt.Add(catchUpIntervals * r.cfg.HeartbeatInterval)
}

// shouldDeferElection reports whether a follower has to process queued messages before it campaigns or
// grants a vote. A message from its leader may be among them. Without the limit of two election
// timeouts, a follower that stalls repeatedly would defer forever.
func (r *Replica) shouldDeferElection(now time.Time) bool {
	return r.role == Follower && r.leaderID != 0 && r.isCatchingUp(now) && now.Sub(r.lastLeaderContactAt) < 2*r.cfg.ElectionTimeout
}

// shouldDeferStepDown reports whether a leader without recent replies from a quorum processes queued
// messages before it steps down.
//
// Meanwhile the leader has no lease, and its caller holds back orders to workers until the leader has a
// lease again. The bound on the delay of orders, tbfleet.Params.MaxOrderDelay, assumes that the
// leader has the lease again or steps down within two election timeouts of the last contact with a quorum.
func (r *Replica) shouldDeferStepDown(now time.Time) bool {
	return r.isCatchingUp(now) && r.catchUpDeadline().Sub(r.lastQuorumContact()) <= 2*r.cfg.ElectionTimeout
}

// lastQuorumContact returns when the leader sent the last heartbeat that a quorum acknowledged, or when it
// was elected if there is no such heartbeat.
func (r *Replica) lastQuorumContact() time.Time {
	if r.leaseStartAt.After(r.electedAt) {
		return r.leaseStartAt
	}
	return r.electedAt
}

package tbconsensus

import "time"

// Durations for the detection of stalls, in heartbeat intervals.
const (
	// timerCheckIntervals is the time without an event after which a replica checks its timers. It is
	// shorter than stallIntervals, so that an idle replica is not taken for a stalled one.
	timerCheckIntervals = 2
	// stallIntervals is the time without an event after which a replica is regarded as stalled. The
	// process got no CPU time, was stopped, or was busy with other work.
	stallIntervals = 3
	// catchUpIntervals is the time after a stall that is allowed for processing the queued messages.
	catchUpIntervals = 2
)

// stallDetector records stalls of the local replica. After a stall, expired timers do not show
// that other replicas failed.
type stallDetector struct {
	// lastEvent is the time of the last event. gap is the time between the last two events. It is logged
	// with each change of role.
	lastEvent time.Time
	gap       time.Duration
	// stallEnd is when the last stall ended. It is zero if there was none.
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

// catchUpDeadline returns when the messages that arrived during the last stall should be processed.
func (r *Replica) catchUpDeadline() time.Time {
	return r.stalls.stallEnd.Add(catchUpIntervals * r.cfg.HeartbeatInterval)
}

// shouldDeferElection reports whether a follower has to process queued messages before it campaigns or
// grants a vote. A message from its leader may be among them. Without the limit of two election
// timeouts, a follower that stalls repeatedly would defer forever.
func (r *Replica) shouldDeferElection(now time.Time) bool {
	return r.role == Follower && r.leaderID != 0 && r.isCatchingUp(now) && now.Sub(r.lastLeaderContact) < 2*r.cfg.ElectionTimeout
}

// shouldDeferStepDown reports whether a leader without recent replies from a quorum processes queued
// messages before it steps down.
//
// Meanwhile the leader has no lease, and its caller holds back orders to workers until the leader has a
// lease again. The bound on the delay of orders, tbfleet.Params.MaxOrderDelay, assumes that this takes
// at most two election timeouts from the last contact with a quorum.
func (r *Replica) shouldDeferStepDown(now time.Time) bool {
	return r.isCatchingUp(now) && r.catchUpDeadline().Sub(r.lastQuorumContact()) <= 2*r.cfg.ElectionTimeout
}

// lastQuorumContact returns when the leader sent the last heartbeat that a quorum acknowledged, or when it
// was elected if there is no such heartbeat.
func (r *Replica) lastQuorumContact() time.Time {
	if r.leaseStart.After(r.electedAt) {
		return r.leaseStart
	}
	return r.electedAt
}

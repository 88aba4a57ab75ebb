package tbconsensus

import "time"

// Lengths in heartbeat intervals.
const (
	// lookBeats is how long a replica goes without an event before it looks at its timers.
	lookBeats = 2
	// heldUpBeats is the time without an event from which on a replica was held up: its
	// process got no processor, was suspended, or had other work.
	heldUpBeats = 3
	// catchUpBeats is how long messages that wait may take to be handled after that.
	catchUpBeats = 2
)

// holdUps notes when a replica was held up: its timers then prove nothing about others.
type holdUps struct {
	// ranAt is the time of the last event, absence the time without one before it.
	ranAt   time.Time
	absence time.Duration
	// endedAt is when the last hold-up ended.
	endedAt time.Time
}

// runs notes that the replica handles an event at now.
func (r *Replica) runs(now time.Time) {
	r.held.absence = now.Sub(r.held.ranAt)
	r.held.ranAt = now
	if r.held.absence > heldUpBeats*r.cfg.HeartbeatInterval {
		r.held.endedAt = now
	}
}

// catchesUp reports whether messages may wait that arrived while the replica was held up.
func (r *Replica) catchesUp(now time.Time) bool {
	return !r.held.endedAt.IsZero() && now.Before(r.caughtUpAt())
}

// caughtUpAt is when the messages that waited are taken to be handled.
func (r *Replica) caughtUpAt() time.Time {
	return r.held.endedAt.Add(catchUpBeats * r.cfg.HeartbeatInterval)
}

// waitsForLeader reports whether a follower whose leader seems silent reads on before it
// campaigns, or helps another one to. One that is held up again and again does not wait for ever.
func (r *Replica) waitsForLeader(now time.Time) bool {
	return r.role == Follower && r.leader != 0 && r.catchesUp(now) && now.Sub(r.heardLeader) < 2*r.cfg.ElectionTimeout
}

// waitsForQuorum reports whether a leader whose quorum seems silent reads on before it steps down.
//
// It is not confirmed meanwhile and answers nothing. What it holds back must not go out later
// than two election timeouts after it was confirmed, as long as the delay of orders allows for.
func (r *Replica) waitsForQuorum(now time.Time) bool {
	return r.catchesUp(now) && r.caughtUpAt().Sub(r.ruledAt()) <= 2*r.cfg.ElectionTimeout
}

// ruledAt is when the leader was elected or sent the last heartbeat that a quorum answered.
func (r *Replica) ruledAt() time.Time {
	if r.confirmedAt.After(r.electedAt) {
		return r.confirmedAt
	}
	return r.electedAt
}

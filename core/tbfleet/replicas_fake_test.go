package tbfleet_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// replicaCount is the number of replicas, one of which leads.
const replicaCount = 3

// appliedCommand is a committed command that a replica applies at a time.
type appliedCommand struct {
	proposal
	clockOffset time.Duration
	at          time.Time
}

// fakeReplica is a replica that applies the committed commands. It applies them only when it takes over, but with the
// times at which it would have done so.
type fakeReplica struct {
	state     *tbflow.State
	times     *tbfleet.OutstandingTimes
	unapplied []appliedCommand
	// lastAt is the time of the last command.
	lastAt time.Time
}

// fakeReplicas are all replicas. The rng is their own, so that they change nothing else in a schedule.
type fakeReplicas struct {
	rng  *rand.Rand
	all  []*fakeReplica
	lead *fakeReplica
}

func newFakeReplicas(seed uint64, now time.Time) *fakeReplicas {
	rs := &fakeReplicas{rng: rand.New(rand.NewPCG(seed, 4))}
	for range replicaCount {
		s := tbflow.New()
		rs.all = append(rs.all, &fakeReplica{state: s, times: tbfleet.NewOutstandingTimes(now, s)})
	}
	return rs
}

// commit gives a command to the replicas. The leader applies it now, or not before the next takeover if hasLeader is
// false. The others may apply it right after it was proposed, or seconds later.
func (rs *fakeReplicas) commit(now time.Time, p proposal, clockOffset time.Duration, hasLeader bool) {
	for _, r := range rs.all {
		at := now
		if r != rs.lead || !hasLeader {
			at = p.proposedAt.Add(rs.applyDelay())
		}
		r.lastAt = later(r.lastAt, at)
		r.unapplied = append(r.unapplied, appliedCommand{proposal: p, clockOffset: clockOffset, at: r.lastAt})
	}
}

// applyDelay returns the time from the proposal of a command until a replica applies it. Some replicas are suspended.
func (rs *fakeReplicas) applyDelay() time.Duration {
	longest := 20 * time.Millisecond
	switch rs.rng.IntN(20) {
	case 0:
		longest = 8 * time.Second
	case 1, 2:
		longest = time.Second
	}
	return time.Duration(rs.rng.Int64N(int64(longest)))
}

// elect returns the replica that leads next. A quarter of them have restarted in the last seconds. The earlier leader
// may lead again, with a restart if it has crashed, unless it is paused.
func (rs *fakeReplicas) elect(now time.Time, old *leader) *fakeReplica {
	r := rs.all[rs.rng.IntN(replicaCount)]
	for old != nil && r == rs.lead && now.Before(old.pausedUntil) {
		r = rs.all[rs.rng.IntN(replicaCount)]
	}
	restarts := rs.rng.IntN(4) == 0 || old != nil && r == rs.lead && old.stopped
	restartedAt := now.Add(-time.Duration(rs.rng.Int64N(int64(2 * time.Second))))
	for _, c := range r.unapplied {
		at := earlier(c.at, now)
		if restarts && at.After(restartedAt) {
			r.restart(restartedAt)
			restarts = false
		}
		r.apply(at, c)
	}
	if restarts {
		r.restart(restartedAt)
	}
	r.unapplied, r.lastAt = nil, now
	rs.lead = r
	return r
}

// restart lets the replica read its state from a snapshot.
func (r *fakeReplica) restart(at time.Time) { r.times = tbfleet.NewOutstandingTimes(at, r.state) }

func (r *fakeReplica) apply(at time.Time, c appliedCommand) {
	r.state.Apply(c.proposedAt.Add(c.clockOffset).UnixMilli(), c.command)
	r.times.HandleApplied(at, r.state, c.command)
	r.times.RemoveExpired(r.state)
}

// checkReplica checks that a replica has the same outstanding starts as the others, and no times of other starts.
func (sim *simulation) checkReplica(r *fakeReplica) {
	if !maps.EqualFunc(r.state.Outstanding, sim.state.Outstanding, slices.Equal) {
		sim.failf("a replica has the outstanding starts %v, and not %v", r.state.Outstanding, sim.state.Outstanding)
	}
	if n := r.times.TaskCount(); n != len(sim.state.Outstanding) {
		sim.failf("a replica has the times of %d tasks with outstanding starts, and there are %d", n, len(sim.state.Outstanding))
	}
	if n := r.times.SilentCount(); n != len(sim.state.Silent) {
		sim.failf("a replica has the times of %d silent workers, and there are %d", n, len(sim.state.Silent))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

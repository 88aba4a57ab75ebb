package tbfleet_test

import (
	"time"

	"tamarackbarrow/core/tbflow"
)

// election is the silence of a leader after which another one may take over.
const election = 600 * time.Millisecond

// between draws a time.
func (w *world) between(from, to time.Duration) time.Duration {
	return from + time.Duration(w.rng.Int64N(int64(to-from)))
}

// lasts notes when a fault is over.
func (w *world) lasts(d time.Duration) {
	if until := w.now.Add(d); until.After(w.lastFault) {
		w.lastFault = until
	}
}

// fault lets one thing go wrong.
func (w *world) fault() {
	switch w.rng.IntN(11) {
	case 0:
		w.crashLeader()
	case 1:
		w.freezeLeader(w.between(300*time.Millisecond, 6*time.Second))
	case 2:
		w.loseQuorum(w.between(200*time.Millisecond, 4*time.Second))
	case 3, 4:
		w.cutWorker(w.someAddress(), w.between(500*time.Millisecond, 10*time.Second))
	case 5:
		w.crashWorker(w.someAddress())
	case 6:
		w.drain(w.someAddress())
	case 7:
		w.cancel(w.jobs[w.rng.IntN(len(w.jobs))])
	case 8:
		w.stormUntil = w.now.Add(w.between(2*time.Second, 8*time.Second))
		w.note("orders are carried out late")
	case 9:
		w.disturbRun()
	case 10:
		w.restartWorker(w.someAddress())
	}
	if w.rng.Float64() < 0.05 {
		w.strikeTogether()
	}
}

// strikeTogether changes the leader while orders are carried out late, and cuts workers off
// afterwards; where only the new leader does not reach them, the one that thaws does.
func (w *world) strikeTogether() {
	w.stormUntil = w.now.Add(6 * time.Second)
	w.freezeLeader(w.between(time.Second, 5*time.Second))
	w.after(w.between(time.Second, 4*time.Second), func() {
		c := cut{orders: true, answers: true}
		if w.rng.IntN(2) == 0 {
			c.term = w.leader.term
		}
		for _, a := range w.addresses {
			if w.rng.IntN(2) == 0 {
				w.cutAt(a, w.between(7*time.Second, 20*time.Second), c)
			}
		}
	})
	w.lasts(25 * time.Second)
}

func (w *world) someAddress() string { return w.addresses[w.rng.IntN(len(w.addresses))] }

func (w *world) crashLeader() {
	if w.leader.gone {
		return
	}
	w.note("leader of term %d crashes", w.leader.term)
	w.leader.gone = true
	w.elect(w.between(200*time.Millisecond, 2*time.Second))
	w.lasts(2 * time.Second)
}

// freezeLeader lets the leader stand still; after a long while another one leads.
func (w *world) freezeLeader(d time.Duration) {
	w.note("leader of term %d freezes for %v", w.leader.term, d)
	w.leader.frozenUntil = w.now.Add(d)
	w.replaceWithin(d)
}

// loseQuorum keeps the leader from its quorum; after a long while another one leads.
func (w *world) loseQuorum(d time.Duration) {
	w.note("leader of term %d loses its quorum for %v", w.leader.term, d)
	w.leader.unsureFrom = w.now.Add(w.between(0, election))
	w.leader.quorumAt = w.now.Add(d)
	w.replaceWithin(d)
}

// replaceWithin elects another leader in most silences of length d that are long enough.
func (w *world) replaceWithin(d time.Duration) {
	w.lasts(d + 2*time.Second)
	if d > election && w.rng.IntN(4) > 0 {
		w.elect(w.between(election, max(min(d, 3*election), election+step)))
	}
}

// cutWorker cuts a worker off from all leaders or the present one, both ways or one way.
func (w *world) cutWorker(address string, d time.Duration) {
	c := cut{orders: true, answers: true}
	switch w.rng.IntN(6) {
	case 0:
		c.orders = false
	case 1:
		c.answers = false
	case 2:
		c.term = w.leader.term
	}
	w.cutAt(address, d, c)
}

func (w *world) cutAt(address string, d time.Duration, c cut) {
	c.until = w.now.Add(d)
	w.note("%s is cut off for %v: %+v", address, d, c)
	w.cuts[address] = c
	w.lasts(d)
}

// crashWorker ends a life without a word.
func (w *world) crashWorker(address string) {
	fw := w.hosts[address]
	if fw == nil {
		return
	}
	w.note("%s/%d crashes", fw.id, fw.born)
	w.end(fw)
	w.comeBack(fw, w.between(100*time.Millisecond, 6*time.Second))
}

func (w *world) end(fw *fakeWorker) {
	fw.crash()
	delete(w.hosts, fw.address)
}

// restartWorker lets a worker start again under its id within moments, at times twice, while
// orders to it are under way.
func (w *world) restartWorker(address string) {
	fw := w.hosts[address]
	if fw == nil {
		return
	}
	w.note("%s/%d restarts", fw.id, fw.born)
	w.end(fw)
	after := w.between(step, 400*time.Millisecond)
	w.lasts(after)
	w.after(after, func() {
		w.join(fw.id, fw.address)
		if w.rng.IntN(4) == 0 {
			w.after(w.between(step, 2*time.Second), func() { w.restartWorker(fw.address) })
			w.lasts(3 * time.Second)
		}
	})
}

// comeBack starts the next life: under the same id or another one, at the same address or another one.
func (w *world) comeBack(fw *fakeWorker, after time.Duration) {
	w.lasts(after)
	id, address := fw.id, fw.address
	switch w.rng.IntN(4) {
	case 0:
		id = w.newID()
	case 1:
		if w.rng.IntN(3) == 0 {
			address = w.newAddress()
		}
	}
	w.after(after, func() {
		w.join(id, address)
	})
}

// Times of a worker that leaves.
const (
	drainsFor = 2 * time.Second
	// leavesAnyway is when it ends without an acknowledgement.
	leavesAnyway = 6 * time.Second
)

// drain lets a worker say that it leaves.
func (w *world) drain(address string) {
	fw := w.hosts[address]
	if fw == nil || fw.draining {
		return
	}
	w.note("%s/%d drains", fw.id, fw.born)
	fw.draining = true
	w.report(fw)
	w.lasts(leavesAnyway)
	w.after(leavesAnyway, func() {
		if fw.drainingAcked.IsZero() {
			w.leave(fw)
		}
	})
}

// drainingAcked tells a worker that the leader keeps new tasks away from it.
func (w *world) drainingAcked(c tbflow.NoteDraining) {
	w.each(func(fw *fakeWorker) {
		if fw.id == c.Worker && fw.born == c.Born && fw.drainingAcked.IsZero() {
			fw.drainingAcked = w.now
			left := drainsFor + w.between(0, 4*time.Second)
			w.lasts(left)
			w.after(left, func() { w.leave(fw) })
		}
	})
}

// leave lets a life that drained sign off and end, at once or a little later; its last word may
// be lost, late, or come twice.
func (w *world) leave(fw *fakeWorker) {
	if w.hosts[fw.address] != fw || fw.leaving {
		return
	}
	w.note("%s/%d signs off", fw.id, fw.born)
	fw.leaving = true
	for range 1 + w.rng.IntN(2) {
		delay := w.trip(slowAnswer)
		switch {
		case w.faults && w.rng.Float64() < lateShare:
			delay = w.between(0, latestReport)
		case w.cutFrom(fw.address, w.leader).answers, w.faults && w.rng.Float64() < lostShare:
			continue
		}
		w.after(delay, func() {
			if w.confirmed(w.leader) {
				w.note("leader hears that %s signs off", fw.id)
				w.leader.fleet.Left(w.now, fw.id)
			}
		})
	}
	var runsOn time.Duration
	if w.rng.IntN(3) == 0 {
		runsOn = w.between(0, 3*time.Second)
	}
	w.lasts(runsOn)
	w.after(runsOn, func() {
		if w.hosts[fw.address] == fw {
			w.note("%s/%d ends", fw.id, fw.born)
			w.end(fw)
			w.comeBack(fw, w.between(time.Second, 6*time.Second))
		}
	})
}

// disturbRun stops a run so that it moves, or gives it up as one that stands still.
func (w *world) disturbRun() {
	if !w.confirmed(w.leader) {
		return
	}
	for _, v := range w.leader.fleet.Workers() {
		for _, ref := range sortedRuns(v) {
			if w.rng.IntN(4) > 0 {
				continue
			}
			if w.rng.IntN(2) == 0 {
				w.leader.fleet.Stop(w.now, v.ID, ref)
			} else {
				w.leader.fleet.GiveUp(w.now, v.ID, ref)
			}
			return
		}
	}
}

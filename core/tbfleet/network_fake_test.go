package tbfleet_test

import (
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// cut is what the network does not carry between a worker and the leaders until a time.
type cut struct {
	until time.Time
	// orders and answers are the two ways; reports take that of the answers.
	orders  bool
	answers bool
	// term is the leader that is cut off from the worker, or 0 for all.
	term uint64
}

// cutFrom returns what is cut now between a leader and the worker at an address.
func (w *world) cutFrom(address string, l *leader) cut {
	c := w.cuts[address]
	if !w.now.Before(c.until) || c.term != 0 && l != nil && c.term != l.term {
		return cut{}
	}
	return c
}

const (
	// lostShare and lateShare are the parts of the orders whose answer is lost, and that are
	// carried out late without an answer; the latter rises to stormShare for a while.
	lostShare  = 0.08
	lateShare  = 0.06
	stormShare = 0.5
	// notSentShare is the part of orders into a cut for which not even a connection is made.
	notSentShare = 0.3
	// slowShare is the part of answers that take up to slowAnswer.
	slowShare  = 0.1
	slowAnswer = 500 * time.Millisecond
)

// send delivers an order, perhaps late, and perhaps loses the answer.
func (w *world) send(l *leader, c tbfleet.Call) {
	target, wait, timeout := callTarget(c)
	sent := w.now
	delay := w.trip(0)
	late := w.faults && w.rng.Float64() < w.late()
	lost := late || w.faults && w.rng.Float64() < lostShare
	if late {
		delay = 2*time.Second + time.Duration(w.rng.Int64N(int64(longestLag-2*time.Second)))
	} else if w.cutFrom(target.Address, l).orders {
		verdict := tbfleet.Unanswered
		if w.rng.Float64() < notSentShare {
			verdict = tbfleet.Refused
		}
		w.after(timeout, func() { w.answer(l, sent, c, refusal(c, verdict)) })
		return
	}
	unanswered := func() { w.answer(l, sent, c, refusal(c, tbfleet.Unanswered)) }
	if lost {
		w.after(timeout, unanswered)
	}
	var lifeAtSending int64
	if fw := w.hosts[target.Address]; fw != nil {
		lifeAtSending = fw.born
	}
	w.after(delay, func() {
		fw := w.hosts[target.Address]
		a := w.deliver(fw, c, lifeAtSending)
		if lost {
			return
		}
		var pause time.Duration
		if _, ok := c.(tbfleet.Look); ok && wait > 0 {
			pause = time.Duration(w.rng.Int64N(int64(wait)))
		}
		w.after(pause, func() {
			if w.hosts[target.Address] != fw {
				w.after(sent.Add(timeout).Sub(w.now), unanswered)
				return
			}
			if list, ok := a.(tbfleet.LookAnswered); ok && list.Verdict == tbfleet.Accepted {
				a = fw.list(w.now, list)
			}
			// From here on the answer is on its way, also when the life that gave it ends.
			w.after(w.trip(slowAnswer), func() {
				if w.cutFrom(target.Address, l).answers || w.now.Sub(sent) >= timeout {
					w.after(sent.Add(timeout).Sub(w.now), unanswered)
					return
				}
				w.answer(l, sent, c, a)
			})
		})
	})
}

// late is the part of orders that are carried out late at present.
func (w *world) late() float64 {
	if w.now.Before(w.stormUntil) {
		return stormShare
	}
	return lateShare
}

// trip is the time of one way, which now and then is longer while there are faults.
func (w *world) trip(slow time.Duration) time.Duration {
	if w.faults && slow > 0 && w.rng.Float64() < slowShare {
		return time.Duration(w.rng.Int64N(int64(slow)))
	}
	return time.Duration(1+w.rng.IntN(5)) * time.Millisecond
}

func callTarget(c tbfleet.Call) (t tbfleet.Target, wait, timeout time.Duration) {
	switch c := c.(type) {
	case tbfleet.Start:
		return c.Target, 0, c.Timeout
	case tbfleet.Stop:
		return c.Target, 0, c.Timeout
	case tbfleet.Look:
		return c.Target, c.Wait, c.Timeout
	}
	panic("unknown call")
}

// refusal is the answer to an order that no worker has carried out so far.
func refusal(c tbfleet.Call, v tbfleet.Verdict) any {
	switch c := c.(type) {
	case tbfleet.Start:
		return tbfleet.StartAnswered{Worker: c.Target.ID, Born: c.Target.Born, Ref: c.Ref, Run: c.Run, Verdict: v}
	case tbfleet.Stop:
		return tbfleet.StopAnswered{Worker: c.Target.ID, Born: c.Target.Born, Ref: c.Ref, Run: c.Run, Verdict: v}
	case tbfleet.Look:
		return tbfleet.LookAnswered{Worker: c.Target.ID, Born: c.Target.Born, Seen: c.Seen, Verdict: v}
	}
	panic("unknown call")
}

// deliver lets the present life at the order's address carry it out.
func (w *world) deliver(fw *fakeWorker, c tbfleet.Call, lifeAtSending int64) any {
	target, _, _ := callTarget(c)
	switch {
	case fw == nil:
		return refusal(c, tbfleet.Refused)
	case fw.id != target.ID:
		return refusal(c, tbfleet.OtherLife)
	}
	fw.advance(w.now)
	switch c := c.(type) {
	case tbfleet.Start:
		if t := w.state.Jobs[c.Ref.Job].Task(c.Ref); fw.born != lifeAtSending && !fw.looked && (t.Phase != tbflow.TaskAssigned || t.Run != c.Run) {
			// The life that was meant had blocked the run, so that it is settled. No leader can
			// keep the next life, which it does not know of yet, from carrying it out
			// (docs/design/platform.md, open points).
			return refusal(c, tbfleet.Unanswered)
		}
		a := fw.begin(w.now, c, w.newRun(c.Ref))
		w.note("start %v run %d at %s/%d token %x: %v", c.Ref, c.Run, fw.id, fw.born, c.Target.Token, a.Verdict)
		return a
	case tbfleet.Stop:
		w.note("stop %v run %d at %s/%d token %x", c.Ref, c.Run, fw.id, fw.born, c.Target.Token)
		return fw.stopRun(w.now, c)
	case tbfleet.Look:
		fw.looked = fw.looked || c.Target.Born == fw.born
		a := fw.look(w.now, c)
		w.note("look at %s/%d token %x seen %d lease %d to %d: %v", fw.id, fw.born, c.Target.Token, c.Seen, c.LeaseEndMs-fw.clock(w.now), fw.leaseEnd-fw.clock(w.now), a.Verdict)
		return a
	}
	panic("unknown call")
}

// newRun draws how long a run takes and how it ends.
func (w *world) newRun(ref tbflow.TaskRef) fakeRun {
	r := fakeRun{fails: w.faults && w.rng.Float64() < failShare}
	switch step := w.state.StepOf(ref); {
	case !step.Lasting:
		r.doneAt = w.now.Add(time.Duration(200+w.rng.IntN(3000)) * time.Millisecond)
	case r.fails:
		r.doneAt = w.now.Add(time.Duration(1000+w.rng.IntN(8000)) * time.Millisecond)
	default:
		r.doneAt = w.now.Add(time.Hour)
	}
	return r
}

// answer brings an answer, or its absence, to the leader that asked; a frozen one takes it once it thaws.
func (w *world) answer(l *leader, sent time.Time, c tbfleet.Call, answer any) {
	if l.gone {
		return
	}
	if w.now.Before(l.frozenUntil) {
		w.after(l.frozenUntil.Sub(w.now), func() { w.answer(l, sent, c, answer) })
		return
	}
	switch a := answer.(type) {
	case tbfleet.StartAnswered:
		l.fleet.StartAnswered(w.now, a)
	case tbfleet.StopAnswered:
		l.fleet.StopAnswered(w.now, a)
	case tbfleet.LookAnswered:
		a.SentAt = sent
		l.fleet.LookAnswered(w.now, a)
	}
}

// report lets a worker say of itself what it is; some reports come late, also after their sender's end.
func (w *world) report(fw *fakeWorker) {
	if fw.leaving {
		return
	}
	fw.sequence++
	r := tbfleet.Report{
		ID: fw.id, Address: fw.address, Born: fw.born, Class: "c", ClockMs: fw.clock(w.now),
		Sequence: fw.sequence, Draining: fw.draining,
	}
	delay := w.trip(0)
	switch {
	case w.faults && w.rng.Float64() < lateShare:
		delay = time.Duration(w.rng.Int64N(int64(latestReport)))
	case w.cutFrom(fw.address, w.leader).answers, w.faults && w.rng.Float64() < lostShare:
		return
	}
	w.after(delay, func() { w.heard(r) })
}

// latestReport is how late a report may arrive.
const latestReport = 8 * time.Second

// heard lets the leader take a report and record what is new in it.
func (w *world) heard(r tbfleet.Report) {
	if !w.confirmed(w.leader) {
		return
	}
	known := w.state.Workers[r.ID]
	unrecorded := r.Draining && (known == nil || known.Born < r.Born || known.Born == r.Born && !known.Draining)
	if w.leader.fleet.Heard(w.now, r) && (known == nil || known.Born < r.Born || known.Address != r.Address) {
		w.propose(tbflow.NoteWorker{Worker: r.ID, Born: r.Born, Address: r.Address, Class: r.Class})
	}
	if unrecorded {
		w.propose(tbflow.NoteDraining{Worker: r.ID, Born: r.Born})
	}
}

package tbassign

import "tamarackbarrow/core/tbflow"

// place assigns as many tasks of a step as fit, but at most limit. A gang is assigned completely
// or not at all.
func (p *referenceState) place(w waitingStep, limit int) []tbflow.Assignment {
	if w.step.Gang {
		return p.placeGang(w, limit)
	}
	var plan []tbflow.Assignment
	noneFits := false
	for _, ref := range w.taskRefs {
		if len(plan) >= limit {
			break
		}
		t := w.job.Task(ref)
		r, reserved := p.claimReservation(w, ref, t)
		if reserved && r == nil {
			continue
		}
		if r == nil && !noneFits {
			r = p.choose(w, t)
		}
		if r == nil {
			// The tasks of a step differ only in the worker that they avoid. If this task avoids
			// none, the search for a worker would fail for the other tasks too.
			noneFits = noneFits || t.LastFailedOn == ""
			if r = p.chooseAvoided(w, t); r != nil {
				p.closeAvoided(r)
			}
		}
		if r == nil {
			if noneFits && len(p.avoidedFor(w)) == 0 {
				break
			}
			continue
		}
		p.takeSlots(r, w, 1)
		r.allocate(w)
		plan = append(plan, tbflow.Assignment{Ref: ref, Run: t.Run + 1, Worker: r.worker.ID, Incarnation: r.worker.Incarnation})
	}
	return plan
}

// claimReservation returns the worker on which capacity is reserved for a task that is being
// moved, and releases the reservation (see planState.claimReservation).
func (p *referenceState) claimReservation(w waitingStep, ref tbflow.TaskRef, t *tbflow.Task) (*referenceWorker, bool) {
	r := p.workersByID[p.rebalancer.reservedWorker(p.now, p.state, ref)]
	if r == nil {
		return nil, false
	}
	r.applyReservation(p.state, ref, -1)
	switch {
	case !w.step.Need.Fits(r.free):
		r.applyReservation(p.state, ref, 1)
		return nil, true
	case !p.canPlace(r, w, t, len(p.workersByClass[w.job.WorkerClass])):
		return nil, false
	}
	return r, true
}

// placeGang assigns all tasks of a gang, or none. All of them get the same run number.
func (p *referenceState) placeGang(w waitingStep, limit int) []tbflow.Assignment {
	tasks := w.job.Tasks[w.occurrence][w.stepIndex]
	if len(w.taskRefs) < len(tasks) || len(w.taskRefs) > limit {
		return nil
	}
	run := uint64(0)
	for i := range tasks {
		run = max(run, tasks[i].Run)
	}
	w.startsInRoom = !p.keepsRoom(w)
	plan := p.placeMembers(w, run+1, false)
	if plan == nil && len(p.avoidedFor(w)) > 0 {
		w.startsInRoom = true
		plan = p.placeMembers(w, run+1, true)
	}
	return plan
}

func (p *referenceState) placeMembers(w waitingStep, run uint64, mayUseAvoided bool) []tbflow.Assignment {
	var plan []tbflow.Assignment
	var assigned []*referenceWorker
	for _, ref := range w.taskRefs {
		r := p.choose(w, w.job.Task(ref))
		if r == nil && mayUseAvoided {
			r = p.chooseAvoided(w, w.job.Task(ref))
		}
		if r == nil {
			for _, r := range assigned {
				r.release(w)
				p.takeSlots(r, w, -1)
			}
			return nil
		}
		p.takeSlots(r, w, 1)
		r.allocate(w)
		assigned = append(assigned, r)
		plan = append(plan, tbflow.Assignment{Ref: ref, Run: run, Worker: r.worker.ID, Incarnation: r.worker.Incarnation})
	}
	for _, r := range assigned {
		p.closeAvoided(r)
	}
	return plan
}

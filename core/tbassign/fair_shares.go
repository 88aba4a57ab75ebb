package tbassign

import (
	"slices"

	"tamarackbarrow/core/tbflow"
)

// The callers of one data centre send several times as many jobs of a queue as those of the others, and there is room
// for only some of them. In the order of latest start times, each data centre would be served in proportion to what it
// sends, so that the callers of the others pay for the crowd. While a queue is short of room, its data centres therefore
// take turns: the one whose tasks hold the fewest processors goes first. A data centre that asks for less than its share
// gets all that it asks for, and the others share the rest. Within a data centre, the order stays as it was.

// shareKey identifies what the callers of a data centre have in a queue.
type shareKey struct {
	queue      tbflow.QueueKey
	dataCentre string
}

// dataCentreOf returns the data centre whose share a job takes from.
func (l *Learner) dataCentreOf(j *tbflow.Job) string {
	if !l.Features.FairShares {
		return ""
	}
	return j.CallerDataCentre
}

// orderByShares lets the data centres of each queue that is short of room take turns. Steps of different ranks, and of
// different queues of a rank, keep their places among each other.
func (p *planState) orderByShares(steps []*waitingStep) {
	if !p.learner.Features.FairShares || len(p.learner.shortOfRoom) == 0 {
		return
	}
	held := p.heldByShare()
	for first := 0; first < len(steps); {
		end := first + 1
		for end < len(steps) && rank(steps[end]) == rank(steps[first]) {
			end++
		}
		for queue := range p.learner.shortOfRoom {
			takeTurns(steps[first:end], queue, held)
		}
		first = end
	}
}

// heldByShare returns the processors of the assigned tasks, apart from long-running ones, by queue and data centre.
func (p *planState) heldByShare() map[shareKey]float64 {
	held := map[shareKey]float64{}
	for _, j := range p.state.Active() {
		if !p.learner.shortOfRoom[j.Queue] {
			continue
		}
		key := shareKey{j.Queue, j.CallerDataCentre}
		for k := range j.Tasks {
			for i := range j.Steps {
				if step := &j.Steps[i]; !step.LongRunning {
					held[key] += float64(j.AssignedTasks(k, i)) * float64(step.Need.MilliProcessors) / 1000
				}
			}
		}
	}
	return held
}

// takeTurns orders the steps of one queue among the places that they have in steps. held is what each data centre has;
// what the steps ask for is added to it, so that steps of a later rank follow on.
func takeTurns(steps []*waitingStep, queue tbflow.QueueKey, held map[shareKey]float64) {
	var places []int
	byDataCentre := map[string][]*waitingStep{}
	var dataCentres []string
	for i, w := range steps {
		if w.job.Queue != queue || w.step.LongRunning {
			continue
		}
		places = append(places, i)
		dc := w.job.CallerDataCentre
		if byDataCentre[dc] == nil {
			dataCentres = append(dataCentres, dc)
		}
		byDataCentre[dc] = append(byDataCentre[dc], w)
	}
	slices.Sort(dataCentres)
	for _, place := range places {
		next := shareKey{queue: queue}
		found := false
		for _, dc := range dataCentres {
			if key := (shareKey{queue, dc}); len(byDataCentre[dc]) > 0 && (!found || held[key] < held[next]) {
				next, found = key, true
			}
		}
		w := byDataCentre[next.dataCentre][0]
		byDataCentre[next.dataCentre] = byDataCentre[next.dataCentre][1:]
		held[next] += float64(w.job.WaitingTasks(w.occurrence, w.stepIndex)) * float64(w.step.Need.MilliProcessors) / 1000
		steps[place] = w
	}
}

// noteShortQueues records the queues whose useful work a full plan has left waiting for room.
func (p *planState) noteShortQueues(steps []*waitingStep, placed map[stepRef]int) {
	clear(p.learner.shortOfRoom)
	for _, w := range steps {
		if !w.step.LongRunning && w.lateness != tooLate && placed[w.stepRef()] < w.job.WaitingTasks(w.occurrence, w.stepIndex) &&
			workerRoom(p.room).canRun(w.job.WorkerClass, w.step, p.consideredShare) {
			p.learner.shortOfRoom[w.job.Queue] = true
		}
	}
}

package tbnode_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tamarackbarrow/core/tbentry"
	"tamarackbarrow/core/tbnode"
	"tamarackbarrow/core/tbresource"
	"tamarackbarrow/core/tbstate"
)

// fakeWorker executes each task until the task finishes, is told to stop, or its lease ends by the
// worker's clock.
type fakeWorker struct {
	sim             *simulator
	id              string
	incarnation     uint64
	startedAt       time.Time
	taskByJob       map[string]*fakeTask
	reportByKey     map[string]tbentry.TaskReport
	highestRunByJob map[string]uint64
	isUnreachable   bool
}

type fakeTask struct {
	run        uint64
	leaseEnd   time.Duration
	finishesAt time.Time
	isStopping bool
}

var workerCapacity = tbresource.Amount{MilliProcessors: 8000, MemoryMB: 1000}

func newFakeWorker(sim *simulator, id string) *fakeWorker {
	f := &fakeWorker{sim: sim, id: id}
	f.restart()
	sim.schedule(sim.randomDelay(), f.sendAnnouncement)
	sim.schedule(sim.randomDelay(), f.endDueTasks)
	return f
}

// restart starts a new incarnation, which loses all tasks and reports.
func (f *fakeWorker) restart() {
	for job := range f.taskByJob {
		delete(f.sim.workerByJob, job)
	}
	f.incarnation++
	f.startedAt = f.sim.now
	f.taskByJob, f.reportByKey, f.highestRunByJob = map[string]*fakeTask{}, map[string]tbentry.TaskReport{}, map[string]uint64{}
}

func (f *fakeWorker) clockReading() time.Duration { return f.sim.now.Sub(f.startedAt) }

// sendAnnouncement sends an announcement with the worker's reports to a random node. It also schedules the
// next announcement.
func (f *fakeWorker) sendAnnouncement() {
	f.sim.schedule(300*time.Millisecond, f.sendAnnouncement)
	n := f.sim.nodes[f.sim.rng.IntN(nodeCount)]
	if f.isUnreachable || !n.isUp || n.isIsolated || f.sim.dropsMessage() {
		return
	}
	request := tbentry.WorkerAnnounced{
		Worker: tbstate.Worker{
			ID: f.id, Incarnation: f.incarnation, Address: f.id, DataCentre: "north", Capacity: workerCapacity, Phase: tbstate.WorkerPresent,
		},
		ClockMs: uint64(f.clockReading().Milliseconds()),
	}
	for _, key := range slices.Sorted(maps.Keys(f.reportByKey)) {
		request.Reports = append(request.Reports, f.reportByKey[key])
	}
	incarnation := f.incarnation
	n.request(func(id uint64) tbnode.Event {
		request.Request = id
		return tbnode.Event{Entry: request}
	}, func(answer any) {
		orders := answer.(tbentry.AnswerWorker).Orders
		f.sim.schedule(f.sim.randomDelay(), func() {
			if f.incarnation == incarnation && !f.sim.dropsMessage() {
				f.applyOrders(orders)
			}
		})
	})
}

func reportKey(job string, run uint64) string { return fmt.Sprintf("%s/%d", job, run) }

func (f *fakeWorker) applyOrders(o tbentry.Orders) {
	if o.Incarnation != f.incarnation || f.isUnreachable {
		return
	}
	for _, ack := range o.Acknowledged {
		key := reportKey(ack.Job, ack.Run)
		report, hasReport := f.reportByKey[key]
		if hasReport && report.Phase == tbstate.TaskFinished && ack.Accepted {
			f.publishResult(ack.Job)
		}
		delete(f.reportByKey, key)
	}
	leaseEnd := time.Duration(o.LeaseStartMs)*time.Millisecond + o.Lease
	if f.clockReading() >= leaseEnd {
		return
	}
	for _, order := range o.Tasks {
		f.applyTask(order, leaseEnd)
	}
}

func (f *fakeWorker) publishResult(job string) {
	f.sim.publishedCountByJob[job]++
	if f.sim.publishedCountByJob[job] > 1 {
		f.sim.fail("job %s published %d results", job, f.sim.publishedCountByJob[job])
	}
}

func (f *fakeWorker) applyTask(order tbentry.TaskOrder, leaseEnd time.Duration) {
	job, run := order.Task.ID, order.Task.Run
	t := f.taskByJob[job]
	switch {
	case t != nil && t.run == run:
		t.leaseEnd = max(t.leaseEnd, leaseEnd)
		t.isStopping = t.isStopping || order.Stop
	case t != nil || f.highestRunByJob[job] >= run:
	case order.Stop:
		f.highestRunByJob[job] = run
		f.reportEnd(job, run, tbstate.TaskStopped)
	default:
		f.startTask(job, run, leaseEnd)
	}
}

func (f *fakeWorker) startTask(job string, run uint64, leaseEnd time.Duration) {
	if worker := f.sim.workerByJob[job]; worker != "" {
		f.sim.fail("job %s started on %s while it runs on %s", job, f.id, worker)
	}
	if f.sim.publishedCountByJob[job] > 0 {
		f.sim.fail("job %s started after its result was published", job)
	}
	f.sim.workerByJob[job] = f.id
	f.highestRunByJob[job] = run
	f.taskByJob[job] = &fakeTask{run: run, leaseEnd: leaseEnd, finishesAt: f.sim.now.Add(time.Duration(f.sim.rng.Int64N(int64(2 * time.Second))))}
	// A job of kind "plan" uses 4 processors.
	if usedMilliProcessors := int64(len(f.taskByJob)) * 4000; usedMilliProcessors > workerCapacity.MilliProcessors {
		f.sim.fail("worker %s uses %d of %d milli-processors", f.id, usedMilliProcessors, workerCapacity.MilliProcessors)
	}
}

func (f *fakeWorker) reportEnd(job string, run uint64, phase tbstate.TaskPhase) {
	report := tbentry.TaskReport{Job: job, Run: run, Phase: phase}
	if phase == tbstate.TaskStopped {
		report.Checkpoint = "checkpoint"
	}
	f.reportByKey[reportKey(job, run)] = report
}

// endDueTasks ends the tasks that have finished, were told to stop, or have no valid lease.
func (f *fakeWorker) endDueTasks() {
	f.sim.schedule(20*time.Millisecond, f.endDueTasks)
	for _, job := range slices.Sorted(maps.Keys(f.taskByJob)) {
		t := f.taskByJob[job]
		phase := tbstate.TaskRunning
		switch {
		case f.clockReading() >= t.leaseEnd || t.isStopping:
			phase = tbstate.TaskStopped
		case !f.sim.now.Before(t.finishesAt):
			phase = tbstate.TaskFinished
		}
		if phase != tbstate.TaskRunning {
			delete(f.taskByJob, job)
			delete(f.sim.workerByJob, job)
			f.reportEnd(job, t.run, phase)
		}
	}
}

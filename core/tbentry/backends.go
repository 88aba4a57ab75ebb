package tbentry

import (
	"maps"
	"slices"
	"time"

	"tamarackbarrow/core/tbstate"
)

// reportKey names one report of a worker.
type reportKey struct {
	worker string
	job    string
	epoch  uint64
}

// reportState is how far a report has come.
type reportState struct {
	recorded bool
	accepted bool
	at       time.Time
}

// workerClock relates a worker's clock to this entry's.
type workerClock struct {
	incarnation uint64
	address     string
	clockMs     uint64
	at          time.Time
}

// backendCare is what the entry remembers of backend servers that announce here.
type backendCare struct {
	heardRunners map[string]bool
	heardWorkers map[string]bool
	// sentRunners and sentWorkers are in the sync under way.
	sentRunners []string
	sentWorkers []string
	// announcedAt is when a change of a backend server was last proposed.
	announcedAt map[string]time.Time
	reports     map[reportKey]reportState
	clocks      map[string]workerClock
}

// Times of the care for backend servers.
const (
	announceAgain   = 500 * time.Millisecond
	announceWithin  = 2 * time.Second
	reportWithin    = 5 * time.Second
	reportKept      = 30 * time.Second
	clockUsableFor  = 2 * time.Second
	runnerKeyPrefix = "runner/"
	workerKeyPrefix = "worker/"
)

func newBackendCare() backendCare {
	return backendCare{
		heardRunners: map[string]bool{}, heardWorkers: map[string]bool{},
		announcedAt: map[string]time.Time{}, reports: map[reportKey]reportState{},
		clocks: map[string]workerClock{},
	}
}

// heardSince returns the backend servers heard and not yet told to the leader.
func (b *backendCare) heardSince() (runners, workers []string) {
	b.sentRunners = slices.Sorted(maps.Keys(b.heardRunners))
	b.sentWorkers = slices.Sorted(maps.Keys(b.heardWorkers))
	clear(b.heardRunners)
	clear(b.heardWorkers)
	return b.sentRunners, b.sentWorkers
}

// heardLost puts the ids of a failed sync back, so that the next one tells them.
func (b *backendCare) heardLost() {
	for _, id := range b.sentRunners {
		b.heardRunners[id] = true
	}
	for _, id := range b.sentWorkers {
		b.heardWorkers[id] = true
	}
}

func (b *backendCare) noteReported(key reportKey, o tbstate.Outcome, now time.Time) {
	b.reports[key] = reportState{recorded: true, accepted: o.Reason == tbstate.OK, at: now}
}

func (b *backendCare) dropReport(key reportKey) { delete(b.reports, key) }

func (e *Entry) onRunnerAnnounced(now time.Time, ev RunnerAnnounced) {
	if !e.lease.Valid(now) {
		e.count("refused", NoLease)
		e.emit(AnswerRunner{Request: ev.Request, Reason: NoLease})
		return
	}
	r := ev.Runner
	known, ok := e.view.runners[r.ID]
	if ok && r.Incarnation < known.Incarnation {
		e.emit(AnswerRunner{Request: ev.Request, Reason: StaleIncarnation})
		return
	}
	e.care.heardRunners[r.ID] = true
	if r.Phase == tbstate.RunnerLeaving {
		e.stopUsing(r)
	}
	changed := !ok || r.Incarnation > known.Incarnation ||
		r.Phase != known.Phase && known.Phase != tbstate.RunnerLeaving
	if changed && e.announceDue(runnerKeyPrefix+r.ID, now) {
		e.proposeAnnounce(now, tbstate.AnnounceRunner{Runner: r})
	}
	e.emit(AnswerRunner{Request: ev.Request})
}

// stopUsing keeps new work from a leaving runner before the other entries hear of it.
func (e *Entry) stopUsing(r tbstate.Runner) {
	if known := e.poolFor(r.Service).Get(r.ID); known != nil && known.Incarnation == r.Incarnation {
		known.Available = false
	}
}

func (e *Entry) announceDue(key string, now time.Time) bool {
	if at, ok := e.care.announcedAt[key]; ok && now.Sub(at) < announceAgain {
		return false
	}
	e.care.announcedAt[key] = now
	return true
}

func (e *Entry) proposeAnnounce(now time.Time, command tbstate.Command) {
	e.propose(proposalItem{
		kind: announceItem, until: now.Add(announceWithin), commands: []tbstate.Command{command},
	})
}

func (e *Entry) onWorkerAnnounced(now time.Time, ev WorkerAnnounced) {
	if !e.lease.Valid(now) {
		e.count("refused", NoLease)
		e.emit(AnswerWorker{Request: ev.Request, Reason: NoLease})
		return
	}
	w := ev.Worker
	known, ok := e.view.workers[w.ID]
	if ok && w.Incarnation < known.Incarnation {
		e.emit(AnswerWorker{Request: ev.Request, Reason: StaleIncarnation})
		return
	}
	e.care.heardWorkers[w.ID] = true
	e.care.clocks[w.ID] = workerClock{incarnation: w.Incarnation, address: w.Address, clockMs: ev.ClockMs, at: now}
	changed := !ok || w.Incarnation > known.Incarnation ||
		w.Phase != known.Phase && known.Phase != tbstate.WorkerDraining
	if changed && e.announceDue(workerKeyPrefix+w.ID, now) {
		e.proposeAnnounce(now, tbstate.AnnounceWorker{Worker: w})
	}
	orders := e.orders(w.ID)
	orders.Acknowledged = e.takeReports(now, w.ID, ev.Reports)
	e.emit(AnswerWorker{Request: ev.Request, Orders: orders})
}

// takeReports proposes ended tasks and returns those that are already recorded.
//
// Only the replicated state knows whether a report counts: this entry's view may
// be older than the start that the report is about.
func (e *Entry) takeReports(now time.Time, worker string, reports []TaskReport) []TaskAck {
	var acks []TaskAck
	for _, report := range reports {
		if report.Phase == tbstate.TaskRunning {
			continue
		}
		key := reportKey{worker: worker, job: report.Job, epoch: report.Epoch}
		state, known := e.care.reports[key]
		switch {
		case known && state.recorded:
			acks = append(acks, TaskAck{Job: report.Job, Epoch: report.Epoch, Accepted: state.accepted})
		case !known:
			e.care.reports[key] = reportState{at: now}
			e.propose(proposalItem{
				kind: reportItem, report: key, until: now.Add(reportWithin),
				commands: []tbstate.Command{tbstate.ReportTask{
					Job: report.Job, Worker: worker, Epoch: report.Epoch,
					Phase: report.Phase, Checkpoint: report.Checkpoint, RanMs: report.RanMs,
				}},
			})
		}
	}
	return acks
}

func (e *Entry) forgetReports(now time.Time) {
	for key, state := range e.care.reports {
		if state.recorded && now.Sub(state.at) > reportKept {
			delete(e.care.reports, key)
		}
	}
}

// orders lists what a worker has to run, under a lease from its last announcement.
func (e *Entry) orders(worker string) Orders {
	clock := e.care.clocks[worker]
	o := Orders{Incarnation: clock.incarnation, LeaseBaseMs: clock.clockMs, Lease: e.cfg.TaskLease.HolderLength()}
	w, ok := e.view.workers[worker]
	if !ok || w.Incarnation != clock.incarnation || w.Phase == tbstate.WorkerFenced || w.Phase == tbstate.WorkerGone {
		return o
	}
	for _, id := range slices.Sorted(maps.Keys(e.view.byWorker[worker])) {
		j := e.view.tasks[id]
		if j.WorkerIncarnation == w.Incarnation {
			order := TaskOrder{Task: j, Stop: j.Phase == tbstate.JobStopping}
			if e.view.throttled[id] {
				order.ThrottlePercent = throttlePercent
			}
			o.Tasks = append(o.Tasks, order)
		}
	}
	return o
}

// throttlePercent is the share of its processors that a throttled task may use.
const throttlePercent = 50

// pushOrders tells a worker that announced here lately, ahead of its next announcement.
func (e *Entry) pushOrders(now time.Time, worker string) {
	clock, ok := e.care.clocks[worker]
	if !ok || now.Sub(clock.at) > clockUsableFor || !e.lease.Valid(now) {
		return
	}
	e.emit(PushOrders{Worker: worker, Address: clock.address, Orders: e.orders(worker)})
}

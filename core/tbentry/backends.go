package tbentry

import (
	"maps"
	"slices"
	"time"

	"tamarackbarrow/core/tbstate"
)

// reportKey identifies the report of a worker on the end of one run.
type reportKey struct {
	worker string
	job    string
	run    uint64
}

// reportState is the state of proposing a report to the control group.
type reportState struct {
	// decided is true once the control group has accepted or refused the report.
	decided  bool
	accepted bool
	// changedAt is when the report was proposed or, if decided is true, when it was decided.
	changedAt time.Time
}

// workerClock holds the incarnation, address and clock reading from a worker's last announcement.
// The entry received the announcement at the time in field at.
type workerClock struct {
	incarnation uint64
	address     string
	clockMs     uint64
	at          time.Time
}

// backendTracker keeps the state of the backend servers that announce themselves to this entry.
type backendTracker struct {
	heardRunners map[string]bool
	heardWorkers map[string]bool
	// sentRunners and sentWorkers are the ids in the sync that is not yet answered.
	sentRunners []string
	sentWorkers []string
	// proposedAt maps the key prefix and id of a backend server to the time at which a change of that
	// server was last proposed.
	proposedAt map[string]time.Time
	reports    map[reportKey]reportState
	clocks     map[string]workerClock
}

// Limits for announcements and reports, and the prefixes of the keys in proposedAt.
const (
	// announceProposalInterval is the shortest time between two proposals to change the same backend
	// server.
	announceProposalInterval = 500 * time.Millisecond
	// announceTimeout is how long the entry tries to get one announcement committed.
	announceTimeout = 2 * time.Second
	// reportTimeout is how long the entry tries to get one report committed.
	reportTimeout = 5 * time.Second
	// reportRetention is how long the entry stores the decision on a report, to acknowledge the report
	// if the worker resends it.
	reportRetention = 30 * time.Second
	// maxClockAge is the age of a worker's last announcement up to which orders are pushed to the
	// worker.
	maxClockAge     = 2 * time.Second
	runnerKeyPrefix = "runner/"
	workerKeyPrefix = "worker/"
)

func newBackendTracker() backendTracker {
	return backendTracker{
		heardRunners: map[string]bool{}, heardWorkers: map[string]bool{},
		proposedAt: map[string]time.Time{}, reports: map[reportKey]reportState{},
		clocks: map[string]workerClock{},
	}
}

// takeHeard returns and clears the ids of the backend servers that have announced themselves since
// the last sync.
func (b *backendTracker) takeHeard() (runners, workers []string) {
	b.sentRunners = slices.Sorted(maps.Keys(b.heardRunners))
	b.sentWorkers = slices.Sorted(maps.Keys(b.heardWorkers))
	clear(b.heardRunners)
	clear(b.heardWorkers)
	return b.sentRunners, b.sentWorkers
}

// restoreHeard adds the ids in a failed sync to the heard ones again, so that the next sync reports
// them.
func (b *backendTracker) restoreHeard() {
	for _, id := range b.sentRunners {
		b.heardRunners[id] = true
	}
	for _, id := range b.sentWorkers {
		b.heardWorkers[id] = true
	}
}

func (b *backendTracker) markDecided(key reportKey, o tbstate.Outcome, now time.Time) {
	b.reports[key] = reportState{decided: true, accepted: o.Reason == tbstate.OK, changedAt: now}
}

func (b *backendTracker) removeReport(key reportKey) { delete(b.reports, key) }

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
	e.backends.heardRunners[r.ID] = true
	if r.Phase == tbstate.RunnerDraining {
		e.markUnavailable(r)
	}
	changed := !ok || r.Incarnation > known.Incarnation ||
		r.Phase != known.Phase && known.Phase != tbstate.RunnerDraining
	if changed && e.allowAnnounce(runnerKeyPrefix+r.ID, now) {
		e.proposeAnnounce(now, tbstate.AnnounceRunner{Runner: r})
	}
	e.emit(AnswerRunner{Request: ev.Request})
}

// markUnavailable stops new attempts on a draining runner without waiting until the change of the
// runner's phase is committed.
func (e *Entry) markUnavailable(r tbstate.Runner) {
	if pooled := e.poolFor(r.Service).Get(r.ID); pooled != nil && pooled.Incarnation == r.Incarnation {
		pooled.Available = false
	}
}

// allowAnnounce reports whether a change of a backend server may be proposed now. It allows one
// proposal per announceProposalInterval for each server.
func (e *Entry) allowAnnounce(key string, now time.Time) bool {
	if last, ok := e.backends.proposedAt[key]; ok && now.Sub(last) < announceProposalInterval {
		return false
	}
	e.backends.proposedAt[key] = now
	return true
}

func (e *Entry) proposeAnnounce(now time.Time, command tbstate.Command) {
	e.propose(proposalItem{
		kind: announceItem, deadline: now.Add(announceTimeout), commands: []tbstate.Command{command},
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
	e.backends.heardWorkers[w.ID] = true
	e.backends.clocks[w.ID] = workerClock{incarnation: w.Incarnation, address: w.Address, clockMs: ev.ClockMs, at: now}
	changed := !ok || w.Incarnation > known.Incarnation ||
		w.Phase != known.Phase && known.Phase != tbstate.WorkerDraining
	if changed && e.allowAnnounce(workerKeyPrefix+w.ID, now) {
		e.proposeAnnounce(now, tbstate.AnnounceWorker{Worker: w})
	}
	orders := e.ordersFor(w.ID)
	orders.Acknowledged = e.processReports(now, w.ID, ev.Reports)
	e.emit(AnswerWorker{Request: ev.Request, Orders: orders})
}

// processReports proposes to record the runs that ended and acknowledges the reports already decided.
//
// This entry's view may be older than the start of the reported run. Therefore only the replicated
// state decides whether a report is accepted.
func (e *Entry) processReports(now time.Time, worker string, reports []TaskReport) []TaskAck {
	var acks []TaskAck
	for _, report := range reports {
		if report.Phase == tbstate.TaskRunning {
			continue
		}
		key := reportKey{worker: worker, job: report.Job, run: report.Run}
		state, known := e.backends.reports[key]
		switch {
		case known && state.decided:
			acks = append(acks, TaskAck{Job: report.Job, Run: report.Run, Accepted: state.accepted})
		case !known:
			e.backends.reports[key] = reportState{changedAt: now}
			e.propose(proposalItem{
				kind: reportItem, report: key, deadline: now.Add(reportTimeout),
				commands: []tbstate.Command{tbstate.ReportTask{
					Job: report.Job, Worker: worker, Run: report.Run,
					Phase: report.Phase, Checkpoint: report.Checkpoint, RanMs: report.RanMs,
				}},
			})
		}
	}
	return acks
}

func (e *Entry) removeOldReports(now time.Time) {
	for key, state := range e.backends.reports {
		if state.decided && now.Sub(state.changedAt) > reportRetention {
			delete(e.backends.reports, key)
		}
	}
}

// ordersFor lists the tasks that a worker has to run or to stop. The lease of the orders starts at the
// worker's last announcement.
func (e *Entry) ordersFor(worker string) Orders {
	clock := e.backends.clocks[worker]
	o := Orders{Incarnation: clock.incarnation, LeaseStartMs: clock.clockMs, Lease: e.cfg.TaskLease.HolderDuration()}
	w, ok := e.view.workers[worker]
	if !ok || w.Incarnation != clock.incarnation || w.Phase == tbstate.WorkerFenced || w.Phase == tbstate.WorkerGone {
		return o
	}
	for _, id := range slices.Sorted(maps.Keys(e.view.tasksByWorker[worker])) {
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

// throttlePercent is the percentage of its processors that a throttled task may use.
const throttlePercent = 50

// pushOrders sends orders to a worker without waiting for the worker's next announcement. It does
// nothing if the worker has not announced itself to this entry within maxClockAge.
func (e *Entry) pushOrders(now time.Time, worker string) {
	clock, ok := e.backends.clocks[worker]
	if !ok || now.Sub(clock.at) > maxClockAge || !e.lease.Valid(now) {
		return
	}
	e.emit(PushOrders{Worker: worker, Address: clock.address, Orders: e.ordersFor(worker)})
}

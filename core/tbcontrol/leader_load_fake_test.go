package tbcontrol_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbassign"
	"tamarackbarrow/core/tbbundle"
	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbnode"
	"tamarackbarrow/core/tbplacement"
	"tamarackbarrow/core/tbresource"
	"tamarackbarrow/io/tbbundlefile"
	"tamarackbarrow/io/tbcodec"
)

// loadSimulation plays load to a control group whose replicas have processors of a limited speed.
//
// Time is simulated. Each replica has one processor, which handles events one after another as the event
// loop of a daemon does. An event takes a fixed time for its kind and effects, times slowdown. Events that
// arrive meanwhile wait.
type loadSimulation struct {
	t          testing.TB
	rng        *rand.Rand
	now        time.Time
	timers     timerHeap
	timerCount uint64
	replicas   []*loadReplica
	workers    []*loadWorker
	byID       map[string]*loadWorker
	// slowdown is the factor by which the processors are slower than one that follows loadCosts.
	slowdown float64
	// lostAnswers is the share of starts that are executed although their answers get lost.
	lostAnswers float64
	// disconnectedUntil is the time until which no connection to a worker is established, so that no order is sent.
	disconnectedUntil time.Time
	// workerDelay is the time that an order takes to a worker, and that its answer takes back. slowWorkers holds the
	// same time for workers that differ.
	workerDelay time.Duration
	slowWorkers map[string]time.Duration
	runTimes    map[string]time.Duration
	lastRequest uint64
	jobs        []*loadJob
	// callersBackOff is true if callers without an answer ask again after a second and then after twice as long each time,
	// as the users' contract says, and not every 400 ms.
	callersBackOff bool
	// fillWaits holds the times from when best-effort tasks could start until they were assigned.
	fillWaits []time.Duration
	// assignedRuns holds the descriptions of the best-effort runs that were assigned, up to the worker.
	assignedRuns map[string]bool
	// restartWaits holds the times between two runs of long-running tasks. stoppedTasks holds the ends of the tasks
	// that do not run again yet.
	restartWaits []time.Duration
	stoppedTasks map[tbflow.TaskRef]time.Time
	// observe executes the events of the replicas, if it is set.
	observe loadObserver
}

// loadObserver executes events and observes what they do.
type loadObserver interface {
	// step executes an event of a replica and returns the effects.
	step(r *loadReplica, now time.Time, ev tbcontrol.Event) []tbcontrol.Effect
}

// loadCosts holds the times that a replica's processor takes, at a slowdown of 1, with the messages and log
// lines that belong to an event. A run of a task takes a leader about 0.25 ms in all.
var loadCosts = struct{ event, submit, order, poll, assignment, end, plan, waitingStep, message time.Duration }{
	event: 15 * time.Microsecond, submit: 300 * time.Microsecond, order: 20 * time.Microsecond, poll: 30 * time.Microsecond,
	assignment: 20 * time.Microsecond, end: 15 * time.Microsecond, plan: 1800 * time.Microsecond, waitingStep: 4 * time.Microsecond,
	message: 25 * time.Microsecond,
}

// Times on the way between replicas and of their disks, and the wait of polls.
const (
	replicaDelay = time.Millisecond
	diskSyncTime = 4 * time.Millisecond
	loadPollWait = time.Second
)

type timer struct {
	at  time.Time
	seq uint64
	do  func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func (s *loadSimulation) at(t time.Time, do func()) {
	s.timerCount++
	heap.Push(&s.timers, timer{at: t, seq: s.timerCount, do: do})
}

// loadReplica is a replica with its processor and disk.
type loadReplica struct {
	id      tbconsensus.ReplicaID
	control *tbcontrol.Control
	stopped bool
	// firstInbox holds the events that are handled before those of inbox.
	firstInbox []queuedLoadEvent
	inbox      []queuedLoadEvent
	// freeAt is when the processor has handled its current event. inPass is true between the first event of a
	// pass of the event loop and the end of the pass, and passEvents counts the events of the pass.
	freeAt     time.Time
	inPass     bool
	passEvents int
	// ticks says when the replica is ticked, and ticked is true once it was in this pass.
	ticks  tbnode.TickSchedule
	ticked bool
	// unsaved holds the saves that wait for the disk, which is busy while a sync is in progress.
	unsaved []tbcontrol.Save
	syncing bool
	answers map[uint64]tbcontrol.AnswerLeaderRequest
	load    tbassign.Load
}

type queuedLoadEvent struct {
	event tbcontrol.Event
	at    time.Time
}

// loadWorker is a worker that executes the leader's orders.
type loadWorker struct {
	id          string
	incarnation int64
	sequence    uint64
	silentUntil time.Time
	draining    bool
	// startTime is the time from the arrival of a start until the worker answers it.
	startTime time.Duration
	running   map[tbflow.TaskRef]loadRun
	ended     []tbfleet.ListedEnd
	ackedEnds uint64
	poll      *loadPoll
	token     uint64
	// leaseEndMs is the end of the lease. watchesLease is true while a timer ends the runs then.
	leaseEndMs   int64
	watchesLease bool
}

// loadRun is a run on a worker. endsAt is zero for a long-running task.
type loadRun struct {
	number    uint64
	startedAt time.Time
	endsAt    time.Time
}

// progress returns the progress of a run in percent.
func (r loadRun) progress(now time.Time) int {
	if r.endsAt.IsZero() {
		return 100
	}
	return int(100 * now.Sub(r.startedAt) / r.endsAt.Sub(r.startedAt))
}

// loadPoll is a poll that a worker holds open.
type loadPoll struct {
	from   *loadReplica
	order  tbfleet.Poll
	term   uint64
	sentAt time.Time
}

// loadJob is a submitted job.
type loadJob struct {
	id          string
	queue       string
	job         tbflow.Job
	submittedAt time.Time
	objective   time.Duration
	// unanswered is the number of times that the caller has got no answer.
	unanswered int
}

// Queues of the simulated load.
const (
	shortQueue    = "short"
	fillQueue     = "fill"
	longRunsQueue = "watch"
)

var loadWorkerCapacity = tbresource.Amount{MilliProcessors: 32_000, MemoryMB: 125_000}

func newLoadSimulation(t testing.TB, seed uint64, workers int, slowdown float64) *loadSimulation {
	return newScheduledSimulation(t, seed, workers, slowdown, tbassign.Features{})
}

// newScheduledSimulation returns a simulation whose replicas make the given optional decisions.
func newScheduledSimulation(t testing.TB, seed uint64, workers int, slowdown float64, features tbassign.Features) *loadSimulation {
	s := &loadSimulation{
		assignedRuns: map[string]bool{}, stoppedTasks: map[tbflow.TaskRef]time.Time{},
		t: t, rng: rand.New(rand.NewPCG(seed, 40)), now: time.UnixMilli(1_700_000_000_000), byID: map[string]*loadWorker{}, slowdown: slowdown, workerDelay: 4 * time.Millisecond,
		runTimes: map[string]time.Duration{shortQueue: 540 * time.Millisecond, fillQueue: 2300 * time.Millisecond},
	}
	var members []tbconsensus.Member
	for i := range 3 {
		members = append(members, tbconsensus.Member{ID: tbconsensus.ReplicaID(i + 1), Address: fmt.Sprintf("a%d", i+1)})
	}
	for _, m := range members {
		control, err := tbcontrol.New(tbcontrol.Config{
			Consensus: tbconsensus.Config{
				ID: m.ID, ElectionTimeout: 900 * time.Millisecond, HeartbeatInterval: 150 * time.Millisecond, ClockRateBound: 0.02,
				MaxBatchBytes: 64 << 10, MaxInFlightBytes: 256 << 10, ChunkBytes: 256 << 10, Seed: uint64(m.ID),
			},
			SnapshotEvery: 1 << 40, MaxInFlight: 2, MaxBatchCommands: 512, MaxBatchBytes: 512 << 10, MaxWaiting: 20_000, MaxApplied: 64,
			Scheduling: features,
			Placement:  tbplacement.DefaultConfig(), PlacementInterval: 50 * time.Millisecond, GrantInterval: 250 * time.Millisecond,
			Fleet: tbfleet.Params{
				Lease: 6 * time.Second, MaxLease: 6 * time.Second, MaxOrderDelay: 12 * time.Second, MaxDeliveryDelay: 12 * time.Second, ClockRateBound: 0.02,
				PollWait: loadPollWait, OrderTimeout: 400 * time.Millisecond, SilenceTimeout: 3 * time.Second, PollRetryDelay: 250 * time.Millisecond,
			},
		}, tbcodec.New(func(source []byte) (tbbundle.Bundle, error) { return tbbundlefile.Parse("bundle", source) }),
			tbconsensus.PersistedState{Initial: tbconsensus.Membership{Members: members}}, s.now)
		qt.Assert(t, err, qt.IsNil)
		s.replicas = append(s.replicas, &loadReplica{id: m.ID, control: control, freeAt: s.now, answers: map[uint64]tbcontrol.AnswerLeaderRequest{}})
	}
	for i := range workers {
		w := &loadWorker{id: fmt.Sprintf("w%04d", i), incarnation: s.now.UnixMilli(), running: map[tbflow.TaskRef]loadRun{}}
		s.workers = append(s.workers, w)
		s.byID[w.id] = w
	}
	s.run(3 * time.Second)
	s.request(tbcontrol.ConfigPutRequested{Config: tbflow.Config{
		Version: 1, Source: []byte("source"), Classes: []tbflow.WorkerClass{{Name: "c", EnforcesCapacity: true}},
		Queues: []tbflow.Queue{
			newLoadQueue(shortQueue, 0, 250*time.Millisecond), newLoadQueue(longRunsQueue, 0, 2500*time.Millisecond), newLoadQueue(fillQueue, 2, time.Second),
		},
	}})
	s.sendReports()
	s.run(2 * time.Second)
	return s
}

func newLoadQueue(name string, priority int, target time.Duration) tbflow.Queue {
	return tbflow.Queue{
		Name: name, Key: tbflow.QueueKey{Host: "h", Prefix: "/" + name + "/"}, WorkerClass: "c", MaxFailures: 4, Slack: 2, Target: target, Priority: priority,
	}
}

// sendReports sends the reports of all workers to the leader, now and once a second.
func (s *loadSimulation) sendReports() {
	const batchSize = 100
	interval := time.Second * batchSize / time.Duration(len(s.workers))
	for i := 0; i < len(s.workers); i += batchSize {
		batch := s.workers[i:min(i+batchSize, len(s.workers))]
		s.at(s.now.Add(time.Duration(i/batchSize)*interval), func() { s.report(batch) })
	}
}

func (s *loadSimulation) report(batch []*loadWorker) {
	var reports []tbfleet.Report
	for _, w := range batch {
		if s.now.Before(w.silentUntil) {
			continue
		}
		w.sequence++
		reports = append(reports, tbfleet.Report{
			ID: w.id, Address: w.id, Incarnation: w.incarnation, Class: "c", ClockMs: s.clockMs(), Sequence: w.sequence, Capacity: loadWorkerCapacity, Draining: w.draining,
		})
	}
	s.request(tbcontrol.WorkersReported{Reports: reports})
	s.at(s.now.Add(time.Second), func() { s.report(batch) })
}

func (s *loadSimulation) clockMs() int64 { return s.now.UnixMilli() - 1_699_999_000_000 }

func (s *loadSimulation) leader() *loadReplica {
	for _, r := range s.replicas {
		if !r.stopped && r.control.IsConfirmedLeader(s.now) {
			return r
		}
	}
	return nil
}

// request queues a request at the leader, if there is one, and returns its number and the leader.
func (s *loadSimulation) request(q tbcontrol.LeaderRequest) (uint64, *loadReplica) {
	s.lastRequest++
	r := s.leader()
	if r != nil {
		s.deliver(r, tbcontrol.LeaderRequestArrived{Request: s.lastRequest, LeaderRequest: q})
	}
	return s.lastRequest, r
}

func (s *loadSimulation) deliver(r *loadReplica, ev tbcontrol.Event) {
	if tbcontrol.GoesFirst(ev) {
		r.firstInbox = append(r.firstInbox, queuedLoadEvent{event: ev, at: s.now})
		return
	}
	r.inbox = append(r.inbox, queuedLoadEvent{event: ev, at: s.now})
}

// run advances the simulated time by d.
func (s *loadSimulation) run(d time.Duration) {
	for end := s.now.Add(d); ; {
		at, next := end, (*loadReplica)(nil)
		for _, r := range s.replicas {
			if t := s.nextStepAt(r); !r.stopped && t.Before(at) {
				at, next = t, r
			}
		}
		if len(s.timers) > 0 && !s.timers[0].at.After(at) {
			tm := heap.Pop(&s.timers).(timer)
			s.now = latest(s.now, tm.at)
			tm.do()
			continue
		}
		s.now = latest(s.now, at)
		if next == nil {
			return
		}
		s.stepReplica(next)
	}
}

// nextStepAt returns when the processor of a replica handles its next event.
func (s *loadSimulation) nextStepAt(r *loadReplica) time.Time {
	if r.inPass || len(r.firstInbox)+len(r.inbox) > 0 {
		return latest(r.freeAt, s.now)
	}
	return latest(r.freeAt, r.ticks.Due())
}

// maxPassEvents is the largest number of events in one pass of the event loop.
const maxPassEvents = 512

// stepReplica handles one event, a due timer or the end of a pass.
func (s *loadSimulation) stepReplica(r *loadReplica) {
	var ev tbcontrol.Event
	switch {
	case len(r.firstInbox)+len(r.inbox) > 0 && r.passEvents < maxPassEvents && !r.ticked && (!r.inPass || !r.ticks.IsDue(s.now)):
		inbox := &r.inbox
		if len(r.firstInbox) > 0 {
			inbox = &r.firstInbox
		}
		r.load.Events++
		r.load.AgeSum += s.now.Sub((*inbox)[0].at)
		ev, *inbox, r.inPass = (*inbox)[0].event, (*inbox)[1:], true
		r.passEvents++
	case !r.ticked && (!r.inPass || r.ticks.IsDue(s.now)):
		ev, r.inPass, r.ticked = tbcontrol.Tick{}, true, true
	default:
		ev, r.inPass, r.passEvents = tbcontrol.EventBatchEnded{Load: r.load}, false, 0
		r.load = tbassign.Load{}
	}
	appliedBefore := r.control.State().Applied
	var effects []tbcontrol.Effect
	if s.observe != nil {
		effects = s.observe.step(r, s.now, ev)
	} else {
		effects = r.control.Step(s.now, ev)
	}
	cost := s.costOf(r, ev, effects, r.control.State().Applied-appliedBefore)
	r.freeAt = s.now.Add(cost)
	if !r.inPass {
		r.ticks.EndPass(r.freeAt, r.control.NextDue(), r.ticked)
		r.ticked = false
	}
	for _, e := range effects {
		if plan, ok := e.(tbcontrol.PlanMade); ok && plan.IsFull {
			r.load.PlanTime = cost
		}
		s.perform(r, e)
	}
}

// costOf returns the time that a processor takes for an event and its effects.
func (s *loadSimulation) costOf(r *loadReplica, ev tbcontrol.Event, effects []tbcontrol.Effect, applied uint64) time.Duration {
	cost := loadCosts.event
	switch ev := ev.(type) {
	case tbcontrol.PollAnswered:
		cost += loadCosts.poll
	case tbcontrol.MessagesArrived:
		cost += time.Duration(len(ev.Messages)) * loadCosts.message
	case tbcontrol.LeaderRequestArrived:
		switch q := ev.LeaderRequest.(type) {
		case tbcontrol.WorkersReported:
			cost += time.Duration(len(q.Reports)) * loadCosts.event
		case tbcontrol.SubmitRequested:
			cost += loadCosts.submit
		}
	}
	for _, e := range effects {
		switch e := e.(type) {
		case tbcontrol.SendOrder:
			cost += loadCosts.order
		case tbcontrol.SendMessages:
			cost += time.Duration(len(e.Messages)) * loadCosts.message
		case tbcontrol.Save:
			cost += time.Duration(len(e.Entries)) * loadCosts.message
		case tbcontrol.Log:
			switch e.Message {
			case "run assigned":
				cost += time.Duration(len(e.Runs)) * loadCosts.assignment
			case "run ended":
				cost += time.Duration(len(e.Runs)) * loadCosts.end
			}
		case tbcontrol.PlanMade:
			cost += loadCosts.plan + time.Duration(e.WaitingSteps)*loadCosts.waitingStep
		}
	}
	return time.Duration(float64(cost) * s.slowdown)
}

func (s *loadSimulation) perform(r *loadReplica, e tbcontrol.Effect) {
	done := r.freeAt
	switch e := e.(type) {
	case tbcontrol.SendMessages:
		s.sendMessages(done, e.Messages)
	case tbcontrol.Save:
		r.unsaved = append(r.unsaved, e)
		if !r.syncing {
			s.sync(r, done)
		}
	case tbcontrol.AnswerLeaderRequest:
		r.answers[e.Request] = e
	case tbcontrol.Log:
		if e.Message == "run assigned" && strings.HasPrefix(e.Args[1].(string), fillQueue) {
			for _, run := range e.Runs {
				s.fillWaits = append(s.fillWaits, s.fillWaitOf(run))
			}
		}
	case tbcontrol.SendOrder:
		s.at(done.Add(s.delayOf(targetOf(e.Order).ID)), func() { s.execute(r, e) })
	}
}

// fillWaitOf returns the wait in the description of an assigned run. A run that is assigned again after an unanswered
// start could not start before its worker answered.
func (s *loadSimulation) fillWaitOf(text string) time.Duration {
	wait := waitIn(text)
	run, _, _ := strings.Cut(text, " waitedMs=")
	if !s.assignedRuns[run] {
		s.assignedRuns[run] = true
		return wait
	}
	_, id, _ := strings.Cut(run, " worker=")
	return min(wait, max(0, s.now.Sub(s.byID[id].silentUntil)))
}

// waitIn returns the wait in the description of an assigned run.
func waitIn(run string) time.Duration {
	_, rest, _ := strings.Cut(run, " waitedMs=")
	text, _, _ := strings.Cut(rest, " ")
	ms, _ := strconv.Atoi(text)
	return time.Duration(ms) * time.Millisecond
}

// sync saves all waiting saves with one sync of the disk.
func (s *loadSimulation) sync(r *loadReplica, start time.Time) {
	r.syncing = true
	s.at(start.Add(diskSyncTime), func() {
		saves := r.unsaved
		r.unsaved, r.syncing = nil, false
		for _, save := range saves {
			s.sendMessages(s.now, save.Messages)
			if n := len(save.Entries); n > 0 {
				last := save.Entries[n-1]
				s.deliver(r, tbcontrol.EntriesPersisted{Term: last.Term, Index: last.Index})
			}
		}
		if len(r.unsaved) > 0 {
			s.sync(r, s.now)
		}
	})
}

func (s *loadSimulation) sendMessages(sentAt time.Time, messages []tbconsensus.Message) {
	for _, m := range messages {
		to := s.replicas[m.To-1]
		s.at(sentAt.Add(replicaDelay), func() {
			if !to.stopped {
				s.deliver(to, tbcontrol.MessagesArrived{Messages: []tbconsensus.Message{m}})
			}
		})
	}
}

// execute lets a worker execute an order.
func (s *loadSimulation) execute(r *loadReplica, e tbcontrol.SendOrder) {
	if s.now.Before(s.disconnectedUntil) {
		s.refuseUnsent(r, e)
		return
	}
	switch o := e.Order.(type) {
	case tbfleet.Start:
		w := s.byID[o.Target.ID]
		a := tbfleet.StartAnswered{Worker: w.id, Incarnation: w.incarnation, Ref: o.Ref, Run: o.Run}
		if s.now.Before(w.silentUntil) {
			s.answerAfter(o.Timeout, r, tbcontrol.StartAnswered{Term: e.Term, Answer: a})
			return
		}
		if o.Target.Token < w.token {
			a.Outcome, a.Cause = tbfleet.Refused, tbfleet.CauseFence
		} else {
			w.token = o.Target.Token
			s.renewLease(w, o.LeaseEndMs)
			s.start(w, o)
			a.Outcome, a.ClockMs = tbfleet.Accepted, s.clockMs()
		}
		if s.rng.Float64() < s.lostAnswers {
			a.Outcome = tbfleet.Unconfirmed
			s.answerAfter(o.Timeout, r, tbcontrol.StartAnswered{Term: e.Term, Answer: a})
			return
		}
		s.answerInTimeAfter(w.startTime, r, e.IssuedAt.Add(o.Timeout), tbcontrol.StartAnswered{Term: e.Term, Answer: a})
	case tbfleet.Stop:
		w := s.byID[o.Target.ID]
		a := tbfleet.StopAnswered{Worker: w.id, Incarnation: w.incarnation, Ref: o.Ref, Run: o.Run}
		if s.now.Before(w.silentUntil) {
			s.answerAfter(o.Timeout, r, tbcontrol.StopAnswered{Term: e.Term, Answer: a})
			return
		}
		a.Outcome = tbfleet.Accepted
		s.end(w, o.Ref, o.Run, tbflow.EndStopped)
		s.answerInTime(r, e.IssuedAt.Add(o.Timeout), tbcontrol.StopAnswered{Term: e.Term, Answer: a})
	case tbfleet.SetSpeed:
		a := tbfleet.SpeedAnswered{Worker: o.Target.ID, Incarnation: o.Target.Incarnation, Ref: o.Ref, Run: o.Run, Percent: o.Percent, Outcome: tbfleet.Accepted}
		s.answerInTime(r, e.IssuedAt.Add(o.Timeout), tbcontrol.SpeedAnswered{Term: e.Term, Answer: a})
	case tbfleet.Poll:
		s.poll(r, e, o)
	}
}

// refuseUnsent reports after the timeout of an order that it was not sent.
func (s *loadSimulation) refuseUnsent(r *loadReplica, e tbcontrol.SendOrder) {
	const cause = tbfleet.CauseConnectTimeout
	switch o := e.Order.(type) {
	case tbfleet.Start:
		s.answerAfter(o.Timeout, r, tbcontrol.StartAnswered{Term: e.Term, Answer: tbfleet.StartAnswered{
			Worker: o.Target.ID, Incarnation: o.Target.Incarnation, Ref: o.Ref, Run: o.Run, Outcome: tbfleet.NotSent, Cause: cause,
		}})
	case tbfleet.Stop:
		s.answerAfter(o.Timeout, r, tbcontrol.StopAnswered{Term: e.Term, Answer: tbfleet.StopAnswered{
			Worker: o.Target.ID, Incarnation: o.Target.Incarnation, Ref: o.Ref, Run: o.Run, Outcome: tbfleet.Refused,
		}})
	case tbfleet.SetSpeed:
		s.answerAfter(o.Timeout, r, tbcontrol.SpeedAnswered{Term: e.Term, Answer: tbfleet.SpeedAnswered{
			Worker: o.Target.ID, Incarnation: o.Target.Incarnation, Ref: o.Ref, Run: o.Run, Percent: o.Percent, Outcome: tbfleet.Refused,
		}})
	case tbfleet.Poll:
		s.answerAfter(o.Timeout, r, tbcontrol.PollAnswered{Term: e.Term, Answer: tbfleet.PollAnswered{
			Worker: o.Target.ID, Incarnation: o.Target.Incarnation, SentAt: e.IssuedAt, LeaseEndMs: o.LeaseEndMs, Outcome: tbfleet.Refused, Cause: cause,
		}})
	}
}

func (s *loadSimulation) answerAfter(d time.Duration, r *loadReplica, ev tbcontrol.Event) {
	s.at(s.now.Add(d), func() {
		if !r.stopped {
			s.deliver(r, ev)
		}
	})
}

// start lets a worker start a run, which ends by itself unless it is long-running.
func (s *loadSimulation) start(w *loadWorker, o tbfleet.Start) {
	if w.running[o.Ref].number == o.Run {
		return
	}
	run := loadRun{number: o.Run, startedAt: s.now}
	if d, ok := s.runTimes[o.Spec]; ok {
		run.endsAt = s.now.Add(time.Duration(float64(d) * (0.8 + 0.4*s.rng.Float64())))
		s.at(run.endsAt, func() { s.end(w, o.Ref, o.Run, tbflow.EndDone) })
	}
	w.running[o.Ref] = run
	if endedAt, ok := s.stoppedTasks[o.Ref]; ok {
		s.restartWaits = append(s.restartWaits, s.now.Sub(endedAt))
		delete(s.stoppedTasks, o.Ref)
	}
}

func (s *loadSimulation) end(w *loadWorker, ref tbflow.TaskRef, run uint64, kind tbflow.EndKind) {
	if w.running[ref].number != run {
		return
	}
	if w.running[ref].endsAt.IsZero() {
		s.stoppedTasks[ref] = s.now
	}
	delete(w.running, ref)
	w.ended = append(w.ended, tbfleet.ListedEnd{Number: w.ackedEnds + uint64(len(w.ended)) + 1, Ref: ref, Run: run, Kind: kind})
	if p := w.poll; p != nil {
		w.poll = nil
		s.answerPoll(w, p)
	}
}

func (s *loadSimulation) poll(r *loadReplica, e tbcontrol.SendOrder, o tbfleet.Poll) {
	w := s.byID[o.Target.ID]
	p := &loadPoll{from: r, order: o, term: e.Term, sentAt: e.IssuedAt}
	if s.now.Before(w.silentUntil) {
		s.answerAfter(o.Timeout, r, tbcontrol.PollAnswered{Term: e.Term, Answer: tbfleet.PollAnswered{Worker: w.id, Incarnation: w.incarnation, SentAt: e.IssuedAt, LeaseEndMs: o.LeaseEndMs}})
		return
	}
	if o.Target.Token < w.token {
		s.answerInTime(r, e.IssuedAt.Add(o.Timeout), tbcontrol.PollAnswered{Term: e.Term, Answer: tbfleet.PollAnswered{
			Worker: w.id, Incarnation: w.incarnation, SentAt: e.IssuedAt, LeaseEndMs: o.LeaseEndMs, Outcome: tbfleet.Refused,
		}})
		return
	}
	w.token = o.Target.Token
	s.renewLease(w, o.LeaseEndMs)
	for len(w.ended) > 0 && w.ended[0].Number <= o.LastRecordedEnd {
		w.ackedEnds, w.ended = w.ended[0].Number, w.ended[1:]
	}
	if len(w.ended) > 0 || o.Wait == 0 {
		s.answerPoll(w, p)
		return
	}
	if earlier := w.poll; earlier != nil {
		s.answerPoll(w, earlier)
	}
	w.poll = p
	s.at(s.now.Add(o.Wait), func() {
		if w.poll == p {
			w.poll = nil
			s.answerPoll(w, p)
		}
	})
}

func (s *loadSimulation) answerPoll(w *loadWorker, p *loadPoll) {
	a := tbfleet.PollAnswered{
		Worker: w.id, Incarnation: w.incarnation, ActualIncarnation: w.incarnation, SentAt: p.sentAt, LastRecordedEnd: p.order.LastRecordedEnd, LeaseEndMs: p.order.LeaseEndMs,
		Outcome: tbfleet.Accepted, ClockMs: s.clockMs(), Ended: append([]tbfleet.ListedEnd(nil), w.ended...),
	}
	if s.now.Before(w.silentUntil) {
		s.answerAfter(p.order.Timeout, p.from, tbcontrol.PollAnswered{Term: p.term, Answer: tbfleet.PollAnswered{Worker: w.id, Incarnation: w.incarnation, SentAt: p.sentAt, LeaseEndMs: p.order.LeaseEndMs}})
		return
	}
	for ref, run := range w.running {
		a.Running = append(a.Running, tbfleet.ListedRun{Ref: ref, Run: run.number, Progress: run.progress(s.now), Measurement: 10})
	}
	s.answerInTime(p.from, p.sentAt.Add(p.order.Timeout), tbcontrol.PollAnswered{Term: p.term, Answer: a})
}

// submit submits a job, again each 200 ms until a leader has answered.
func (s *loadSimulation) submit(queue string, job tbflow.Job) {
	j := &loadJob{id: job.ID, queue: queue, job: job, submittedAt: s.now}
	for range job.Steps {
		j.objective += 2 * s.runTimes[queue]
	}
	j.objective += map[string]time.Duration{shortQueue: 250 * time.Millisecond, fillQueue: time.Second, longRunsQueue: 2500 * time.Millisecond}[queue]
	j.job.Spec = queue
	s.jobs = append(s.jobs, j)
	s.trySubmit(j)
}

func (s *loadSimulation) trySubmit(j *loadJob) {
	request, r := s.request(tbcontrol.SubmitRequested{Submit: tbflow.Submit{Host: "h", Path: "/" + j.queue + "/" + j.id, Job: j.job}})
	s.at(s.now.Add(200*time.Millisecond), func() {
		if r != nil {
			if a, ok := r.answers[request]; ok && !a.NotLeader {
				if a.Answer.Code == tbcontrol.Done {
					return
				}
				if a.Answer.Code == tbcontrol.Overloaded {
					return
				}
			} else if !ok && !r.stopped {
				// The answer is still to come.
				wait := 200 * time.Millisecond
				if s.callersBackOff {
					wait = time.Second<<min(j.unanswered, 4) - 200*time.Millisecond
				}
				j.unanswered++
				s.at(s.now.Add(wait), func() {
					if _, ok := r.answers[request]; !ok {
						s.trySubmit(j)
					}
				})
				return
			}
		}
		s.trySubmit(j)
	})
}

// jobRates is how many jobs of each kind arrive in a second.
type jobRates struct{ short, fill float64 }

// submitLoad submits jobs at the given rates for d, and advances the time.
func (s *loadSimulation) submitLoad(rates jobRates, d time.Duration) {
	shortStep := tbflow.Step{Count: 13, Need: tbresource.Amount{MilliProcessors: 10_000, MemoryMB: 2000}, Estimate: s.runTimes[shortQueue], Image: "short"}
	fillStep := tbflow.Step{Count: 40, Need: tbresource.Amount{MilliProcessors: 3500, MemoryMB: 1000}, Estimate: s.runTimes[fillQueue], BestEffort: true, Image: "fill"}
	schedule := func(rate float64, queue string, steps func() []tbflow.Step) {
		for at := s.now; rate > 0; {
			at = at.Add(time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second)))
			if at.After(s.now.Add(d)) {
				return
			}
			job := tbflow.Job{ID: fmt.Sprintf("%s%d", queue, s.timerCount), Steps: steps()}
			s.at(at, func() { s.submit(queue, job) })
		}
	}
	second := func(step tbflow.Step) tbflow.Step {
		step.DependsOn = []int{0}
		return step
	}
	schedule(rates.short, shortQueue, func() []tbflow.Step {
		if s.rng.Float64() < 0.6 {
			return []tbflow.Step{shortStep, second(shortStep)}
		}
		return []tbflow.Step{shortStep}
	})
	schedule(rates.fill, fillQueue, func() []tbflow.Step { return []tbflow.Step{fillStep, second(fillStep)} })
	s.run(d)
}

// startLongRunning submits jobs of long-running tasks and advances the time until they run.
func (s *loadSimulation) startLongRunning(jobs int) {
	for i := range jobs {
		s.submit(longRunsQueue, tbflow.Job{ID: fmt.Sprintf("watch%d", i), Steps: []tbflow.Step{{
			Count: 24, Need: tbresource.Amount{MilliProcessors: 4000, MemoryMB: 2000}, LongRunning: true, Image: fmt.Sprintf("watch%d", i%6), TailTarget: 50 * time.Millisecond,
		}}})
	}
	s.run(6 * time.Second)
}

// silence lets workers that are chosen at random leave orders unanswered for d.
func (s *loadSimulation) silence(count int, d time.Duration) {
	for _, i := range s.rng.Perm(len(s.workers))[:count] {
		s.workers[i].silentUntil = s.now.Add(d)
	}
}

// drain lets workers that are chosen at random drain. Their next reports say so.
func (s *loadSimulation) drain(count int) {
	for _, i := range s.rng.Perm(len(s.workers))[:count] {
		s.workers[i].draining = true
	}
}

// leave lets workers that are chosen at random drain, and be gone after notice.
func (s *loadSimulation) leave(count int, notice time.Duration) {
	for _, i := range s.rng.Perm(len(s.workers))[:count] {
		w := s.workers[i]
		if w.draining {
			continue
		}
		w.draining = true
		s.at(s.now.Add(notice), func() {
			for ref, run := range w.running {
				if run.endsAt.IsZero() {
					s.stoppedTasks[ref] = s.now
				}
			}
			clear(w.running)
			w.silentUntil = s.now.Add(time.Hour)
		})
	}
}

// onTimeShare returns the share of the jobs of a queue, submitted between two times, that ended within their
// objective.
func (s *loadSimulation) onTimeShare(queue string, from, to time.Time) (share float64, jobs int) {
	return s.endedShare(queue, from, to, 1)
}

// usefulShare returns the share of the jobs of a queue, submitted between two times, that ended while their results were
// of use.
func (s *loadSimulation) usefulShare(queue string, from, to time.Time) (share float64, jobs int) {
	return s.endedShare(queue, from, to, usefulObjectives)
}

// usefulObjectives is the number of objectives for which the result of a job is of use.
const usefulObjectives = 3

// endedShare returns the share of the jobs of a queue, submitted between two times, that ended within a number of
// objectives.
func (s *loadSimulation) endedShare(queue string, from, to time.Time, objectives int64) (share float64, jobs int) {
	ended := 0
	r := s.leader()
	qt.Assert(s.t, r, qt.IsNotNil, qt.Commentf("there is no leader at the end"))
	for _, j := range s.jobs {
		if j.queue != queue || j.submittedAt.Before(from) || !j.submittedAt.Before(to) {
			continue
		}
		jobs++
		state := r.control.State().Flow.Jobs[j.id]
		if state != nil && state.Phase == tbflow.Completed && state.EndedMs-j.submittedAt.UnixMilli() <= objectives*j.objective.Milliseconds() {
			ended++
		}
	}
	return float64(ended) / float64(max(1, jobs)), jobs
}

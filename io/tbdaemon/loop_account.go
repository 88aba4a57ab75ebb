package tbdaemon

import (
	"fmt"
	"slices"
	"time"

	"tamarackbarrow/core/tbassign"
	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbnode"
)

// The leader's decisions are made in one goroutine, so what takes its time delays all of them. The account
// tells what does, how long events wait for it, and what each plan was made from.

// accountInterval is the time between two log lines of the account.
const accountInterval = time.Second

// Kinds of the parts of the event loop that handle no queued event.
const (
	kindTick    = "tick"
	kindPassEnd = "passEnd"
)

// loopAccount adds up the time of the event loop by kind of event.
type loopAccount struct {
	since  time.Time
	byKind map[string]*kindAccount
	// plans describes the plans of the leader. stepTime is the duration of the step that is being performed.
	plans    []string
	stepTime time.Duration
	// load is the load since the last pass of the loop.
	load tbassign.Load
}

// kindAccount is the account of one kind of event. The step decides what follows from an event, and the
// effects are performed after it. The age of an event is how long it was queued.
type kindAccount struct {
	events     int
	stepTime   time.Duration
	effectTime time.Duration
	maxTime    time.Duration
	ageSum     time.Duration
	maxAge     time.Duration
}

func newLoopAccount(now time.Time) *loopAccount {
	return &loopAccount{since: now, byKind: map[string]*kindAccount{}}
}

func (a *loopAccount) addEvent(kind string, age, stepTime, effectTime time.Duration) {
	k := a.byKind[kind]
	if k == nil {
		k = &kindAccount{}
		a.byKind[kind] = k
	}
	k.events++
	k.stepTime += stepTime
	k.effectTime += effectTime
	k.maxTime = max(k.maxTime, stepTime+effectTime)
	k.ageSum += age
	k.maxAge = max(k.maxAge, age)
	if kind != kindTick && kind != kindPassEnd {
		a.load.Events++
		a.load.AgeSum += age
	}
}

// takeLoad returns the load since the last call.
func (a *loopAccount) takeLoad() tbassign.Load {
	load := a.load
	a.load = tbassign.Load{}
	return load
}

func (a *loopAccount) addPlan(p tbcontrol.PlanMade) {
	kind := "short"
	if p.IsFull {
		kind = "full"
		a.load.PlanTime = a.stepTime
	}
	a.plans = append(a.plans, fmt.Sprintf("%s runs=%d limit=%d steps=%d reserved=%d underWay=%d answerUs=%d us=%d",
		kind, p.Runs, p.Limit, p.WaitingSteps, p.ReservedWorkers, p.UnderWay, p.AnswerTime.Microseconds(), a.stepTime.Microseconds()))
}

// kinds describes the kinds of event, the one that took the most time first.
func (a *loopAccount) kinds() []string {
	names := make([]string, 0, len(a.byKind))
	for name := range a.byKind {
		names = append(names, name)
	}
	timeOf := func(name string) time.Duration { return a.byKind[name].stepTime + a.byKind[name].effectTime }
	slices.SortFunc(names, func(x, y string) int { return int(timeOf(y) - timeOf(x)) })
	for i, name := range names {
		k := a.byKind[name]
		names[i] = fmt.Sprintf("%s n=%d stepUs=%d effectUs=%d maxUs=%d meanAgeUs=%d maxAgeUs=%d", name, k.events,
			k.stepTime.Microseconds(), k.effectTime.Microseconds(), k.maxTime.Microseconds(), k.ageSum.Microseconds()/int64(k.events), k.maxAge.Microseconds())
	}
	return names
}

func (a *loopAccount) busyTime() time.Duration {
	var sum time.Duration
	for _, k := range a.byKind {
		sum += k.stepTime + k.effectTime
	}
	return sum
}

// logAccount writes the account of a leader once per accountInterval.
func (d *Daemon) logAccount(now time.Time) {
	a := d.account
	if now.Sub(a.since) < accountInterval {
		return
	}
	if d.isConfirmedLeader.Load() {
		d.log.Info("event loop", "ms", now.Sub(a.since).Milliseconds(), "busyMs", a.busyTime().Milliseconds(), "queued", len(d.firstEvents)+len(d.events),
			"kinds", a.kinds(), "plans", a.plans)
	}
	load := a.load
	d.account = newLoopAccount(now)
	d.account.load = load
}

// eventKind returns the name of the kind of an event.
func eventKind(ev tbnode.Event) string {
	if ev.Control == nil {
		return "entry"
	}
	switch e := ev.Control.(type) {
	case tbcontrol.MessagesArrived:
		return "messages"
	case tbcontrol.EntriesPersisted:
		return "entriesPersisted"
	case tbcontrol.StartAnswered:
		return "startAnswered"
	case tbcontrol.StopAnswered:
		return "stopAnswered"
	case tbcontrol.SpeedAnswered:
		return "speedAnswered"
	case tbcontrol.PollAnswered:
		return "pollAnswered"
	case tbcontrol.SyncArrived:
		return "sync"
	case tbcontrol.LeaderRequestArrived:
		return requestKind(e.LeaderRequest)
	}
	return "other"
}

func requestKind(q tbcontrol.LeaderRequest) string {
	switch q.(type) {
	case tbcontrol.SubmitRequested:
		return "submit"
	case tbcontrol.JobStateRequested:
		return "jobState"
	case tbcontrol.QueueLengthRequested:
		return "queueLength"
	case tbcontrol.WorkerReported, tbcontrol.WorkersReported:
		return "workerReports"
	}
	return "otherRequest"
}

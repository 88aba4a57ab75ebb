package tbnode_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbbundle"
	"tamarackbarrow/core/tbentry"
	"tamarackbarrow/core/tbnode"
	"tamarackbarrow/core/tbstate"
	"tamarackbarrow/io/tbbundlefile"
	"tamarackbarrow/io/tbcodec"
)

var (
	scheduleCount = flag.Int("schedules", 40, "number of random schedules")
	firstSeed     = flag.Uint64("seed", 1, "seed of the first random schedule")
)

const scheduleBundle = `version = 1

[[services]]
name = "quotes"
targetLatency = "400ms"
runDeadline = "1s"
rank = 100
idempotentMethods = ["quote"]

[[jobKinds]]
name = "plan"
processors = 4
memoryMB = 100
rank = 10
expectedRunTime = "1s"
checkpointable = true

[[teams]]
name = "team"
processors = 1000
memoryMB = 100000
`

const (
	faultPeriod     = 30 * time.Second
	faultFreePeriod = 30 * time.Second
	nodeCount       = 3
	runnerSlots     = 4
	messageLossRate = 0.01
)

// timer is a callback scheduled for a time; sequence orders timers of the same time.
type timer struct {
	at       time.Time
	sequence int
	do       func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	if t[i].at.Equal(t[j].at) {
		return t[i].sequence < t[j].sequence
	}
	return t[i].at.Before(t[j].at)
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// simulator connects nodes with fake runners and workers. All random choices derive from seed.
type simulator struct {
	t            *testing.T
	seed         uint64
	rng          *rand.Rand
	now          time.Time
	timers       timers
	lastSequence int
	codec        *tbcodec.Codec
	nodes        []*simulatedNode
	runners      []*fakeRunner
	workers      []*fakeWorker
	// executionCountByPayload holds the number of executions of each request. workerByJob holds the
	// worker that runs the job. publishedCountByJob holds the number of published results.
	executionCountByPayload map[string]int
	workerByJob             map[string]string
	publishedCountByJob     map[string]int
	answeredCount           int
	faultsEnabled           bool
}

func (sim *simulator) fail(format string, args ...any) {
	sim.t.Helper()
	sim.t.Fatalf("seed %d at %s: %s", sim.seed, sim.now.Sub(time.Unix(1000, 0)), fmt.Sprintf(format, args...))
}

func (sim *simulator) schedule(d time.Duration, do func()) {
	sim.lastSequence++
	heap.Push(&sim.timers, timer{at: sim.now.Add(d), sequence: sim.lastSequence, do: do})
}

func (sim *simulator) randomDelay() time.Duration {
	return time.Millisecond + time.Duration(sim.rng.Int64N(int64(4*time.Millisecond)))
}

// dropsMessage reports whether the next message is lost, which is random while faults are enabled.
func (sim *simulator) dropsMessage() bool {
	return sim.faultsEnabled && sim.rng.Float64() < messageLossRate
}

func (sim *simulator) runUntil(end time.Time) {
	for len(sim.timers) > 0 && sim.timers[0].at.Before(end) {
		next := heap.Pop(&sim.timers).(timer)
		sim.now = next.at
		next.do()
	}
	sim.now = end
}

func newSimulator(t *testing.T, seed uint64) *simulator {
	sim := &simulator{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0),
		codec: tbcodec.New(parseBundle), executionCountByPayload: map[string]int{}, workerByJob: map[string]string{}, publishedCountByJob: map[string]int{},
	}
	for i := 1; i <= nodeCount; i++ {
		n := &simulatedNode{sim: sim, id: i}
		sim.nodes = append(sim.nodes, n)
	}
	for _, n := range sim.nodes {
		n.start()
	}
	for i := range 3 {
		r := &fakeRunner{id: fmt.Sprintf("runner-%d", i)}
		sim.restartRunner(r)
		sim.runners = append(sim.runners, r)
		sim.schedule(sim.randomDelay(), func() { sim.announceRunner(r) })
	}
	for i := range 3 {
		sim.workers = append(sim.workers, newFakeWorker(sim, fmt.Sprintf("worker-%d", i)))
	}
	return sim
}

func parseBundle(source []byte) (tbbundle.Bundle, error) { return tbbundlefile.Parse("bundle", source) }

func (sim *simulator) submitCommands(n *simulatedNode, commands ...tbstate.Command) {
	n.request(func(id uint64) tbnode.Event {
		return tbnode.Event{Entry: tbentry.CommandsSubmitted{Request: id, Commands: commands, Timeout: 5 * time.Second}}
	}, func(any) {})
}

// generateCalls alternates between two kinds of calls: those of method "order" have an idempotency key,
// and those of method "quote" are idempotent. A call of "order" is sent up to four times, each time to a
// random node, until it is answered. Calls go on during the fault period and the first
// half of the fault-free period.
func (sim *simulator) generateCalls(k int) {
	if sim.now.Sub(time.Unix(1000, 0)) > faultPeriod+faultFreePeriod/2 {
		return
	}
	sim.schedule(30*time.Millisecond, func() { sim.generateCalls(k + 1) })
	call := tbentry.Call{Service: "quotes", Method: "quote", Payload: fmt.Appendf(nil, "quote-%d", k), Timeout: time.Second}
	if k%2 == 0 {
		call.Method, call.Payload = "order", fmt.Appendf(nil, "order-%d", k)
		call.Key = string(call.Payload)
	}
	sim.sendCall(call, 4)
}

func (sim *simulator) sendCall(call tbentry.Call, triesLeft int) {
	n := sim.nodes[sim.rng.IntN(nodeCount)]
	isAnswered := false
	retryIfUnanswered := func() {
		if !isAnswered && triesLeft > 1 && call.Key != "" {
			sim.sendCall(call, triesLeft-1)
		}
	}
	sim.schedule(1500*time.Millisecond, retryIfUnanswered)
	n.request(func(id uint64) tbnode.Event {
		return tbnode.Event{Entry: tbentry.CallArrived{ID: id, Call: call}}
	}, func(answer any) {
		outcome := answer.(tbentry.Outcome)
		executionCount := sim.executionCountByPayload[string(call.Payload)]
		switch outcome.Status {
		case tbentry.Answered:
			isAnswered = true
			sim.answeredCount++
			if call.Key != "" && executionCount != 1 {
				sim.fail("request %s was answered but executed %d times", call.Key, executionCount)
			}
		case tbentry.NotExecuted:
			if call.Key == "" && executionCount > 0 {
				sim.fail("request %s was reported as not executed (%s) but executed %d times", call.Payload, outcome.Reason, executionCount)
			}
		}
	})
}

func (sim *simulator) generateJobs(k int) {
	if sim.now.Sub(time.Unix(1000, 0)) > faultPeriod {
		return
	}
	sim.schedule(400*time.Millisecond, func() { sim.generateJobs(k + 1) })
	n := sim.nodes[sim.rng.IntN(nodeCount)]
	sim.submitCommands(n, tbstate.SubmitJob{Job: tbstate.Job{ID: fmt.Sprintf("job-%d", k), Kind: "plan", Team: "team"}})
	if k%7 == 3 {
		sim.submitCommands(n, tbstate.CancelJob{ID: fmt.Sprintf("job-%d", k-1)})
	}
}

// injectFaults causes one random fault and schedules the next one. A fault other than a restart of a
// runner or worker ends after a random duration.
func (sim *simulator) injectFaults() {
	if !sim.faultsEnabled {
		return
	}
	sim.schedule(time.Duration(sim.rng.Int64N(int64(1500*time.Millisecond))), sim.injectFaults)
	duration := 500*time.Millisecond + time.Duration(sim.rng.Int64N(int64(5*time.Second)))
	n := sim.nodes[sim.rng.IntN(nodeCount)]
	worker := sim.workers[sim.rng.IntN(len(sim.workers))]
	switch sim.rng.IntN(6) {
	case 0:
		if n.isUp {
			n.isUp = false
			sim.schedule(duration, n.start)
		}
	case 1, 2:
		n.isIsolated = true
		sim.schedule(duration, func() { n.isIsolated = false })
	case 3:
		sim.restartRunner(sim.runners[sim.rng.IntN(len(sim.runners))])
	case 4:
		worker.restart()
	case 5:
		worker.isUnreachable = true
		sim.schedule(duration, func() { worker.isUnreachable = false })
	}
}

func TestSchedulesOfWholeNodes(t *testing.T) {
	answeredCount, publishedCount := 0, 0
	for i := range *scheduleCount {
		sim := newSimulator(t, *firstSeed+uint64(i))
		sim.runUntil(time.Unix(1003, 0))
		b, err := parseBundle([]byte(scheduleBundle))
		qt.Assert(t, err, qt.IsNil)
		sim.submitCommands(sim.nodes[0], tbstate.SignOff{Bundle: b}, tbstate.RollOut{Version: 1})
		sim.runUntil(time.Unix(1004, 0))
		sim.faultsEnabled = true
		sim.generateCalls(0)
		sim.generateJobs(0)
		sim.injectFaults()
		sim.runUntil(time.Unix(1004, 0).Add(faultPeriod))
		sim.faultsEnabled = false
		sim.runUntil(sim.now.Add(faultFreePeriod))
		sim.checkAllJobsEnded()
		answeredCount += sim.answeredCount
		publishedCount += len(sim.publishedCountByJob)
	}
	t.Logf("%d schedules: %d calls answered, %d job results published", *scheduleCount, answeredCount, publishedCount)
	qt.Assert(t, answeredCount > 100**scheduleCount, qt.IsTrue)
	qt.Assert(t, publishedCount > 10**scheduleCount, qt.IsTrue)
}

// checkAllJobsEnded fails the test if there is no confirmed leader, or if a job in the leader's state
// has not ended.
func (sim *simulator) checkAllJobsEnded() {
	for _, n := range sim.nodes {
		if !n.node.Control.IsConfirmedLeader(sim.now) {
			continue
		}
		for id, j := range n.node.Control.State().Jobs {
			if !j.Phase.Ended() {
				sim.fail("job %s is still %s (%s) after the faults ended", id, j.Phase, j.Reason)
			}
		}
		return
	}
	sim.fail("no leader after the faults ended")
}

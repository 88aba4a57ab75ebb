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
	schedules = flag.Int("schedules", 40, "number of random schedules")
	firstSeed = flag.Uint64("seed", 1, "seed of the first random schedule")
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
	messageLoss     = 0.01
)

// timer is a callback scheduled for a time; seq orders timers of the same time.
type timer struct {
	at  time.Time
	seq int
	do  func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	if t[i].at.Equal(t[j].at) {
		return t[i].seq < t[j].seq
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
	t       *testing.T
	seed    uint64
	rng     *rand.Rand
	now     time.Time
	timers  timers
	seq     int
	codec   *tbcodec.Codec
	nodes   []*simulatedNode
	runners []*fakeRunner
	workers []*fakeWorker
	// executions holds the number of executions of each request, by payload. runningOn holds, by job,
	// the worker that runs the job. published holds the number of published results, by job.
	executions    map[string]int
	runningOn     map[string]string
	published     map[string]int
	answered      int
	faultsEnabled bool
}

func (sim *simulator) fail(format string, args ...any) {
	sim.t.Helper()
	sim.t.Fatalf("seed %d at %s: %s", sim.seed, sim.now.Sub(time.Unix(1000, 0)), fmt.Sprintf(format, args...))
}

func (sim *simulator) schedule(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.timers, timer{at: sim.now.Add(d), seq: sim.seq, do: do})
}

func (sim *simulator) randomDelay() time.Duration {
	return time.Millisecond + time.Duration(sim.rng.Int64N(int64(4*time.Millisecond)))
}

// dropsMessage reports whether the next message is lost, which is random while faults are enabled.
func (sim *simulator) dropsMessage() bool {
	return sim.faultsEnabled && sim.rng.Float64() < messageLoss
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
		codec: tbcodec.New(parseBundle), executions: map[string]int{}, runningOn: map[string]string{}, published: map[string]int{},
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

func (sim *simulator) submit(n *simulatedNode, commands ...tbstate.Command) {
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
	sim.call(call, 4)
}

func (sim *simulator) call(call tbentry.Call, tries int) {
	n := sim.nodes[sim.rng.IntN(nodeCount)]
	answered := false
	retry := func() {
		if !answered && tries > 1 && call.Key != "" {
			sim.call(call, tries-1)
		}
	}
	sim.schedule(1500*time.Millisecond, retry)
	n.request(func(id uint64) tbnode.Event {
		return tbnode.Event{Entry: tbentry.CallArrived{ID: id, Call: call}}
	}, func(answer any) {
		outcome := answer.(tbentry.Outcome)
		executions := sim.executions[string(call.Payload)]
		switch outcome.Status {
		case tbentry.Answered:
			answered = true
			sim.answered++
			if call.Key != "" && executions != 1 {
				sim.fail("request %s was answered but executed %d times", call.Key, executions)
			}
		case tbentry.NotExecuted:
			if call.Key == "" && executions > 0 {
				sim.fail("request %s was reported as not executed (%s) but executed %d times", call.Payload, outcome.Reason, executions)
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
	sim.submit(n, tbstate.SubmitJob{Job: tbstate.Job{ID: fmt.Sprintf("job-%d", k), Kind: "plan", Team: "team"}})
	if k%7 == 3 {
		sim.submit(n, tbstate.CancelJob{ID: fmt.Sprintf("job-%d", k-1)})
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
		if n.up {
			n.up = false
			sim.schedule(duration, n.start)
		}
	case 1, 2:
		n.isolated = true
		sim.schedule(duration, func() { n.isolated = false })
	case 3:
		sim.restartRunner(sim.runners[sim.rng.IntN(len(sim.runners))])
	case 4:
		worker.restart()
	case 5:
		worker.unreachable = true
		sim.schedule(duration, func() { worker.unreachable = false })
	}
}

func TestSchedulesOfWholeNodes(t *testing.T) {
	answered, published := 0, 0
	for i := range *schedules {
		sim := newSimulator(t, *firstSeed+uint64(i))
		sim.runUntil(time.Unix(1003, 0))
		b, err := parseBundle([]byte(scheduleBundle))
		qt.Assert(t, err, qt.IsNil)
		sim.submit(sim.nodes[0], tbstate.SignOff{Bundle: b}, tbstate.RollOut{Version: 1})
		sim.runUntil(time.Unix(1004, 0))
		sim.faultsEnabled = true
		sim.generateCalls(0)
		sim.generateJobs(0)
		sim.injectFaults()
		sim.runUntil(time.Unix(1004, 0).Add(faultPeriod))
		sim.faultsEnabled = false
		sim.runUntil(sim.now.Add(faultFreePeriod))
		sim.checkAllJobsEnded()
		answered += sim.answered
		published += len(sim.published)
	}
	t.Logf("%d schedules: %d calls answered, %d job results published", *schedules, answered, published)
	qt.Assert(t, answered > 100**schedules, qt.IsTrue)
	qt.Assert(t, published > 10**schedules, qt.IsTrue)
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

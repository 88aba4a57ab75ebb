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
	scheduleLength = 30 * time.Second
	settleLength   = 30 * time.Second
	nodeCount      = 3
	runnerSlots    = 4
	messageLoss    = 0.01
)

// timer is one thing that happens at its time.
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

// world holds small fakes around real nodes; everything in it follows from the seed.
type world struct {
	t       *testing.T
	seed    uint64
	rng     *rand.Rand
	now     time.Time
	timers  timers
	seq     int
	codec   *tbcodec.Codec
	nodes   []*fakeNode
	runners []*fakeRunner
	workers []*fakeWorker
	// runs counts the runs of each request by its payload, places tells where a job runs.
	runs      map[string]int
	places    map[string]string
	published map[string]int
	answered  int
	faults    bool
}

func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("seed %d at %s: %s", w.seed, w.now.Sub(time.Unix(1000, 0)), fmt.Sprintf(format, args...))
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.timers, timer{at: w.now.Add(d), seq: w.seq, do: do})
}

func (w *world) delay() time.Duration {
	return time.Millisecond + time.Duration(w.rng.Int64N(int64(4*time.Millisecond)))
}

// lost decides whether a message gets through.
func (w *world) lost() bool { return w.faults && w.rng.Float64() < messageLoss }

func (w *world) runUntil(end time.Time) {
	for len(w.timers) > 0 && w.timers[0].at.Before(end) {
		next := heap.Pop(&w.timers).(timer)
		w.now = next.at
		next.do()
	}
	w.now = end
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0),
		codec: tbcodec.New(parseBundle), runs: map[string]int{}, places: map[string]string{}, published: map[string]int{},
	}
	for i := 1; i <= nodeCount; i++ {
		n := &fakeNode{w: w, id: i}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		n.start()
	}
	for i := range 3 {
		r := &fakeRunner{id: fmt.Sprintf("runner-%d", i)}
		w.restartRunner(r)
		w.runners = append(w.runners, r)
		w.after(w.delay(), func() { w.announceRunner(r) })
	}
	for i := range 3 {
		w.workers = append(w.workers, newFakeWorker(w, fmt.Sprintf("worker-%d", i)))
	}
	return w
}

func parseBundle(source []byte) (tbbundle.Bundle, error) { return tbbundlefile.Parse("bundle", source) }

func (w *world) commit(n *fakeNode, commands ...tbstate.Command) {
	n.request(func(id uint64) tbnode.Event {
		return tbnode.Event{Entry: tbentry.CommandsSubmitted{Request: id, Commands: commands, Within: 5 * time.Second}}
	}, func(any) {})
}

// callers send quotes and keyed orders; an order is sent again elsewhere until it is decided.
func (w *world) callers(k int) {
	if w.now.Sub(time.Unix(1000, 0)) > scheduleLength+settleLength/2 {
		return
	}
	w.after(30*time.Millisecond, func() { w.callers(k + 1) })
	call := tbentry.Call{Service: "quotes", Method: "quote", Payload: fmt.Appendf(nil, "quote-%d", k), Within: time.Second}
	if k%2 == 0 {
		call.Method, call.Payload = "order", fmt.Appendf(nil, "order-%d", k)
		call.Key = string(call.Payload)
	}
	w.call(call, 4)
}

func (w *world) call(call tbentry.Call, tries int) {
	n := w.nodes[w.rng.IntN(nodeCount)]
	decided := false
	again := func() {
		if !decided && tries > 1 && call.Key != "" {
			w.call(call, tries-1)
		}
	}
	w.after(1500*time.Millisecond, again)
	n.request(func(id uint64) tbnode.Event {
		return tbnode.Event{Entry: tbentry.CallArrived{ID: id, Call: call}}
	}, func(answer any) {
		outcome := answer.(tbentry.Outcome)
		runs := w.runs[string(call.Payload)]
		switch outcome.Status {
		case tbentry.Answered:
			decided = true
			w.answered++
			if call.Key != "" && runs != 1 {
				w.fail("order %s is answered and ran %d times", call.Key, runs)
			}
		case tbentry.NotRun:
			if call.Key == "" && runs > 0 {
				w.fail("quote %s is called not run (%s) and ran %d times", call.Payload, outcome.Reason, runs)
			}
		}
	})
}

func (w *world) submitJobs(k int) {
	if w.now.Sub(time.Unix(1000, 0)) > scheduleLength {
		return
	}
	w.after(400*time.Millisecond, func() { w.submitJobs(k + 1) })
	n := w.nodes[w.rng.IntN(nodeCount)]
	w.commit(n, tbstate.SubmitJob{Job: tbstate.Job{ID: fmt.Sprintf("job-%d", k), Kind: "plan", Team: "team"}})
	if k%7 == 3 {
		w.commit(n, tbstate.CancelJob{ID: fmt.Sprintf("job-%d", k-1)})
	}
}

// strike brings one fault about and heals it after a while.
func (w *world) strike() {
	if !w.faults {
		return
	}
	w.after(time.Duration(w.rng.Int64N(int64(1500*time.Millisecond))), w.strike)
	heal := 500*time.Millisecond + time.Duration(w.rng.Int64N(int64(5*time.Second)))
	n := w.nodes[w.rng.IntN(nodeCount)]
	worker := w.workers[w.rng.IntN(len(w.workers))]
	switch w.rng.IntN(6) {
	case 0:
		if n.up {
			n.up = false
			w.after(heal, n.start)
		}
	case 1, 2:
		n.isolated = true
		w.after(heal, func() { n.isolated = false })
	case 3:
		w.restartRunner(w.runners[w.rng.IntN(len(w.runners))])
	case 4:
		worker.restart()
	case 5:
		worker.silent = true
		w.after(heal, func() { worker.silent = false })
	}
}

func TestSchedulesOfWholeNodes(t *testing.T) {
	answered, published := 0, 0
	for i := range *schedules {
		w := newWorld(t, *firstSeed+uint64(i))
		w.runUntil(time.Unix(1003, 0))
		b, err := parseBundle([]byte(scheduleBundle))
		qt.Assert(t, err, qt.IsNil)
		w.commit(w.nodes[0], tbstate.SignOff{Bundle: b}, tbstate.RollOut{Version: 1})
		w.runUntil(time.Unix(1004, 0))
		w.faults = true
		w.callers(0)
		w.submitJobs(0)
		w.strike()
		w.runUntil(time.Unix(1004, 0).Add(scheduleLength))
		w.faults = false
		w.runUntil(w.now.Add(settleLength))
		w.checkSettled()
		answered += w.answered
		published += len(w.published)
	}
	t.Logf("%d schedules: %d answers, %d results of jobs", *schedules, answered, published)
	qt.Assert(t, answered > 100**schedules, qt.IsTrue)
	qt.Assert(t, published > 10**schedules, qt.IsTrue)
}

// checkSettled fails when a leader is missing or a job has not ended long after the last fault.
func (w *world) checkSettled() {
	for _, n := range w.nodes {
		if !n.node.Control.Leads(w.now) {
			continue
		}
		for id, j := range n.node.Control.State().Jobs {
			if !j.Phase.Ended() {
				w.fail("job %s is still %s (%s)", id, j.Phase, j.Reason)
			}
		}
		return
	}
	w.fail("no leader long after the last fault")
}

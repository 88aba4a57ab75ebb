package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// gangTimeout is how long a member waits for the others.
const gangTimeout = 3 * time.Second

// checkpointInterval is the time between two new checkpoints of a gang at work.
const checkpointInterval = time.Second

// gangs knows which members of a gang's run are present, on all runners.
type gangs struct {
	rec  *journal
	mu   sync.Mutex
	runs map[string]*gang
	// saved is the number of the last checkpoint by step. done holds the work that it stands for.
	saved map[string]int
	done  map[string]time.Duration
}

type gang struct {
	present map[string]bool
	// values holds the checkpoints that the starts carried.
	values map[string]bool
	// since is when all members were present, or zero.
	since  time.Time
	broken bool
	over   bool
	base   time.Duration
	last   string
	lastAt time.Time
}

func newGangs(rec *journal) *gangs {
	return &gangs{rec: rec, runs: map[string]*gang{}, saved: map[string]int{}, done: map[string]time.Duration{}}
}

func withCheckpoint(value string) string {
	if value == "" {
		return ""
	}
	return ", checkpoint " + value
}

// stepOf returns the name of the step of a task, and that of the step's run.
func stepOf(task string, number uint64) (step, runName string) {
	step = task[:strings.LastIndexByte(task, '.')]
	return step, fmt.Sprintf("%s/%d", step, number)
}

func (g *gangs) join(_ *runner, task string, number uint64, p plan, checkpoint string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	step, name := stepOf(task, number)
	r := g.runs[name]
	if r == nil {
		r = &gang{present: map[string]bool{}, values: map[string]bool{}}
		g.runs[name] = r
	}
	r.present[task], r.values[checkpoint] = true, true
	if len(r.present) < p.gang || !r.since.IsZero() {
		return
	}
	if len(r.values) > 1 {
		g.rec.printf("gang %s: all members are present, with different checkpoints", name)
		return
	}
	r.since, r.lastAt, r.last, r.base = time.Now(), time.Now(), checkpoint, g.done[step+"="+checkpoint]
	g.rec.printf("gang %s: works from %s on", name, r.base.Round(time.Millisecond))
}

// advance makes a new checkpoint when it is due.
func (g *gangs) advance(step string, r *gang) {
	if !r.since.IsZero() && !r.over && !r.broken && time.Since(r.lastAt) >= checkpointInterval {
		g.save(step, r)
	}
}

func (g *gangs) save(step string, r *gang) { r.last, r.lastAt = g.newValue(step, r), time.Now() }

// newValue returns a checkpoint of the work that is done by now.
func (g *gangs) newValue(step string, r *gang) string {
	g.saved[step]++
	value := fmt.Sprintf("%08x", g.saved[step])
	g.done[step+"="+value] = r.base + time.Since(r.since)
	return value
}

// progress returns a member's percentage and its newest checkpoint.
func (g *gangs) progress(task string, have *run) (int, string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	step, name := stepOf(task, have.number)
	r := g.runs[name]
	g.advance(step, r)
	if r.since.IsZero() {
		return 0, have.checkpoint
	}
	return min(99, int(100*(r.base+time.Since(r.since))/have.plan.length)), r.last
}

// verdict returns how a member's run ends now, or nothing.
func (g *gangs) verdict(task string, have *run) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	step, name := stepOf(task, have.number)
	r := g.runs[name]
	g.advance(step, r)
	switch {
	case r.broken:
		return "broken"
	case r.over:
		return "done"
	case r.since.IsZero() && time.Since(have.started) > gangTimeout:
		return "alone"
	case !r.since.IsZero() && r.base+time.Since(r.since) >= have.plan.length:
		r.over = true
		return "done"
	}
	return ""
}

// leave notes that a member's run has ended, and returns its checkpoint. The others cannot go on. A stop
// makes a new checkpoint; the others keep the last one of the interval.
func (g *gangs) leave(task string, have *run, how string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	step, name := stepOf(task, have.number)
	r := g.runs[name]
	delete(r.present, task)
	switch {
	case how == "done" || how == "crashed":
		r.broken = r.broken || how == "crashed" && !r.since.IsZero()
		return ""
	case r.since.IsZero():
		return have.checkpoint
	case how == "stopped" && !r.broken:
		r.broken = true
		value := g.newValue(step, r)
		g.rec.printf("gang %s: %s was stopped at checkpoint %s; the newest of the interval is %s", name, task, value, r.last)
		return value
	}
	r.broken = true
	return r.last
}

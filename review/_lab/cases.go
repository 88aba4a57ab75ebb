package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"
)

var cases = map[string]func(*lab){
	"other-writer":  otherWriter,
	"burst-starves": burstStarves,
	"late-reborn":   lateReborn,
	"dark-start":    darkStart,
	"dark-pending":  darkPending,
}

const prefix = "/quotes/"

// endsOf returns how many runs of a task have ended in a way.
func (w *world) endsOf(task, how string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ends[task+" "+how]
}

func (w *world) startsOf(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, s := range w.starts {
		if s.task == task && s.answer == "200" {
			n++
		}
	}
	return n
}

func (w *world) runnerOf(task string) *runner {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runners {
		if r.life != nil && r.life.running[task] != nil {
			return r
		}
	}
	return nil
}

// smallJob is a job of one short task.
func smallJob() job {
	return job{Spec: "work=600 cpu=500", Steps: []step{{Count: 1, CPU: 500, MemMB: 256, EstimatedMs: 600}}}
}

// startDark starts the system with eight runners and some traffic. One runner, the one that was given the most
// tasks, is then lost for good: it is silent from then on. Jobs come for some seconds more. It returns their ids.
func startDark(l *lab) []string {
	l.start()
	for range 8 {
		l.world.add("a", 16000)
	}
	l.configure(1, newRoute("r-1", prefix, 4))
	time.Sleep(2500 * time.Millisecond)
	var ids []string
	for range 20 {
		ids = append(ids, l.submit(prefix, smallJob()))
		time.Sleep(100 * time.Millisecond)
	}
	if trouble() {
		r := l.world.mostUsed()
		l.logf("runner %s is lost for good", r.id)
		r.setCut(true)
	}
	// Eight clients hand a job in at about the same time, and then one after the other.
	added := make(chan string)
	for range 8 {
		go func() { added <- l.submit(prefix, smallJob()) }()
	}
	for range 8 {
		ids = append(ids, <-added)
	}
	for range 10 {
		time.Sleep(100 * time.Millisecond)
		ids = append(ids, l.submit(prefix, smallJob()))
	}
	l.logf("the traffic ends")
	return ids
}

// mostUsed returns the runner that has started the most tasks.
func (w *world) mostUsed() *runner {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := map[string]int{}
	for _, s := range w.starts {
		counts[s.runner]++
	}
	return slices.MaxFunc(w.runners, func(a, b *runner) int { return counts[a.id] - counts[b.id] })
}

// isRunning reports whether a runner that can be reached runs a task.
func (w *world) isRunning(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runners {
		if !r.cut && r.life != nil && r.life.running[task] != nil {
			return true
		}
	}
	return false
}

const (
	finishTime  = 14 * time.Second
	stuckTime   = 3 * time.Second
	visibleTime = 3 * time.Second
)

// darkStart: accepted jobs must not have nothing running for 3 s, finish_s after the traffic has ended, while
// the service is nearly empty.
func darkStart(l *lab) {
	ids := startDark(l)
	time.Sleep(finishTime)
	open := map[string]string{}
	for _, id := range ids {
		if s, status := l.state(prefix, id); s != "completed" && s != "failed" {
			open[id] = fmt.Sprint(s, " ", status)
		}
	}
	began := time.Now()
	for deadline := began.Add(stuckTime); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		for id := range open {
			if l.world.isRunning(id+".0.0.0") || l.world.endsOf(id+".0.0.0", "done") > 0 {
				delete(open, id)
			}
		}
	}
	var broken []string
	for id, state := range open {
		broken = append(broken, fmt.Sprintf("LOST: from %.1f s to %.1f s after the end of the traffic nothing of job %s runs, which is shown as %q; its task is due, seven runners are idle and no task runs anywhere",
			finishTime.Seconds(), (finishTime+stuckTime).Seconds(), id, state))
	}
	if len(broken) > 0 {
		for id := range open {
			l.logf("job %s is shown as %q later", id, l.waitState(prefix, id, 20*time.Second, "completed", "failed"))
		}
	}
	l.finish(broken)
}

// darkPending: the number of pending jobs must not be under half of those that were accepted more than
// visible_ms and 2 s ago and have not begun.
func darkPending(l *lab) {
	ids := startDark(l)
	time.Sleep(visibleTime + 2*time.Second + 300*time.Millisecond)
	var broken []string
	for i := range 4 {
		waiting := 0
		for _, id := range ids {
			if l.world.startsOf(id+".0.0.0") == 0 {
				waiting++
			}
		}
		status, body := l.call("GET", prefix, nil)
		var m struct{ Pending int }
		if status == 200 && json.Unmarshal(body, &m) == nil {
			l.logf("reading %d: %d accepted jobs have not begun, pending is %d", i, waiting, m.Pending)
			if 2*m.Pending < waiting {
				broken = append(broken, fmt.Sprintf("MIXED: %d jobs that were accepted more than 5 s ago have not begun, but pending is %d", waiting, m.Pending))
			}
		}
		time.Sleep(time.Second)
	}
	l.finish(broken)
}

// otherWriter: a heartbeat that lacks fields comes from another writer, with an id of its own and the address of a
// runner. It must have no effect.
func otherWriter(l *lab) {
	l.start()
	for range 4 {
		l.world.add("a", 16000)
	}
	l.configure(1, newRoute("r-1", prefix, 4))
	time.Sleep(2500 * time.Millisecond)
	var ids []string
	for range 4 {
		ids = append(ids, l.submit(prefix, job{Spec: "work=9000 cpu=2000", Steps: []step{{Count: 3, CPU: 2000, MemMB: 256, EstimatedMs: 9000}}}))
	}
	time.Sleep(3 * time.Second)
	r := l.world.runnerOf(ids[0] + ".0.0.0")
	if r == nil {
		l.unusable("the task does not run")
	}
	if trouble() {
		body, _ := json.Marshal(map[string]any{
			"service": service, "address": r.address(), "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]any{}, "labels": r.labels, "clock_ms": 1200, "sequence": 1, "born": time.Now().UnixMilli(),
		})
		l.logf("another writer: heartbeat of i-0badc0de: %s", body)
		for i, n := range l.cores {
			status, answer := l.send("POST", fmt.Sprintf("http://%s:%d/instances/i-0badc0de/heartbeat", n.ip, controlPort), body, time.Second, false)
			l.logf("another writer: the answer of %s is %d %s", n.name, status, short(answer))
			if status == 200 || i == 1 {
				break
			}
		}
	}
	for _, id := range ids {
		l.logf("job %s is shown as %s", id, l.waitState(prefix, id, 40*time.Second, "completed", "failed"))
	}
	l.world.mu.Lock()
	broken := slices.Clone(l.world.broken)
	l.world.mu.Unlock()
	l.finish(broken)
}

// lateReborn: a start gets no answer and is carried out 9 s later. Meanwhile its runner is cut off for 5.5 s, crashes
// behind the cut and starts again, so that its next life carries the start out.
func lateReborn(l *lab) {
	l.start()
	for range 8 {
		l.world.add("a", 16000)
	}
	l.configure(1, newRoute("r-1", prefix, 4))
	time.Sleep(2500 * time.Millisecond)
	id := newID()
	task := id + ".0.0.0"
	const delay = 9 * time.Second
	var first *runner
	var began time.Time
	l.world.mu.Lock()
	for _, r := range l.world.runners {
		if trouble() {
			r.lateStart = func(t string, run uint64) time.Duration {
				if t != task || run != 1 {
					return 0
				}
				first, began = r, time.Now()
				return delay
			}
		}
	}
	l.world.mu.Unlock()
	// The task goes to the fullest runner. When it is started again, another one is fuller, because the first of these
	// jobs has ended.
	l.submit(prefix, job{Spec: "work=4000 cpu=12000", Steps: []step{{Count: 1, CPU: 12000, MemMB: 256, EstimatedMs: 4000}}})
	l.submit(prefix, job{Spec: "work=40000 cpu=5000", Steps: []step{{Count: 1, CPU: 5000, MemMB: 256, EstimatedMs: 40000}}})
	time.Sleep(3600 * time.Millisecond)
	l.submitAs(id, prefix, job{Spec: "work=16000 cpu=2000", Steps: []step{{Count: 1, CPU: 2000, MemMB: 256, EstimatedMs: 16000}}})
	for deadline := time.Now().Add(15 * time.Second); l.world.startsOf(task) == 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			l.unusable("the task does not run")
		}
	}
	if trouble() {
		if first == nil {
			l.unusable("no late start")
		}
		time.Sleep(time.Until(began.Add(6 * time.Second)))
		first.setCut(true)
		time.Sleep(500 * time.Millisecond)
		first.restartBehindCut(time.Second)
		time.Sleep(time.Until(began.Add(11500 * time.Millisecond)))
		first.setCut(false)
	}
	l.logf("job is shown as %s", l.waitState(prefix, id, 40*time.Second, "completed", "failed"))
	l.world.mu.Lock()
	broken := slices.Clone(l.world.broken)
	l.world.mu.Unlock()
	l.finish(broken)
}

// burstStarves: after a burst of short jobs, a job of tasks that fill (utilization) must not have nothing running for
// 3 s, finish_s after the traffic has ended, while the service is empty.
func burstStarves(l *lab) {
	l.start()
	for range 7 {
		l.world.add("a", 16000).memMB = 32768
	}
	fills := newRoute("r-2", "/fills/", 4)
	fills.Priority, fills.TargetLatencyMs, fills.SlackFactor = 2, 1000, 2
	l.configure(1, newRoute("r-1", prefix, 4), fills)
	time.Sleep(2500 * time.Millisecond)
	// 33 tasks of one second a second take six tenths of the 56 that have room at the same time.
	const usual, burst = 300 * time.Millisecond, 300 * time.Millisecond * 10 / 26
	short := job{Spec: "work=1000 cpu=2000 mem=4096", Steps: []step{{Count: 10, CPU: 2000, MemMB: 4096, EstimatedMs: 1000}}}
	var id string
	var wg sync.WaitGroup
	began := time.Now()
	for elapsed := time.Duration(0); elapsed < 11*time.Second; elapsed = time.Since(began) {
		wg.Add(1)
		go func() { defer wg.Done(); l.submit(prefix, short) }()
		pause := usual
		if trouble() && elapsed > 5*time.Second && elapsed < 9*time.Second {
			pause = burst
		}
		if id == "" && elapsed > 8500*time.Millisecond {
			id = l.submit("/fills/", job{Spec: "work=1500 mem=4096", Steps: []step{{Count: 2, CPU: 2000, MemMB: 4096, EstimatedMs: 1500, Image: "image-1", Utilization: true}}})
		}
		time.Sleep(pause)
	}
	wg.Wait()
	l.logf("the traffic ends")
	time.Sleep(finishTime)
	var broken []string
	if s, _ := l.state("/fills/", id); s != "completed" && s != "failed" {
		stuck := true
		for deadline := time.Now().Add(stuckTime); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
			for _, task := range []string{id + ".0.0.0", id + ".0.0.1"} {
				stuck = stuck && !l.world.isRunning(task) && l.world.endsOf(task, "done") == 0
			}
		}
		if stuck {
			broken = append(broken, fmt.Sprintf("LOST: from %.1f s to %.1f s after the end of the traffic nothing of job %s runs, which is shown as %q; its tasks are due, and nothing runs on any of the seven runners",
				finishTime.Seconds(), (finishTime+stuckTime).Seconds(), id, s))
		}
	}
	l.logf("job %s is shown as %q later; its first task was started %d times", id, l.waitState("/fills/", id, 45*time.Second, "completed", "failed"), l.world.startsOf(id+".0.0.0"))
	l.finish(broken)
}

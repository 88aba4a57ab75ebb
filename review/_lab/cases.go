package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

var cases = map[string]func(*lab){
	"lowered-attempts": loweredAttempts,
	"gang-checkpoint":  gangCheckpoint,
	"other-writer":     otherWriter,
	"dark-start":       darkStart,
	"dark-pending":     darkPending,
}

const prefix = "/quotes/"

// loweredAttempts: a task has failed three times of four and waits for its next run when its route is removed
// and added again with two attempts. The job must then be shown as failed, or its task must run.
func loweredAttempts(l *lab) {
	l.start()
	l.world.add("b", 16000)
	for range 2 {
		l.world.add("a", 16000)
	}
	l.configure(1, newRoute("r-1", prefix, 4), newRoute("r-2", "/other/", 4))
	time.Sleep(2500 * time.Millisecond)
	id := l.submit(prefix, job{Spec: "work=500 cpu=500 fails=1", Steps: []step{{Count: 1, CPU: 500, MemMB: 256, EstimatedMs: 500, Requirements: "b"}}})
	task := id + ".0.0.0"
	for deadline := time.Now().Add(30 * time.Second); l.world.endsOf(task, "failed") < 3; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			l.unusable("the task did not fail three times")
		}
	}
	// The third end is recorded by then, and the task waits before it returns to the runner of its last failure.
	time.Sleep(400 * time.Millisecond)
	if trouble() {
		l.configure(2, newRoute("r-2", "/other/", 4))
		l.configure(3, newRoute("r-1", prefix, 2), newRoute("r-2", "/other/", 4))
	}
	last := l.waitState(prefix, id, 40*time.Second, "failed", "completed")
	if last == "failed" || last == "completed" {
		l.finish(nil)
	}
	l.finish([]string{fmt.Sprintf("LOST: 40 s after the configuration job %s is still shown as %q; its task was started %d times and nothing runs", id, last, l.world.startsOf(task))})
}

// endsOf returns how many runs of a task have ended in a way.
func (w *world) endsOf(task, how string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ends[task+" "+how]
}

// background hands a small job in every 150 ms until the returned function is called.
func (l *lab) background() (stop func()) {
	end := make(chan bool)
	go func() {
		for {
			select {
			case <-end:
				return
			case <-time.After(150 * time.Millisecond):
				l.submit(prefix, job{Spec: "work=700 cpu=500", Steps: []step{{Count: 3, CPU: 500, MemMB: 256, EstimatedMs: 700}}})
			}
		}
	}()
	return func() { end <- true }
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

// gangCheckpoint: one of seven runners crashes under a member of a gang that saves its progress, and is back
// after 1.5 s; that is repeated. All members of a run have to carry the same checkpoint.
func gangCheckpoint(l *lab) {
	l.start()
	for range 7 {
		l.world.add("a", 16000)
	}
	l.configure(1, newRoute("r-1", prefix, 4))
	time.Sleep(2500 * time.Millisecond)
	stop := l.background()
	time.Sleep(2 * time.Second)
	id := l.submit(prefix, job{Spec: "work=30000 cpu=9000 gang=4", Steps: []step{{Count: 4, CPU: 9000, MemMB: 256, EstimatedMs: 30000, Gang: true, Checkpoints: true}}})
	for i := range 8 {
		time.Sleep(2500*time.Millisecond + time.Duration(i)*130*time.Millisecond)
		r := l.world.runnerOf(id + ".0.0.0")
		if !trouble() || r == nil {
			continue
		}
		r.crash()
		time.Sleep(1500 * time.Millisecond)
		r.begin()
	}
	stop()
	l.logf("job is shown as %s", l.waitState(prefix, id, 30*time.Second, "completed", "failed"))
	var runs []uint64
	values := map[uint64]map[string][]string{}
	l.world.mu.Lock()
	for _, s := range l.world.starts {
		if !strings.HasPrefix(s.task, id) || s.answer != "200" {
			continue
		}
		if values[s.run] == nil {
			values[s.run], runs = map[string][]string{}, append(runs, s.run)
		}
		values[s.run][s.checkpoint] = append(values[s.run][s.checkpoint], s.task[len(id):])
	}
	l.world.mu.Unlock()
	var broken []string
	for _, n := range runs {
		l.logf("run %d: members by the checkpoint that their start carried: %v", n, values[n])
		if len(values[n]) > 1 {
			broken = append(broken, fmt.Sprintf("UNASKED: the members of run %d of gang %s.0.0 carry %d different checkpoints: %v", n, id, len(values[n]), values[n]))
		}
	}
	l.finish(broken)
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

// startDark starts the system with seven runners and some traffic. One runner, the one that was given the most
// tasks, is then lost for good: it is silent from then on. Jobs come for some seconds more. It returns their ids.
func startDark(l *lab) []string {
	l.start()
	for range 7 {
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
		l.world.mu.Lock()
		r.cut = true
		l.world.mu.Unlock()
		l.logf("runner %s is lost for good and silent from now on", r.id)
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
		broken = append(broken, fmt.Sprintf("LOST: from %.1f s to %.1f s after the end of the traffic nothing of job %s runs, which is shown as %q; its task is due, six runners are idle and no task runs anywhere",
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

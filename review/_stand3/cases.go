package main

import (
	"fmt"
	"math/rand"
	"time"
)

// gangCase: the runner of a member of a gang crashes once and is back after 2 s.
func gangCase(s *scene) error {
	if err := s.begin(8, 32000, 128000, sameLabel, baseConfig(1)); err != nil {
		return err
	}
	j := &job{ID: newID(), Spec: "gang", Steps: []step{{Count: 4, CPU: 8000, MemMB: 8000, EstimatedMs: 8000, Gang: true, Checkpointing: true, AntiAffinity: 1, work: 8 * time.Second}}}
	if err := s.c.submit(s.w, "batch.example", "/batch/", j); err != nil {
		return err
	}
	calmFrom := time.Now()
	if s.trouble {
		// From 3.5 s of work on: the runner has produced a value that no answer to a poll has given yet.
		crashed := s.waitFor(20*time.Second, func() bool {
			for _, m := range s.w.machines {
				for _, x := range m.cur.runs {
					if x.done > 3500*time.Millisecond && x.saved != m.cur.listed[x.task] {
						m.crash("power")
						m.reboot(2*time.Second, 0)
						return true
					}
				}
			}
			return false
		})
		if !crashed {
			return fmt.Errorf("no moment for the crash")
		}
		// The runner is back after 2 s. A run that ends alone has begun gangTimeout before.
		calmFrom = time.Now().Add(2*time.Second + contactTime + gangTimeout)
	}
	alone := 0
	s.w.mu.Lock()
	s.w.onEnd = func(_ *runner, _ *run, how string) {
		if how == "alone" && time.Now().After(calmFrom) {
			alone++
		}
	}
	s.w.mu.Unlock()
	state := s.follow(j, 60*time.Second, func() {})
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	for key, values := range s.w.values {
		if len(values) > 1 {
			s.rec.log("the members of gang %s were started with different checkpoints: %v", key, values)
		}
	}
	s.rec.log("job %s: %s", j.ID, state)
	if alone > 0 {
		s.rec.broken("GANG: %d runs ended alone over %s after the runner was back; the job needs 8 s of work and is %s after 60 s", alone, contactTime+gangTimeout, state)
	}
	return nil
}

// starvedCase: the runner of a small job is lost for good, so that the job is too late to be of use. A large job of the
// same queue, which needs a whole machine, waits for one.
func starvedCase(s *scene) error {
	if err := s.begin(8, 32000, 128000, sameLabel, baseConfig(1)); err != nil {
		return err
	}
	lasting := &job{ID: newID(), Spec: "lasting", Steps: []step{{Count: 8, CPU: 1000, MemMB: 1000, EstimatedMs: 1000, LongRunning: true, AntiAffinity: 1}}}
	if err := s.c.submit(s.w, "quick.example", "/last/", lasting); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	small := &job{ID: newID(), Spec: "small", Steps: []step{{Count: 1, CPU: 2000, MemMB: 2000, EstimatedMs: 300, work: 3 * time.Second}}}
	if err := s.c.submit(s.w, "batch.example", "/batch/", small); err != nil {
		return err
	}
	if !s.waitFor(10*time.Second, func() bool { return s.w.running(small.ID) > 0 }) {
		return fmt.Errorf("the small job has not begun")
	}
	large := &job{ID: newID(), Spec: "large", Steps: []step{{Count: 1, CPU: 32000, MemMB: 64000, EstimatedMs: 20000, work: 20 * time.Second}}}
	if err := s.c.submit(s.w, "batch.example", "/batch/", large); err != nil {
		return err
	}
	if s.trouble {
		s.w.mu.Lock()
		for _, m := range s.w.machines {
			for task := range m.cur.runs {
				if task[:16] == small.ID {
					m.crash("lost for good")
				}
			}
		}
		s.w.mu.Unlock()
	}
	state, idle := s.finish(small, &small.Steps[0], 60*time.Second)
	if state != "completed" && idle > idleTime {
		s.rec.broken("LOST: the small job is %s; nothing of it ran for %.1f s, with room for it and under half of the processors in use", state, idle.Seconds())
	}
	return nil
}

// kindCase: a runner crashes and starts again under its id, as one of another kind.
func kindCase(s *scene) error {
	label := func(i int) string {
		if i == 0 {
			return "b"
		}
		return "a"
	}
	if err := s.begin(8, 32000, 128000, label, baseConfig(1)); err != nil {
		return err
	}
	m := s.w.machines[0]
	m.sameID = true
	lasting := &job{ID: newID(), Spec: "lasting", Steps: []step{{Count: 2, CPU: 1000, MemMB: 1000, EstimatedMs: 1000, LongRunning: true, Requirements: "b"}}}
	if err := s.c.submit(s.w, "quick.example", "/last/", lasting); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		s.w.mu.Lock()
		m.crash("power")
		m.label = "a"
		// The first heartbeat comes within one interval.
		m.reboot(2*time.Second, time.Duration(rand.Int63n(int64(heartbeatInterval))))
		s.w.mu.Unlock()
	}
	s.follow(lasting, 20*time.Second, func() {})
	return nil
}

// deadlyCase: a task crashes each runner that starts it after 2.5 s of work; one machine has the label that it needs.
func deadlyCase(s *scene) error {
	label := func(i int) string {
		if i == 0 {
			return "b"
		}
		return "a"
	}
	if err := s.begin(8, 32000, 128000, label, baseConfig(1)); err != nil {
		return err
	}
	st := step{Count: 1, CPU: 4000, MemMB: 8000, EstimatedMs: 4000, Requirements: "b", work: 4 * time.Second}
	if s.trouble {
		st.crashAfter = 2500 * time.Millisecond
	}
	j := &job{ID: newID(), Spec: "deadly", Steps: []step{st}}
	if err := s.c.submit(s.w, "batch.example", "/batch/", j); err != nil {
		return err
	}
	state := s.follow(j, 80*time.Second, func() {})
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	for task := range s.w.starts {
		s.rec.log("task %s: %d starts, %d crashes, %d starts after the third; the job is %s", task, s.w.starts[task], s.w.crashes[task], s.w.startsAfterCrash[task], state)
		if n := s.w.startsAfterCrash[task]; n >= 3 {
			s.rec.broken("BUDGET: %s was started %d more times after three runners had crashed under it", task, n)
		}
	}
	return nil
}

// attemptsCase: a route is removed and added again with fewer attempts, while a task of its queue that has failed as often
// already is waiting.
func attemptsCase(s *scene) error {
	label := func(i int) string {
		if i == 0 {
			return "b"
		}
		return "a"
	}
	if err := s.begin(8, 32000, 128000, label, baseConfig(1)); err != nil {
		return err
	}
	// Beside 20 sound jobs, the one that can never be done is less than 0.05 of those of its queue.
	for range 20 {
		sound := &job{ID: newID(), Spec: "sound", Steps: []step{{Count: 1, CPU: 1000, MemMB: 1000, EstimatedMs: 300, work: 300 * time.Millisecond}}}
		if err := s.c.submit(s.w, "batch.example", "/batch/", sound); err != nil {
			return err
		}
	}
	// The task fails each time, and waits for a while after each failure, as one machine has the label that it needs.
	j := &job{ID: newID(), Spec: "hopeless", Steps: []step{{Count: 1, CPU: 2000, MemMB: 4000, EstimatedMs: 500, Requirements: "b", work: time.Hour, failAfter: 700 * time.Millisecond}}}
	if err := s.c.submit(s.w, "batch.example", "/batch/", j); err != nil {
		return err
	}
	if !s.waitFor(20*time.Second, func() bool { return s.w.ends["failed"] >= 2 }) {
		return fmt.Errorf("the task has not failed twice")
	}
	time.Sleep(300 * time.Millisecond)
	if s.trouble {
		removed, added := baseConfig(2), baseConfig(4)
		removed.Routes = append(removed.Routes[:1:1], removed.Routes[2:]...)
		added.Routes[1].MaxAttempts = 2
		for _, cfg := range []config{removed, added} {
			if err := s.c.putConfig(cfg); err != nil {
				return err
			}
		}
	}
	state, idle := s.finish(j, &j.Steps[0], 40*time.Second)
	if state != "failed" && idle > idleTime {
		s.rec.broken("LOST: the job is %s; nothing of it ran for %.1f s, with room for it and under half of the processors in use", state, idle.Seconds())
	}
	return nil
}

// fillCase: the one machine with more processors than a task that fills asks for is lost for good.
func fillCase(s *scene) error {
	// No machine has been added yet.
	s.w.cpuOf = func(i int) int64 {
		if i == 0 {
			return 48000
		}
		return 32000
	}
	if err := s.begin(8, 32000, 128000, sameLabel, baseConfig(1)); err != nil {
		return err
	}
	j := &job{ID: newID(), Spec: "fill", Steps: []step{{Count: 1, CPU: 40000, MemMB: 8000, EstimatedMs: 6000, Fills: true, Image: "img-1", work: 6 * time.Second}}}
	if err := s.c.submit(s.w, "batch.example", "/batch/", j); err != nil {
		return err
	}
	if !s.waitFor(10*time.Second, func() bool { return s.w.running(j.ID) > 0 }) {
		return fmt.Errorf("the job has not begun")
	}
	time.Sleep(2 * time.Second)
	if s.trouble {
		s.w.mu.Lock()
		s.w.machines[0].crash("lost for good")
		s.w.mu.Unlock()
	}
	state, idle := s.finish(j, &j.Steps[0], 50*time.Second)
	if state != "completed" && idle > idleTime {
		s.rec.broken("LOST: the job is %s; nothing of it ran for %.1f s, with room for it and under half of the processors in use", state, idle.Seconds())
	}
	return nil
}

// bigGangCase: a gang of 300 tasks, for which there is room.
func bigGangCase(s *scene) error {
	if err := s.begin(12, 32000, 128000, sameLabel, baseConfig(1)); err != nil {
		return err
	}
	n := 200
	if s.trouble {
		n = 300
	}
	j := &job{ID: newID(), Spec: "big", Steps: []step{{Count: n, CPU: 250, MemMB: 250, EstimatedMs: 3000, Gang: true, work: 3 * time.Second}}}
	if err := s.c.submit(s.w, "batch.example", "/batch/", j); err != nil {
		return err
	}
	state, idle := s.finish(j, &j.Steps[0], 40*time.Second)
	if state != "completed" && idle > idleTime {
		s.rec.broken("LOST: the gang of %d is %s; nothing of it ran for %.1f s, with room for it twice over", n, state, idle.Seconds())
	}
	return nil
}

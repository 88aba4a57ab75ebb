package main

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

var cases = map[string]func(root, folder string, trouble bool) verdict{
	"scheduled-job":  scheduledJob,
	"failed-task":    failedTask,
	"fewer-attempts": fewerAttempts,
	"other-kind":     otherKind,
	"lost-founder":   lostFounder,
	"gang":           gangDrain,
	"late-crash":     lateCrash,
	"late-start":     lateStart,
	"large-config":   largeConfig,
}

func labelsOf(kind string) []string { return []string{kind, "r1-1"} }

// scheduledJob: the time of a scheduled job has come and nothing else goes on, because the client of the
// other job has cancelled it.
func scheduledJob(root, folder string, trouble bool) verdict {
	const background = "5c0e7a21d94b36f8"
	scheduled := []string{"7d1f8b32ea5c47a9", "8a30c1e2b7d94f65", "913b5dd07fc2e84a"}
	return runCase(root, folder, trouble, func(e *env) {
		for range 4 {
			e.addRunner(8000, 16000, labelsOf("a"), func(_ *runner, task string, _ uint64) plan {
				if strings.HasPrefix(task, background) {
					return plan{cpu: 500, memMB: 256, length: 2 * time.Second, how: "done"}
				}
				return plan{cpu: 500, memMB: 256, length: 500 * time.Millisecond, how: "done"}
			})
		}
	}, func(e *env) verdict {
		if !e.begin() {
			return cannotRun
		}
		// The background job has tasks that follow one another for about 50 s.
		steps := `{"count":2,"cpu":500,"mem_mb":256,"estimated_ms":2000}`
		for i := range 24 {
			steps += `,{"count":2,"cpu":500,"mem_mb":256,"estimated_ms":2000,"depends_on":[` + itoa(i) + `]}`
		}
		if !e.submit(background, `{"spec":"x","steps":[`+steps+`]}`) {
			return cannotRun
		}
		due := time.Now().Add(10 * time.Second)
		for i, id := range scheduled {
			at := due.Add(time.Duration(i) * time.Second)
			if !e.submit(id, `{"spec":"x","start_at_ms":`+itoa(int(at.UnixMilli()))+`,"interval_ms":4000,"repeat_count":2,"steps":[{"count":2,"cpu":500,"mem_mb":256,"estimated_ms":500}]}`) {
				return cannotRun
			}
		}
		time.Sleep(time.Second)
		if e.trouble && !e.cancel(background) {
			return cannotRun
		}
		time.Sleep(time.Until(due.Add(7 * time.Second)))
		e.rec.printf("all times of the scheduled jobs have come; clients send no more jobs")
		time.Sleep(finish)
		v := held
		for _, id := range scheduled {
			if e.judgeUnfinished(id) == broken {
				v = broken
			}
		}
		return v
	})
}

// judgeUnfinished watches a job for 3 s. The rule is broken if it is neither completed nor failed, and
// none of its tasks has run meanwhile.
func (e *env) judgeUnfinished(job string) verdict {
	const watched = 3 * time.Second
	before, state, asked := len(e.startsOf(job)), "", time.Time{}
	for since := time.Now(); time.Since(since) < watched; time.Sleep(20 * time.Millisecond) {
		if e.hasRunning(job) || len(e.startsOf(job)) > before {
			e.rec.printf("job %s has something running", job)
			return held
		}
		if time.Since(asked) < 500*time.Millisecond {
			continue
		}
		asked = time.Now()
		if state = e.state(job); state == "completed" || state == "failed" {
			e.rec.printf("job %s is %s", job, state)
			return held
		}
	}
	e.rec.printf("job %s is %s, at least %s after its task's turn has come, and had nothing running for %s", job, state, finish, watched)
	return broken
}

func itoa(n int) string {
	digits := ""
	for n > 0 || digits == "" {
		digits = string(rune('0'+n%10)) + digits
		n /= 10
	}
	return digits
}

// failedTask: a runner fails what it has for some seconds; a task that lasts can run only there, because
// each other runner has its share of the step.
func failedTask(root, folder string, trouble bool) verdict {
	const (
		job      = "5c0e7a21d94b36f8"
		count    = 12
		failFor  = 6500 * time.Millisecond
		restart  = 6 * time.Second
		calm     = 4 * time.Second
		watching = 3 * time.Second
	)
	return runCase(root, folder, trouble, func(e *env) {
		for range count {
			e.addRunner(8000, 16000, labelsOf("a"), func(_ *runner, _ string, _ uint64) plan {
				return plan{cpu: 2000, memMB: 1000, lasts: true}
			})
		}
	}, func(e *env) verdict {
		if !e.begin() {
			return cannotRun
		}
		if !e.submit(job, `{"spec":"x","steps":[{"count":`+itoa(count)+`,"cpu":2000,"mem_mb":1000,"estimated_ms":270,"long_running":true,"image":"watch","anti_affinity":1}]}`) {
			return cannotRun
		}
		time.Sleep(5 * time.Second)
		if len(e.startsOf(job)) != count {
			return cannotRun
		}
		grey := e.runners[3]
		if e.trouble {
			grey.setGrey(time.Now().Add(failFor))
			e.rec.printf("runner %s fails what it runs, for %s; it says that it is healthy", grey.id, failFor)
		}
		time.Sleep(failFor)
		e.rec.printf("the trouble is over, if there was any")
		time.Sleep(restart + calm)
		running := func() int {
			n := 0
			for _, r := range e.runners {
				n += r.runs()
			}
			return n
		}
		for since := time.Now(); time.Since(since) < watching; time.Sleep(50 * time.Millisecond) {
			if running() == count {
				return held
			}
		}
		e.rec.printf("%d of %d tasks run, %s after the trouble and for %s on end; the job is %s", running(), count, restart+calm, watching, e.state(job))
		time.Sleep(20 * time.Second)
		e.rec.printf("20 s later %d of %d tasks run", running(), count)
		return broken
	})
}

// fewerAttempts: a route is removed and added again with fewer attempts, while a task that has failed
// twice waits for room.
func fewerAttempts(root, folder string, trouble bool) verdict {
	const job, filler = "5c0e7a21d94b36f8", "7d1f8b32ea5c47a9"
	const task = job + ".0.0.0"
	return runCase(root, folder, trouble, func(e *env) {
		for range 2 {
			e.addRunner(4000, 16000, labelsOf("a"), func(_ *runner, name string, run uint64) plan {
				p := plan{cpu: 4000, memMB: 256, length: 4 * time.Second, how: "done"}
				switch {
				case name == filler+".0.0.0":
					// The two runners are free by turns.
					p.length = 2 * time.Second
				case name == task && run <= 2:
					p.how = "failed"
				}
				return p
			})
		}
	}, func(e *env) verdict {
		if !e.begin() {
			return cannotRun
		}
		if !e.submitTo(bulkPrefix, filler, `{"spec":"x","steps":[{"count":14,"cpu":4000,"mem_mb":256,"estimated_ms":4000}]}`) ||
			!e.submit(job, `{"spec":"x","steps":[{"count":1,"cpu":4000,"mem_mb":256,"estimated_ms":4000}]}`) {
			return cannotRun
		}
		for range 4000 {
			if e.endsSince(time.Time{}, task, "failed") == 2 {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		e.rec.printf("task %s has failed %d times by its own fault", task, e.endsSince(time.Time{}, task, "failed"))
		if e.trouble && (!e.putConfig(config(2, 4, false), 10*time.Second) || !e.putConfig(config(3, 2, true), 10*time.Second)) {
			return cannotRun
		}
		for range 80 {
			if e.stateAt(bulkPrefix, filler) == "completed" {
				break
			}
			time.Sleep(500 * time.Millisecond)
		}
		e.rec.printf("the runners are free; clients send no more jobs")
		time.Sleep(finish)
		return e.judgeUnfinished(job)
	})
}

// otherKind: runners crash, one at a time, and start again under their ids as another kind.
func otherKind(root, folder string, trouble bool) verdict {
	const (
		runners, ofKind, crashes = 12, 5, 4
		down                     = 3 * time.Second
		pause                    = 7 * time.Second
	)
	return runCase(root, folder, trouble, func(e *env) {
		for i := range runners {
			kind := "a"
			if i < ofKind {
				kind = "b"
			}
			e.addRunner(8000, 16000, labelsOf(kind), func(_ *runner, _ string, _ uint64) plan {
				return plan{cpu: 500, memMB: 256, length: 700 * time.Millisecond, how: "done"}
			})
		}
	}, func(e *env) verdict {
		if !e.begin() {
			return cannotRun
		}
		over := make(chan struct{})
		go func() {
			defer close(over)
			for i := range crashes {
				time.Sleep(pause)
				if !e.trouble {
					continue
				}
				r := e.runners[i]
				r.crash("crashed")
				time.Sleep(down)
				// The first heartbeat comes at any moment of the interval.
				r.restartAs(labelsOf("c"), time.Duration(rand.Int64N(int64(heartbeat))))
			}
		}()
		for i := 0; ; i++ {
			select {
			case <-over:
				time.Sleep(3 * time.Second)
				return e.judgeLabels("b")
			default:
			}
			if !e.submit("5c0e7a21d94b3"+itoa(100+i), `{"spec":"x","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimated_ms":700,"requirements":"b","anti_affinity":1}]}`) {
				return cannotRun
			}
			time.Sleep(250 * time.Millisecond)
		}
	})
}

// judgeLabels checks that all tasks were started on runners with the label that they require.
func (e *env) judgeLabels(label string) verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := held
	for _, s := range e.starts {
		if s.labels[0] != label {
			e.rec.printf("task %s, which requires label %s, was started on %s with labels %v", s.task, label, s.runner, s.labels)
			v = broken
		}
	}
	return v
}

// lostFounder: one machine of the core is lost half a second after the first start, and replaced.
func lostFounder(root, folder string, trouble bool) verdict {
	const job = "5c0e7a21d94b36f8"
	return runCase(root, folder, trouble, func(e *env) {
		for range 4 {
			e.addRunner(8000, 16000, labelsOf("a"), func(_ *runner, _ string, _ uint64) plan {
				return plan{cpu: 500, memMB: 256, length: 500 * time.Millisecond, how: "done"}
			})
		}
	}, func(e *env) verdict {
		if e.trouble {
			time.Sleep(500 * time.Millisecond)
			e.lose(e.cores()[1])
			time.Sleep(time.Second)
			if err := e.replaceCore(1); err != nil {
				return cannotRun
			}
		}
		if !e.putConfig(config(1, 4, true), 45*time.Second) {
			for _, address := range e.controls() {
				status, text := send(http.MethodGet, address, "", "/config/describe", "", 3*time.Second)
				e.rec.printf("operator: GET /config/describe at %s -> %d %s", address, status, text)
				if status == 0 {
					// A core machine that does not answer at all is not what this case is about.
					return cannotRun
				}
			}
			for i := range 4 {
				e.call(i, http.MethodPost, prefix+job, `{"spec":"x","steps":[{"count":2,"cpu":500,"mem_mb":256,"estimated_ms":500}]}`)
			}
			e.rec.printf("45 s after all machines were there again, no configuration is acknowledged and no request is served")
			return broken
		}
		if !e.waitReady(20*time.Second) || !e.submit(job, `{"spec":"x","steps":[{"count":2,"cpu":500,"mem_mb":256,"estimated_ms":500}]}`) {
			return broken
		}
		time.Sleep(4 * time.Second)
		if e.state(job) != "completed" {
			return broken
		}
		return held
	})
}

// gangDrain: a runner with a member of a gang is emptied and taken away.
func gangDrain(root, folder string, trouble bool) verdict {
	const (
		job = "5c0e7a21d94b36f8"
		// contact is the time after which trouble is no longer near.
		contact = 3 * time.Second
	)
	return runCase(root, folder, trouble, func(e *env) {
		for range 16 {
			e.addRunner(8000, 16000, labelsOf("a"), func(_ *runner, _ string, _ uint64) plan {
				return plan{cpu: 4000, memMB: 256, length: 12 * time.Second, how: "done", gang: 6}
			})
		}
	}, func(e *env) verdict {
		if !e.begin() {
			return cannotRun
		}
		if !e.submit(job, `{"spec":"x","steps":[{"count":6,"cpu":4000,"mem_mb":256,"estimated_ms":12000,"gang":true,"checkpointing":true,"anti_affinity":1}]}`) {
			return cannotRun
		}
		time.Sleep(4600 * time.Millisecond)
		if e.trouble {
			for _, r := range e.runners {
				if r.id == e.startsOf(job)[0].runner {
					r.leave()
					break
				}
			}
		}
		calm := time.Now()
		e.rec.printf("the trouble is over, if there was any")
		for time.Since(calm) < 60*time.Second {
			if e.state(job) == "completed" {
				return held
			}
			time.Sleep(time.Second)
		}
		alone := e.endsSince(calm.Add(contact+gangTimeout), job, "alone")
		e.rec.printf("60 s after the trouble the job is not completed; %d runs ended alone, later than %s after the trouble", alone, contact+gangTimeout)
		if alone == 0 {
			return held
		}
		return broken
	})
}

// lateCrash: a task crashes each runner that starts it, 11 s after its start.
func lateCrash(root, folder string, trouble bool) verdict {
	const (
		job = "5c0e7a21d94b36f8"
		// most is the number of starts after the third crash that break the rule.
		most = 3
		back = 2 * time.Second
	)
	return runCase(root, folder, trouble, func(e *env) {
		for range 12 {
			r := e.addRunner(8000, 16000, labelsOf("a"), func(_ *runner, name string, _ uint64) plan {
				if strings.HasPrefix(name, job) {
					return plan{cpu: 500, memMB: 256, length: 11 * time.Second, how: "done", crash: e.trouble}
				}
				return plan{cpu: 500, memMB: 256, length: 300 * time.Millisecond, how: "done"}
			})
			r.onCrash = func() {
				e.noteCrash()
				time.AfterFunc(back, func() { r.restartAs(labelsOf("a"), 0) })
			}
		}
	}, func(e *env) verdict {
		if !e.begin() {
			return cannotRun
		}
		if !e.submit(job, `{"spec":"x","steps":[{"count":1,"cpu":500,"mem_mb":256,"estimated_ms":11000}]}`) {
			return cannotRun
		}
		for i := 0; time.Since(e.rec.start) < 105*time.Second; i++ {
			// Other clients' jobs.
			if !e.submit("5c0e7a21d94b3"+itoa(100+i), `{"spec":"x","steps":[{"count":2,"cpu":500,"mem_mb":256,"estimated_ms":300}]}`) {
				return cannotRun
			}
			time.Sleep(time.Second)
			if n := e.startsAfterCrash(job, 3); n >= most {
				e.rec.printf("the task of %s was started %d times, %d of them after three runners had crashed under it; its job is %s", job, len(e.startsOf(job)), n, e.state(job))
				return broken
			}
			if s := e.state(job); s == "completed" || s == "failed" {
				return held
			}
		}
		return held
	})
}

// largeConfig: the configuration grows by many routes, and then up to eight changes are in progress at once.
func largeConfig(root, folder string, trouble bool) verdict {
	const (
		job       = "5c0e7a21d94b36f8"
		idle      = 110
		growth    = 1400
		growths   = 6
		rounds    = 12
		inFlight  = 8
		stepCount = 6
		stepTime  = 3 * time.Second
	)
	return runCase(root, folder, trouble, func(e *env) {
		for range 4 {
			e.addRunner(8000, 16000, labelsOf("a"), func(_ *runner, _ string, _ uint64) plan {
				return plan{cpu: 500, memMB: 256, length: stepTime, how: "done"}
			})
		}
	}, func(e *env) verdict {
		if !e.begin() {
			return cannotRun
		}
		version, routes := 1, idle
		if e.trouble {
			for range growths {
				version, routes = version+1, routes+growth
				if !e.putConfig(configWith(version, 4, true, routes), 10*time.Second) {
					e.rec.printf("operator: the change to %d routes was not acknowledged", routes)
				}
			}
		}
		steps := `{"count":2,"cpu":500,"mem_mb":256,"estimated_ms":3000}`
		for i := range stepCount - 1 {
			steps += `,{"count":2,"cpu":500,"mem_mb":256,"estimated_ms":3000,"depends_on":[` + itoa(i) + `]}`
		}
		if !e.submit(job, `{"spec":"x","steps":[`+steps+`]}`) {
			return cannotRun
		}
		accepted := time.Now()
		allAcked := true
		for i := 0; i < rounds && allAcked; i++ {
			var bodies []string
			for range inFlight {
				version++
				bodies = append(bodies, configWith(version, 4, true, routes))
			}
			results := make(chan bool, inFlight)
			for _, body := range bodies {
				go func() { results <- e.putConfig(body, 15*time.Second) }()
			}
			for range inFlight {
				allAcked = <-results && allAcked
			}
		}
		e.rec.printf("clients hand in no more jobs")
		time.Sleep(time.Until(accepted.Add(stepCount*(stepTime+500*time.Millisecond) + finish)))
		v := e.judgeUnfinished(job)
		if v == broken {
			status, _ := e.call(0, http.MethodPost, prefix+"7d1f8b32ea5c47a9", `{"spec":"x","steps":[{"count":1,"cpu":500,"mem_mb":256,"estimated_ms":500}]}`)
			e.rec.printf("a new job is answered %d; the operator's last changes: all acknowledged %t", status, allAcked)
		}
		return v
	})
}

// lateStart: a start gets no answer and is carried out 6 s later, by the next life of a runner that has
// crashed meanwhile.
func lateStart(root, folder string, trouble bool) verdict {
	const (
		job   = "5c0e7a21d94b36f8"
		first = "7d1f8b32ea5c47a9"
		task  = job + ".0.0.0"
		late  = 6 * time.Second
		crash = 1500 * time.Millisecond
		down  = 3500 * time.Millisecond
	)
	return runCase(root, folder, trouble, func(e *env) {
		for i := range 12 {
			kind := "a"
			if i < 2 {
				kind = "b"
			}
			e.addRunner(8000, 16000, labelsOf(kind), func(_ *runner, name string, _ uint64) plan {
				switch {
				case name == task:
					return plan{cpu: 4000, memMB: 256, length: 20 * time.Second, how: "done"}
				case strings.HasPrefix(name, first):
					return plan{cpu: 8000, memMB: 256, length: 900 * time.Millisecond, how: "done"}
				}
				return plan{cpu: 500, memMB: 256, length: 700 * time.Millisecond, how: "done"}
			})
		}
	}, func(e *env) verdict {
		if !e.begin() {
			return cannotRun
		}
		var once sync.Once
		for _, r := range e.runners[:2] {
			r.delay = func(name string, _ uint64) time.Duration {
				var after time.Duration
				if e.trouble && name == task {
					once.Do(func() {
						after = late
						go func() {
							time.Sleep(crash)
							r.crash("crashed")
							time.Sleep(down)
							r.restartAs(labelsOf("b"), heartbeat)
						}()
					})
				}
				return after
			}
		}
		begin := time.Now()
		v := held
		for i := 0; time.Since(begin) < 24*time.Second; i++ {
			// The first job has one of the two runners with label b to itself for a while.
			if i == 8 && !e.submit(first, `{"spec":"x","steps":[{"count":1,"cpu":8000,"mem_mb":256,"estimated_ms":900,"requirements":"b"}]}`) {
				return cannotRun
			}
			if i == 8 && !e.submit(job, `{"spec":"x","steps":[{"count":1,"cpu":4000,"mem_mb":256,"estimated_ms":20000,"requirements":"b"}]}`) {
				return cannotRun
			}
			// Other clients' jobs, on the other runners.
			if !e.submit("5c0e7a21d94b3"+itoa(100+i), `{"spec":"x","steps":[{"count":6,"cpu":500,"mem_mb":256,"estimated_ms":700,"requirements":"a","anti_affinity":1}]}`) {
				return cannotRun
			}
			for until := time.Now().Add(250 * time.Millisecond); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
				var at []string
				for _, r := range e.runners {
					if n := r.runOf(task); n > 0 {
						at = append(at, r.id+" run "+itoa(n))
					}
				}
				if len(at) > 1 && v == held {
					e.rec.printf("task %s runs twice at the same time: %v", task, at)
					v = broken
				}
			}
		}
		return v
	})
}

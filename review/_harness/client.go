package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	host   = "nony24.example"
	prefix = "/lohu930/"
	// bulkPrefix is that of a queue with a lower priority.
	bulkPrefix = "/pufi791/"
	service    = "huvo11a"
)

// env is what a case works with.
type env struct {
	*cluster
	trouble bool
	runners []*runner
	mu      sync.Mutex
	starts  []start
	ends    []end
	// crashes holds the times at which a task crashed its runner.
	crashes []time.Time
	gangs   *gangs
}

// end is the end of a run, as the runner saw it.
type end struct {
	at        time.Time
	task, how string
}

// start is the start of a run, as the runner saw it.
type start struct {
	at           time.Time
	runner, task string
	run          uint64
	labels       []string
}

// addRunner adds a runner that looks up its tasks in plans.
func (e *env) addRunner(cpu, mem int64, labels []string, plans func(r *runner, task string, run uint64) plan) *runner {
	r := newRunner(e.cluster, len(e.runners)+1, service, labels, cpu, mem)
	r.plans, r.gangs = plans, e.gangs
	r.onStart = func(r *runner, task string, run uint64) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.starts = append(e.starts, start{time.Now(), r.id, task, run, append([]string{}, r.labels...)})
	}
	r.onEnd = func(task, how string) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.ends = append(e.ends, end{time.Now(), task, how})
	}
	e.runners = append(e.runners, r)
	return r
}

// startsOf returns the starts of the tasks whose names begin with a job's id.
func (e *env) startsOf(job string) []start {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []start
	for _, s := range e.starts {
		if strings.HasPrefix(s.task, job+".") {
			all = append(all, s)
		}
	}
	return all
}

func (e *env) noteCrash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashes = append(e.crashes, time.Now())
}

// startsAfterCrash returns how many starts of a job came after the n-th crash under a task.
func (e *env) startsAfterCrash(job string, n int) int {
	starts := e.startsOf(job)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.crashes) < n {
		return 0
	}
	after := 0
	for _, s := range starts {
		if s.at.After(e.crashes[n-1]) {
			after++
		}
	}
	return after
}

// hasRunning reports whether any runner has a run of a job now.
func (e *env) hasRunning(job string) bool {
	for _, r := range e.runners {
		if r.runsOfJob(job) > 0 {
			return true
		}
	}
	return false
}

// endsSince returns how many runs of a task or job have ended in one way since a time.
func (e *env) endsSince(since time.Time, name, how string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, end := range e.ends {
		if strings.HasPrefix(end.task, name+".") || end.task == name {
			if end.how == how && end.at.After(since) {
				n++
			}
		}
	}
	return n
}

func (e *env) front(i int) string {
	return net.JoinHostPort(e.fronts()[i%frontCount].ip, fmt.Sprint(frontPort))
}

// call is one try of a client.
func (e *env) call(i int, method, path, body string) (int, string) {
	status, text := send(method, e.front(i), host, path, body, 3*time.Second)
	e.rec.printf("client: %s %s%s at %s -> %d %s", method, host, path, e.fronts()[i%frontCount].name, status, text)
	return status, text
}

// submit hands a job in. After no answer or a refusal it asks again with the same id.
func (e *env) submit(id, body string) bool { return e.submitTo(prefix, id, body) }

func (e *env) submitTo(prefix, id, body string) bool {
	for i := range 20 {
		status, _ := e.call(i, http.MethodPost, prefix+id, body)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state asks for a job's state until there is an answer.
func (e *env) state(id string) string { return e.stateAt(prefix, id) }

func (e *env) stateAt(prefix, id string) string {
	for i := range 10 {
		status, text := e.call(i, http.MethodGet, prefix+id, "")
		var m struct {
			State string `json:"state"`
		}
		switch {
		case status == http.StatusOK && json.Unmarshal([]byte(text), &m) == nil:
			return m.State
		case status == http.StatusGone:
			return "unknown"
		}
		time.Sleep(300 * time.Millisecond)
	}
	return "no answer"
}

func (e *env) cancel(id string) bool {
	for i := range 10 {
		status, _ := e.call(i, http.MethodDelete, prefix+id, "")
		if status == http.StatusOK || status == http.StatusGone {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// config returns a configuration with one service and one route for each number of attempts.
func config(version, maxAttempts int, withRoute bool) string {
	return configWith(version, maxAttempts, withRoute, 0)
}

// configWith adds routes that are not used.
func configWith(version, maxAttempts int, withRoute bool, idleRoutes int) string {
	route := func(name, path string, attempts, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": path, "kind": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 250, "priority": priority, "service": service, "max_attempts": attempts, "slack_factor": 1.5,
		}
	}
	routes := []any{route("r-bulk", bulkPrefix, 4, 2)}
	if withRoute {
		routes = append(routes, route("r-jobs", prefix, maxAttempts, 0))
	}
	for i := range idleRoutes {
		routes = append(routes, route(fmt.Sprintf("r-%07d", i), fmt.Sprintf("/x%06d/", i), 4, 2))
	}
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{
			"name": service, "health_path": "/healthz", "max_connections": 64, "protocol": "h1", "tls": false,
			"admission_check": true, "standby": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return string(data)
}

// mostTime is the longest time of a case.
const mostTime = 116 * time.Second

// verdict is the exit status of a case.
type verdict int

const (
	held verdict = iota
	broken
	cannotRun
)

// runCase starts the system and its runners, sends the first configuration and plays the case.
func runCase(root, folder string, trouble bool, prepare func(e *env), play func(e *env) verdict) verdict {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer file.Close()
	rec := &journal{file: file, start: time.Now()}
	rec.printf("trouble: %t", trouble)
	c, err := newCluster(rec, root)
	if err != nil {
		rec.printf("cannot run: %v", err)
		return cannotRun
	}
	defer c.stopAll()
	// The case ends in any event before mostTime, and when it gets a signal.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(mostTime):
		}
		rec.printf("verdict: the case could not run to its end")
		c.stopAll()
		os.Exit(int(cannotRun))
	}()
	e := &env{cluster: c, trouble: trouble, gangs: newGangs(rec)}
	prepare(e)
	defer func() {
		for _, r := range e.runners {
			r.crash("the case is over")
		}
	}()
	if err := c.startAll(); err != nil {
		rec.printf("cannot run: %v", err)
		return cannotRun
	}
	for _, r := range e.runners {
		if err := r.start(); err != nil {
			rec.printf("cannot run: %v", err)
			return cannotRun
		}
	}
	v := play(e)
	if n := c.unexpectedEnds(); n > 0 && v == broken {
		rec.printf("%d processes ended that the case did not end", n)
		v = cannotRun
	}
	rec.printf("verdict: %s", [...]string{"the rule was kept", "the rule was broken", "the case could not run"}[v])
	return v
}

// begin waits for the first configuration and for the fronts, as traffic starts ten seconds after the
// machines.
func (e *env) begin() bool {
	if !e.putConfig(config(1, 4, true), 20*time.Second) || !e.waitReady(20*time.Second) {
		return false
	}
	time.Sleep(max(0, 10*time.Second-time.Since(e.rec.start)))
	e.rec.printf("traffic starts")
	return true
}

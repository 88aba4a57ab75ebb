package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// plan says what a run of a task does. The stand-in runners look it up by the task's name, as the bench's
// runners know what the tasks of a job do.
type plan struct {
	cpu, memMB int64
	// length is the run time. lasts marks a task that runs until it is stopped.
	length time.Duration
	lasts  bool
	// how is the end of the run, done or failed. crash lets the runner crash instead.
	how   string
	crash bool
	// gang is the number of tasks of a gang, or 0.
	gang int
}

type run struct {
	number   uint64
	started  time.Time
	plan     plan
	stopping bool
	// checkpoint is what the start carried.
	checkpoint string
}

// runner is one machine's runner. Its fields of one life begin anew with each start.
type runner struct {
	c       *cluster
	id      string
	address string
	plans   func(r *runner, task string, run uint64) plan
	onStart func(r *runner, task string, run uint64)
	onEnd   func(task, how string)
	// delay returns after which time a start is carried out without an answer, or 0 for at once.
	delay func(task string, run uint64) time.Duration
	// onCrash is called after a task has crashed the runner.
	onCrash func()
	admits  bool
	gangs   *gangs

	mu       sync.Mutex
	life     int
	up       bool
	server   *http.Server
	service  string
	labels   []string
	cpu, mem int64
	born     time.Time
	token    uint64
	until    time.Duration
	running  map[string]*run
	ended    [][]any
	endCount uint64
	blocked  map[string]uint64
	changed  chan struct{}
	sequence uint64
	endpoint string
	// draining is what the runner says of itself. acked is closed when that is acknowledged.
	draining bool
	leaveAt  time.Time
	acked    chan struct{}
	beatNow  chan struct{}
	// greyUntil is the time until which the runner fails what it runs.
	greyUntil time.Time
	// firstHeartbeat is the time from the start to the first heartbeat.
	firstHeartbeat time.Duration
}

func newRunner(c *cluster, n int, service string, labels []string, cpu, mem int64) *runner {
	return &runner{c: c, id: fmt.Sprintf("i-%04d", n), address: net.JoinHostPort(c.ip(100+n), "8080"), service: service, labels: labels, cpu: cpu, mem: mem, admits: true}
}

func (r *runner) clock() time.Duration { return time.Since(r.born) }
func (r *runner) clockMs() int64       { return 1000 + r.clock().Milliseconds() }

// start begins a life of the runner.
func (r *runner) start() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.life++
	r.up, r.born, r.token, r.until = true, time.Now(), 0, 0
	r.running, r.ended, r.endCount, r.blocked = map[string]*run{}, nil, 0, map[string]uint64{}
	r.changed, r.sequence, r.endpoint, r.draining = make(chan struct{}), 0, "", false
	r.leaveAt, r.acked, r.beatNow = time.Time{}, make(chan struct{}), make(chan struct{}, 1)
	life := r.life
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.guard(life, r.serveStart))
	mux.HandleFunc("POST /run-stop", r.guard(life, r.serveStop))
	mux.HandleFunc("POST /pace", r.guard(life, r.servePace))
	mux.HandleFunc("POST /hold", r.guard(life, r.serveHold))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {})
	r.server = &http.Server{Handler: mux}
	server := r.server
	r.c.rec.printf("runner %s: life %d begins, service %s, labels %v, capacity %d", r.id, life, r.service, r.labels, r.cpu)
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go r.beat(life, r.firstHeartbeat)
	go r.work(life)
	return nil
}

// crash ends a life without a word.
func (r *runner) crash(cause string) {
	r.mu.Lock()
	server := r.server
	if r.up {
		r.up = false
		r.c.rec.printf("runner %s: life %d ends, %s", r.id, r.life, cause)
		for task, have := range r.running {
			if have.plan.gang > 0 {
				r.gangs.leave(task, have, "crashed")
			}
		}
	}
	r.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// restartAs begins another life, perhaps of another kind.
func (r *runner) restartAs(labels []string, firstHeartbeat time.Duration) {
	r.mu.Lock()
	r.labels, r.firstHeartbeat = labels, firstHeartbeat
	r.mu.Unlock()
	r.c.rec.printf("runner %s: sends its first heartbeat %s after its start", r.id, firstHeartbeat.Round(time.Millisecond))
	if err := r.start(); err != nil {
		r.c.rec.printf("runner %s: cannot start: %v", r.id, err)
	}
}

func (r *runner) setGrey(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.greyUntil = until
}

// runs returns the number of running tasks.
func (r *runner) runs() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}

// runsOfJob returns the number of running tasks of a job.
func (r *runner) runsOfJob(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for task := range r.running {
		if r.up && strings.HasPrefix(task, job+".") {
			n++
		}
	}
	return n
}

// runOf returns the number of the run of a task that is running, or 0.
func (r *runner) runOf(task string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if have := r.running[task]; r.up && have != nil {
		return int(have.number)
	}
	return 0
}

func (r *runner) alive(life int) bool { return r.up && r.life == life }

type order struct {
	Task    string `json:"task"`
	Run     uint64 `json:"run"`
	UntilMs int64  `json:"until_ms"`
	Token   uint64 `json:"fencing_token"`
	Last    uint64 `json:"last_seen"`
	WaitMs  int64  `json:"wait_ms"`
	Spec    string `json:"spec"`
	// Checkpoint is the saved progress with which a start goes on.
	Checkpoint string `json:"checkpoint"`
}

type answer map[string]any

// guard checks the intended incarnation and the token, and holds the lock around the handler.
func (r *runner) guard(life int, handle func(o order) (int, answer)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		var o order
		if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if want := q.Header.Get("Expected-Instance"); want != "" && want != r.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if q.URL.Path == "/run-start" && r.delay != nil {
			if after := r.delay(o.Task, o.Run); after > 0 {
				r.carryOutLate(o, after, handle)
				<-q.Context().Done()
				panic(http.ErrAbortHandler)
			}
		}
		r.mu.Lock()
		if !r.alive(life) {
			r.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		status, a := http.StatusConflict, answer{"reason": "fence"}
		if o.Token >= r.token {
			r.token = o.Token
			status, a = handle(o)
		}
		if !r.alive(life) {
			r.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if a == nil {
			a = answer{}
		}
		a["clock_ms"] = r.clockMs()
		r.mu.Unlock()
		data, _ := json.Marshal(a)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write(data)
	}
}

// carryOutLate executes a start that gets no answer, at the life of the runner that there is by then.
func (r *runner) carryOutLate(o order, after time.Duration, handle func(o order) (int, answer)) {
	r.c.rec.printf("runner %s: the start of %s run %d gets no answer and is carried out %s later", r.id, o.Task, o.Run, after)
	time.AfterFunc(after, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.up {
			r.c.rec.printf("runner %s: the late start of %s run %d finds nobody", r.id, o.Task, o.Run)
			return
		}
		if o.Token < r.token {
			r.c.rec.printf("runner %s: the late start of %s run %d is refused, its token is too low", r.id, o.Task, o.Run)
			return
		}
		r.token = o.Token
		status, a := handle(o)
		r.c.rec.printf("runner %s: the late start of %s run %d is carried out in life %d: %d %v", r.id, o.Task, o.Run, r.life, status, a)
	})
}

// extend takes a lease from an order. It never shortens, and is at most holdMax.
func (r *runner) extend(untilMs int64) {
	if untilMs <= 0 {
		return
	}
	until := min(time.Duration(untilMs-1000)*time.Millisecond, r.clock()+holdMax)
	r.until = max(r.until, until)
}

func (r *runner) serveStart(o order) (int, answer) {
	if have := r.running[o.Task]; have != nil && have.number == o.Run {
		r.extend(o.UntilMs)
		return http.StatusOK, nil
	}
	if time.Duration(o.UntilMs-1000)*time.Millisecond <= r.clock() {
		return http.StatusConflict, answer{"reason": "late"}
	}
	r.extend(o.UntilMs)
	if o.Run <= r.blocked[o.Task] || r.running[o.Task] != nil {
		return http.StatusConflict, answer{"reason": "old"}
	}
	p := r.plans(r, o.Task, o.Run)
	cpu, mem := p.cpu, p.memMB
	for _, other := range r.running {
		cpu, mem = cpu+other.plan.cpu, mem+other.plan.memMB
	}
	if r.admits && (cpu > r.cpu || mem > r.mem) {
		return http.StatusConflict, answer{"reason": "room"}
	}
	r.running[o.Task] = &run{number: o.Run, started: time.Now(), plan: p, checkpoint: o.Checkpoint}
	r.c.rec.printf("runner %s: starts %s run %d (labels %v, life %d)%s", r.id, o.Task, o.Run, r.labels, r.life, withCheckpoint(o.Checkpoint))
	if p.gang > 0 {
		r.gangs.join(r, o.Task, o.Run, p, o.Checkpoint)
	}
	if r.onStart != nil {
		r.onStart(r, o.Task, o.Run)
	}
	return http.StatusOK, nil
}

func (r *runner) serveStop(o order) (int, answer) {
	r.blocked[o.Task] = max(r.blocked[o.Task], o.Run)
	if have := r.running[o.Task]; have != nil && have.number == o.Run && !have.stopping {
		have.stopping = true
		life := r.life
		time.AfterFunc(stopTimeout/4, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.alive(life) && r.running[o.Task] == have {
				r.endLocked(o.Task, "stopped")
			}
		})
	}
	return http.StatusOK, nil
}

func (r *runner) servePace(order) (int, answer) { return http.StatusOK, nil }

func (r *runner) serveHold(o order) (int, answer) {
	r.extend(o.UntilMs)
	for len(r.ended) > 0 && r.ended[0][0].(uint64) <= o.Last {
		r.ended = r.ended[1:]
	}
	life, count := r.life, r.endCount
	deadline := time.Now().Add(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for r.alive(life) && r.endCount == count && len(r.ended) == 0 && time.Now().Before(deadline) {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		}
		r.mu.Lock()
	}
	rows := []any{}
	for task, have := range r.running {
		percent := 100
		if !have.plan.lasts {
			percent = min(99, int(100*time.Since(have.started)/have.plan.length))
		}
		saved := ""
		if have.plan.gang > 0 {
			percent, saved = r.gangs.progress(task, have)
		}
		rows = append(rows, []any{task, have.number, saved, percent, have.plan.cpu})
	}
	ends := r.ended
	if len(ends) > 500 {
		ends = ends[:500]
	}
	if ends == nil {
		ends = [][]any{}
	}
	return http.StatusOK, answer{"running": rows, "ended_runs": ends, "born": r.born.UnixMilli()}
}

func (r *runner) endLocked(task, how string) {
	have := r.running[task]
	delete(r.running, task)
	r.blocked[task] = max(r.blocked[task], have.number)
	r.endCount++
	saved := ""
	if have.plan.gang > 0 {
		saved = r.gangs.leave(task, have, how)
	}
	r.ended = append(r.ended, []any{r.endCount, task, have.number, how, saved})
	r.c.rec.printf("runner %s: %s run %d ends %s%s", r.id, task, have.number, how, withCheckpoint(saved))
	if r.onEnd != nil {
		r.onEnd(task, how)
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// work ends the runs that are over, and all of them when the lease expires.
func (r *runner) work(life int) {
	for {
		time.Sleep(10 * time.Millisecond)
		r.mu.Lock()
		if !r.alive(life) {
			r.mu.Unlock()
			return
		}
		crash := ""
		for task, have := range r.running {
			switch {
			case r.clock() > r.until:
				r.endLocked(task, "lapsed")
			case time.Now().Before(r.greyUntil) && time.Since(have.started) > 200*time.Millisecond:
				r.endLocked(task, "failed")
			case have.plan.gang > 0:
				if how := r.gangs.verdict(task, have); how != "" {
					r.endLocked(task, how)
				}
			case have.plan.crash && time.Since(have.started) >= have.plan.length:
				crash = task
			case !have.plan.lasts && time.Since(have.started) >= have.plan.length:
				r.endLocked(task, have.plan.how)
			}
		}
		r.mu.Unlock()
		if crash != "" {
			r.crash("crashed by " + crash)
			if r.onCrash != nil {
				r.onCrash()
			}
			return
		}
	}
}

// beat sends heartbeats to the endpoint that the last answer named, or else to one node after the other.
func (r *runner) beat(life int, after time.Duration) {
	time.Sleep(after)
	for i := 0; ; i++ {
		r.mu.Lock()
		if !r.alive(life) {
			r.mu.Unlock()
			return
		}
		r.sequence++
		state := "ready"
		if r.draining {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"service": r.service, "address": r.address, "zone": "z1", "version": "v1", "slots": 8, "state": state,
			"cold_remaining_ms": 0, "capacity": map[string]any{"cpu": r.cpu, "mem_mb": r.mem, "gpu": 0},
			"labels": r.labels, "clock_ms": r.clockMs(), "sequence": r.sequence, "born": r.born.UnixMilli(),
			"remaining_ms": max(0, time.Until(r.leaveAt).Milliseconds()),
		})
		address := r.endpoint
		r.mu.Unlock()
		controls := r.c.controls()
		if address == "" {
			address = controls[(i+len(r.id)+r.life)%len(controls)]
		}
		status, text := send(http.MethodPost, address, "", "/instances/"+r.id+"/heartbeat", string(body), time.Second)
		var m struct {
			Endpoint string `json:"heartbeat_endpoint"`
		}
		if status == http.StatusOK {
			_ = json.NewDecoder(strings.NewReader(text)).Decode(&m)
		}
		r.mu.Lock()
		if r.alive(life) {
			r.endpoint = m.Endpoint
			if status == http.StatusOK && state == "draining" {
				r.c.rec.printf("runner %s: is draining, which is acknowledged", r.id)
				select {
				case <-r.acked:
				default:
					close(r.acked)
				}
			}
		}
		beatNow := r.beatNow
		r.mu.Unlock()
		if status != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		select {
		case <-beatNow:
		case <-time.After(heartbeat):
		}
	}
}

// leave drains the runner, deregisters it and ends it.
func (r *runner) leave() {
	r.mu.Lock()
	r.draining, r.leaveAt = true, time.Now().Add(drainTime)
	acked := r.acked
	r.beatNow <- struct{}{}
	r.mu.Unlock()
	r.c.rec.printf("runner %s: begins to drain", r.id)
	select {
	case <-acked:
	case <-time.After(6 * time.Second):
	}
	time.Sleep(drainTime + 500*time.Millisecond)
	status, _ := send(http.MethodPost, r.c.controls()[0], "", "/instances/"+r.id+"/deregister", "", time.Second)
	r.c.rec.printf("runner %s: deregisters -> %d", r.id, status)
	r.crash("it leaves")
}

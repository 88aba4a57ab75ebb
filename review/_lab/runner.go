package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// world holds all runners and what they run. Its lock guards everything.
type world struct {
	lab     *lab
	mu      sync.Mutex
	runners []*runner
	starts  []start
	// broken holds the broken rules that the runners have seen. lastStart is the time of the last start of each
	// task.
	broken    []string
	lastStart map[string]time.Time
	done      map[string]time.Time
	specs     map[string]string
	// ends counts the ends of runs by task and way.
	ends   map[string]int
	beat   string
	gangs  map[string]*gang
	closed bool
}

// start is an order to start that a runner has got, in order of arrival.
type start struct {
	at                     time.Time
	runner, task, spec     string
	labels                 []string
	run                    uint64
	checkpoint, answer     string
	born, clock, remaining int64
}

// runner is one machine of the service. It has one life after another under the same id.
type runner struct {
	w       *world
	id, ip  string
	labels  []string
	cpu     int
	memMB   int
	life    *life
	server  *http.Server
	lastBeg time.Time
	// lateStart is how long a start waits unanswered before it is carried out, or 0.
	lateStart func(task string, run uint64) time.Duration
	// cut is true while nothing reaches the runner and nothing leaves it.
	cut bool
}

// life is one life of a runner.
type life struct {
	born     time.Time
	token    uint64
	leaseEnd int64
	running  map[string]*run
	blocked  map[string]uint64
	ended    []endedRun
	nextEnd  uint64
	sequence int
	draining bool
}

type run struct {
	number     uint64
	cpu, memMB int
	work       time.Duration // of the task in full
	progressed time.Duration // saved in the checkpoint that the start carried
	since      time.Time     // the work began, or zero
	checkpoint string
	outcome    string
	gangKey    string
	arrived    time.Time
	stopAt     time.Time
}

type endedRun struct {
	n          uint64
	task       string
	run        uint64
	how, saved string
	at         time.Time
	lapsed     bool
}

// gang is one run of the tasks of a gang.
type gang struct {
	size    int
	members map[string]*life
	since   time.Time
}

func newWorld(l *lab) *world {
	return &world{lab: l, gangs: map[string]*gang{}, ends: map[string]int{}, lastStart: map[string]time.Time{}, done: map[string]time.Time{}, specs: map[string]string{}}
}

func (w *world) endpoint() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.beat
}

func (w *world) close() {
	w.mu.Lock()
	w.closed = true
	rs := slices.Clone(w.runners)
	w.mu.Unlock()
	for _, r := range rs {
		if r.server != nil {
			r.server.Close()
		}
	}
}

// add adds a runner of a kind and starts its first life.
func (w *world) add(kind string, cpu int) *runner {
	n := len(w.runners)
	r := &runner{w: w, id: fmt.Sprintf("i-%08x", rand.Uint32()), ip: fmt.Sprintf("%s.%d", w.lab.prefix, 100+n),
		labels: []string{kind, fmt.Sprintf("r1-%d", n)}, cpu: cpu, memMB: 128000}
	w.mu.Lock()
	w.runners = append(w.runners, r)
	w.mu.Unlock()
	r.begin()
	go r.beatLoop()
	go r.tickLoop()
	return r
}

func (r *runner) address() string { return fmt.Sprintf("%s:%d", r.ip, runnerPort) }

// begin begins a new life. It knows nothing of the one before.
func (r *runner) begin() {
	r.w.mu.Lock()
	current := newLife()
	r.life = current
	r.w.mu.Unlock()
	l, err := net.Listen("tcp", r.address())
	if err != nil {
		r.w.lab.unusable("runner: %v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.handle(r.start))
	mux.HandleFunc("POST /run-stop", r.handle(r.stop))
	mux.HandleFunc("POST /pace", r.handle(accept))
	mux.HandleFunc("POST /hold", r.hold)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {})
	r.server = &http.Server{Handler: mux}
	s := r.server
	go s.Serve(l)
	r.w.lab.logf("runner %s (%s) begins a life, born %d, labels %v, cpu %d", r.id, r.ip, current.born.UnixMilli(), r.labels, r.cpu)
}

// crash ends the life; what ran is gone and nothing is said of it.
func (r *runner) crash() {
	r.w.mu.Lock()
	ended := r.life
	r.life = nil
	r.w.lab.logf("runner %s crashes with %d runs", r.id, len(ended.running))
	for task, x := range ended.running {
		r.w.leaveGang(task, x, ended, time.Now())
	}
	r.w.mu.Unlock()
	r.server.Close()
}

// setCut cuts the runner off, silently, or ends that.
func (r *runner) setCut(cut bool) {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	r.cut = cut
	r.w.lab.logf("runner %s: cut off %t", r.id, cut)
}

// restartBehindCut ends the life of a runner that is cut off, and begins another one after a time. Nobody sees its
// connections end.
func (r *runner) restartBehindCut(down time.Duration) {
	r.w.mu.Lock()
	r.w.lab.logf("runner %s crashes behind the cut with %d runs", r.id, len(r.life.running))
	r.life = nil
	r.w.mu.Unlock()
	time.Sleep(down)
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	r.life = newLife()
	r.w.lab.logf("runner %s begins a life behind the cut, born %d", r.id, r.life.born.UnixMilli())
}

func newLife() *life {
	return &life{born: time.Now(), leaseEnd: -1, running: map[string]*run{}, blocked: map[string]uint64{}}
}

type order struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"spec"`
	UntilMs    int64  `json:"until_ms"`
	Token      uint64 `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   uint64 `json:"last_seen"`
	WaitMs     int    `json:"wait_ms"`
}

func (l *life) clock(now time.Time) int64 { return 1 + now.Sub(l.born).Milliseconds() }

func (r *runner) read(w http.ResponseWriter, q *http.Request) (order, bool) {
	var o order
	data, err := io.ReadAll(q.Body)
	if err == nil {
		err = json.Unmarshal(data, &o)
	}
	if err != nil {
		w.WriteHeader(400)
		return o, false
	}
	if q.Header.Get("Expected-Instance") != r.id {
		w.WriteHeader(421)
		return o, false
	}
	return o, true
}

// handle answers an order. A late order gets no answer and is carried out by the life that then runs.
func (r *runner) handle(f func(*life, order) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		o, ok := r.read(w, q)
		if !ok {
			return
		}
		r.w.mu.Lock()
		if r.cut {
			r.w.mu.Unlock()
			<-q.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if q.URL.Path == "/run-start" && r.lateStart != nil {
			if d := r.lateStart(o.Task, o.Run); d > 0 {
				r.w.lab.logf("runner %s: start of %s run %d gets no answer and is carried out %s later", r.id, o.Task, o.Run, d)
				r.w.mu.Unlock()
				time.AfterFunc(d, func() {
					r.w.mu.Lock()
					defer r.w.mu.Unlock()
					if r.life != nil {
						status, reason := f(r.life, o)
						r.w.lab.logf("runner %s: late start of %s run %d carried out by the life born %d: %d %s", r.id, o.Task, o.Run, r.life.born.UnixMilli(), status, reason)
					}
				})
				<-q.Context().Done()
				panic(http.ErrAbortHandler)
			}
		}
		if r.life == nil {
			r.w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		status, reason := f(r.life, o)
		clock := r.life.clock(time.Now())
		if q.URL.Path != "/pace" {
			r.w.lab.logf("runner %s: %s %s run %d checkpoint %q token %x: %d %s", r.id, q.URL.Path, o.Task, o.Run, o.Checkpoint, o.Token, status, reason)
		}
		r.w.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		m := map[string]any{"clock_ms": clock}
		if reason != "" {
			m["reason"] = reason
		}
		_ = json.NewEncoder(w).Encode(m)
	}
}

// number reads "key=N" from a spec.
func number(spec, key string) int {
	for _, f := range strings.Fields(spec) {
		if v, ok := strings.CutPrefix(f, key+"="); ok {
			n, _ := strconv.Atoi(v)
			return n
		}
	}
	return 0
}

func gangKeyOf(task string, run uint64) string {
	return task[:strings.LastIndexByte(task, '.')] + "/" + fmt.Sprint(run)
}

func (r *runner) start(l *life, o order) (int, string) {
	now := time.Now()
	status, reason := r.tryStart(l, o, now)
	r.w.starts = append(r.w.starts, start{at: now, runner: r.id, task: o.Task, spec: o.Spec, run: o.Run, checkpoint: o.Checkpoint,
		labels: r.labels, born: l.born.UnixMilli(), answer: fmt.Sprint(status, reason)})
	return status, reason
}

func (r *runner) tryStart(l *life, o order, now time.Time) (int, string) {
	if o.Token < l.token {
		return 409, "fence"
	}
	l.token = o.Token
	if l.clock(now) > o.UntilMs {
		return 409, "late"
	}
	l.leaseEnd = max(l.leaseEnd, min(o.UntilMs, l.clock(now)+holdMaxMs))
	if x := l.running[o.Task]; x != nil {
		if x.number == o.Run {
			return 200, ""
		}
		return 409, "old"
	}
	if o.Run <= l.blocked[o.Task] {
		return 409, "old"
	}
	used, usedMB := 0, 0
	for _, x := range l.running {
		used, usedMB = used+x.cpu, usedMB+x.memMB
	}
	if used+number(o.Spec, "cpu") > r.cpu || usedMB+number(o.Spec, "mem") > r.memMB {
		return 409, "room"
	}
	x := &run{number: o.Run, cpu: number(o.Spec, "cpu"), memMB: number(o.Spec, "mem"), work: time.Duration(number(o.Spec, "work")) * time.Millisecond, arrived: now, outcome: "done", checkpoint: o.Checkpoint}
	if ms, err := strconv.ParseInt(o.Checkpoint, 16, 64); o.Checkpoint != "" && err == nil {
		x.progressed = time.Duration(ms) * time.Millisecond
	}
	if n := number(o.Spec, "fails"); n > 0 {
		x.outcome = "failed"
	}
	r.w.checkStart(r, o, now)
	l.running[o.Task] = x
	if size := number(o.Spec, "gang"); size > 0 {
		x.gangKey = gangKeyOf(o.Task, o.Run)
		g := r.w.gangs[x.gangKey]
		if g == nil {
			g = &gang{size: size, members: map[string]*life{}}
			r.w.gangs[x.gangKey] = g
		}
		g.members[o.Task] = l
		if len(g.members) == g.size && g.since.IsZero() {
			g.since = now
			for task, m := range g.members {
				m.running[task].beginWork(now)
			}
		}
	} else {
		x.beginWork(now)
	}
	return 200, ""
}

// beginWork begins the work, after restoreMs if the start carried a checkpoint.
func (x *run) beginWork(now time.Time) {
	if x.since = now; x.progressed > 0 {
		x.since = now.Add(restoreMs * time.Millisecond)
	}
}

func (r *runner) stop(l *life, o order) (int, string) {
	if o.Token < l.token {
		return 409, "fence"
	}
	l.token = o.Token
	l.blocked[o.Task] = max(l.blocked[o.Task], o.Run)
	if x := l.running[o.Task]; x != nil && x.number <= o.Run && x.stopAt.IsZero() {
		x.stopAt = time.Now().Add(stopTimeoutMs / 2 * time.Millisecond)
	}
	return 200, ""
}

// done returns how much of the work has been done.
func (x *run) done(now time.Time) time.Duration {
	if x.since.IsZero() {
		return x.progressed
	}
	return x.progressed + max(0, now.Sub(x.since))
}

// save makes a new checkpoint for each full second of work since the start.
func (x *run) save(now time.Time, atStop bool) {
	if x.since.IsZero() {
		return
	}
	done := x.done(now)
	if !atStop {
		done = x.progressed + (done - x.progressed).Truncate(time.Second)
	}
	if done > x.progressed {
		x.checkpoint = fmt.Sprintf("%016x", done.Milliseconds())
	}
}

func (r *runner) end(l *life, task string, x *run, how string, now time.Time) {
	x.save(now, how == "stopped")
	delete(l.running, task)
	l.blocked[task] = max(l.blocked[task], x.number)
	l.nextEnd++
	r.w.ends[task+" "+how]++
	l.ended = append(l.ended, endedRun{n: l.nextEnd, task: task, run: x.number, how: how, saved: x.checkpoint, at: now})
	r.w.lab.logf("runner %s: %s run %d ends %s, saved %q", r.id, task, x.number, how, x.checkpoint)
	if how != "done" {
		r.w.leaveGang(task, x, l, now)
	}
}

// leaveGang breaks the gang of a run that has ended otherwise than done.
func (w *world) leaveGang(task string, x *run, l *life, now time.Time) {
	g := w.gangs[x.gangKey]
	if x.gangKey == "" || g == nil {
		return
	}
	delete(g.members, task)
	if g.since.IsZero() {
		return
	}
	delete(w.gangs, x.gangKey)
	for other, m := range g.members {
		for _, r := range w.runners {
			if r.life == m && m.running[other] != nil {
				r.end(m, other, m.running[other], "broken", now)
			}
		}
	}
}

func (r *runner) tickLoop() {
	for {
		time.Sleep(10 * time.Millisecond)
		r.w.mu.Lock()
		if r.w.closed {
			r.w.mu.Unlock()
			return
		}
		now := time.Now()
		if l := r.life; l != nil {
			lapsed := l.clock(now) > l.leaseEnd
			for i := range l.ended {
				l.ended[i].lapsed = l.ended[i].lapsed || lapsed
			}
			for task, x := range l.running {
				switch {
				case lapsed:
					r.end(l, task, x, "lapsed", now)
				case !x.stopAt.IsZero() && now.After(x.stopAt):
					r.end(l, task, x, "stopped", now)
				case x.since.IsZero() && x.gangKey != "" && now.Sub(x.arrived) > gangTimeoutMs*time.Millisecond:
					r.end(l, task, x, "alone", now)
				case !x.since.IsZero() && x.done(now) >= x.work:
					r.end(l, task, x, x.outcome, now)
				default:
					x.save(now, false)
				}
			}
		}
		r.w.mu.Unlock()
	}
}

func (r *runner) hold(w http.ResponseWriter, q *http.Request) {
	o, ok := r.read(w, q)
	if !ok {
		return
	}
	until := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
	r.w.mu.Lock()
	l := r.life
	if r.cut {
		r.w.mu.Unlock()
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if l == nil {
		r.w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.Token < l.token {
		clock := l.clock(time.Now())
		r.w.mu.Unlock()
		w.WriteHeader(409)
		_ = json.NewEncoder(w).Encode(map[string]any{"clock_ms": clock, "reason": "fence"})
		return
	}
	l.token = o.Token
	if o.UntilMs > 0 {
		l.leaseEnd = max(l.leaseEnd, min(o.UntilMs, l.clock(time.Now())+holdMaxMs))
	}
	l.ended = slices.DeleteFunc(l.ended, func(e endedRun) bool {
		if e.n <= o.LastSeen && e.how == "done" && !e.lapsed {
			r.w.doneNoted(r, e)
		}
		return e.n <= o.LastSeen
	})
	for len(l.ended) == 0 && time.Now().Before(until) && r.life == l && q.Context().Err() == nil && !r.cut {
		r.w.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		r.w.mu.Lock()
	}
	if r.life != l || r.cut {
		cut := r.cut
		r.w.mu.Unlock()
		if cut {
			// A silent runner does not close its connections, either.
			<-q.Context().Done()
		}
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	running, ended := [][]any{}, [][]any{}
	for task, x := range l.running {
		percent := 0
		if x.work > 0 {
			percent = int(min(99, 100*x.done(now)/x.work))
		}
		running = append(running, []any{task, x.number, x.checkpoint, percent, x.cpu})
	}
	for _, e := range l.ended {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	m := map[string]any{"clock_ms": l.clock(now), "born": l.born.UnixMilli(), "running": running, "ended_runs": ended}
	r.w.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(m)
}

// beatLoop sends a heartbeat about every heartbeatMs, and one when a life begins.
func (r *runner) beatLoop() {
	var of *life
	var next time.Time
	for {
		r.w.mu.Lock()
		closed, l, cut := r.w.closed, r.life, r.cut
		r.w.mu.Unlock()
		if closed {
			return
		}
		now := time.Now()
		if l != nil && !cut && (l != of || now.After(next)) {
			of, next = l, now.Add(heartbeatMs*time.Millisecond)
			r.sendBeat(l)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (r *runner) sendBeat(l *life) {
	r.w.mu.Lock()
	l.sequence++
	state := "ready"
	if l.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": service, "address": r.address(), "zone": "zone-a", "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0,
		"capacity": map[string]any{"cpu": r.cpu, "mem_mb": r.memMB, "gpu": 0}, "labels": r.labels, "clock_ms": l.clock(time.Now()), "sequence": l.sequence, "born": l.born.UnixMilli(),
	})
	targets := []string{}
	if r.w.beat != "" {
		targets = append(targets, r.w.beat)
	}
	for range 3 {
		targets = append(targets, fmt.Sprintf("%s:%d", r.w.lab.cores[rand.IntN(coreCount)].ip, controlPort))
	}
	r.w.mu.Unlock()
	for _, t := range targets {
		status, answer := r.w.lab.send(http.MethodPost, "http://"+t+"/instances/"+r.id+"/heartbeat", body, time.Second, false)
		if status == 200 {
			var m struct {
				Endpoint string `json:"heartbeat_endpoint"`
			}
			_ = json.Unmarshal(answer, &m)
			r.w.mu.Lock()
			r.w.beat = m.Endpoint
			r.w.mu.Unlock()
			return
		}
	}
	r.w.mu.Lock()
	r.w.beat = ""
	r.w.mu.Unlock()
}

// accept answers an order that needs nothing.
func accept(*life, order) (int, string) { return 200, "" }

// checkStart records a start and checks that the task runs nowhere else and has not ended done.
func (w *world) checkStart(r *runner, o order, now time.Time) {
	for _, other := range w.runners {
		if other != r && other.life != nil && other.life.running[o.Task] != nil {
			w.breaks("TWICE: %s run %d starts on runner %s while run %d is on runner %s", o.Task, o.Run, r.id, other.life.running[o.Task].number, other.id)
		}
	}
	if at, ok := w.done[doneKey(o.Task, o.Spec)]; ok && number(o.Spec, "lasts") == 0 {
		w.breaks("TWICE: %s run %d starts on runner %s %s after its end as done was taken note of", o.Task, o.Run, r.id, now.Sub(at))
	}
	w.lastStart[doneKey(o.Task, o.Spec)] = now
	w.specs[o.Task] = o.Spec
}

// doneKey names what an end as done stands for: the task, or all tasks of its gang.
func doneKey(task, spec string) string {
	if number(spec, "gang") > 0 {
		return task[:strings.LastIndexByte(task, '.')]
	}
	return task
}

// doneNoted records that an end as done has been taken note of.
func (w *world) doneNoted(r *runner, e endedRun) {
	spec := w.specs[e.task]
	key := doneKey(e.task, spec)
	if w.lastStart[key].After(e.at) && number(spec, "lasts") == 0 {
		w.breaks("TWICE: %s was started after run %d had ended done on runner %s, which is taken note of now", e.task, e.run, r.id)
	}
	w.done[key] = time.Now()
}

func (w *world) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.lab.logf("BROKEN %s", text)
	w.broken = append(w.broken, text)
}

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment that runners keep.
const (
	holdMax            = 6 * time.Second
	gangTimeout        = 3 * time.Second
	stopTime           = 50 * time.Millisecond
	heartbeatInterval  = 1500 * time.Millisecond
	checkpointInterval = time.Second
	restoreTime        = 100 * time.Millisecond
	longStartup        = 300 * time.Millisecond
	// contactTime is contact_ms.
	contactTime = 3 * time.Second
)

// step is a step of a job, as the client sends it, with what the task does in this world.
type step struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu,omitempty"`
	MemMB         int64  `json:"mem_mb,omitempty"`
	EstimatedMs   int64  `json:"estimated_ms,omitempty"`
	DependsOn     []int  `json:"depends_on,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	Requirements  string `json:"requirements,omitempty"`
	AntiAffinity  int    `json:"anti_affinity,omitempty"`
	Speculative   bool   `json:"speculative,omitempty"`
	LongRunning   bool   `json:"long_running,omitempty"`
	Image         string `json:"image,omitempty"`
	// Fills is true for a task whose cpu is not counted against the capacity of a runner.
	Fills bool `json:"utilization,omitempty"`

	work time.Duration
	// failAfter, if above 0, is the work after which each run fails.
	failAfter time.Duration
	// crashAfter, if above 0, is the work after which each run crashes its runner.
	crashAfter time.Duration
}

// countedCPU is what a task takes of a runner's capacity.
func (s *step) countedCPU() int64 {
	if s.Fills {
		return 0
	}
	return s.CPU
}

type job struct {
	ID           string
	Spec         string
	Steps        []step
	host, prefix string
	acceptedAt   time.Time
}

func (j *job) wire() map[string]any { return map[string]any{"spec": j.Spec, "steps": j.Steps} }

// run is one run of a task on a runner.
type run struct {
	task       string
	number     uint64
	step       *step
	gangKey    string
	checkpoint string
	startedAt  time.Time
	// base is the work that the checkpoint holds, done that of this run.
	base, done time.Duration
	lastAt     time.Time
	saved      string
	stopAt     time.Time
}

type end struct {
	task, how, saved string
	run              uint64
}

// runner is one life of a machine.
type runner struct {
	w        *world
	m        *machine
	id       string
	born     int64
	begun    time.Time
	label    string
	service  string
	token    uint64
	lease    int64
	polled   bool
	runs     map[string]*run
	blocked  map[string]uint64
	ended    []end
	acked    int
	sequence int
	// listed is the saved value that the last answer to a poll gave for each task.
	listed   map[string]string
	draining bool
	left     bool
	// firstBeatAt is when the runner sends its first heartbeat.
	firstBeatAt time.Time
}

// machine is an address on which runners live one after the other.
type machine struct {
	w        *world
	index    int
	address  string
	rack     string
	label    string
	cpu, mem int64
	cur      *runner
	server   *http.Server
	endpoint string
	// sameID lets the next life have the id of the last one.
	sameID bool
	lives  int
	starts int
}

// world holds the machines and the jobs that clients have sent. mu guards all of it.
type world struct {
	mu       sync.Mutex
	rec      *recorder
	c        *cluster
	machines []*machine
	jobs     map[string]*job
	starts   map[string]int
	crashes  map[string]int
	// startsAfterCrash counts the starts of a task after three runners have crashed under it.
	startsAfterCrash map[string]int
	// values holds the checkpoint values that members of a run of a gang carried.
	values map[string]map[string]bool
	// lastRunAt is when a run of the job was last there.
	lastRunAt map[string]time.Time
	ends      map[string]int
	onStart   func(r *runner, x *run)
	onEnd     func(r *runner, x *run, how string)
	// backAfter is how long a machine is away after a task has crashed it.
	backAfter time.Duration
	// cpuOf, if set, gives the processors of a machine by its index.
	cpuOf  func(i int) int64
	client *http.Client
	closed bool
}

func newWorld(rec *recorder, c *cluster) *world {
	return &world{
		rec: rec, c: c, jobs: map[string]*job{}, starts: map[string]int{}, crashes: map[string]int{}, startsAfterCrash: map[string]int{},
		values: map[string]map[string]bool{}, lastRunAt: map[string]time.Time{}, ends: map[string]int{}, backAfter: 2 * time.Second,
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
}

func (w *world) add(j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[j.ID] = j
}

func (w *world) addMachines(n int, cpu, mem int64, label func(i int) string) error {
	for i := range n {
		m := &machine{w: w, index: i, address: fmt.Sprintf("%s.%d:%d", w.c.prefix, 101+i, w.c.p.front), rack: fmt.Sprintf("r%d", i/2), label: label(i), cpu: cpu, mem: mem}
		if w.cpuOf != nil {
			m.cpu = w.cpuOf(i)
		}
		w.machines = append(w.machines, m)
		w.mu.Lock()
		err := m.boot(0)
		w.mu.Unlock()
		if err != nil {
			return err
		}
		go m.beat()
	}
	go w.advanceLoop()
	return nil
}

// boot starts the next life of a machine. The lock is held.
func (m *machine) boot(firstBeat time.Duration) error {
	now := time.Now()
	id := fmt.Sprintf("i-%08x", rand.Uint32())
	if m.sameID && m.cur != nil {
		id = m.cur.id
	}
	r := &runner{w: m.w, m: m, id: id, born: now.UnixMilli(), begun: now, label: m.label, service: "svc", lease: -1, runs: map[string]*run{}, blocked: map[string]uint64{}, listed: map[string]string{}, firstBeatAt: now.Add(firstBeat)}
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", m.address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	m.lives++
	m.cur = r
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.serve(r.start))
	mux.HandleFunc("POST /run-stop", r.serve(r.stop))
	mux.HandleFunc("POST /pace", r.serve(func(o *order) (int, string) {
		if !r.fence(o) {
			return 409, "fence"
		}
		return 200, ""
	}))
	mux.HandleFunc("POST /hold", r.serve(r.hold))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) })
	m.server = &http.Server{Handler: mux}
	go m.server.Serve(l)
	m.w.rec.log("runner %s (machine %d, label %s, born %d) begins", r.id, m.index, r.label, r.born)
	return nil
}

// crash ends the current life without a word. The lock is held.
func (m *machine) crash(why string) {
	r := m.cur
	if r == nil || r.left {
		return
	}
	r.left = true
	m.w.rec.log("runner %s (machine %d) crashes: %s; %d runs are lost", r.id, m.index, why, len(r.runs))
	for _, x := range r.runs {
		m.w.breakGang(x, r)
	}
	r.runs = map[string]*run{}
	s := m.server
	go s.Close()
}

// reboot starts the next life after a while.
func (m *machine) reboot(after, firstBeat time.Duration) {
	time.AfterFunc(after, func() {
		m.w.mu.Lock()
		defer m.w.mu.Unlock()
		if m.w.closed {
			return
		}
		if err := m.boot(firstBeat); err != nil {
			m.w.rec.log("machine %d cannot start: %v", m.index, err)
		}
	})
}

func (r *runner) clock() int64 { return 1 + time.Since(r.begun).Milliseconds() }

type order struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"spec"`
	UntilMs    int64  `json:"until_ms"`
	Token      uint64 `json:"fencing_token"`
	LastSeen   int    `json:"last_seen"`
	WaitMs     int64  `json:"wait_ms"`
	Checkpoint string `json:"checkpoint"`
}

func (r *runner) fence(o *order) bool {
	if o.Token < r.token {
		return false
	}
	r.token = o.Token
	return true
}

func (r *runner) extend(until int64) {
	r.lease = max(r.lease, min(until, r.clock()+holdMax.Milliseconds()))
}

func (r *runner) serve(do func(*order) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, req *http.Request) {
		var o order
		if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
			rw.WriteHeader(400)
			return
		}
		io.Copy(io.Discard, req.Body)
		if req.Header.Get("Expected-Instance") != r.id {
			rw.WriteHeader(421)
			return
		}
		w := r.w
		w.mu.Lock()
		if r.left {
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		status, reason := do(&o)
		var body []byte
		if req.URL.Path == "/hold" && status == 200 {
			until := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
			for len(r.ended) == r.acked && time.Now().Before(until) && !r.left && req.Context().Err() == nil {
				w.mu.Unlock()
				time.Sleep(5 * time.Millisecond)
				w.mu.Lock()
			}
			if r.left {
				w.mu.Unlock()
				panic(http.ErrAbortHandler)
			}
			body = r.lists()
		} else {
			m := map[string]any{"clock_ms": r.clock()}
			if reason != "" {
				m["reason"] = reason
			}
			body, _ = json.Marshal(m)
		}
		w.mu.Unlock()
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		rw.Write(body)
	}
}

func (r *runner) lists() []byte {
	running, ended := [][]any{}, [][]any{}
	for task, x := range r.runs {
		running = append(running, []any{task, x.number, x.saved, x.percent(), 0})
		r.listed[task] = x.saved
	}
	for i := r.acked; i < len(r.ended) && len(ended) < 500; i++ {
		e := r.ended[i]
		ended = append(ended, []any{i + 1, e.task, e.run, e.how, e.saved})
	}
	body, _ := json.Marshal(map[string]any{"clock_ms": r.clock(), "born": r.born, "running": running, "ended_runs": ended})
	return body
}

func (x *run) percent() int {
	if x.step.LongRunning {
		if x.done >= longStartup {
			return 100
		}
		return int(100 * x.done / longStartup)
	}
	return min(99, int(100*(x.base+x.done)/max(1, x.step.work)))
}

func (r *runner) hold(o *order) (int, string) {
	if !r.fence(o) {
		return 409, "fence"
	}
	if o.UntilMs > 0 {
		r.extend(o.UntilMs)
	}
	r.polled = true
	r.acked = min(len(r.ended), max(r.acked, o.LastSeen))
	return 200, ""
}

func (r *runner) stop(o *order) (int, string) {
	if !r.fence(o) {
		return 409, "fence"
	}
	r.blocked[o.Task] = max(r.blocked[o.Task], o.Run)
	if x := r.runs[o.Task]; x != nil && x.number <= o.Run && x.stopAt.IsZero() {
		x.stopAt = time.Now().Add(stopTime)
		r.w.rec.log("stop of %s run %d at %s", o.Task, x.number, r.id)
	}
	return 200, ""
}

func (r *runner) start(o *order) (int, string) {
	w, now := r.w, time.Now()
	if !r.fence(o) {
		return 409, "fence"
	}
	if r.clock() > o.UntilMs {
		return 409, "late"
	}
	r.extend(o.UntilMs)
	if x := r.runs[o.Task]; x != nil {
		if x.number == o.Run {
			return 200, ""
		}
		return 409, "old"
	}
	if o.Run <= r.blocked[o.Task] {
		return 409, "old"
	}
	j, st, index := w.find(o.Task)
	if j == nil || o.Spec != j.Spec {
		w.rec.broken("UNASKED: runner %s was told to start %s, which no client sent", r.id, o.Task)
		return 400, ""
	}
	cpu, mem := st.countedCPU(), st.MemMB
	for _, x := range r.runs {
		cpu, mem = cpu+x.step.countedCPU(), mem+x.step.MemMB
	}
	if cpu > r.m.cpu || mem > r.m.mem {
		return 409, "room"
	}
	x := &run{task: o.Task, number: o.Run, step: st, checkpoint: o.Checkpoint, startedAt: now, lastAt: now, saved: o.Checkpoint}
	if st.Gang {
		x.gangKey = strings.TrimSuffix(o.Task, "."+strconv.Itoa(index)) + "/" + strconv.FormatUint(o.Run, 10)
	}
	if len(o.Checkpoint) >= 8 {
		ms, _ := strconv.ParseInt(o.Checkpoint[:8], 16, 64)
		x.base = time.Duration(ms) * time.Millisecond
	}
	r.runs[o.Task] = x
	r.m.starts++
	w.starts[o.Task]++
	if w.crashes[o.Task] >= 3 {
		w.startsAfterCrash[o.Task]++
	}
	w.lastRunAt[j.ID] = now
	w.rec.log("start of %s run %d at %s (machine %d, label %s), checkpoint %q, until_ms %+d", o.Task, o.Run, r.id, r.m.index, r.label, o.Checkpoint, o.UntilMs-r.clock())
	if st.Requirements != "" && st.Requirements != r.label {
		w.rec.broken("ROUTE: %s needs label %s and was started on runner %s with label %s", o.Task, st.Requirements, r.id, r.label)
	}
	if x.gangKey != "" {
		if w.values[x.gangKey] == nil {
			w.values[x.gangKey] = map[string]bool{}
		}
		w.values[x.gangKey][o.Checkpoint] = true
	}
	if w.onStart != nil {
		w.onStart(r, x)
	}
	return 200, ""
}

// find returns the job and step of a task, and the index in the step.
func (w *world) find(task string) (*job, *step, int) {
	p := strings.Split(task, ".")
	if len(p) != 4 {
		return nil, nil, 0
	}
	j := w.jobs[p[0]]
	i, _ := strconv.Atoi(p[2])
	n, _ := strconv.Atoi(p[3])
	if j == nil || i >= len(j.Steps) || n >= j.Steps[i].Count {
		return nil, nil, 0
	}
	return j, &j.Steps[i], n
}

// endRun ends a run and lists its end. The lock is held.
func (r *runner) endRun(x *run, how string) {
	if r.runs[x.task] != x {
		return
	}
	delete(r.runs, x.task)
	r.blocked[x.task] = max(r.blocked[x.task], x.number)
	if how == "stopped" && x.step.Checkpointing && x.done > 0 {
		x.saved = value(x.base+x.done, x.task)
	}
	r.ended = append(r.ended, end{task: x.task, run: x.number, how: how, saved: x.saved})
	r.w.rec.log("end of %s run %d at %s: %s, saved %q", x.task, x.number, r.id, how, x.saved)
	r.w.ends[how]++
	r.w.lastRunAt[x.task[:16]] = time.Now()
	if r.w.onEnd != nil {
		r.w.onEnd(r, x, how)
	}
	if x.gangKey != "" && how != "done" && how != "alone" {
		r.w.breakGang(x, r)
	}
}

// breakGang ends the other members of the run as broken. The lock is held.
func (w *world) breakGang(x *run, from *runner) {
	if x.gangKey == "" || !w.gangWorks(x) {
		return
	}
	for _, m := range w.machines {
		r := m.cur
		if r == nil || r.left {
			continue
		}
		for _, other := range r.runs {
			if other != x && other.gangKey == x.gangKey {
				delete(r.runs, other.task)
				r.blocked[other.task] = max(r.blocked[other.task], other.number)
				r.ended = append(r.ended, end{task: other.task, run: other.number, how: "broken", saved: other.saved})
				w.ends["broken"]++
				w.rec.log("end of %s run %d at %s: broken, saved %q", other.task, other.number, r.id, other.saved)
			}
		}
	}
}

// gangWorks reports whether the gang of the run has begun to work. The lock is held.
func (w *world) gangWorks(x *run) bool { return x.done > 0 }

// value is a checkpoint: the work in milliseconds and a part of the job's id, as in the page's example.
func value(work time.Duration, task string) string {
	return fmt.Sprintf("%08x%s", work.Milliseconds(), task[4:12])
}

func (w *world) advanceLoop() {
	for {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		if w.closed {
			w.mu.Unlock()
			return
		}
		w.advance(time.Now())
		w.mu.Unlock()
	}
}

// advance lets all runs work. The lock is held.
func (w *world) advance(now time.Time) {
	present, carried := map[string]int{}, map[string]map[string]bool{}
	for _, m := range w.machines {
		if m.cur == nil || m.cur.left {
			continue
		}
		for _, x := range m.cur.runs {
			if x.gangKey != "" {
				present[x.gangKey]++
				if carried[x.gangKey] == nil {
					carried[x.gangKey] = map[string]bool{}
				}
				carried[x.gangKey][x.checkpoint] = true
			}
		}
	}
	for _, m := range w.machines {
		r := m.cur
		if r == nil || r.left {
			continue
		}
		lapsed := r.clock() > r.lease
		for _, x := range r.runs {
			if r.left || r.runs[x.task] != x {
				continue
			}
			dt := now.Sub(x.lastAt)
			x.lastAt = now
			w.lastRunAt[x.task[:16]] = now
			if !x.stopAt.IsZero() && now.After(x.stopAt) {
				r.endRun(x, "stopped")
				continue
			}
			if lapsed {
				r.endRun(x, "lapsed")
				continue
			}
			if x.gangKey != "" && (present[x.gangKey] < x.step.Count || len(carried[x.gangKey]) > 1) {
				// The members work only together, and all must carry the same value.
				if x.done == 0 && now.Sub(x.startedAt) > gangTimeout {
					r.endRun(x, "alone")
				}
				continue
			}
			if x.checkpoint != "" && now.Sub(x.startedAt) < restoreTime {
				continue
			}
			before := (x.base + x.done) / checkpointInterval
			x.done += dt
			if x.step.Checkpointing && (x.base+x.done)/checkpointInterval > before {
				x.saved = value((x.base+x.done)/checkpointInterval*checkpointInterval, x.task)
			}
			switch {
			case x.step.crashAfter > 0 && x.done >= x.step.crashAfter:
				w.crashes[x.task]++
				m.crash(fmt.Sprintf("task %s run %d, crash %d of this task", x.task, x.number, w.crashes[x.task]))
				m.reboot(w.backAfter, 0)
			case x.step.LongRunning:
			case x.step.failAfter > 0 && x.done >= x.step.failAfter:
				r.endRun(x, "failed")
			case x.base+x.done >= x.step.work:
				r.endRun(x, "done")
			}
		}
	}
}

// beat sends the heartbeats of a machine's runners.
func (m *machine) beat() {
	for n := 0; ; n++ {
		m.w.mu.Lock()
		if m.w.closed {
			m.w.mu.Unlock()
			return
		}
		r := m.cur
		if r == nil || r.left || time.Now().Before(r.firstBeatAt) {
			m.w.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			continue
		}
		r.sequence++
		state := "ready"
		if r.draining {
			state = "draining"
		}
		b := map[string]any{
			"service": r.service, "address": m.address, "zone": zones[m.index%3], "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0,
			"capacity": map[string]int64{"cpu": m.cpu, "mem_mb": m.mem, "gpu": 0}, "labels": []string{r.label, m.rack},
			"clock_ms": r.clock(), "sequence": r.sequence, "born": r.born,
		}
		if r.draining {
			b["remaining_ms"] = 1500
		}
		endpoint := m.endpoint
		m.w.mu.Unlock()
		body, _ := json.Marshal(b)
		targets := []string{}
		if endpoint != "" {
			targets = append(targets, endpoint)
		}
		all := m.w.c.controlAddresses()
		for i := range 3 {
			targets = append(targets, all[(n+m.index+i)%len(all)])
		}
		endpoint = ""
		for _, t := range targets {
			resp, err := m.w.client.Post("http://"+t+"/instances/"+r.id+"/heartbeat", "application/json", bytes.NewReader(body))
			if err != nil {
				continue
			}
			data, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode/100 != 2 {
				continue
			}
			var a struct {
				Endpoint string `json:"heartbeat_endpoint"`
			}
			json.Unmarshal(data, &a)
			endpoint = a.Endpoint
			break
		}
		m.w.mu.Lock()
		m.endpoint = endpoint
		m.w.mu.Unlock()
		wait := time.Now().Add(heartbeatInterval)
		for time.Now().Before(wait) {
			time.Sleep(20 * time.Millisecond)
			m.w.mu.Lock()
			changed := m.cur != r || m.w.closed
			m.w.mu.Unlock()
			if changed {
				break
			}
		}
	}
}

// running returns the number of runs of a job that are there.
func (w *world) running(id string) int {
	n := 0
	for _, m := range w.machines {
		if m.cur != nil && !m.cur.left {
			for task := range m.cur.runs {
				if strings.HasPrefix(task, id) {
					n++
				}
			}
		}
	}
	return n
}

// usedShare returns the share of all processors that runs use.
func (w *world) usedShare() float64 {
	var used, all int64
	for _, m := range w.machines {
		if m.cur == nil || m.cur.left {
			continue
		}
		all += m.cpu
		for _, x := range m.cur.runs {
			used += x.step.countedCPU()
		}
	}
	return float64(used) / float64(max(1, all))
}

// room returns how many tasks of a step the runners have room for. The lock is held.
func (w *world) room(st *step) int {
	n := 0
	for _, m := range w.machines {
		if m.cur == nil || m.cur.left || st.Requirements != "" && st.Requirements != m.cur.label {
			continue
		}
		cpu, mem := m.cpu, m.mem
		for _, x := range m.cur.runs {
			cpu, mem = cpu-x.step.countedCPU(), mem-x.step.MemMB
		}
		fits := 1 << 20
		if n := st.countedCPU(); n > 0 {
			fits = min(fits, int(max(0, cpu)/n))
		}
		if st.MemMB > 0 {
			fits = min(fits, int(max(0, mem)/st.MemMB))
		}
		n += fits
	}
	return n
}

func (w *world) close() {
	w.mu.Lock()
	w.closed = true
	for _, m := range w.machines {
		if m.server != nil {
			go m.server.Close()
		}
	}
	w.mu.Unlock()
}

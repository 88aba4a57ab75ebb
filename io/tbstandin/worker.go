package tbstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"tamarackbarrow/core/tbresource"
	"tamarackbarrow/io/tbcodec"
	"tamarackbarrow/io/tbpeer"
	pb "tamarackbarrow/io/tbproto/v1"
	"tamarackbarrow/io/tbproto/v1/tbprotov1connect"
)

// JobPayload is what a stand-in worker reads from a job.
type JobPayload struct {
	RunMs int64 `json:"runMs"`
	Fail  bool  `json:"fail"`
}

// Encode returns the payload's bytes.
func (p JobPayload) Encode() []byte {
	data, err := json.Marshal(p)
	if err != nil {
		panic(fmt.Sprintf("cannot encode %+v: %v", p, err))
	}
	return data
}

// WorkerConfig describes a stand-in worker.
type WorkerConfig struct {
	ID         string
	DataCentre string
	Rack       string
	Capacity   tbresource.Amount
	Entries    []string
	Ledger     *Ledger
	Seed       uint64
	// CheckpointTime is how long a task takes to checkpoint and stop.
	CheckpointTime time.Duration
	// Step and Announce are how often the worker looks at its tasks and announces itself, 0 for the defaults.
	Step     time.Duration
	Announce time.Duration
	// Traffic counts the bytes of the worker's announcements, if set.
	Traffic *tbpeer.Traffic
	// FailAll makes every task fail at once.
	FailAll bool
}

// Worker is a stand-in for a backend server that runs tasks under leases.
type Worker struct {
	cfg         WorkerConfig
	incarnation uint64
	began       time.Time
	server      *http.Server
	listener    net.Listener
	client      *http.Client
	ctx         context.Context
	stop        context.CancelFunc
	poke        chan struct{}

	mu    sync.Mutex
	rng   *rand.Rand
	tasks map[string]*task
	ended map[taskKey]*pb.TaskReport
	// highest is the newest epoch of each job that ran here, until it is certain that no old order is under way.
	highest map[string]seenEpoch
	silent  bool
	used    tbresource.Amount
	dead    bool
}

type taskKey struct {
	job   string
	epoch uint64
}

// seenEpoch is an epoch that this worker has run.
type seenEpoch struct {
	epoch uint64
	at    time.Time
}

// rememberEpochs is how long a worker refuses orders for epochs that it ran before.
//
// An entry that is cut off may order from an old view for as long as its lease
// lasts, and its order is valid for one task lease. A worker that forgot an
// ended epoch sooner would run it again.
const rememberEpochs = time.Minute

// task is one running epoch of a job.
type task struct {
	order      *pb.TaskOrder
	leaseUntil time.Duration
	// before is the run time that the checkpoint already holds, ran what was added since.
	before time.Duration
	ran    time.Duration
	stepAt time.Time
	// rate is the share of its processors that the task may use.
	rate      float64
	payload   JobPayload
	resources tbresource.Amount
	stopping  bool
}

// workerStep is how often a worker looks at its tasks.
const workerStep = 10 * time.Millisecond

// StartWorker starts a worker that announces itself.
func StartWorker(cfg WorkerConfig) (*Worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if cfg.Step == 0 {
		cfg.Step = workerStep
	}
	if cfg.Announce == 0 {
		cfg.Announce = announceInterval
	}
	if cfg.Traffic == nil {
		cfg.Traffic = &tbpeer.Traffic{}
	}
	ctx, stop := context.WithCancel(context.Background())
	w := &Worker{
		cfg: cfg, incarnation: uint64(time.Now().UnixNano()), began: time.Now(), listener: l, client: newCountedClient(cfg.Traffic),
		ctx: ctx, stop: stop, poke: make(chan struct{}, 1),
		rng:   rand.New(rand.NewPCG(cfg.Seed, xxhash.Sum64String(cfg.ID))),
		tasks: map[string]*task{}, ended: map[taskKey]*pb.TaskReport{}, highest: map[string]seenEpoch{},
	}
	mux := http.NewServeMux()
	mux.Handle(tbprotov1connect.NewWorkerServiceHandler(w))
	w.server = newServer(mux)
	go w.server.Serve(l)
	go w.announceLoop()
	go w.workLoop()
	return w, nil
}

// clock is the worker's own clock, which starts with the process.
func (w *Worker) clock() time.Duration { return time.Since(w.began) }

// SetSilent stops or continues all exchange with the system while tasks go on.
func (w *Worker) SetSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

// Used returns what the running tasks hold.
func (w *Worker) Used() tbresource.Amount {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.used
}

// Kill ends the worker and all its tasks at once.
func (w *Worker) Kill() {
	w.stop()
	w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
	for id := range w.tasks {
		w.cfg.Ledger.taskEnded(id, w.cfg.ID, false)
	}
	clear(w.tasks)
}

// Apply takes orders that an entry pushes.
func (w *Worker) Apply(_ context.Context, r *connect.Request[pb.ApplyRequest]) (*connect.Response[pb.ApplyResponse], error) {
	w.apply(r.Msg.GetOrders())
	return connect.NewResponse(&pb.ApplyResponse{}), nil
}

// apply renews the leases of listed tasks, starts new ones and stops those that have to.
func (w *Worker) apply(o *pb.WorkerOrders) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.GetIncarnation() != w.incarnation || w.dead || w.silent {
		return
	}
	until := time.Duration(o.GetLeaseBaseMs()+uint64(o.GetLeaseMs())) * time.Millisecond
	for _, ack := range o.GetAcknowledged() {
		key := taskKey{ack.GetJob(), ack.GetEpoch()}
		report := w.ended[key]
		if report != nil && report.GetPhase() == "finished" && ack.GetAccepted() {
			w.cfg.Ledger.resultPublished(key.job)
		}
		delete(w.ended, key)
	}
	for _, order := range o.GetTasks() {
		w.applyTask(order, until)
	}
}

func (w *Worker) applyTask(order *pb.TaskOrder, until time.Duration) {
	key := taskKey{order.GetJob(), order.GetEpoch()}
	if _, ended := w.ended[key]; ended || w.clock() >= until {
		return
	}
	t := w.tasks[order.GetJob()]
	switch {
	case t == nil && order.GetStop() && w.highest[order.GetJob()].epoch < order.GetEpoch():
		w.highest[order.GetJob()] = seenEpoch{epoch: order.GetEpoch(), at: time.Now()}
		w.ended[key] = &pb.TaskReport{Job: key.job, Epoch: key.epoch, Phase: "stopped", Checkpoint: order.GetResumeFrom()}
		w.pokeAnnounce()
	case t == nil && w.highest[order.GetJob()].epoch >= order.GetEpoch():
		return
	case t == nil:
		w.start(order, until)
	case t.order.GetEpoch() != order.GetEpoch():
		return
	default:
		t.leaseUntil = max(t.leaseUntil, until)
		t.work()
		t.rate = rateOf(order)
		if order.GetStop() && !t.stopping {
			w.beginStop(t)
		}
	}
}

// rateOf returns the share of its processors that an order leaves to a task.
func rateOf(order *pb.TaskOrder) float64 {
	if order.GetThrottlePercent() == 0 {
		return 1
	}
	return float64(order.GetThrottlePercent()) / 100
}

// work adds what a task did since the last look.
func (t *task) work() {
	now := time.Now()
	t.ran += time.Duration(float64(now.Sub(t.stepAt)) * t.rate)
	t.stepAt = now
}

// Load is what one task does to its neighbours.
type Load struct {
	Kind string
	// Share is the part of the worker's processors that the task uses now.
	Share float64
}

// Loads returns what the running tasks use, throttles included.
func (w *Worker) Loads() []Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []Load
	for _, t := range w.tasks {
		all = append(all, Load{Kind: t.order.GetKind(), Share: t.rate * t.resources.DominantShare(w.cfg.Capacity)})
	}
	return all
}

func (w *Worker) start(order *pb.TaskOrder, until time.Duration) {
	t := &task{order: order, stepAt: time.Now(), rate: rateOf(order), leaseUntil: until, resources: tbcodec.AmountFromWire(order.GetResources())}
	if err := json.Unmarshal(order.GetPayload(), &t.payload); err != nil {
		w.end(order, &pb.TaskReport{Phase: "failed"})
		return
	}
	if text, ok := strings.CutPrefix(order.GetResumeFrom(), checkpointPrefix); ok {
		parts := strings.SplitN(text, "/", 2)
		if ms, err := strconv.ParseInt(parts[0], 10, 64); err == nil {
			t.before = time.Duration(ms) * time.Millisecond
		}
	}
	w.highest[order.GetJob()] = seenEpoch{epoch: order.GetEpoch(), at: time.Now()}
	w.cfg.Ledger.taskStarted(order.GetJob(), w.cfg.ID, order.GetEpoch())
	w.tasks[order.GetJob()] = t
	w.used = w.used.Add(t.resources)
	if !w.used.Fits(w.cfg.Capacity) {
		w.cfg.Ledger.Violate("worker %s holds %+v of %+v", w.cfg.ID, w.used, w.cfg.Capacity)
	}
}

const checkpointPrefix = "ms:"

// beginStop checkpoints a task; the checkpoint names the run time so far.
func (w *Worker) beginStop(t *task) {
	t.stopping = true
	time.AfterFunc(w.cfg.CheckpointTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.tasks[t.order.GetJob()] != t {
			return
		}
		t.work()
		ran := t.ran
		checkpoint := fmt.Sprintf("%s%d/%d", checkpointPrefix, (t.before + ran).Milliseconds(), t.order.GetEpoch())
		w.remove(t, false)
		w.end(t.order, &pb.TaskReport{Phase: "stopped", Checkpoint: checkpoint, RanMs: uint32(ran.Milliseconds())})
	})
}

func (w *Worker) remove(t *task, finished bool) {
	delete(w.tasks, t.order.GetJob())
	w.used = w.used.Sub(t.resources)
	w.cfg.Ledger.taskEnded(t.order.GetJob(), w.cfg.ID, finished)
}

// end remembers a report until the system acknowledges it.
func (w *Worker) end(order *pb.TaskOrder, report *pb.TaskReport) {
	report.Job, report.Epoch = order.GetJob(), order.GetEpoch()
	w.highest[order.GetJob()] = seenEpoch{epoch: order.GetEpoch(), at: time.Now()}
	w.ended[taskKey{order.GetJob(), order.GetEpoch()}] = report
	w.pokeAnnounce()
}

func (w *Worker) pokeAnnounce() {
	select {
	case w.poke <- struct{}{}:
	default:
	}
}

// workLoop ends tasks that are done or whose lease ran out.
func (w *Worker) workLoop() {
	ticker := time.NewTicker(w.cfg.Step)
	defer ticker.Stop()
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-ticker.C:
			w.step()
		}
	}
}

func (w *Worker) step() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		t.work()
		ran := t.ran
		done := t.before+ran >= time.Duration(t.payload.RunMs)*time.Millisecond
		switch {
		case w.clock() >= t.leaseUntil:
			w.remove(t, false)
			w.end(t.order, &pb.TaskReport{Phase: "stopped"})
		case w.cfg.FailAll || done && t.payload.Fail:
			w.remove(t, false)
			w.end(t.order, &pb.TaskReport{Phase: "failed"})
		case done:
			w.remove(t, true)
			w.end(t.order, &pb.TaskReport{Phase: "finished", RanMs: uint32(ran.Milliseconds())})
		}
	}
}

func (w *Worker) announceLoop() {
	ticker := time.NewTicker(w.cfg.Announce)
	defer ticker.Stop()
	for {
		w.announce()
		select {
		case <-w.ctx.Done():
			return
		case <-ticker.C:
		case <-w.poke:
			// Tasks that end together go into one announcement.
			time.Sleep(workerStep)
		}
	}
}

func (w *Worker) announce() {
	w.mu.Lock()
	silent := w.silent
	first := w.rng.IntN(len(w.cfg.Entries))
	w.mu.Unlock()
	if silent {
		return
	}
	for i := range w.cfg.Entries {
		if w.announceTo(w.cfg.Entries[(first+i)%len(w.cfg.Entries)]) {
			return
		}
	}
}

func (w *Worker) announceTo(entry string) bool {
	ctx, cancel := context.WithTimeout(w.ctx, announceInterval)
	defer cancel()
	client := tbprotov1connect.NewBackendServiceClient(w.client, "http://"+entry)
	answer, err := client.AnnounceWorker(ctx, connect.NewRequest(w.announcement()))
	if err != nil || answer.Msg.GetReason() != "" {
		return false
	}
	w.apply(answer.Msg.GetOrders())
	return true
}

func (w *Worker) announcement() *pb.AnnounceWorkerRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := &pb.AnnounceWorkerRequest{
		Id: w.cfg.ID, Incarnation: w.incarnation, Address: w.listener.Addr().String(),
		DataCentre: w.cfg.DataCentre, Rack: w.cfg.Rack, Capacity: tbcodec.AmountToWire(w.cfg.Capacity),
		ClockMs: uint64(w.clock().Milliseconds()),
	}
	for id, t := range w.tasks {
		m.Tasks = append(m.Tasks, &pb.TaskReport{Job: id, Epoch: t.order.GetEpoch(), Phase: "running", Usage: tbcodec.AmountToWire(t.resources)})
	}
	for id, seen := range w.highest {
		if w.tasks[id] == nil && time.Since(seen.at) > rememberEpochs {
			delete(w.highest, id)
		}
	}
	for _, report := range w.ended {
		m.Tasks = append(m.Tasks, report)
	}
	return m
}

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

// JobPayload is the payload of a job, which tells a fake worker how to run it.
type JobPayload struct {
	// RunMs is the run time at full speed.
	RunMs int64 `json:"runMs"`
	// Fail makes the task fail at the end of its run time.
	Fail bool `json:"fail"`
}

// Encode returns the payload as JSON.
func (p JobPayload) Encode() []byte {
	data, err := json.Marshal(p)
	if err != nil {
		panic(fmt.Sprintf("encoding job payload %+v: %v", p, err))
	}
	return data
}

// WorkerConfig configures a fake worker.
type WorkerConfig struct {
	ID         string
	DataCentre string
	Rack       string
	Capacity   tbresource.Amount
	// Entries lists the caller addresses of the system's instances.
	Entries []string
	Ledger  *Ledger
	Seed    uint64
	// CheckpointTime is how long a task takes to checkpoint and stop.
	CheckpointTime time.Duration
	// CheckInterval is the interval at which the worker checks its tasks, 0 for the default of 10 ms.
	CheckInterval time.Duration
	// AnnounceInterval is the interval of announcements, 0 for the default of 500 ms.
	AnnounceInterval time.Duration
	// Traffic, if not nil, counts the bytes of the worker's announcements.
	Traffic *tbpeer.Traffic
	// FailAll makes every task fail at the first check after its start.
	FailAll bool
}

// Worker is a fake backend server that runs tasks under leases.
type Worker struct {
	cfg         WorkerConfig
	incarnation uint64
	startedAt   time.Time
	server      *http.Server
	listener    net.Listener
	client      *http.Client
	ctx         context.Context
	stop        context.CancelFunc
	announceNow chan struct{}

	mu         sync.Mutex
	rng        *rand.Rand
	tasksByJob map[string]*task
	// unacknowledgedReports holds the reports of ended tasks until the system acknowledges them.
	unacknowledgedReports map[taskKey]*pb.TaskReport
	// newestRunByJob holds the newest run of each job that ran here or was stopped before its start. A
	// record is kept for at least runRetention and for as long as the task runs.
	newestRunByJob map[string]recordedRun
	isUnreachable  bool
	usedResources  tbresource.Amount
	isKilled       bool
}

type taskKey struct {
	job string
	run uint64
}

// recordedRun is the newest run of a job at this worker, and when it was recorded.
type recordedRun struct {
	run        uint64
	recordedAt time.Time
}

// runRetention is how long a worker ignores orders to start a run that has ended or was stopped
// before its start.
//
// A partitioned entry may send outdated orders until the entry's lease ends, and each order is
// valid for one task lease. If a worker deleted its record of an ended run while such an order may
// still arrive, the worker could execute the run again.
const runRetention = time.Minute

// task is a running task: one run of a job.
type task struct {
	order *pb.TaskOrder
	// leaseUntil is the end of the lease on the worker's clock.
	leaseUntil time.Duration
	// ranBefore is the run time up to the checkpoint that the task resumed from; ranSinceResume is
	// the run time since then. Both are scaled to full speed.
	ranBefore      time.Duration
	ranSinceResume time.Duration
	advancedAt     time.Time
	// speed is the share of the task's processors that the task may use; 1 means full speed.
	speed      float64
	payload    JobPayload
	resources  tbresource.Amount
	isStopping bool
}

// defaultCheckInterval is the default of WorkerConfig.CheckInterval.
const defaultCheckInterval = 10 * time.Millisecond

// StartWorker starts a worker that listens and announces itself to the entries until it is killed.
func StartWorker(cfg WorkerConfig) (*Worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if cfg.CheckInterval == 0 {
		cfg.CheckInterval = defaultCheckInterval
	}
	if cfg.AnnounceInterval == 0 {
		cfg.AnnounceInterval = announceInterval
	}
	if cfg.Traffic == nil {
		cfg.Traffic = &tbpeer.Traffic{}
	}
	ctx, stop := context.WithCancel(context.Background())
	w := &Worker{
		cfg: cfg, incarnation: uint64(time.Now().UnixNano()), startedAt: time.Now(), listener: l, client: newCountingClient(cfg.Traffic),
		ctx: ctx, stop: stop, announceNow: make(chan struct{}, 1),
		rng:        rand.New(rand.NewPCG(cfg.Seed, xxhash.Sum64String(cfg.ID))),
		tasksByJob: map[string]*task{}, unacknowledgedReports: map[taskKey]*pb.TaskReport{}, newestRunByJob: map[string]recordedRun{},
	}
	mux := http.NewServeMux()
	mux.Handle(tbprotov1connect.NewWorkerServiceHandler(w))
	w.server = newServer(mux)
	go w.server.Serve(l)
	go w.announceLoop()
	go w.taskLoop()
	return w, nil
}

// clockTime returns the time on the worker's own clock, which starts at 0 with the worker.
func (w *Worker) clockTime() time.Duration { return time.Since(w.startedAt) }

// SetUnreachable stops or resumes all communication with the system; tasks continue to run.
func (w *Worker) SetUnreachable(unreachable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isUnreachable = unreachable
}

// Used returns the resources of the running tasks.
func (w *Worker) Used() tbresource.Amount {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.usedResources
}

// Kill stops the worker and all its tasks at once.
func (w *Worker) Kill() {
	w.stop()
	w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isKilled = true
	for id := range w.tasksByJob {
		w.cfg.Ledger.recordTaskEnd(id, w.cfg.ID, false)
	}
	clear(w.tasksByJob)
}

// Apply handles orders that an entry sends in a request. Other orders arrive in the responses to
// announcements.
func (w *Worker) Apply(_ context.Context, r *connect.Request[pb.ApplyRequest]) (*connect.Response[pb.ApplyResponse], error) {
	w.applyOrders(r.Msg.GetOrders())
	return connect.NewResponse(&pb.ApplyResponse{}), nil
}

// applyOrders deletes the reports that the system has acknowledged and executes the listed task orders.
// It ignores orders for another incarnation and orders with an expired lease. Each task order starts
// a task, or renews its lease and possibly stops it.
func (w *Worker) applyOrders(o *pb.WorkerOrders) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.GetIncarnation() != w.incarnation || w.isKilled || w.isUnreachable {
		return
	}
	leaseEnd := time.Duration(o.GetLeaseBaseMs()+uint64(o.GetLeaseMs())) * time.Millisecond
	for _, ack := range o.GetAcknowledged() {
		key := taskKey{ack.GetJob(), ack.GetEpoch()}
		report := w.unacknowledgedReports[key]
		if report != nil && report.GetPhase() == "finished" && ack.GetAccepted() {
			w.cfg.Ledger.recordAcceptedResult(key.job)
		}
		delete(w.unacknowledgedReports, key)
	}
	for _, order := range o.GetTasks() {
		w.applyTaskOrder(order, leaseEnd)
	}
}

func (w *Worker) applyTaskOrder(order *pb.TaskOrder, leaseEnd time.Duration) {
	key := taskKey{order.GetJob(), order.GetEpoch()}
	if _, ended := w.unacknowledgedReports[key]; ended || w.clockTime() >= leaseEnd {
		return
	}
	t := w.tasksByJob[order.GetJob()]
	switch {
	case t == nil && order.GetStop() && w.newestRunByJob[order.GetJob()].run < order.GetEpoch():
		// This run never started here, but a delayed order to start it may still arrive. The worker
		// ignores that order because the run is recorded.
		w.newestRunByJob[order.GetJob()] = recordedRun{run: order.GetEpoch(), recordedAt: time.Now()}
		w.unacknowledgedReports[key] = &pb.TaskReport{Job: key.job, Epoch: key.run, Phase: "stopped", Checkpoint: order.GetResumeFrom()}
		w.triggerAnnouncement()
	case t == nil && w.newestRunByJob[order.GetJob()].run >= order.GetEpoch():
		return
	case t == nil:
		w.startTask(order, leaseEnd)
	case t.order.GetEpoch() != order.GetEpoch():
		return
	default:
		t.leaseUntil = max(t.leaseUntil, leaseEnd)
		t.updateRunTime()
		t.speed = orderedSpeed(order)
		if order.GetStop() && !t.isStopping {
			w.beginStop(t)
		}
	}
}

// orderedSpeed returns the share of its processors that the order lets the task use. The share is above
// 0; an order without a throttle gives 1.
func orderedSpeed(order *pb.TaskOrder) float64 {
	if order.GetThrottlePercent() == 0 {
		return 1
	}
	return float64(order.GetThrottlePercent()) / 100
}

// updateRunTime adds the time since the last call, scaled by the task's speed, to the run time.
func (t *task) updateRunTime() {
	now := time.Now()
	t.ranSinceResume += time.Duration(float64(now.Sub(t.advancedAt)) * t.speed)
	t.advancedAt = now
}

// Load is the load that one task puts on its worker. The load slows down runners on the same instance.
type Load struct {
	Kind string
	// Share is the task's dominant share of the worker's capacity, multiplied by its speed.
	Share float64
}

// Loads returns the load of each running task.
func (w *Worker) Loads() []Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	var loads []Load
	for _, t := range w.tasksByJob {
		loads = append(loads, Load{Kind: t.order.GetKind(), Share: t.speed * t.resources.DominantShare(w.cfg.Capacity)})
	}
	return loads
}

func (w *Worker) startTask(order *pb.TaskOrder, leaseEnd time.Duration) {
	t := &task{order: order, advancedAt: time.Now(), speed: orderedSpeed(order), leaseUntil: leaseEnd, resources: tbcodec.AmountFromWire(order.GetResources())}
	if err := json.Unmarshal(order.GetPayload(), &t.payload); err != nil {
		w.reportEnd(order, &pb.TaskReport{Phase: "failed"})
		return
	}
	if text, ok := strings.CutPrefix(order.GetResumeFrom(), checkpointPrefix); ok {
		parts := strings.SplitN(text, "/", 2)
		if ms, err := strconv.ParseInt(parts[0], 10, 64); err == nil {
			t.ranBefore = time.Duration(ms) * time.Millisecond
		}
	}
	w.newestRunByJob[order.GetJob()] = recordedRun{run: order.GetEpoch(), recordedAt: time.Now()}
	w.cfg.Ledger.recordTaskStart(order.GetJob(), w.cfg.ID, order.GetEpoch())
	w.tasksByJob[order.GetJob()] = t
	w.usedResources = w.usedResources.Add(t.resources)
	if !w.usedResources.Fits(w.cfg.Capacity) {
		w.cfg.Ledger.RecordViolation("tasks on worker %s exceed its capacity: %+v of %+v", w.cfg.ID, w.usedResources, w.cfg.Capacity)
	}
}

// checkpointPrefix is the start of each checkpoint. The run time in milliseconds and the run number
// follow.
const checkpointPrefix = "ms:"

// beginStop stops a task once WorkerConfig.CheckpointTime has passed. The checkpoint holds the run
// time of the task so far.
func (w *Worker) beginStop(t *task) {
	t.isStopping = true
	time.AfterFunc(w.cfg.CheckpointTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.tasksByJob[t.order.GetJob()] != t {
			return
		}
		t.updateRunTime()
		ran := t.ranSinceResume
		checkpoint := fmt.Sprintf("%s%d/%d", checkpointPrefix, (t.ranBefore + ran).Milliseconds(), t.order.GetEpoch())
		w.removeTask(t, false)
		w.reportEnd(t.order, &pb.TaskReport{Phase: "stopped", Checkpoint: checkpoint, RanMs: uint32(ran.Milliseconds())})
	})
}

func (w *Worker) removeTask(t *task, finished bool) {
	delete(w.tasksByJob, t.order.GetJob())
	w.usedResources = w.usedResources.Sub(t.resources)
	w.cfg.Ledger.recordTaskEnd(t.order.GetJob(), w.cfg.ID, finished)
}

// reportEnd records the report of an ended task. Announcements contain the report until the system
// acknowledges it.
func (w *Worker) reportEnd(order *pb.TaskOrder, report *pb.TaskReport) {
	report.Job, report.Epoch = order.GetJob(), order.GetEpoch()
	w.newestRunByJob[order.GetJob()] = recordedRun{run: order.GetEpoch(), recordedAt: time.Now()}
	w.unacknowledgedReports[taskKey{order.GetJob(), order.GetEpoch()}] = report
	w.triggerAnnouncement()
}

func (w *Worker) triggerAnnouncement() {
	select {
	case w.announceNow <- struct{}{}:
	default:
	}
}

// taskLoop ends tasks that have finished or failed or whose lease has expired.
func (w *Worker) taskLoop() {
	ticker := time.NewTicker(w.cfg.CheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-ticker.C:
			w.endDueTasks()
		}
	}
}

func (w *Worker) endDueTasks() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasksByJob {
		t.updateRunTime()
		ran := t.ranSinceResume
		finished := t.ranBefore+ran >= time.Duration(t.payload.RunMs)*time.Millisecond
		switch {
		case w.clockTime() >= t.leaseUntil:
			w.removeTask(t, false)
			w.reportEnd(t.order, &pb.TaskReport{Phase: "stopped"})
		case w.cfg.FailAll || finished && t.payload.Fail:
			w.removeTask(t, false)
			w.reportEnd(t.order, &pb.TaskReport{Phase: "failed"})
		case finished:
			w.removeTask(t, true)
			w.reportEnd(t.order, &pb.TaskReport{Phase: "finished", RanMs: uint32(ran.Milliseconds())})
		}
	}
}

func (w *Worker) announceLoop() {
	ticker := time.NewTicker(w.cfg.AnnounceInterval)
	defer ticker.Stop()
	for {
		w.announce()
		select {
		case <-w.ctx.Done():
			return
		case <-ticker.C:
		case <-w.announceNow:
			// Wait so that tasks that end together are reported in one announcement.
			time.Sleep(defaultCheckInterval)
		}
	}
}

func (w *Worker) announce() {
	w.mu.Lock()
	unreachable := w.isUnreachable
	firstIndex := w.rng.IntN(len(w.cfg.Entries))
	w.mu.Unlock()
	if unreachable {
		return
	}
	for i := range w.cfg.Entries {
		if w.announceTo(w.cfg.Entries[(firstIndex+i)%len(w.cfg.Entries)]) {
			return
		}
	}
}

func (w *Worker) announceTo(entry string) bool {
	ctx, cancel := context.WithTimeout(w.ctx, announceInterval)
	defer cancel()
	client := tbprotov1connect.NewBackendServiceClient(w.client, "http://"+entry)
	resp, err := client.AnnounceWorker(ctx, connect.NewRequest(w.newAnnouncement()))
	if err != nil || resp.Msg.GetReason() != "" {
		return false
	}
	w.applyOrders(resp.Msg.GetOrders())
	return true
}

func (w *Worker) newAnnouncement() *pb.AnnounceWorkerRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := &pb.AnnounceWorkerRequest{
		Id: w.cfg.ID, Incarnation: w.incarnation, Address: w.listener.Addr().String(),
		DataCentre: w.cfg.DataCentre, Rack: w.cfg.Rack, Capacity: tbcodec.AmountToWire(w.cfg.Capacity),
		ClockMs: uint64(w.clockTime().Milliseconds()),
	}
	for id, t := range w.tasksByJob {
		m.Tasks = append(m.Tasks, &pb.TaskReport{Job: id, Epoch: t.order.GetEpoch(), Phase: "running", Usage: tbcodec.AmountToWire(t.resources)})
	}
	for id, recorded := range w.newestRunByJob {
		if w.tasksByJob[id] == nil && time.Since(recorded.recordedAt) > runRetention {
			delete(w.newestRunByJob, id)
		}
	}
	for _, report := range w.unacknowledgedReports {
		m.Tasks = append(m.Tasks, report)
	}
	return m
}

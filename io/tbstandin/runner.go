package tbstandin

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"tamarackbarrow/io/tbpeer"
	pb "tamarackbarrow/io/tbproto/v1"
	"tamarackbarrow/io/tbproto/v1/tbprotov1connect"
)

// Fault selects how a fake runner misbehaves.
type Fault int32

// Faults of a runner.
const (
	FaultNone Fault = iota
	// FaultRefuse refuses every request.
	FaultRefuse
	// FaultHang executes each request until its run deadline and then answers with an error.
	FaultHang
	// FaultError answers with an error after the service time.
	FaultError
	// FaultTruncatedAnswer truncates the answer.
	FaultTruncatedAnswer
	// FaultWrongRequestID answers with the id of another request.
	FaultWrongRequestID
)

// RunnerConfig configures a fake runner.
type RunnerConfig struct {
	ID         string
	DataCentre string
	Service    string
	Slots      int
	// Entries lists the caller addresses of the system's instances.
	Entries []string
	// ServiceTime draws the time that one request takes without a slowdown.
	ServiceTime func(*rand.Rand) time.Duration
	// Worker is the id of the worker on the same instance, or empty.
	Worker string
	// Slowdown returns the factor by which the tasks of the worker named by Worker slow down this
	// runner; nil means no slowdown.
	Slowdown func() float64
	Seed     uint64
	Ledger   *Ledger
	// Address is the address to listen on; empty selects a free port of 127.0.0.1.
	Address string
	// AnnouncedAddress is the address announced to the system, such as that of a proxy that forwards to
	// Address; empty means the address of the listener.
	AnnouncedAddress string
}

// compressMinBytes is the smallest size of a response that is compressed.
const compressMinBytes = 16 << 10

// announceInterval is the time between two announcements of a runner, and the default of
// WorkerConfig.AnnounceInterval. It is also the time limit of each announcement to one
// entry.
const announceInterval = 500 * time.Millisecond

// leavingGracePeriod is how long a runner may still get requests after Leave was called. A later
// request is a violation.
const leavingGracePeriod = 3 * time.Second

// Runner is a fake backend server that answers requests.
type Runner struct {
	cfg            RunnerConfig
	incarnation    uint64
	server         *http.Server
	listener       net.Listener
	client         *http.Client
	fault          atomic.Int32
	executingCount atomic.Int32
	startedCount   atomic.Int64
	// leavingAtNanos is the Unix time of the call of Leave in nanoseconds, or 0 before it.
	leavingAtNanos     atomic.Int64
	isAnnouncing       atomic.Bool
	mu                 sync.Mutex
	recordsByRequestID map[string]*requestRecord
	rng                *rand.Rand
	stop               context.CancelFunc
	ctx                context.Context
}

// StartRunner starts a runner that listens and announces itself to the entries until it is killed.
func StartRunner(cfg RunnerConfig) (*Runner, error) {
	address := cfg.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &Runner{
		cfg: cfg, incarnation: uint64(time.Now().UnixNano()), listener: l, client: newClient(),
		rng: rand.New(rand.NewPCG(cfg.Seed, xxhash.Sum64String(cfg.ID))), ctx: ctx, stop: stop,
	}
	r.recordsByRequestID = map[string]*requestRecord{}
	r.isAnnouncing.Store(true)
	mux := http.NewServeMux()
	mux.Handle(tbprotov1connect.NewRunnerServiceHandler(r, connect.WithCompressMinBytes(compressMinBytes)))
	r.server = newServer(mux)
	go r.server.Serve(l)
	go r.announceLoop()
	return r, nil
}

func newServer(mux *http.ServeMux) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: mux, Protocols: &protocols, HTTP2: &http.HTTP2Config{MaxConcurrentStreams: 250}}
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}}
}

// newCountingClient returns a client that adds the bytes of its connections to traffic.
func newCountingClient(traffic *tbpeer.Traffic) *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return traffic.CountConn(conn), nil
		},
	}}
}

// Address returns the address that the runner listens on.
func (r *Runner) Address() string { return r.listener.Addr().String() }

// Incarnation returns the number that distinguishes this runner from earlier ones with its id.
func (r *Runner) Incarnation() uint64 { return r.incarnation }

// SetFault selects how the runner answers requests that arrive from now on.
func (r *Runner) SetFault(f Fault) { r.fault.Store(int32(f)) }

// SetAnnouncing stops or resumes announcements.
func (r *Runner) SetAnnouncing(on bool) { r.isAnnouncing.Store(on) }

// StartedCount returns the number of requests that the runner has started to execute.
func (r *Runner) StartedCount() int64 { return r.startedCount.Load() }

// Leave announces that the runner is leaving and must get no new requests. The runner still executes
// the requests that it gets.
func (r *Runner) Leave() {
	r.leavingAtNanos.Store(time.Now().UnixNano())
	r.announce()
}

// Kill stops the runner at once and closes its connections.
func (r *Runner) Kill() {
	r.stop()
	r.server.Close()
}

// Run executes one request for its service time and answers it.
func (r *Runner) Run(ctx context.Context, req *connect.Request[pb.RunRequest]) (*connect.Response[pb.RunResponse], error) {
	m := req.Msg
	if m.GetIncarnation() != r.incarnation {
		return connect.NewResponse(&pb.RunResponse{RequestId: m.GetRequestId(), Refused: true, Reason: "request is for another incarnation"}), nil
	}
	fault := Fault(r.fault.Load())
	if fault == FaultRefuse {
		return connect.NewResponse(&pb.RunResponse{RequestId: m.GetRequestId(), Refused: true, Reason: "injected fault: refused"}), nil
	}
	if !r.tryAdmit(m.GetRequestId()) {
		return connect.NewResponse(&pb.RunResponse{RequestId: m.GetRequestId(), Refused: true, Reason: "request was started before or settled as not run"}), nil
	}
	r.recordStart()
	defer r.executingCount.Add(-1)
	r.cfg.Ledger.recordExecution(string(m.GetPayload()))
	if err := r.execute(ctx, m, fault); err != nil {
		r.recordEnd(m.GetRequestId(), nil)
		return nil, err
	}
	r.recordEnd(m.GetRequestId(), r.newAnswer(m, FaultNone))
	return connect.NewResponse(r.newAnswer(m, fault)), nil
}

func (r *Runner) recordStart() {
	if n := r.executingCount.Add(1); int(n) > r.cfg.Slots {
		r.cfg.Ledger.RecordViolation("runner %s executes %d requests in %d slots", r.cfg.ID, n, r.cfg.Slots)
	}
	r.startedCount.Add(1)
	if at := r.leavingAtNanos.Load(); at > 0 && time.Since(time.Unix(0, at)) > leavingGracePeriod {
		r.cfg.Ledger.RecordViolation("runner %s got a request %s after it announced that it leaves", r.cfg.ID, time.Since(time.Unix(0, at)))
	}
}

// execute waits for the service time, but at most until the run deadline. It ignores that the caller
// disconnects or cancels the request.
func (r *Runner) execute(_ context.Context, m *pb.RunRequest, fault Fault) error {
	deadline := time.Duration(m.GetDeadlineMs()) * time.Millisecond
	serviceTime := r.drawServiceTime()
	if fault == FaultHang {
		serviceTime = deadline + time.Second
	}
	timer := time.NewTimer(min(serviceTime, deadline))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.ctx.Done():
		return connect.NewError(connect.CodeUnavailable, errors.New("runner was killed"))
	}
	if serviceTime > deadline {
		return connect.NewError(connect.CodeDeadlineExceeded, errors.New("run deadline exceeded"))
	}
	if fault == FaultError {
		return connect.NewError(connect.CodeInternal, errors.New("injected fault: failed"))
	}
	return nil
}

func (r *Runner) drawServiceTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	serviceTime := r.cfg.ServiceTime(r.rng)
	if r.cfg.Slowdown == nil {
		return serviceTime
	}
	return time.Duration(float64(serviceTime) * r.cfg.Slowdown())
}

// requestRecord is the state of a request that the runner has started to execute or has settled.
type requestRecord struct {
	state pb.SettleState
	// answer is nil unless the request was answered.
	answer *pb.RunResponse
	// endedAt is when the request ended or was settled as not run, or zero while it is executed.
	endedAt time.Time
}

// requestRetention is how long a runner keeps the record of a request that ended or was settled as not run.
const requestRetention = 30 * time.Second

// admit reports whether a request may be executed, and records the request if so. A request must not
// be executed if it was started before or settled as not run.
func (r *Runner) tryAdmit(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recordsByRequestID[id] != nil {
		return false
	}
	r.recordsByRequestID[id] = &requestRecord{state: pb.SettleState_SETTLE_STATE_RUNNING}
	return true
}

func (r *Runner) recordEnd(id string, answer *pb.RunResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordsByRequestID[id] = &requestRecord{state: pb.SettleState_SETTLE_STATE_ENDED, answer: answer, endedAt: time.Now()}
}

// dropExpiredRequests deletes the records of requests that ended more than requestRetention ago.
func (r *Runner) dropExpiredRequests() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, record := range r.recordsByRequestID {
		if !record.endedAt.IsZero() && time.Since(record.endedAt) > requestRetention {
			delete(r.recordsByRequestID, id)
		}
	}
}

// Settle reports the state of a request. If the request has not arrived yet, Settle records it as not
// run, so that the runner refuses it if it arrives later.
func (r *Runner) Settle(_ context.Context, req *connect.Request[pb.SettleRequest]) (*connect.Response[pb.SettleResponse], error) {
	if req.Msg.GetIncarnation() != r.incarnation {
		return connect.NewResponse(&pb.SettleResponse{State: pb.SettleState_SETTLE_STATE_UNKNOWN}), nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	id := req.Msg.GetRequestId()
	record := r.recordsByRequestID[id]
	if record == nil {
		record = &requestRecord{state: pb.SettleState_SETTLE_STATE_NOT_RUN, endedAt: time.Now()}
		r.recordsByRequestID[id] = record
	}
	return connect.NewResponse(&pb.SettleResponse{State: record.state, Answer: record.answer}), nil
}

// Answer returns the correct answer to a payload.
func Answer(payload []byte) []byte { return append([]byte("answer to "), payload...) }

func (r *Runner) newAnswer(m *pb.RunRequest, fault Fault) *pb.RunResponse {
	payload := Answer(m.GetPayload())
	resp := &pb.RunResponse{
		RequestId: m.GetRequestId(), Payload: payload, Length: uint64(len(payload)), Digest: xxhash.Sum64(payload),
	}
	switch fault {
	case FaultTruncatedAnswer:
		resp.Payload = payload[:len(payload)/2]
	case FaultWrongRequestID:
		resp.RequestId = "another request"
	}
	return resp
}

func (r *Runner) announceLoop() {
	r.announce()
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
			r.announce()
			r.dropExpiredRequests()
		}
	}
}

// announce sends an announcement to one entry after another until an entry accepts it. It starts at
// a random entry.
func (r *Runner) announce() {
	if !r.isAnnouncing.Load() {
		return
	}
	address := r.cfg.AnnouncedAddress
	if address == "" {
		address = r.Address()
	}
	r.mu.Lock()
	firstIndex := r.rng.IntN(len(r.cfg.Entries))
	r.mu.Unlock()
	for i := range r.cfg.Entries {
		entry := r.cfg.Entries[(firstIndex+i)%len(r.cfg.Entries)]
		if r.announceTo(entry, address) {
			return
		}
	}
}

func (r *Runner) announceTo(entry, address string) bool {
	ctx, cancel := context.WithTimeout(r.ctx, announceInterval)
	defer cancel()
	client := tbprotov1connect.NewBackendServiceClient(r.client, "http://"+entry)
	resp, err := client.AnnounceRunner(ctx, connect.NewRequest(&pb.AnnounceRunnerRequest{
		Id: r.cfg.ID, Incarnation: r.incarnation, Address: address, DataCentre: r.cfg.DataCentre,
		Service: r.cfg.Service, Slots: uint32(r.cfg.Slots), Worker: r.cfg.Worker, Leaving: r.leavingAtNanos.Load() > 0,
	}))
	return err == nil && resp.Msg.GetReason() == ""
}

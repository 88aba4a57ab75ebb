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

// Fault is how a stand-in runner misbehaves.
type Fault int32

// Faults of a runner.
const (
	FaultNone Fault = iota
	FaultRefuse
	FaultHang
	FaultError
	// FaultShortAnswer cuts the answer.
	FaultShortAnswer
	// FaultOtherAnswer answers with the id of another request.
	FaultOtherAnswer
)

// RunnerConfig describes a stand-in runner.
type RunnerConfig struct {
	ID         string
	DataCentre string
	Service    string
	Slots      int
	// Entries are the caller addresses of the system's instances.
	Entries []string
	// ServiceTime draws how long one request takes.
	ServiceTime func(*rand.Rand) time.Duration
	// Worker is the worker on the same instance, Slowdown how much its tasks slow this runner.
	Worker   string
	Slowdown func() float64
	Seed     uint64
	Ledger   *Ledger
	// Address is where to listen; empty takes any free one.
	Address string
	// Announced is the address told to the system, if something forwards to Address.
	Announced string
}

// compressMinBytes keeps small answers uncompressed.
const compressMinBytes = 16 << 10

// announceInterval is the time between two announcements.
const announceInterval = 500 * time.Millisecond

// leavingGrace is the time after which a leaving runner must get no new work.
const leavingGrace = 3 * time.Second

// Runner is a stand-in for a backend server that answers requests.
type Runner struct {
	cfg         RunnerConfig
	incarnation uint64
	server      *http.Server
	listener    net.Listener
	client      *http.Client
	fault       atomic.Int32
	running     atomic.Int32
	started     atomic.Int64
	leavingAt   atomic.Int64
	announcing  atomic.Bool
	mu          sync.Mutex
	requests    map[string]*requestRecord
	rng         *rand.Rand
	stop        context.CancelFunc
	ctx         context.Context
}

// StartRunner starts a runner that announces itself.
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
	r.requests = map[string]*requestRecord{}
	r.announcing.Store(true)
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

// newCountedClient counts the bytes of its connections.
func newCountedClient(traffic *tbpeer.Traffic) *http.Client {
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

// Address returns where the runner listens.
func (r *Runner) Address() string { return r.listener.Addr().String() }

// Incarnation returns the number that tells this runner from earlier ones of its id.
func (r *Runner) Incarnation() uint64 { return r.incarnation }

// SetFault makes the runner misbehave from now on.
func (r *Runner) SetFault(f Fault) { r.fault.Store(int32(f)) }

// SetAnnouncing stops or continues announcements.
func (r *Runner) SetAnnouncing(on bool) { r.announcing.Store(on) }

// Started returns how many requests the runner began.
func (r *Runner) Started() int64 { return r.started.Load() }

// Leave announces that the runner takes no new work.
func (r *Runner) Leave() {
	r.leavingAt.Store(time.Now().UnixNano())
	r.announce()
}

// Kill ends the runner at once, cutting off its requests.
func (r *Runner) Kill() {
	r.stop()
	r.server.Close()
}

// Run answers one request after its service time.
func (r *Runner) Run(ctx context.Context, req *connect.Request[pb.RunRequest]) (*connect.Response[pb.RunResponse], error) {
	m := req.Msg
	if m.GetIncarnation() != r.incarnation {
		return connect.NewResponse(&pb.RunResponse{RequestId: m.GetRequestId(), Refused: true, Reason: "other incarnation"}), nil
	}
	fault := Fault(r.fault.Load())
	if fault == FaultRefuse {
		return connect.NewResponse(&pb.RunResponse{RequestId: m.GetRequestId(), Refused: true, Reason: "told to refuse"}), nil
	}
	if !r.begin(m.GetRequestId()) {
		return connect.NewResponse(&pb.RunResponse{RequestId: m.GetRequestId(), Refused: true, Reason: "settled as not run"}), nil
	}
	r.enter()
	defer r.running.Add(-1)
	r.cfg.Ledger.noteRun(string(m.GetPayload()))
	if err := r.work(ctx, m, fault); err != nil {
		r.finish(m.GetRequestId(), nil)
		return nil, err
	}
	r.finish(m.GetRequestId(), r.answer(m, FaultNone))
	return connect.NewResponse(r.answer(m, fault)), nil
}

func (r *Runner) enter() {
	if n := r.running.Add(1); int(n) > r.cfg.Slots {
		r.cfg.Ledger.Violate("runner %s runs %d requests in %d slots", r.cfg.ID, n, r.cfg.Slots)
	}
	r.started.Add(1)
	if at := r.leavingAt.Load(); at > 0 && time.Since(time.Unix(0, at)) > leavingGrace {
		r.cfg.Ledger.Violate("runner %s got work %s after it began to leave", r.cfg.ID, time.Since(time.Unix(0, at)))
	}
}

// work takes the service time, bounded by the run deadline; a caller that left does not end it.
func (r *Runner) work(_ context.Context, m *pb.RunRequest, fault Fault) error {
	deadline := time.Duration(m.GetDeadlineMs()) * time.Millisecond
	take := r.draw()
	if fault == FaultHang {
		take = deadline + time.Second
	}
	timer := time.NewTimer(min(take, deadline))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.ctx.Done():
		return connect.NewError(connect.CodeUnavailable, errors.New("runner is killed"))
	}
	if take > deadline {
		return connect.NewError(connect.CodeDeadlineExceeded, errors.New("run deadline passed"))
	}
	if fault == FaultError {
		return connect.NewError(connect.CodeInternal, errors.New("told to fail"))
	}
	return nil
}

func (r *Runner) draw() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	take := r.cfg.ServiceTime(r.rng)
	if r.cfg.Slowdown == nil {
		return take
	}
	return time.Duration(float64(take) * r.cfg.Slowdown())
}

// requestRecord is what a runner remembers of a request.
type requestRecord struct {
	state  pb.SettleState
	answer *pb.RunResponse
	at     time.Time
}

// rememberRequests is how long a runner remembers requests that ended or were barred.
const rememberRequests = 30 * time.Second

// begin records a request and reports whether it may run.
func (r *Runner) begin(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requests[id] != nil {
		return false
	}
	r.requests[id] = &requestRecord{state: pb.SettleState_SETTLE_STATE_RUNNING}
	return true
}

func (r *Runner) finish(id string, answer *pb.RunResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[id] = &requestRecord{state: pb.SettleState_SETTLE_STATE_ENDED, answer: answer, at: time.Now()}
}

// forgetRequests drops old records.
func (r *Runner) forgetRequests() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, record := range r.requests {
		if !record.at.IsZero() && time.Since(record.at) > rememberRequests {
			delete(r.requests, id)
		}
	}
}

// Settle tells what became of a request and bars one that was never seen.
func (r *Runner) Settle(_ context.Context, req *connect.Request[pb.SettleRequest]) (*connect.Response[pb.SettleResponse], error) {
	if req.Msg.GetIncarnation() != r.incarnation {
		return connect.NewResponse(&pb.SettleResponse{State: pb.SettleState_SETTLE_STATE_UNKNOWN}), nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	id := req.Msg.GetRequestId()
	record := r.requests[id]
	if record == nil {
		record = &requestRecord{state: pb.SettleState_SETTLE_STATE_NOT_RUN, at: time.Now()}
		r.requests[id] = record
	}
	return connect.NewResponse(&pb.SettleResponse{State: record.state, Answer: record.answer}), nil
}

// Answer is what every runner answers to a payload.
func Answer(payload []byte) []byte { return append([]byte("answer to "), payload...) }

func (r *Runner) answer(m *pb.RunRequest, fault Fault) *pb.RunResponse {
	payload := Answer(m.GetPayload())
	a := &pb.RunResponse{
		RequestId: m.GetRequestId(), Payload: payload, Length: uint64(len(payload)), Digest: xxhash.Sum64(payload),
	}
	switch fault {
	case FaultShortAnswer:
		a.Payload = payload[:len(payload)/2]
	case FaultOtherAnswer:
		a.RequestId = "another request"
	}
	return a
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
			r.forgetRequests()
		}
	}
}

// announce tells one entry after another until one takes it.
func (r *Runner) announce() {
	if !r.announcing.Load() {
		return
	}
	address := r.cfg.Announced
	if address == "" {
		address = r.Address()
	}
	r.mu.Lock()
	first := r.rng.IntN(len(r.cfg.Entries))
	r.mu.Unlock()
	for i := range r.cfg.Entries {
		entry := r.cfg.Entries[(first+i)%len(r.cfg.Entries)]
		if r.announceTo(entry, address) {
			return
		}
	}
}

func (r *Runner) announceTo(entry, address string) bool {
	ctx, cancel := context.WithTimeout(r.ctx, announceInterval)
	defer cancel()
	client := tbprotov1connect.NewBackendServiceClient(r.client, "http://"+entry)
	answer, err := client.AnnounceRunner(ctx, connect.NewRequest(&pb.AnnounceRunnerRequest{
		Id: r.cfg.ID, Incarnation: r.incarnation, Address: address, DataCentre: r.cfg.DataCentre,
		Service: r.cfg.Service, Slots: uint32(r.cfg.Slots), Worker: r.cfg.Worker, Leaving: r.leavingAt.Load() > 0,
	}))
	return err == nil && answer.Msg.GetReason() == ""
}

package tbdaemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbentry"
	"tamarackbarrow/core/tbnode"
	"tamarackbarrow/core/tbstate"
	"tamarackbarrow/io/tbbundlefile"
	"tamarackbarrow/io/tbcodec"
	pb "tamarackbarrow/io/tbproto/v1"
	"tamarackbarrow/io/tbproto/v1/tbprotov1connect"
)

// leaderTimeout is how long callers and operators wait at most for a commit or for the leader's answer.
const leaderTimeout = 5 * time.Second

// compressMinBytes is the minimum size of a message that is compressed. Compressing a smaller message
// costs more time than it saves.
const compressMinBytes = 16 << 10

// maxRequestBytes is the maximum size of one request to the HTTP server. A process with little memory has
// a lower limit.
const maxRequestBytes = 4 << 20

// Buffers of an HTTP/2 connection, in bytes.
const (
	maxFrameBytes  = 16 << 10
	maxUnreadBytes = 64 << 10
)

// httpServer returns the server for callers, backend servers and operators over HTTP/1.1 and
// unencrypted HTTP/2.
func (d *Daemon) httpServer() *http.Server {
	mux := http.NewServeMux()
	options := connect.WithHandlerOptions(
		connect.WithReadMaxBytes(maxRequestBytes), connect.WithCompressMinBytes(compressMinBytes),
	)
	if d.node.Entry != nil {
		mux.Handle(tbprotov1connect.NewCallerServiceHandler(&callerHandler{d: d}, options))
		mux.Handle(tbprotov1connect.NewJobServiceHandler(&jobHandler{d: d}, options))
		mux.Handle(tbprotov1connect.NewBackendServiceHandler(&backendHandler{d: d}, options))
	}
	mux.Handle(tbprotov1connect.NewOperatorServiceHandler(&operatorHandler{d: d}, options))
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "alive") })
	mux.HandleFunc("/readyz", d.serveReady)
	mux.Handle("/debug/vars", d.counters)
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler: d.intake.Whole(mux, maxRequestBytes), Protocols: &protocols, IdleTimeout: 2 * time.Minute,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: 5 * time.Second, PingTimeout: 2 * time.Second, MaxConcurrentStreams: 1000,
			MaxReadFrameSize: maxFrameBytes, MaxReceiveBufferPerConnection: maxUnreadBytes, MaxReceiveBufferPerStream: maxUnreadBytes,
		},
	}
	d.intake.Bind(server)
	return server
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !d.ready.Load() {
		http.Error(w, "takes no new calls", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// callerHandler implements CallerService.
type callerHandler struct{ d *Daemon }

// Call executes one request and returns its outcome.
func (h *callerHandler) Call(ctx context.Context, r *connect.Request[pb.CallRequest]) (*connect.Response[pb.CallResponse], error) {
	if r.Msg.GetService() == "" || r.Msg.GetMethod() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("service and method must be set"))
	}
	outcome, err := h.d.call(ctx, callFromWire(r.Msg), false)
	if err != nil {
		return nil, connect.NewError(connect.CodeCanceled, err)
	}
	return connect.NewResponse(outcomeToWire(outcome)), nil
}

// jobHandler implements JobService.
type jobHandler struct{ d *Daemon }

// Submit adds jobs. Submitting a job again with the same id and contents changes nothing.
func (h *jobHandler) Submit(ctx context.Context, r *connect.Request[pb.SubmitRequest]) (*connect.Response[pb.SubmitResponse], error) {
	var commands []tbstate.Command
	for i, spec := range r.Msg.GetJobs() {
		if spec.GetId() == "" || spec.GetKind() == "" || spec.GetTeam() == "" {
			return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("job %d: id, kind and team must be set", i))
		}
		commands = append(commands, tbstate.SubmitJob{Job: tbstate.Job{
			ID: spec.GetId(), Kind: spec.GetKind(), Team: spec.GetTeam(), Payload: spec.GetPayload(), Urgent: spec.GetUrgent(),
		}})
	}
	results, err := h.d.commit(ctx, commands)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.SubmitResponse{Results: results}), nil
}

// Cancel cancels jobs by id.
func (h *jobHandler) Cancel(ctx context.Context, r *connect.Request[pb.CancelRequest]) (*connect.Response[pb.CancelResponse], error) {
	var commands []tbstate.Command
	for _, id := range r.Msg.GetIds() {
		commands = append(commands, tbstate.CancelJob{ID: id})
	}
	results, err := h.d.commit(ctx, commands)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.CancelResponse{Results: results}), nil
}

// maxStatusIDs is the largest number of jobs of one status request, which bounds the size of the answer.
const maxStatusIDs = 10_000

// Status returns the status of jobs.
func (h *jobHandler) Status(ctx context.Context, r *connect.Request[pb.JobStatusRequest]) (*connect.Response[pb.JobStatusResponse], error) {
	if n := len(r.Msg.GetIds()); n > maxStatusIDs {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("%d job ids given, at most %d are allowed", n, maxStatusIDs))
	}
	answer, err := h.d.queryLeader(ctx, &pb.QueryRequest{Jobs: r.Msg.GetIds()})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.JobStatusResponse{Jobs: answer.GetJobs()}), nil
}

// commit submits commands to the leader and waits, up to leaderTimeout, until they are applied.
func (d *Daemon) commit(ctx context.Context, commands []tbstate.Command) ([]*pb.CommandResult, error) {
	if len(commands) == 0 {
		return nil, nil
	}
	answer, _, err := queueAndWait[tbentry.AnswerCommands](d, ctx, func(id uint64) tbnode.Event {
		return tbnode.Event{Entry: tbentry.CommandsSubmitted{Request: id, Commands: commands, Timeout: leaderTimeout}}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeCanceled, err)
	}
	if answer.Reason != tbentry.NoReason {
		d.counters.add("refused." + string(answer.Reason))
		err := fmt.Errorf("%s: no confirmed leader answered; the change may have taken effect and can safely be retried", answer.Reason)
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	results := make([]*pb.CommandResult, len(answer.Outcomes))
	for i, o := range answer.Outcomes {
		results[i] = &pb.CommandResult{Reason: string(o.Reason), Detail: o.Detail}
		if o.Reason != tbstate.OK {
			d.counters.add("refused." + string(o.Reason))
		}
	}
	return results, nil
}

// backendHandler implements BackendService, which runners and workers call.
type backendHandler struct{ d *Daemon }

// AnnounceRunner registers a runner or updates its registration.
func (h *backendHandler) AnnounceRunner(ctx context.Context, r *connect.Request[pb.AnnounceRunnerRequest]) (*connect.Response[pb.AnnounceRunnerResponse], error) {
	m := r.Msg
	if m.GetId() == "" || m.GetIncarnation() == 0 || m.GetAddress() == "" || m.GetService() == "" || m.GetSlots() == 0 {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("id, incarnation, address, service and slots must be set"))
	}
	if err := validateAnnouncement(m.GetAddress(), m.GetId(), m.GetService(), m.GetDataCentre(), m.GetWorker()); err != nil {
		return nil, err
	}
	if n := m.GetSlots(); n > maxSlots {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("slots is %d, at most %d are allowed", n, maxSlots))
	}
	answer, _, err := queueAndWait[tbentry.AnswerRunner](h.d, ctx, func(id uint64) tbnode.Event {
		return tbnode.Event{Entry: tbentry.RunnerAnnounced{Request: id, Runner: runnerFromAnnouncement(m)}}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeCanceled, err)
	}
	return connect.NewResponse(&pb.AnnounceRunnerResponse{Reason: string(answer.Reason)}), nil
}

// AnnounceWorker registers a worker or updates its registration. It also processes the worker's task
// reports and returns the orders for the worker.
func (h *backendHandler) AnnounceWorker(ctx context.Context, r *connect.Request[pb.AnnounceWorkerRequest]) (*connect.Response[pb.AnnounceWorkerResponse], error) {
	m := r.Msg
	if m.GetId() == "" || m.GetIncarnation() == 0 || m.GetAddress() == "" || m.GetCapacity() == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("id, incarnation, address and capacity must be set"))
	}
	if err := validateAnnouncement(m.GetAddress(), m.GetId(), m.GetDataCentre(), m.GetRack()); err != nil {
		return nil, err
	}
	if amount := tbcodec.AmountFromWire(m.GetCapacity()); !amount.IsValidCapacity() {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("capacity %+v has a component that is negative or too large", amount))
	}
	announced := tbentry.WorkerAnnounced{Worker: workerFromAnnouncement(m), ClockMs: m.GetClockMs()}
	for _, t := range m.GetTasks() {
		announced.Reports = append(announced.Reports, reportFromWire(t))
	}
	answer, _, err := queueAndWait[tbentry.AnswerWorker](h.d, ctx, func(id uint64) tbnode.Event {
		announced.Request = id
		return tbnode.Event{Entry: announced}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeCanceled, err)
	}
	return connect.NewResponse(&pb.AnnounceWorkerResponse{
		Orders: ordersToWire(answer.Orders), Reason: string(answer.Reason),
	}), nil
}

// Limits of announcements. maxSlots bounds the sum of the slots of many runners, and maxNameBytes each name in
// an announcement, in bytes.
const (
	maxSlots     = 1 << 16
	maxNameBytes = 256
)

// validateAnnouncement returns an error if the address of a backend server cannot be connected to, or if one
// of the names in its announcement is too long.
func validateAnnouncement(address string, names ...string) error {
	if err := ValidateAddress(address); err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	for _, name := range names {
		if len(name) > maxNameBytes {
			return connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("name %.40q... has %d bytes, at most %d are allowed", name, len(name), maxNameBytes))
		}
	}
	return nil
}

// operatorHandler implements OperatorService for the command line.
type operatorHandler struct{ d *Daemon }

// SignOff validates a bundle and stores the bundle under the version in its source.
func (h *operatorHandler) SignOff(ctx context.Context, r *connect.Request[pb.SignOffRequest]) (*connect.Response[pb.SignOffResponse], error) {
	b, err := tbbundlefile.Parse("bundle", r.Msg.GetSource())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	results, err := h.d.commit(ctx, []tbstate.Command{tbstate.SignOff{Bundle: b}})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.SignOffResponse{Version: b.Version, Digest: b.Digest, Result: results[0]}), nil
}

// RollOut activates a signed-off bundle version.
func (h *operatorHandler) RollOut(ctx context.Context, r *connect.Request[pb.RollOutRequest]) (*connect.Response[pb.RollOutResponse], error) {
	results, err := h.d.commit(ctx, []tbstate.Command{tbstate.RollOut{Version: r.Msg.GetVersion()}})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.RollOutResponse{Result: results[0]}), nil
}

// Drain evicts a worker's tasks and prevents the placement of new tasks on the worker.
func (h *operatorHandler) Drain(ctx context.Context, r *connect.Request[pb.DrainRequest]) (*connect.Response[pb.DrainResponse], error) {
	results, err := h.d.commit(ctx, []tbstate.Command{tbstate.DrainWorker{ID: r.Msg.GetWorker()}})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.DrainResponse{Result: results[0]}), nil
}

// Evacuate starts or stops the evacuation of a data centre.
func (h *operatorHandler) Evacuate(ctx context.Context, r *connect.Request[pb.EvacuateRequest]) (*connect.Response[pb.EvacuateResponse], error) {
	if name := r.Msg.GetDataCentre(); name == "" || len(name) > maxNameBytes {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("name of the data centre has %d bytes, must be 1 to %d", len(name), maxNameBytes))
	}
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	answer, err := h.d.AskLeader(ctx, tbcontrol.EvacuationRequested{DataCentre: r.Msg.GetDataCentre(), Active: r.Msg.GetActive()})
	switch {
	case err != nil:
		return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("%w; the change may have taken effect and can safely be retried", err))
	case answer.Code == tbcontrol.Done:
		return connect.NewResponse(&pb.EvacuateResponse{Result: &pb.CommandResult{}}), nil
	case answer.Code == tbcontrol.NoDataCentre:
		return connect.NewResponse(&pb.EvacuateResponse{Result: &pb.CommandResult{Reason: answer.Code.String(), Detail: "no instance, runner or worker is known there"}}), nil
	}
	return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("%s: the leader cannot decide now, or a recent opposite order may still be on its way; try again in a few seconds", answer.Code))
}

// ChangeMember adds, promotes or removes one replica of the control group. The change may be sent to
// the leader more than once.
func (h *operatorHandler) ChangeMember(ctx context.Context, r *connect.Request[pb.ChangeMemberRequest]) (*connect.Response[pb.ChangeMemberResponse], error) {
	answer, err := h.d.queryLeader(ctx, &pb.QueryRequest{Change: r.Msg})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.ChangeMemberResponse{Result: answer.GetChange()}), nil
}

// Status returns the leader's status and the counters of this instance.
func (h *operatorHandler) Status(ctx context.Context, _ *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	answer, err := h.d.queryLeader(ctx, &pb.QueryRequest{Status: true})
	if err != nil {
		return nil, err
	}
	m := answer.GetStatus()
	m.Entry = h.d.settings.ID
	m.QueuedCalls = uint64(h.d.queuedCalls.Load())
	for _, c := range h.d.counters.all() {
		m.Reasons = append(m.Reasons, &pb.ReasonCount{Reason: c.name, Count: c.value})
	}
	return connect.NewResponse(m), nil
}

// Timeout of one query to the leader, and delay before the next try.
const (
	queryTimeout       = 500 * time.Millisecond
	queryRetryInterval = 30 * time.Millisecond
)

// queryLeader sends a query to the leader and retries, up to leaderTimeout, until a leader answers.
//
// The query may be a change of the control group. After an error, such a change may nevertheless
// have been made.
func (d *Daemon) queryLeader(ctx context.Context, m *pb.QueryRequest) (*pb.QueryResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	for {
		address, _ := d.entryControlAddress.Load().(string)
		if address == "" {
			// An instance without the entry role never sets entryControlAddress. LeaderAddress then returns
			// the address known from the control group.
			address = d.LeaderAddress()
		}
		if address != "" {
			answer, err := d.peers.Query(ctx, address, queryTimeout, m)
			if err == nil && !answer.GetNotLeader() {
				return answer, nil
			}
		}
		select {
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeUnavailable, errors.New("no confirmed leader answered"))
		case <-time.After(queryRetryInterval):
		}
	}
}

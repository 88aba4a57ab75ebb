package tbdaemon

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbentry"
	"tamarackbarrow/core/tbnode"
	"tamarackbarrow/io/tbcodec"
	pb "tamarackbarrow/io/tbproto/v1"
)

// peerHandler implements the peer service, which the other instances call.
type peerHandler struct{ d *Daemon }

var errNoControl = merry.New("this instance has no control role")

// Deliver accepts consensus messages of other replicas.
func (h *peerHandler) Deliver(_ context.Context, m *pb.DeliverRequest) (*pb.DeliverResponse, error) {
	if h.d.node.Control == nil {
		return nil, errNoControl
	}
	var messages []tbconsensus.Message
	for _, wire := range m.GetMessages() {
		message, err := tbcodec.MessageFromWire(wire)
		if err != nil {
			return nil, merry.Prepend(err, "cannot decode a consensus message")
		}
		messages = append(messages, message)
		if address := m.GetFromAddress(); address != "" {
			h.d.senderAddresses.Store(message.From, address)
		}
	}
	h.d.queueEvent(tbnode.Event{Control: tbcontrol.MessagesArrived{Messages: messages}})
	return &pb.DeliverResponse{}, nil
}

// Propose commits commands if this replica is the leader. Otherwise it sets NotLeader.
func (h *peerHandler) Propose(ctx context.Context, m *pb.ProposeRequest) (*pb.ProposeResponse, error) {
	if h.d.node.Control == nil {
		return nil, errNoControl
	}
	commands, err := h.d.codec.CommandsFromWire(m.GetCommands())
	if err != nil {
		return nil, merry.Prepend(err, "proposal")
	}
	answer, _, err := queueAndWait[tbcontrol.AnswerProposal](h.d, ctx, func(id uint64) tbnode.Event {
		return tbnode.Event{Control: tbcontrol.ProposalArrived{Request: id, Commands: commands}}
	})
	if err != nil {
		return nil, err
	}
	return &pb.ProposeResponse{
		Leader: uint64(answer.Leader), NotLeader: answer.NotLeader, Outcomes: tbcodec.OutcomesToWire(answer.Outcomes),
	}, nil
}

// Sync processes an entry's report and returns the changes since the state that the entry already has.
func (h *peerHandler) Sync(ctx context.Context, m *pb.SyncRequest) (*pb.SyncResponse, error) {
	if h.d.node.Control == nil {
		return nil, errNoControl
	}
	answer, _, err := queueAndWait[tbcontrol.AnswerSync](h.d, ctx, func(id uint64) tbnode.Event {
		return tbnode.Event{Control: tbcontrol.SyncArrived{Request: id, Sync: tbcodec.SyncFromWire(m)}}
	})
	if err != nil {
		return nil, err
	}
	return tbcodec.SyncAnswerToWire(answer), nil
}

// Handover executes a call that a peer without a free slot hands over.
func (h *peerHandler) Handover(ctx context.Context, m *pb.HandoverRequest) (*pb.CallResponse, error) {
	call := callFromWire(m.GetCall())
	call.Timeout = time.Duration(m.GetLeftMs()) * time.Millisecond
	outcome, err := h.d.call(ctx, call, true)
	if err != nil {
		return nil, err
	}
	return outcomeToWire(outcome), nil
}

// Query returns jobs, returns the status or changes the control group. A replica that is not the
// leader sets NotLeader.
func (h *peerHandler) Query(ctx context.Context, m *pb.QueryRequest) (*pb.QueryResponse, error) {
	if h.d.node.Control == nil {
		return nil, errNoControl
	}
	switch {
	case m.GetStatus():
		return h.queryStatus(ctx)
	case m.GetChange() != nil:
		return h.changeMember(ctx, m.GetChange())
	}
	return h.queryJobs(ctx, m.GetJobs())
}

func (h *peerHandler) queryStatus(ctx context.Context) (*pb.QueryResponse, error) {
	answer, _, err := queueAndWait[tbcontrol.AnswerStatus](h.d, ctx, func(id uint64) tbnode.Event {
		return tbnode.Event{Control: tbcontrol.StatusQueried{Request: id}}
	})
	if err != nil {
		return nil, err
	}
	return &pb.QueryResponse{
		Leader: uint64(answer.Leader), NotLeader: answer.NotLeader, Status: tbcodec.StatusToWire(answer.Status),
	}, nil
}

func (h *peerHandler) queryJobs(ctx context.Context, ids []string) (*pb.QueryResponse, error) {
	answer, _, err := queueAndWait[tbcontrol.AnswerJobs](h.d, ctx, func(id uint64) tbnode.Event {
		return tbnode.Event{Control: tbcontrol.JobsQueried{Request: id, IDs: ids}}
	})
	if err != nil {
		return nil, err
	}
	m := &pb.QueryResponse{Leader: uint64(answer.Leader), NotLeader: answer.NotLeader}
	for _, j := range answer.Jobs {
		m.Jobs = append(m.Jobs, tbcodec.JobViewToWire(j))
	}
	return m, nil
}

// changeMember passes a change of the control group to the control role. An unspecified change becomes
// 0, which changes nothing.
func (h *peerHandler) changeMember(ctx context.Context, m *pb.ChangeMemberRequest) (*pb.QueryResponse, error) {
	kinds := map[pb.MemberChange]tbcontrol.MemberChange{
		pb.MemberChange_MEMBER_CHANGE_ADD_LEARNER: tbcontrol.AddLearner,
		pb.MemberChange_MEMBER_CHANGE_PROMOTE:     tbcontrol.Promote,
		pb.MemberChange_MEMBER_CHANGE_REMOVE:      tbcontrol.Remove,
	}
	answer, _, err := queueAndWait[tbcontrol.AnswerMemberChange](h.d, ctx, func(id uint64) tbnode.Event {
		return tbnode.Event{Control: tbcontrol.MemberChangeArrived{
			Request: id, Change: kinds[m.GetChange()], Replica: tbconsensus.ReplicaID(m.GetReplica()), Address: m.GetAddress(),
		}}
	})
	if err != nil {
		return nil, err
	}
	return &pb.QueryResponse{
		Leader: uint64(answer.Leader), NotLeader: answer.NotLeader,
		Change: &pb.CommandResult{Reason: string(answer.Refusal)},
	}, nil
}

// call passes one call to the entry role and waits for the outcome of the call. If ctx is done first,
// it reports to the entry role that the caller has left.
func (d *Daemon) call(ctx context.Context, call tbentry.Call, handover bool) (tbentry.Outcome, error) {
	outcome, id, err := queueAndWait[tbentry.Outcome](d, ctx, func(id uint64) tbnode.Event {
		return tbnode.Event{Entry: tbentry.CallArrived{ID: id, Call: call, FromPeer: handover}}
	})
	if err != nil {
		d.queueEvent(tbnode.Event{Entry: tbentry.CallerLeft{ID: id}})
	}
	return outcome, err
}

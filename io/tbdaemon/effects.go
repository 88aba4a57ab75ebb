package tbdaemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbentry"
	"tamarackbarrow/core/tbnode"
	"tamarackbarrow/io/tbcodec"
	"tamarackbarrow/io/tbpeer"
	pb "tamarackbarrow/io/tbproto/v1"
	"tamarackbarrow/io/tbproto/v1/tbprotov1connect"
)

// Timeouts of requests to other processes.
const (
	syncTimeout    = 400 * time.Millisecond
	proposeTimeout = time.Second
	pushTimeout    = 500 * time.Millisecond
	// handoverReplyMargin is added to the call's remaining time. A peer that uses all of the call's
	// time can then still send its answer.
	handoverReplyMargin = 200 * time.Millisecond
)

// perform performs effects without blocking the event loop: other goroutines send requests and write to
// disk.
func (d *Daemon) perform(effects []tbnode.Effect) {
	for _, e := range effects {
		if e.Entry != nil {
			d.performEntry(e.Entry)
		}
		if e.Control != nil {
			d.performControl(e.Control)
		}
	}
}

func (d *Daemon) performEntry(e tbentry.Effect) {
	switch e := e.(type) {
	case tbentry.AnswerCall:
		d.reply(e.ID, e.Outcome)
	case tbentry.StartAttempt:
		go d.executeAttempt(e)
	case tbentry.SettleAttempt:
		go d.settleAttempt(e)
	case tbentry.StartHandover:
		go d.startHandover(e)
	case tbentry.SendProposal:
		go d.sendProposal(e)
	case tbentry.SendSync:
		go d.sendSync(e)
	case tbentry.AnswerRunner:
		d.reply(e.Request, e)
	case tbentry.AnswerWorker:
		d.reply(e.Request, e)
	case tbentry.PushOrders:
		go d.pushOrders(e)
	case tbentry.AnswerCommands:
		d.reply(e.Request, e)
	case tbentry.Count:
		d.count(e.Counter)
	case tbentry.Stopped:
		close(d.entryStopped)
	default:
		panic(fmt.Sprintf("effect of unknown type %T", e))
	}
}

func (d *Daemon) count(c tbentry.Counter) {
	name := c.Group
	if c.Reason != tbentry.NoReason {
		name += "." + string(c.Reason)
	}
	d.counters.add(name)
}

func (d *Daemon) performControl(e tbcontrol.Effect) {
	switch e := e.(type) {
	case tbcontrol.SendMessages:
		d.publishMembers()
		d.sendMessages(e.Messages)
	case tbcontrol.Save:
		// The storage goroutine sends the messages of this Save after the sync.
		d.publishMembers()
		d.storage.add(storageJob{save: &e})
	case tbcontrol.SaveSnapshot:
		d.storage.add(storageJob{snapshot: &e.Snapshot})
	case tbcontrol.AnswerProposal:
		d.reply(e.Request, e)
	case tbcontrol.AnswerSync:
		d.reply(e.Request, e)
	case tbcontrol.AnswerJobs:
		d.reply(e.Request, e)
	case tbcontrol.AnswerStatus:
		d.reply(e.Request, e)
	case tbcontrol.AnswerMemberChange:
		d.reply(e.Request, e)
	case tbcontrol.AnswerLeaderRequest:
		d.reply(e.Request, e)
	case tbcontrol.SendOrder:
		d.orders.send(e)
	case tbcontrol.PlanMade:
		d.account.addPlan(e)
	case tbcontrol.Log:
		d.logDecision(e)
	default:
		panic(fmt.Sprintf("effect of unknown type %T", e))
	}
}

// logDecision logs a decision in one line. It counts the decision once for each run that the
// decision concerns, or once if there are no runs.
func (d *Daemon) logDecision(e tbcontrol.Log) {
	args := e.Args
	if e.Detail != "" {
		args = append(args, "detail", e.Detail)
	}
	if len(e.Runs) > 0 {
		args = append(args, "runs", e.Runs)
	}
	d.counters.addMany("decisions."+e.Message, max(1, len(e.Runs)))
	if e.Reason != "" {
		args = append(args, "reason", e.Reason)
		d.counters.addMany("decisions."+e.Message+"."+e.Reason, 1)
	}
	switch {
	case e.Routine:
		d.routineLog.Info(e.Message, args...)
	case len(e.Runs) > 0:
		d.runLog.Info(e.Message, args...)
	default:
		d.log.Info(e.Message, args...)
	}
}

// publishMembers stores the members of the control group for other goroutines. The storage goroutine
// uses them to find the addresses of replicas.
func (d *Daemon) publishMembers() {
	d.groupMembers.Store(d.node.Control.Replica().Members().Members)
}

func (d *Daemon) executeAttempt(s tbentry.StartAttempt) {
	ended := d.runners.Run(d.ctx, d.attemptID(s.Attempt), s)
	d.queueEvent(tbnode.Event{Entry: ended})
}

// attemptID returns an id for an attempt that is unique across instances and restarts.
func (d *Daemon) attemptID(attempt uint64) string {
	return fmt.Sprintf("%s/%d/%d", d.settings.ID, d.incarnation, attempt)
}

func (d *Daemon) settleAttempt(s tbentry.SettleAttempt) {
	time.Sleep(s.Delay)
	d.queueEvent(tbnode.Event{Entry: d.runners.Settle(d.ctx, d.attemptID(s.Attempt), s)})
}

func (d *Daemon) startHandover(h tbentry.StartHandover) {
	answer, err := d.peers.Handover(d.ctx, h.Address, h.TimeLeft+handoverReplyMargin, &pb.HandoverRequest{
		Call: callToWire(h.Call), LeftMs: uint32(max(1, h.TimeLeft.Milliseconds())),
	})
	ended := tbentry.HandoverEnded{ID: h.ID}
	var notSent *tbpeer.NotSentError
	switch {
	case errors.As(err, &notSent):
		ended.NotSent = true
	case err != nil:
		ended.Lost = true
	default:
		ended.Outcome = outcomeFromWire(answer)
	}
	d.queueEvent(tbnode.Event{Entry: ended})
}

func (d *Daemon) sendProposal(p tbentry.SendProposal) {
	ended := tbentry.ProposalEnded{ID: p.ID}
	answer, err := d.propose(d.ctx, p)
	if err != nil {
		ended.Failed = true
	} else {
		ended.NotLeader, ended.Leader, ended.Outcomes = answer.NotLeader, answer.Leader, answer.Outcomes
	}
	d.queueEvent(tbnode.Event{Entry: ended})
}

// propose sends commands to the control role at p.Address: through the event loop if it is the local
// one, and over the network otherwise.
func (d *Daemon) propose(ctx context.Context, p tbentry.SendProposal) (tbcontrol.AnswerProposal, error) {
	if d.isLocalControl(p.Address) {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		answer, _, err := queueAndWait[tbcontrol.AnswerProposal](d, ctx, func(id uint64) tbnode.Event {
			return tbnode.Event{Control: tbcontrol.ProposalArrived{Request: id, Commands: p.Commands}}
		})
		return answer, err
	}
	wire, err := d.peers.Propose(ctx, p.Address, proposeTimeout, &pb.ProposeRequest{Commands: tbcodec.CommandsToWire(p.Commands)})
	if err != nil {
		return tbcontrol.AnswerProposal{}, err
	}
	return tbcontrol.AnswerProposal{
		NotLeader: wire.GetNotLeader(), Leader: tbconsensus.ReplicaID(wire.GetLeader()),
		Outcomes: tbcodec.OutcomesFromWire(wire.GetOutcomes()),
	}, nil
}

func (d *Daemon) isLocalControl(address string) bool {
	return d.node.Control != nil && address == d.settings.PeerAddress
}

func (d *Daemon) sendSync(s tbentry.SendSync) {
	ended := tbentry.SyncEnded{SentAt: s.SentAt}
	answer, err := d.sync(d.ctx, s)
	if err != nil {
		ended.Failed = true
		d.counters.add("control.syncFailed")
	} else {
		ended.NotLeader, ended.Leader, ended.View = answer.NotLeader, answer.Leader, answer.View
	}
	d.queueEvent(tbnode.Event{Entry: ended})
}

func (d *Daemon) sync(ctx context.Context, s tbentry.SendSync) (tbcontrol.AnswerSync, error) {
	if d.isLocalControl(s.Address) {
		ctx, cancel := context.WithTimeout(ctx, syncTimeout)
		defer cancel()
		answer, _, err := queueAndWait[tbcontrol.AnswerSync](d, ctx, func(id uint64) tbnode.Event {
			return tbnode.Event{Control: tbcontrol.SyncArrived{Request: id, Sync: s.Sync}}
		})
		return answer, err
	}
	wire, err := d.peers.Sync(ctx, s.Address, syncTimeout, tbcodec.SyncToWire(s.Sync))
	if err != nil {
		return tbcontrol.AnswerSync{}, err
	}
	return d.codec.SyncAnswerFromWire(wire)
}

func (d *Daemon) pushOrders(p tbentry.PushOrders) {
	ctx, cancel := context.WithTimeout(d.ctx, pushTimeout)
	defer cancel()
	client := tbprotov1connect.NewWorkerServiceClient(d.backendHTTPClient, "http://"+p.Address)
	if _, err := client.Apply(ctx, connect.NewRequest(&pb.ApplyRequest{Orders: ordersToWire(p.Orders)})); err != nil {
		// The answer to the worker's next announcement contains the same orders.
		d.counters.add("workers.pushFailed")
	}
}

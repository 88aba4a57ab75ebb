package tbnode_test

import (
	"fmt"
	"slices"
	"time"

	"tamarackbarrow/core/tbassign"
	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbentry"
	"tamarackbarrow/core/tblease"
	"tamarackbarrow/core/tbnode"
	"tamarackbarrow/core/tbplacement"
	"tamarackbarrow/core/tbrouting"
	"tamarackbarrow/core/tbshare"
)

// simulatedNode is a tbnode.Node with a simulated disk and network.
type simulatedNode struct {
	sim              *simulator
	id               int
	node             *tbnode.Node
	incarnation      int
	isUp             bool
	isIsolated       bool
	hardState        tbconsensus.HardState
	snapshot         tbconsensus.Snapshot
	persistedEntries []tbconsensus.Entry
	lastRequest      uint64
	onReplyByRequest map[uint64]func(any)
}

func (n *simulatedNode) address() string { return fmt.Sprintf("node-%d", n.id) }

func initialMembers() []tbconsensus.Member {
	var all []tbconsensus.Member
	for i := 1; i <= nodeCount; i++ {
		all = append(all, tbconsensus.Member{ID: tbconsensus.ReplicaID(i), Address: fmt.Sprintf("node-%d", i)})
	}
	return all
}

var leaseParams = tblease.Params{Duration: 2 * time.Second, ClockRateBound: 0.01}

func (n *simulatedNode) start() {
	sim := n.sim
	n.incarnation++
	n.isUp = true
	n.onReplyByRequest = map[uint64]func(any){}
	control, err := tbcontrol.New(tbcontrol.Config{
		Consensus: tbconsensus.Config{
			ID: tbconsensus.ReplicaID(n.id), ElectionTimeout: 600 * time.Millisecond, HeartbeatInterval: 60 * time.Millisecond,
			ClockRateBound: 0.01, MaxBatchBytes: 1 << 20, ChunkBytes: 512, Seed: sim.seed*100 + uint64(n.incarnation),
		},
		EntryLease: leaseParams, TaskLease: leaseParams, BackendSilence: 1500 * time.Millisecond, DeliveryMargin: 500 * time.Millisecond,
		RemoveAfter: time.Hour, GrantInterval: 250 * time.Millisecond, PlacementInterval: 50 * time.Millisecond,
		SnapshotEvery: 60, MaxInFlight: 2, MaxBatchCommands: 64, MaxWaiting: 1000, MaxApplied: 2,
		Share: tbshare.Policy{BaseWeight: 2, Tolerance: 0.1}, Placement: tbplacement.DefaultConfig(),
	}, sim.codec, tbconsensus.PersistedState{
		HardState: n.hardState, Snapshot: n.snapshot, Entries: slices.Clone(n.persistedEntries), Initial: tbconsensus.Membership{Members: initialMembers()},
	}, sim.now)
	if err != nil {
		sim.fail("node %d failed to start: %v", n.id, err)
	}
	entry := tbentry.New(tbentry.Config{
		ID: n.address(), Incarnation: uint64(n.incarnation), DataCentre: "north", PeerAddress: n.address(), Control: initialMembers(),
		EntryLease: leaseParams, TaskLease: leaseParams, SyncInterval: 200 * time.Millisecond, DeliveryMargin: 500 * time.Millisecond,
		Routing: tbrouting.DefaultPolicy(), AdmissionEnabled: true, HandoverEnabled: true, Seed: sim.seed,
	}, sim.now)
	n.node = tbnode.New(entry, control)
	n.tick(n.incarnation)
}

func (n *simulatedNode) tick(incarnation int) {
	if !n.isUp || n.incarnation != incarnation {
		return
	}
	n.performEffects(n.node.Tick(n.sim.now))
	n.performEffects(n.node.EndEventBatch(n.sim.now, tbassign.Load{}))
	n.sim.schedule(10*time.Millisecond, func() { n.tick(incarnation) })
}

// step delivers an event to one incarnation of the node, unless that incarnation has ended.
func (n *simulatedNode) step(incarnation int, ev tbnode.Event) {
	if !n.isUp || n.incarnation != incarnation {
		return
	}
	n.performEffects(n.node.Step(n.sim.now, ev))
	n.performEffects(n.node.EndEventBatch(n.sim.now, tbassign.Load{}))
}

// request sends the node a request and calls onReply with the reply. If the node ends before it
// replies, onReply is not called.
func (n *simulatedNode) request(event func(id uint64) tbnode.Event, onReply func(any)) {
	if !n.isUp {
		return
	}
	n.lastRequest++
	id := n.lastRequest
	n.onReplyByRequest[id] = onReply
	n.step(n.incarnation, event(id))
}

func (n *simulatedNode) reply(id uint64, answer any) {
	if onReply := n.onReplyByRequest[id]; onReply != nil {
		delete(n.onReplyByRequest, id)
		onReply(answer)
	}
}

func (sim *simulator) nodeAt(address string) *simulatedNode {
	for _, n := range sim.nodes {
		if n.address() == address {
			return n
		}
	}
	return nil
}

// transmit calls deliver after a random delay. It does not call deliver if the nodes are partitioned, the
// message is dropped or the receiver is down.
func (sim *simulator) transmit(from, to *simulatedNode, deliver func()) {
	sim.schedule(sim.randomDelay(), func() {
		isPartitioned := from != to && (from.isIsolated || to.isIsolated)
		if !isPartitioned && !sim.dropsMessage() && to.isUp {
			deliver()
		}
	})
}

// callRemote sends a request to the node at address and calls onReply with the reply. If no reply
// arrives within timeout, it calls onReply with nil.
func (n *simulatedNode) callRemote(address string, timeout time.Duration, event func(id uint64) tbnode.Event, onReply func(any)) {
	isComplete := false
	complete := func(answer any) {
		if !isComplete {
			isComplete = true
			onReply(answer)
		}
	}
	n.sim.schedule(timeout, func() { complete(nil) })
	to := n.sim.nodeAt(address)
	if to == nil {
		return
	}
	n.sim.transmit(n, to, func() {
		to.request(event, func(answer any) { n.sim.transmit(to, n, func() { complete(answer) }) })
	})
}

func (n *simulatedNode) performEffects(effects []tbnode.Effect) {
	incarnation := n.incarnation
	for _, e := range effects {
		if e.Control != nil {
			n.performControlEffect(incarnation, e.Control)
		}
		if e.Entry != nil {
			n.performEntryEffect(incarnation, e.Entry)
		}
	}
}

func (n *simulatedNode) performControlEffect(incarnation int, e tbcontrol.Effect) {
	switch e := e.(type) {
	case tbcontrol.SendMessages:
		n.send(e.Messages)
	case tbcontrol.Save:
		// All saves take the same time, so that they complete in order.
		n.sim.schedule(3*time.Millisecond, func() { n.persist(incarnation, e) })
	case tbcontrol.SaveSnapshot:
		n.sim.schedule(3*time.Millisecond, func() {
			if n.incarnation == incarnation && n.isUp {
				n.snapshot = e.Snapshot
			}
		})
	case tbcontrol.AnswerProposal:
		n.reply(e.Request, e)
	case tbcontrol.AnswerSync:
		n.reply(e.Request, e)
	}
}

func (n *simulatedNode) send(messages []tbconsensus.Message) {
	for _, m := range messages {
		to := n.sim.nodes[m.To-1]
		n.sim.transmit(n, to, func() {
			to.step(to.incarnation, tbnode.Event{Control: tbcontrol.MessagesArrived{Messages: []tbconsensus.Message{m}}})
		})
	}
}

func (n *simulatedNode) persist(incarnation int, e tbcontrol.Save) {
	if n.incarnation != incarnation || !n.isUp {
		return
	}
	if e.Install != nil {
		n.snapshot, n.persistedEntries = *e.Install, nil
	}
	for _, entry := range e.Entries {
		at := slices.IndexFunc(n.persistedEntries, func(have tbconsensus.Entry) bool { return have.Index >= entry.Index })
		if at >= 0 {
			n.persistedEntries = n.persistedEntries[:at:at]
		}
		n.persistedEntries = append(n.persistedEntries, entry)
	}
	if e.HardState != nil {
		n.hardState = *e.HardState
	}
	n.send(e.Messages)
	if len(e.Entries) > 0 {
		last := e.Entries[len(e.Entries)-1]
		n.step(incarnation, tbnode.Event{Control: tbcontrol.EntriesPersisted{Term: last.Term, Index: last.Index}})
	}
}

func (n *simulatedNode) performEntryEffect(incarnation int, e tbentry.Effect) {
	sim := n.sim
	deliver := func(ev tbentry.Event) { n.step(incarnation, tbnode.Event{Entry: ev}) }
	switch e := e.(type) {
	case tbentry.AnswerCall:
		n.reply(e.ID, e.Outcome)
	case tbentry.StartAttempt:
		sim.startAttempt(e, fmt.Sprintf("%s/%d/%d", n.address(), incarnation, e.Attempt), deliver)
	case tbentry.SettleAttempt:
		sim.settleAttempt(e, fmt.Sprintf("%s/%d/%d", n.address(), incarnation, e.Attempt), deliver)
	case tbentry.StartHandover:
		n.callRemote(e.Address, e.TimeLeft+200*time.Millisecond, func(id uint64) tbnode.Event {
			call := e.Call
			call.Timeout = e.TimeLeft
			return tbnode.Event{Entry: tbentry.CallArrived{ID: id, Call: call, FromPeer: true}}
		}, func(answer any) {
			outcome, ok := answer.(tbentry.Outcome)
			deliver(tbentry.HandoverEnded{ID: e.ID, Lost: !ok, Outcome: outcome})
		})
	case tbentry.SendProposal:
		n.callRemote(e.Address, time.Second, func(id uint64) tbnode.Event {
			return tbnode.Event{Control: tbcontrol.ProposalArrived{Request: id, Commands: e.Commands}}
		}, func(answer any) {
			a, ok := answer.(tbcontrol.AnswerProposal)
			deliver(tbentry.ProposalEnded{ID: e.ID, Failed: !ok, NotLeader: a.NotLeader, Leader: a.Leader, Outcomes: a.Outcomes})
		})
	case tbentry.SendSync:
		n.callRemote(e.Address, 400*time.Millisecond, func(id uint64) tbnode.Event {
			return tbnode.Event{Control: tbcontrol.SyncArrived{Request: id, Sync: e.Sync}}
		}, func(answer any) {
			a, ok := answer.(tbcontrol.AnswerSync)
			deliver(tbentry.SyncEnded{SentAt: e.SentAt, Failed: !ok, NotLeader: a.NotLeader, Leader: a.Leader, View: a.View})
		})
	case tbentry.AnswerWorker:
		n.reply(e.Request, e)
	case tbentry.PushOrders:
		for _, worker := range sim.workers {
			if worker.id == e.Worker {
				sim.schedule(sim.randomDelay(), func() { worker.applyOrders(e.Orders) })
			}
		}
	case tbentry.AnswerCommands:
		n.reply(e.Request, e)
	}
}

package tbnode_test

import (
	"fmt"
	"slices"
	"time"

	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbentry"
	"tamarackbarrow/core/tblease"
	"tamarackbarrow/core/tbnode"
	"tamarackbarrow/core/tbplacement"
	"tamarackbarrow/core/tbrouting"
	"tamarackbarrow/core/tbshare"
)

// fakeNode is a real node with a fake disk and network.
type fakeNode struct {
	w          *world
	id         int
	node       *tbnode.Node
	generation int
	up         bool
	isolated   bool
	hard       tbconsensus.HardState
	snapshot   tbconsensus.Snapshot
	entries    []tbconsensus.Entry
	nextID     uint64
	replies    map[uint64]func(any)
}

func (n *fakeNode) address() string { return fmt.Sprintf("node-%d", n.id) }

func members() []tbconsensus.Member {
	var all []tbconsensus.Member
	for i := 1; i <= nodeCount; i++ {
		all = append(all, tbconsensus.Member{ID: tbconsensus.ReplicaID(i), Address: fmt.Sprintf("node-%d", i)})
	}
	return all
}

var terms = tblease.Terms{Length: 2 * time.Second, ClockRateBound: 0.01}

func (n *fakeNode) start() {
	w := n.w
	n.generation++
	n.up = true
	n.replies = map[uint64]func(any){}
	control, err := tbcontrol.New(tbcontrol.Config{
		Consensus: tbconsensus.Config{
			ID: tbconsensus.ReplicaID(n.id), ElectionTimeout: 600 * time.Millisecond, HeartbeatInterval: 60 * time.Millisecond,
			ClockRateBound: 0.01, MaxBatchBytes: 1 << 20, ChunkBytes: 512, Seed: w.seed*100 + uint64(n.generation),
		},
		EntryLease: terms, TaskLease: terms, BackendSilence: 1500 * time.Millisecond, DeliveryMargin: 500 * time.Millisecond,
		ForgetAfter: time.Hour, ShareInterval: 250 * time.Millisecond, PlanInterval: 50 * time.Millisecond,
		SnapshotEvery: 60, MaxInFlight: 2, MaxBatchCommands: 64, MaxWaiting: 1000, MaxApplied: 2,
		Share: tbshare.Policy{BaseWeight: 2, Tolerance: 0.1}, Placement: tbplacement.DefaultPolicy(),
	}, w.codec, tbconsensus.Restored{
		HardState: n.hard, Snapshot: n.snapshot, Entries: slices.Clone(n.entries), Initial: tbconsensus.Membership{Members: members()},
	}, w.now)
	if err != nil {
		w.fail("node %d does not start: %v", n.id, err)
	}
	entry := tbentry.New(tbentry.Config{
		ID: n.address(), Incarnation: uint64(n.generation), DataCentre: "north", PeerAddress: n.address(), Control: members(),
		EntryLease: terms, TaskLease: terms, SyncInterval: 200 * time.Millisecond, DeliveryMargin: 500 * time.Millisecond,
		Routing: tbrouting.DefaultPolicy(), Admission: true, Handover: true, Seed: w.seed,
	}, w.now)
	n.node = tbnode.New(entry, control)
	n.tick(n.generation)
}

func (n *fakeNode) tick(generation int) {
	if !n.up || n.generation != generation {
		return
	}
	n.perform(n.node.Tick(n.w.now))
	n.perform(n.node.EndBatch(n.w.now))
	n.w.after(10*time.Millisecond, func() { n.tick(generation) })
}

// step hands an event over if the process that expects it still runs.
func (n *fakeNode) step(generation int, ev tbnode.Event) {
	if !n.up || n.generation != generation {
		return
	}
	n.perform(n.node.Step(n.w.now, ev))
	n.perform(n.node.EndBatch(n.w.now))
}

// request asks the node something; the answer comes to then unless the node dies.
func (n *fakeNode) request(event func(id uint64) tbnode.Event, then func(any)) {
	if !n.up {
		return
	}
	n.nextID++
	id := n.nextID
	n.replies[id] = then
	n.step(n.generation, event(id))
}

func (n *fakeNode) reply(id uint64, answer any) {
	if then := n.replies[id]; then != nil {
		delete(n.replies, id)
		then(answer)
	}
}

func (w *world) nodeAt(address string) *fakeNode {
	for _, n := range w.nodes {
		if n.address() == address {
			return n
		}
	}
	return nil
}

// between runs do after a delay if the network lets a message from one node to another.
func (w *world) between(from, to *fakeNode, do func()) {
	w.after(w.delay(), func() {
		cut := from != to && (from.isolated || to.isolated)
		if !cut && !w.lost() && to.up {
			do()
		}
	})
}

// remote asks another node and reports nil when no answer came in time.
func (n *fakeNode) remote(address string, within time.Duration, event func(id uint64) tbnode.Event, then func(any)) {
	done := false
	finish := func(answer any) {
		if !done {
			done = true
			then(answer)
		}
	}
	n.w.after(within, func() { finish(nil) })
	to := n.w.nodeAt(address)
	if to == nil {
		return
	}
	n.w.between(n, to, func() {
		to.request(event, func(answer any) { n.w.between(to, n, func() { finish(answer) }) })
	})
}

func (n *fakeNode) perform(effects []tbnode.Effect) {
	generation := n.generation
	for _, e := range effects {
		if e.Control != nil {
			n.performControl(generation, e.Control)
		}
		if e.Entry != nil {
			n.performEntry(generation, e.Entry)
		}
	}
}

func (n *fakeNode) performControl(generation int, e tbcontrol.Effect) {
	switch e := e.(type) {
	case tbcontrol.SendMessages:
		n.send(e.Messages)
	case tbcontrol.Save:
		// Saves take equally long, so that they end in order.
		n.w.after(3*time.Millisecond, func() { n.save(generation, e) })
	case tbcontrol.SaveSnapshot:
		n.w.after(3*time.Millisecond, func() {
			if n.generation == generation && n.up {
				n.snapshot = e.Snapshot
			}
		})
	case tbcontrol.AnswerProposal:
		n.reply(e.Request, e)
	case tbcontrol.AnswerSync:
		n.reply(e.Request, e)
	}
}

func (n *fakeNode) send(messages []tbconsensus.Message) {
	for _, m := range messages {
		to := n.w.nodes[m.To-1]
		n.w.between(n, to, func() {
			to.step(to.generation, tbnode.Event{Control: tbcontrol.MessagesArrived{Messages: []tbconsensus.Message{m}}})
		})
	}
}

func (n *fakeNode) save(generation int, e tbcontrol.Save) {
	if n.generation != generation || !n.up {
		return
	}
	if e.Install != nil {
		n.snapshot, n.entries = *e.Install, nil
	}
	for _, entry := range e.Entries {
		at := slices.IndexFunc(n.entries, func(have tbconsensus.Entry) bool { return have.Index >= entry.Index })
		if at >= 0 {
			n.entries = n.entries[:at:at]
		}
		n.entries = append(n.entries, entry)
	}
	if e.HardState != nil {
		n.hard = *e.HardState
	}
	n.send(e.Messages)
	if len(e.Entries) > 0 {
		last := e.Entries[len(e.Entries)-1]
		n.step(generation, tbnode.Event{Control: tbcontrol.EntriesPersisted{Term: last.Term, Index: last.Index}})
	}
}

func (n *fakeNode) performEntry(generation int, e tbentry.Effect) {
	w := n.w
	back := func(ev tbentry.Event) { n.step(generation, tbnode.Event{Entry: ev}) }
	switch e := e.(type) {
	case tbentry.AnswerCall:
		n.reply(e.ID, e.Outcome)
	case tbentry.StartRun:
		w.startRun(e, fmt.Sprintf("%s/%d/%d", n.address(), generation, e.Attempt), back)
	case tbentry.SettleRun:
		w.settleRun(e, fmt.Sprintf("%s/%d/%d", n.address(), generation, e.Attempt), back)
	case tbentry.StartHandover:
		n.remote(e.Address, e.Left+200*time.Millisecond, func(id uint64) tbnode.Event {
			call := e.Call
			call.Within = e.Left
			return tbnode.Event{Entry: tbentry.CallArrived{ID: id, Call: call, Handover: true}}
		}, func(answer any) {
			outcome, ok := answer.(tbentry.Outcome)
			back(tbentry.HandoverEnded{ID: e.ID, Lost: !ok, Outcome: outcome})
		})
	case tbentry.SendProposal:
		n.remote(e.Address, time.Second, func(id uint64) tbnode.Event {
			return tbnode.Event{Control: tbcontrol.ProposalArrived{Request: id, Commands: e.Commands}}
		}, func(answer any) {
			a, ok := answer.(tbcontrol.AnswerProposal)
			back(tbentry.ProposalEnded{ID: e.ID, Failed: !ok, NotLeader: a.NotLeader, Leader: a.Leader, Outcomes: a.Outcomes})
		})
	case tbentry.SendSync:
		n.remote(e.Address, 400*time.Millisecond, func(id uint64) tbnode.Event {
			return tbnode.Event{Control: tbcontrol.SyncArrived{Request: id, Sync: e.Sync}}
		}, func(answer any) {
			a, ok := answer.(tbcontrol.AnswerSync)
			back(tbentry.SyncEnded{SentAt: e.SentAt, Failed: !ok, NotLeader: a.NotLeader, Leader: a.Leader, View: a.View})
		})
	case tbentry.AnswerWorker:
		n.reply(e.Request, e)
	case tbentry.PushOrders:
		for _, worker := range w.workers {
			if worker.id == e.Worker {
				w.after(w.delay(), func() { worker.apply(e.Orders) })
			}
		}
	case tbentry.AnswerCommands:
		n.reply(e.Request, e)
	}
}

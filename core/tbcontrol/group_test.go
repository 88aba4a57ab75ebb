package tbcontrol_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbplacement"
	"tamarackbarrow/io/tbbundlefile"
	"tamarackbarrow/io/tbcodec"

	"tamarackbarrow/core/tbbundle"
)

// disk holds what a replica keeps over a restart: the saved state, and the value of Config.Join.
type disk struct {
	persisted  tbconsensus.PersistedState
	joinsGroup bool
}

// replica is one simulated control process of a group.
type replica struct {
	id              tbconsensus.ReplicaID
	address         string
	disk            *disk
	control         *tbcontrol.Control
	answerByRequest map[uint64]tbcontrol.AnswerLeaderRequest
	// workerOrders are the orders that the replica sent to workers.
	workerOrders []tbfleet.Order
	logLines     []tbcontrol.Log
	// isolated is true while the replica neither receives nor sends messages.
	isolated bool
	// dropsInbound is true while the replica receives no messages, although those it sends arrive.
	dropsInbound bool
	// busyUntil is when the replica has finished its earlier events. Later events wait until then. The zero
	// time means that it is not busy.
	busyUntil time.Time
	// diskFullUntil is when the replica's disk has room again. Until then it saves nothing: delayedSaves wait,
	// and snapshots of its own are skipped.
	diskFullUntil time.Time
	delayedSaves  []tbcontrol.Save
	// clockOffset is how far the replica's clock is ahead.
	clockOffset time.Duration
}

// simulatedGroup runs replicas in memory. Messages arrive one time step later, and disks save at once.
type simulatedGroup struct {
	t                   *testing.T
	now                 time.Time
	replicas            []*replica
	undeliveredMessages []tbconsensus.Message
	lastRequest         uint64
	// applyCost is the time that a replica needs to apply one entry.
	applyCost time.Duration
	// silenceTimeout is tbfleet.Params.SilenceTimeout of replicas that start from now on. 0 stands for one
	// hour.
	silenceTimeout time.Duration
	// clockOffset is how far the clocks of replicas that start from now on are ahead of now.
	clockOffset time.Duration
}

const (
	groupSize  = 5
	maxApplied = 16
	// maxMessageBytes is the size from which the network drops messages.
	maxMessageBytes = 4 << 20
	maxJobBytes     = 6 << 20
	snapshotBytes   = 2 << 20
)

// newGroupWithoutReplicas returns a group and its three initial members, none of which has started.
func newGroupWithoutReplicas(t *testing.T, clockOffset time.Duration) (*simulatedGroup, []tbconsensus.Member) {
	g := &simulatedGroup{t: t, now: time.UnixMilli(1_700_000_000_000), clockOffset: clockOffset}
	var initial []tbconsensus.Member
	for i := range 3 {
		initial = append(initial, tbconsensus.Member{ID: tbconsensus.ReplicaID(i + 1), Address: fmt.Sprintf("a%d", i+1)})
	}
	return g, initial
}

// newGroup returns a group of three initial replicas, two fewer than the configured size.
func newGroup(t *testing.T, clockOffset time.Duration) *simulatedGroup {
	g, initial := newGroupWithoutReplicas(t, clockOffset)
	for _, m := range initial {
		g.start(m.ID, m.Address, &disk{persisted: tbconsensus.PersistedState{Initial: tbconsensus.Membership{Members: initial}}})
	}
	return g
}

// timeAt returns the time that the clock of a replica shows.
func (g *simulatedGroup) timeAt(r *replica) time.Time { return g.now.Add(r.clockOffset) }

func (g *simulatedGroup) start(id tbconsensus.ReplicaID, address string, d *disk) *replica {
	silenceTimeout := time.Hour
	if g.silenceTimeout > 0 {
		silenceTimeout = g.silenceTimeout
	}
	control, err := tbcontrol.New(tbcontrol.Config{
		Consensus: tbconsensus.Config{
			ID: id, ElectionTimeout: 600 * time.Millisecond, HeartbeatInterval: 100 * time.Millisecond,
			MaxBatchBytes: 1 << 20, ChunkBytes: 1 << 16, Seed: uint64(id), Join: d.joinsGroup, NewIDAfterDiskLoss: true,
		},
		SnapshotEvery: 1000, MaxInFlight: 2, MaxBatchCommands: 100, MaxWaiting: 100, MaxApplied: maxApplied,
		MaxBatchBytes: maxMessageBytes / 8, MaxCommandBytes: maxMessageBytes * 5 / 8, MaxWaitingBytes: 8 * maxMessageBytes,
		MaxJobBytes: maxJobBytes, SnapshotBytes: snapshotBytes,
		Placement: tbplacement.DefaultConfig(), GroupSize: groupSize,
		Fleet: tbfleet.Params{
			Lease: 4 * time.Second, MaxLease: 6 * time.Second, MaxOrderDelay: 12 * time.Second, MaxDeliveryDelay: 12 * time.Second, ClockRateBound: 0.02,
			PollWait: time.Second, OrderTimeout: time.Second, SilenceTimeout: silenceTimeout, PollRetryDelay: time.Second,
		},
	}, tbcodec.New(func(source []byte) (tbbundle.Bundle, error) { return tbbundlefile.Parse("bundle", source) }), d.persisted, g.now.Add(g.clockOffset))
	qt.Assert(g.t, err, qt.IsNil)
	r := &replica{id: id, address: address, disk: d, control: control, clockOffset: g.clockOffset, answerByRequest: map[uint64]tbcontrol.AnswerLeaderRequest{}}
	for i, old := range g.replicas {
		if old.address == address {
			g.replicas[i] = r
			return r
		}
	}
	g.replicas = append(g.replicas, r)
	return r
}

// step handles one event at a replica and carries out the effects.
func (g *simulatedGroup) step(r *replica, ev tbcontrol.Event) { g.stepAll(r, []tbcontrol.Event{ev}) }

// stepAll handles events that arrive at the same moment.
func (g *simulatedGroup) stepAll(r *replica, events []tbcontrol.Event) {
	appliedBefore := r.control.State().Applied
	defer func() {
		if applyTime := time.Duration(r.control.State().Applied-appliedBefore) * g.applyCost; applyTime > 0 {
			r.busyUntil = latest(r.busyUntil, g.now).Add(applyTime)
		}
	}()
	var effects []tbcontrol.Effect
	for _, ev := range append(events, tbcontrol.EventBatchEnded{}) {
		effects = append(effects, r.control.Step(g.timeAt(r), ev)...)
	}
	for _, e := range effects {
		switch e := e.(type) {
		case tbcontrol.SendMessages:
			g.send(r, e.Messages)
		case tbcontrol.Save:
			r.delayedSaves = append(r.delayedSaves, e)
			g.saveDelayed(r)
		case tbcontrol.SaveSnapshot:
			if !g.now.Before(r.diskFullUntil) {
				r.compact(e.Snapshot)
			}
		case tbcontrol.AnswerLeaderRequest:
			r.answerByRequest[e.Request] = e
		case tbcontrol.SendOrder:
			r.workerOrders = append(r.workerOrders, e.Order)
		case tbcontrol.Log:
			r.logLines = append(r.logLines, e)
		}
	}
}

// saveDelayed carries out the saves of a replica, unless its disk is full.
func (g *simulatedGroup) saveDelayed(r *replica) {
	for len(r.delayedSaves) > 0 && !g.now.Before(r.diskFullUntil) {
		e := r.delayedSaves[0]
		r.delayedSaves = r.delayedSaves[1:]
		r.save(e)
		g.send(r, e.Messages)
		if n := len(e.Entries); n > 0 {
			last := e.Entries[n-1]
			g.step(r, tbcontrol.EntriesPersisted{Term: last.Term, Index: last.Index})
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (r *replica) save(s tbcontrol.Save) {
	d := &r.disk.persisted
	if s.Install != nil {
		d.Snapshot, d.Entries = *s.Install, nil
	}
	for _, e := range s.Entries {
		first := d.Snapshot.Meta.Index + 1
		if int(e.Index-first) < len(d.Entries) {
			d.Entries = d.Entries[:e.Index-first]
		}
		d.Entries = append(d.Entries, e)
	}
	if s.HardState != nil {
		d.HardState = *s.HardState
	}
}

// compact replaces the log entries that a snapshot covers by the snapshot.
func (r *replica) compact(s tbconsensus.Snapshot) {
	d := &r.disk.persisted
	n := 0
	for n < len(d.Entries) && d.Entries[n].Index <= s.Meta.Index {
		n++
	}
	d.Snapshot, d.Entries = s, d.Entries[n:]
}

func (g *simulatedGroup) send(r *replica, messages []tbconsensus.Message) {
	for _, m := range messages {
		size := len(m.Chunk)
		for _, e := range m.Entries {
			size += len(e.Data)
		}
		if !r.isolated && size <= maxMessageBytes {
			g.undeliveredMessages = append(g.undeliveredMessages, m)
		}
	}
}

// advance advances the time by d in steps of 10 ms.
func (g *simulatedGroup) advance(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.now = g.now.Add(10 * time.Millisecond)
		arrivedByReceiver := map[tbconsensus.ReplicaID][]tbconsensus.Message{}
		for _, m := range g.undeliveredMessages {
			arrivedByReceiver[m.To] = append(arrivedByReceiver[m.To], m)
		}
		g.undeliveredMessages = nil
		for _, r := range g.replicas {
			g.saveDelayed(r)
			switch {
			case r.isolated:
			case g.now.Before(r.busyUntil):
				g.undeliveredMessages = append(g.undeliveredMessages, arrivedByReceiver[r.id]...)
			case r.busyUntil.IsZero():
				g.deliverMessages(r, arrivedByReceiver[r.id])
				g.step(r, tbcontrol.Tick{})
			default:
				// After a busy period the timer may fire before the waiting messages are handled.
				r.busyUntil = time.Time{}
				g.step(r, tbcontrol.Tick{})
				g.deliverMessages(r, arrivedByReceiver[r.id])
			}
		}
	}
}

func (g *simulatedGroup) deliverMessages(r *replica, messages []tbconsensus.Message) {
	if len(messages) > 0 && !r.dropsInbound {
		g.step(r, tbcontrol.MessagesArrived{Messages: messages})
	}
}

func (g *simulatedGroup) leader() *replica {
	for _, r := range g.replicas {
		if !r.isolated && r.control.IsConfirmedLeader(g.timeAt(r)) {
			return r
		}
	}
	return nil
}

// ask sends a request to the leader and returns the leader's answer after 200 ms.
func (g *simulatedGroup) ask(q tbcontrol.LeaderRequest) tbcontrol.AnswerLeaderRequest {
	r := g.leader()
	qt.Assert(g.t, r, qt.IsNotNil, qt.Commentf("no replica is a confirmed leader"))
	g.lastRequest++
	g.step(r, tbcontrol.LeaderRequestArrived{Request: g.lastRequest, LeaderRequest: q})
	g.advance(200 * time.Millisecond)
	return r.answerByRequest[g.lastRequest]
}

func (g *simulatedGroup) join(id tbconsensus.ReplicaID, address string) *replica {
	r := g.start(id, address, &disk{joinsGroup: true})
	g.ask(tbcontrol.JoinRequested{Replica: id, Address: address})
	return r
}

func (g *simulatedGroup) putConfig(version uint64) tbcontrol.AnswerCode {
	return g.ask(tbcontrol.ConfigPutRequested{Config: tbflow.Config{Version: version, Source: []byte("source")}}).Answer.Code
}

func (g *simulatedGroup) voterCount() int {
	n := 0
	for _, m := range g.leader().control.Replica().Members().Members {
		if !m.Learner {
			n++
		}
	}
	return n
}

// newFullGroup returns a group of five voters that has a configuration.
func newFullGroup(t *testing.T) *simulatedGroup { return newFullGroupWithClocks(t, 0) }

// newFullGroupWithClocks is newFullGroup with replicas whose clocks are ahead.
func newFullGroupWithClocks(t *testing.T, clockOffset time.Duration) *simulatedGroup {
	g := newGroup(t, clockOffset)
	g.advance(3 * time.Second)
	g.join(101, "a4")
	g.join(102, "a5")
	g.advance(2 * time.Second)
	qt.Assert(t, g.voterCount(), qt.Equals, groupSize)
	qt.Assert(t, g.putConfig(1), qt.Equals, tbcontrol.Done)
	return g
}

// A group that is not complete has three or four voters. If two disks failed, an acknowledged change
// could be lost. Therefore changes are refused until there are five voters.
func TestIncompleteGroupRefusesChanges(t *testing.T) {
	g := newGroup(t, 0)
	g.advance(3 * time.Second)
	qt.Check(t, g.putConfig(1), qt.Equals, tbcontrol.NotReady)
	g.join(101, "a4")
	g.advance(time.Second)
	qt.Check(t, g.putConfig(1), qt.Equals, tbcontrol.NotReady)
	g.join(102, "a5")
	g.advance(time.Second)
	qt.Check(t, g.putConfig(1), qt.Equals, tbcontrol.Done)
}

// Two of five replicas lose their disks right after an acknowledgement and restart empty.
func TestTwoWipedReplicasAreReplacedWithoutDataLoss(t *testing.T) {
	g := newFullGroup(t)
	wipedCount := 0
	for _, r := range g.replicas {
		if wipedCount < 2 {
			wipedCount++
			g.start(tbconsensus.ReplicaID(200+wipedCount), r.address, &disk{joinsGroup: true})
		}
	}
	g.advance(3 * time.Second)
	for i, address := range []string{g.replicas[0].address, g.replicas[1].address} {
		g.ask(tbcontrol.JoinRequested{Replica: tbconsensus.ReplicaID(201 + i), Address: address})
	}
	g.advance(3 * time.Second)
	qt.Check(t, g.voterCount(), qt.Equals, groupSize)
	for _, m := range g.leader().control.Replica().Members().Members {
		qt.Check(t, m.ID == 1 || m.ID == 2, qt.IsFalse, qt.Commentf("replica %d lost its disk but is still a member", m.ID))
	}
	a := g.ask(tbcontrol.ConfigReadRequested{})
	qt.Check(t, string(a.Answer.Source), qt.Equals, "source")
	// The group tolerates the failure of two more replicas.
	isolatedCount := 0
	for _, r := range g.replicas {
		if isolatedCount < 2 && r != g.leader() {
			isolatedCount++
			r.isolated = true
		}
	}
	g.advance(2 * time.Second)
	qt.Check(t, g.putConfig(2), qt.Equals, tbcontrol.Done)
}

// A replica that is only slow stays in the group while no other replica asks to join.
func TestSilentVoterIsRemovedOnlyWhenAReplacementJoins(t *testing.T) {
	g := newFullGroup(t)
	for _, r := range g.replicas {
		if r != g.leader() {
			r.isolated = true
			break
		}
	}
	g.advance(5 * time.Second)
	qt.Check(t, g.voterCount(), qt.Equals, groupSize)
	g.join(300, "a6")
	g.advance(3 * time.Second)
	qt.Check(t, g.voterCount(), qt.Equals, groupSize)
	replacementIsVoter := false
	for _, m := range g.leader().control.Replica().Members().Members {
		replacementIsVoter = replacementIsVoter || m.ID == 300 && !m.Learner
	}
	qt.Check(t, replacementIsVoter, qt.IsTrue)
}

func TestJoinOfRemovedReplicaIsAnsweredRemoved(t *testing.T) {
	g := newFullGroup(t)
	var removed *replica
	for _, r := range g.replicas {
		if r != g.leader() {
			removed = r
			r.isolated = true
			break
		}
	}
	g.advance(3 * time.Second)
	g.join(300, "a6")
	g.advance(3 * time.Second)
	a := g.ask(tbcontrol.JoinRequested{Replica: removed.id, Address: removed.address})
	qt.Check(t, a.Answer.Code, qt.Equals, tbcontrol.Removed)
}

// A leader that was isolated must not answer from its outdated state.
func TestIsolatedLeaderRedirectsRequests(t *testing.T) {
	g := newFullGroup(t)
	isolatedLeader := g.leader()
	isolatedLeader.isolated = true
	g.advance(3 * time.Second)
	qt.Assert(t, g.putConfig(2), qt.Equals, tbcontrol.Done)
	g.lastRequest++
	g.step(isolatedLeader, tbcontrol.LeaderRequestArrived{Request: g.lastRequest, LeaderRequest: tbcontrol.ConfigReadRequested{}})
	qt.Check(t, isolatedLeader.answerByRequest[g.lastRequest].NotLeader, qt.IsTrue)
}

// A leader proposes to remove a replica, and may be isolated before the change is committed. If the
// replica were told of its removal before the commit, it would erase a disk that the group may still need.
func TestUncommittedRemovalIsNotReportedToTheReplica(t *testing.T) {
	g := newFullGroup(t)
	leader := g.leader()
	var removed *replica
	for _, r := range g.replicas {
		if r != leader {
			removed = r
			break
		}
	}
	consensus := leader.control.Replica()
	g.step(leader, tbcontrol.MemberChangeArrived{Request: 9999, Change: tbcontrol.Remove, Replica: removed.id})
	qt.Assert(t, consensus.Members().Removed, qt.Contains, removed.id)
	qt.Assert(t, consensus.IsRemoved(removed.id), qt.IsFalse)
	g.lastRequest++
	g.step(leader, tbcontrol.LeaderRequestArrived{Request: g.lastRequest, LeaderRequest: tbcontrol.JoinRequested{Replica: removed.id, Address: removed.address}})
	qt.Check(t, leader.answerByRequest[g.lastRequest].Answer.Code, qt.Equals, tbcontrol.NotReady)
	g.advance(time.Second)
	qt.Check(t, consensus.IsRemoved(removed.id), qt.IsTrue)
}

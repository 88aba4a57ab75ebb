package tbconsensus

import (
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	scheduleCount    = flag.Int("schedules", 1000, "number of random schedules")
	stepsPerSchedule = flag.Int("steps", 500, "steps of each random schedule")
	firstSeed        = flag.Uint64("seed", 1, "seed of the first random schedule")
)

// maxStepMillis is the maximum time by which one step of a schedule advances the clock.
const maxStepMillis = 120

// maxStallMillis is the bound on the duration of a stall of all replicas.
const maxStallMillis = 2500

// testDisk holds the state that a replica has persisted.
type testDisk struct {
	hardState HardState
	snapshot  Snapshot
	entries   []Entry
}

// save persists one output atomically, as the storage does.
func (d *testDisk) save(out Output) {
	if out.InstallSnapshot != nil {
		d.snapshot = *out.InstallSnapshot
		d.entries = nil
	}
	if len(out.Entries) > 0 {
		d.entries = mergeEntries(d.entries, out.Entries)
	}
	if out.HardState != nil {
		d.hardState = *out.HardState
	}
}

type testReplica struct {
	id              ReplicaID
	replica         *Replica
	disk            testDisk
	unsyncedOutputs []Output
	// appliedData is the concatenated data of all applied entries.
	appliedData  []byte
	appliedIndex uint64
	isIsolated   bool
	isDown       bool
}

// testGroup simulates a group of replicas under one schedule, a seeded random sequence of events and
// faults.
type testGroup struct {
	t                     *testing.T
	rng                   *rand.Rand
	now                   time.Time
	replicas              []*testReplica
	messages              []Message
	initialMembership     Membership
	appliedContentByIndex map[uint64]string
	leaderByTerm          map[uint64]ReplicaID
	proposalCount         uint64
	lastReplicaSeed       uint64
	scheduleLabel         string
	nextReplicaID         ReplicaID
}

func testConfig(id ReplicaID, seed uint64) Config {
	return Config{
		ID: id, ElectionTimeout: 1000 * time.Millisecond, HeartbeatInterval: 100 * time.Millisecond,
		ClockRateBound: 0.01, MaxBatchBytes: 40, MaxInFlightBytes: 80, ChunkBytes: 16, Seed: seed,
	}
}

func newTestGroup(t *testing.T, seed uint64, size int) *testGroup {
	g := &testGroup{
		t: t, now: time.Unix(1000, 0), appliedContentByIndex: map[uint64]string{}, leaderByTerm: map[uint64]ReplicaID{},
		rng: rand.New(rand.NewPCG(seed, 1)), lastReplicaSeed: seed, nextReplicaID: ReplicaID(size + 1),
	}
	for i := 1; i <= size; i++ {
		g.initialMembership.Members = append(g.initialMembership.Members, Member{ID: ReplicaID(i)})
	}
	for i := 1; i <= size; i++ {
		n := &testReplica{id: ReplicaID(i)}
		g.replicas = append(g.replicas, n)
		g.start(n, false)
	}
	return g
}

func (g *testGroup) start(n *testReplica, join bool) {
	g.lastReplicaSeed++
	cfg := testConfig(n.id, g.lastReplicaSeed)
	cfg.Join = join
	n.replica = New(cfg, PersistedState{
		HardState: n.disk.hardState, Snapshot: n.disk.snapshot,
		Entries: slices.Clone(n.disk.entries), Initial: g.initialMembership,
	}, g.now)
	n.unsyncedOutputs = nil
	n.isDown = false
	n.appliedData = slices.Clone(n.disk.snapshot.Data)
	n.appliedIndex = n.disk.snapshot.Meta.Index
}

// collectOutput takes a replica's output. It applies committed entries and sends the messages that need no
// save. The output is then queued until the disk syncs.
func (g *testGroup) collectOutput(n *testReplica) {
	out := n.replica.Take()
	if s := out.InstallSnapshot; s != nil {
		n.appliedData = slices.Clone(s.Data)
		n.appliedIndex = s.Meta.Index
	}
	for _, e := range out.Committed {
		g.apply(n, e)
	}
	g.messages = append(g.messages, out.Send...)
	n.unsyncedOutputs = append(n.unsyncedOutputs, out)
	g.checkLeader(n)
}

func (g *testGroup) apply(n *testReplica, e Entry) {
	if e.Index != n.appliedIndex+1 {
		g.t.Fatalf("%s: replica %d applied entry %d after %d", g.scheduleLabel, n.id, e.Index, n.appliedIndex)
	}
	n.appliedIndex = e.Index
	n.appliedData = append(n.appliedData, e.Data...)
	content := fmt.Sprintf("%d/%d/%x", e.Term, e.Kind, e.Data)
	if previous, ok := g.appliedContentByIndex[e.Index]; ok && previous != content {
		g.t.Fatalf("%s: entry %d was applied as %s and is %s on replica %d", g.scheduleLabel, e.Index, previous, content, n.id)
	}
	g.appliedContentByIndex[e.Index] = content
}

func (g *testGroup) checkLeader(n *testReplica) {
	if n.replica.Role() != Leader {
		return
	}
	term := n.replica.Term()
	if previous, ok := g.leaderByTerm[term]; ok && previous != n.id {
		g.t.Fatalf("%s: term %d has two leaders, %d and %d", g.scheduleLabel, term, previous, n.id)
	}
	g.leaderByTerm[term] = n.id
}

// checkSingleLeaseholder fails the test if two replicas hold the leader lease at once.
func (g *testGroup) checkSingleLeaseholder() {
	var leaseholders []ReplicaID
	for _, n := range g.replicas {
		if !n.isDown && n.replica.HoldsLease(g.now) {
			leaseholders = append(leaseholders, n.id)
		}
	}
	if len(leaseholders) > 1 {
		g.t.Fatalf("%s: replicas %v hold the leader lease at the same time", g.scheduleLabel, leaseholders)
	}
}

// syncDisk persists all queued output of a replica and sends the messages that waited for it.
func (g *testGroup) syncDisk(n *testReplica) {
	unsynced := n.unsyncedOutputs
	n.unsyncedOutputs = nil
	for _, out := range unsynced {
		n.disk.save(out)
		g.messages = append(g.messages, out.SendAfterSave...)
		if len(out.Entries) > 0 {
			last := out.Entries[len(out.Entries)-1]
			n.replica.ReportPersisted(g.now, last.Term, last.Index)
		}
	}
	g.collectOutput(n)
}

func (g *testGroup) deliver(i int, keepMessage bool) {
	m := g.messages[i]
	if !keepMessage {
		last := len(g.messages) - 1
		g.messages[i] = g.messages[last]
		g.messages = g.messages[:last]
	}
	to := g.replicaByID(m.To)
	from := g.replicaByID(m.From)
	if to == nil || to.isDown || to.isIsolated || from == nil || from.isIsolated {
		return
	}
	to.replica.Step(g.now, m)
	g.collectOutput(to)
}

func (g *testGroup) replicaByID(id ReplicaID) *testReplica {
	for _, n := range g.replicas {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (g *testGroup) advance(d time.Duration) {
	g.now = g.now.Add(d)
	for _, n := range g.replicas {
		if !n.isDown {
			n.replica.Tick(g.now)
			g.collectOutput(n)
		}
	}
}

// stall advances the clock without events. Afterwards some replicas check their timers before they
// process their messages.
func (g *testGroup) stall() {
	g.now = g.now.Add(time.Duration(g.rng.IntN(maxStallMillis)) * time.Millisecond)
	for _, n := range g.replicas {
		if !n.isDown && g.rng.IntN(2) == 0 {
			n.replica.Tick(g.now)
			g.collectOutput(n)
		}
	}
}

func (g *testGroup) propose(n *testReplica) {
	g.proposalCount++
	data := binary.BigEndian.AppendUint64(nil, g.proposalCount)
	if _, ok := n.replica.Propose(g.now, [][]byte{data}); ok {
		g.collectOutput(n)
	}
}

// proposeAtLeaders proposes an entry at each replica that considers itself the leader.
func (g *testGroup) proposeAtLeaders() {
	for _, n := range g.replicas {
		if !n.isDown && n.replica.Role() == Leader {
			g.propose(n)
		}
	}
}

func (g *testGroup) compact(n *testReplica) {
	if n.appliedIndex <= n.disk.snapshot.Meta.Index || len(n.unsyncedOutputs) > 0 {
		return
	}
	s := Snapshot{Meta: n.replica.SnapshotMetaAt(n.appliedIndex), Data: slices.Clone(n.appliedData)}
	n.replica.Compact(s)
	n.disk.snapshot = s
	rest := n.disk.entries[:0:0]
	for _, e := range n.disk.entries {
		if e.Index > s.Meta.Index {
			rest = append(rest, e)
		}
	}
	n.disk.entries = rest
}

// changeMembership takes one step towards replacing a random replica, as an operator would.
func (g *testGroup) changeMembership(n *testReplica, selector uint64) {
	members := n.replica.Members().Members
	if len(members) == 0 {
		return
	}
	target := members[selector%uint64(len(members))]
	switch {
	case target.Learner:
		n.replica.Promote(g.now, target.ID)
	case len(members) > 3:
		n.replica.Remove(g.now, target.ID)
	case len(g.replicas) < 8 && n.replica.AddLearner(g.now, g.nextReplicaID, "") == ChangeAccepted:
		joined := &testReplica{id: g.nextReplicaID}
		g.nextReplicaID++
		g.replicas = append(g.replicas, joined)
		g.start(joined, true)
	}
	g.collectOutput(n)
}

func (g *testGroup) performRandomAction() {
	n := g.replicas[g.rng.IntN(len(g.replicas))]
	action := g.rng.IntN(100)
	switch {
	case action < 45:
		g.deliverRandomMessages(action)
	case action < 65:
		g.syncSomeDisks(n)
	case action < 66:
		g.stall()
	case action < 78:
		g.advance(time.Duration(1+g.rng.IntN(maxStepMillis)) * time.Millisecond)
	case action < 90:
		g.proposeAtLeaders()
	case action < 91:
		n.isIsolated = true
	case action < 92:
		n.isDown = true
	case action < 95:
		g.heal(n)
	case action < 97:
		if !n.isDown {
			g.compact(n)
		}
	case action < 98:
		if !n.isDown && n.replica.Transfer(g.now) {
			g.collectOutput(n)
		}
	default:
		if !n.isDown {
			g.changeMembership(n, g.rng.Uint64N(8))
		}
	}
	g.checkSingleLeaseholder()
}

// deliverMany delivers random messages. If action is 0, it also keeps them in the network, so that they
// may be delivered again.
func (g *testGroup) deliverRandomMessages(action int) {
	for range 1 + len(g.messages)/3 {
		if len(g.messages) == 0 {
			return
		}
		i := g.rng.IntN(len(g.messages))
		g.deliver(i, action == 0)
	}
}

func (g *testGroup) syncSomeDisks(n *testReplica) {
	if !n.isDown {
		g.syncDisk(n)
	}
	for _, other := range g.replicas {
		if !other.isDown && other.id%2 == n.id%2 {
			g.syncDisk(other)
		}
	}
}

// heal reconnects a replica and restarts it if it is down.
func (g *testGroup) heal(n *testReplica) {
	n.isIsolated = false
	if n.isDown {
		join := n.id > ReplicaID(len(g.initialMembership.Members))
		g.start(n, join)
	}
}

// stabilize advances the group without faults and returns the commit index of its leader, or 0 if there is none.
func (g *testGroup) stabilize() uint64 {
	for _, n := range g.replicas {
		g.heal(n)
	}
	var commit uint64
	for range 60 {
		g.advance(100 * time.Millisecond)
		for range 4 {
			for len(g.messages) > 0 {
				g.deliver(0, false)
			}
			for _, n := range g.replicas {
				g.syncDisk(n)
			}
		}
		g.checkSingleLeaseholder()
	}
	for _, n := range g.replicas {
		if n.replica.HoldsLease(g.now) {
			g.propose(n)
			commit = n.replica.Commit()
		}
	}
	return commit
}

func TestRandomSchedules(t *testing.T) {
	committedCount := 0
	for i := range *scheduleCount {
		g := newTestGroup(t, *firstSeed+uint64(i), 3)
		g.scheduleLabel = fmt.Sprintf("seed %d", *firstSeed+uint64(i))
		g.stabilize()
		for range *stepsPerSchedule {
			g.performRandomAction()
		}
		if g.stabilize() == 0 {
			t.Fatalf("%s: no confirmed leader after the faults ended", g.scheduleLabel)
		}
		committedCount += len(g.appliedContentByIndex)
	}
	committedPerSchedule := committedCount / *scheduleCount
	t.Logf("entries committed per schedule: %d", committedPerSchedule)
	qt.Assert(t, committedPerSchedule > 10, qt.IsTrue, qt.Commentf("the schedules commit too few entries"))
}

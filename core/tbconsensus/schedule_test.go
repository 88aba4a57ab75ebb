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
	schedules        = flag.Int("schedules", 1000, "number of random schedules")
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
	id       ReplicaID
	replica  *Replica
	disk     testDisk
	unsynced []Output
	// state is the concatenated data of all applied entries.
	state    []byte
	applied  uint64
	isolated bool
	down     bool
}

// testGroup simulates a group of replicas under one schedule, a seeded random sequence of events and
// faults.
type testGroup struct {
	t              *testing.T
	rng            *rand.Rand
	now            time.Time
	nodes          []*testReplica
	network        []Message
	initial        Membership
	appliedByIndex map[uint64]string
	leaderByTerm   map[uint64]ReplicaID
	proposed       uint64
	seed           uint64
	label          string
	nextID         ReplicaID
}

func testConfig(id ReplicaID, seed uint64) Config {
	return Config{
		ID: id, ElectionTimeout: 1000 * time.Millisecond, HeartbeatInterval: 100 * time.Millisecond,
		ClockRateBound: 0.01, MaxBatchBytes: 40, MaxInFlightBytes: 80, ChunkBytes: 16, Seed: seed,
	}
}

func newTestGroup(t *testing.T, seed uint64, size int) *testGroup {
	g := &testGroup{
		t: t, now: time.Unix(1000, 0), appliedByIndex: map[uint64]string{}, leaderByTerm: map[uint64]ReplicaID{},
		rng: rand.New(rand.NewPCG(seed, 1)), seed: seed, nextID: ReplicaID(size + 1),
	}
	for i := 1; i <= size; i++ {
		g.initial.Members = append(g.initial.Members, Member{ID: ReplicaID(i)})
	}
	for i := 1; i <= size; i++ {
		n := &testReplica{id: ReplicaID(i)}
		g.nodes = append(g.nodes, n)
		g.start(n, false)
	}
	return g
}

func (g *testGroup) start(n *testReplica, join bool) {
	g.seed++
	cfg := testConfig(n.id, g.seed)
	cfg.Join = join
	n.replica = New(cfg, PersistedState{
		HardState: n.disk.hardState, Snapshot: n.disk.snapshot,
		Entries: slices.Clone(n.disk.entries), Initial: g.initial,
	}, g.now)
	n.unsynced = nil
	n.down = false
	n.state = slices.Clone(n.disk.snapshot.Data)
	n.applied = n.disk.snapshot.Meta.Index
}

// collect takes a replica's output. It applies committed entries and sends the messages that need no
// save. The output is then queued until the disk syncs.
func (g *testGroup) collect(n *testReplica) {
	out := n.replica.Take()
	if s := out.InstallSnapshot; s != nil {
		n.state = slices.Clone(s.Data)
		n.applied = s.Meta.Index
	}
	for _, e := range out.Committed {
		g.apply(n, e)
	}
	g.network = append(g.network, out.Send...)
	n.unsynced = append(n.unsynced, out)
	g.checkLeader(n)
}

func (g *testGroup) apply(n *testReplica, e Entry) {
	if e.Index != n.applied+1 {
		g.t.Fatalf("%s: replica %d applied entry %d after %d", g.label, n.id, e.Index, n.applied)
	}
	n.applied = e.Index
	n.state = append(n.state, e.Data...)
	content := fmt.Sprintf("%d/%d/%x", e.Term, e.Kind, e.Data)
	if previous, ok := g.appliedByIndex[e.Index]; ok && previous != content {
		g.t.Fatalf("%s: entry %d was applied as %s and is %s on replica %d", g.label, e.Index, previous, content, n.id)
	}
	g.appliedByIndex[e.Index] = content
}

func (g *testGroup) checkLeader(n *testReplica) {
	if n.replica.Role() != Leader {
		return
	}
	term := n.replica.Term()
	if previous, ok := g.leaderByTerm[term]; ok && previous != n.id {
		g.t.Fatalf("%s: term %d has two leaders, %d and %d", g.label, term, previous, n.id)
	}
	g.leaderByTerm[term] = n.id
}

// checkSingleLeaseholder fails the test if two replicas hold the leader lease at once.
func (g *testGroup) checkSingleLeaseholder() {
	var leaseholders []ReplicaID
	for _, n := range g.nodes {
		if !n.down && n.replica.HoldsLease(g.now) {
			leaseholders = append(leaseholders, n.id)
		}
	}
	if len(leaseholders) > 1 {
		g.t.Fatalf("%s: replicas %v hold the leader lease at the same time", g.label, leaseholders)
	}
}

// syncDisk persists all queued output of a replica and sends the messages that waited for it.
func (g *testGroup) syncDisk(n *testReplica) {
	unsynced := n.unsynced
	n.unsynced = nil
	for _, out := range unsynced {
		n.disk.save(out)
		g.network = append(g.network, out.SendAfterSave...)
		if len(out.Entries) > 0 {
			last := out.Entries[len(out.Entries)-1]
			n.replica.ReportPersisted(g.now, last.Term, last.Index)
		}
	}
	g.collect(n)
}

func (g *testGroup) deliver(i int, keep bool) {
	m := g.network[i]
	if !keep {
		last := len(g.network) - 1
		g.network[i] = g.network[last]
		g.network = g.network[:last]
	}
	to := g.node(m.To)
	from := g.node(m.From)
	if to == nil || to.down || to.isolated || from == nil || from.isolated {
		return
	}
	to.replica.Step(g.now, m)
	g.collect(to)
}

func (g *testGroup) node(id ReplicaID) *testReplica {
	for _, n := range g.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (g *testGroup) advance(d time.Duration) {
	g.now = g.now.Add(d)
	for _, n := range g.nodes {
		if !n.down {
			n.replica.Tick(g.now)
			g.collect(n)
		}
	}
}

// stall advances the clock without events. Afterwards some replicas check their timers before they
// process their messages.
func (g *testGroup) stall() {
	g.now = g.now.Add(time.Duration(g.rng.IntN(maxStallMillis)) * time.Millisecond)
	for _, n := range g.nodes {
		if !n.down && g.rng.IntN(2) == 0 {
			n.replica.Tick(g.now)
			g.collect(n)
		}
	}
}

func (g *testGroup) propose(n *testReplica) {
	g.proposed++
	data := binary.BigEndian.AppendUint64(nil, g.proposed)
	if _, ok := n.replica.Propose(g.now, [][]byte{data}); ok {
		g.collect(n)
	}
}

// proposeAtLeaders proposes an entry at each replica that considers itself the leader.
func (g *testGroup) proposeAtLeaders() {
	for _, n := range g.nodes {
		if !n.down && n.replica.Role() == Leader {
			g.propose(n)
		}
	}
}

func (g *testGroup) compact(n *testReplica) {
	if n.applied <= n.disk.snapshot.Meta.Index || len(n.unsynced) > 0 {
		return
	}
	s := Snapshot{Meta: n.replica.SnapshotMetaAt(n.applied), Data: slices.Clone(n.state)}
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
	case len(g.nodes) < 8 && n.replica.AddLearner(g.now, g.nextID, "") == ChangeAccepted:
		joined := &testReplica{id: g.nextID}
		g.nextID++
		g.nodes = append(g.nodes, joined)
		g.start(joined, true)
	}
	g.collect(n)
}

func (g *testGroup) step() {
	n := g.nodes[g.rng.IntN(len(g.nodes))]
	action := g.rng.IntN(100)
	switch {
	case action < 45:
		g.deliverMany(action)
	case action < 65:
		g.syncSome(n)
	case action < 66:
		g.stall()
	case action < 78:
		g.advance(time.Duration(1+g.rng.IntN(maxStepMillis)) * time.Millisecond)
	case action < 90:
		g.proposeAtLeaders()
	case action < 91:
		n.isolated = true
	case action < 92:
		n.down = true
	case action < 95:
		g.heal(n)
	case action < 97:
		if !n.down {
			g.compact(n)
		}
	case action < 98:
		if !n.down && n.replica.Transfer(g.now) {
			g.collect(n)
		}
	default:
		if !n.down {
			g.changeMembership(n, g.rng.Uint64N(8))
		}
	}
	g.checkSingleLeaseholder()
}

// deliverMany delivers random messages. If action is 0, it also keeps them in the network, so that they
// may be delivered again.
func (g *testGroup) deliverMany(action int) {
	for range 1 + len(g.network)/3 {
		if len(g.network) == 0 {
			return
		}
		i := g.rng.IntN(len(g.network))
		g.deliver(i, action == 0)
	}
}

func (g *testGroup) syncSome(n *testReplica) {
	if !n.down {
		g.syncDisk(n)
	}
	for _, other := range g.nodes {
		if !other.down && other.id%2 == n.id%2 {
			g.syncDisk(other)
		}
	}
}

// heal reconnects a replica and restarts it if it is down.
func (g *testGroup) heal(n *testReplica) {
	n.isolated = false
	if n.down {
		join := n.id > ReplicaID(len(g.initial.Members))
		g.start(n, join)
	}
}

// stabilize advances the group without faults and returns the commit index of its leader, or 0 if there is none.
func (g *testGroup) stabilize() uint64 {
	for _, n := range g.nodes {
		g.heal(n)
	}
	var commit uint64
	for range 60 {
		g.advance(100 * time.Millisecond)
		for range 4 {
			for len(g.network) > 0 {
				g.deliver(0, false)
			}
			for _, n := range g.nodes {
				g.syncDisk(n)
			}
		}
		g.checkSingleLeaseholder()
	}
	for _, n := range g.nodes {
		if n.replica.HoldsLease(g.now) {
			g.propose(n)
			commit = n.replica.Commit()
		}
	}
	return commit
}

func TestRandomSchedules(t *testing.T) {
	committed := 0
	for i := range *schedules {
		g := newTestGroup(t, *firstSeed+uint64(i), 3)
		g.label = fmt.Sprintf("seed %d", *firstSeed+uint64(i))
		g.stabilize()
		for range *stepsPerSchedule {
			g.step()
		}
		if g.stabilize() == 0 {
			t.Fatalf("%s: no confirmed leader after the faults ended", g.label)
		}
		committed += len(g.appliedByIndex)
	}
	perSchedule := committed / *schedules
	t.Logf("entries committed per schedule: %d", perSchedule)
	qt.Assert(t, perSchedule > 10, qt.IsTrue, qt.Commentf("the schedules commit too few entries"))
}

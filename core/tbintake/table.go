package tbintake

import (
	"cmp"
	"slices"
	"time"
)

// ID identifies a connection, or a request that shares its connection with others.
type ID uint64

// stage is how far a connection's present request has come.
type stage uint8

const (
	// idle means that no byte of a request has arrived.
	idle stage = iota
	// reading means that the request is not whole.
	reading
	// running means that the request is whole and has no complete answer.
	running
	// carrying means that the connection carries requests that are entries of their own.
	carrying
)

// entry is a connection, or a request that shares its connection with others.
type entry struct {
	id     ID
	source string
	stage  stage
	// cost is the memory that the process holds for the entry, in bytes.
	cost int64
	// since is when the stage began.
	since    time.Time
	isShared bool
}

// isEvictable reports whether nothing is lost for the client that it could not send again.
func (e *entry) isEvictable() bool { return e.stage == idle || e.stage == reading }

// held returns the memory of an entry times the seconds that it has been in its stage.
func (e *entry) held(now time.Time) float64 { return float64(e.cost) * now.Sub(e.since).Seconds() }

// evictionSlack is the part of a limit that an eviction frees beyond what is needed, as a divisor, so
// that a flood of newcomers does not cause a search for each of them.
const evictionSlack = 32

// notableDivisor is the part of a limit above which a source stands out, as a divisor. With 80 MB it leaves room for a
// body of 256 KB.
const notableDivisor = 32

// releasingDivisor is the part of the limit that evicted entries may hold beyond it until they are closed, as a divisor.
const releasingDivisor = 4

// Table holds the connections of a process. It is not safe for concurrent use.
type Table struct {
	limits       Limits
	entries      map[ID]*entry
	nextID       ID
	bytes        int64
	runningBytes int64
	connections  int
	// running is the number of whole requests.
	running int
	// releasing holds the memory of evicted entries that were not closed yet, and releasingBytes its sum.
	releasing      map[ID]int64
	releasingBytes int64
	// runningBySource holds the memory of whole requests by source.
	runningBySource map[string]int64
}

// New returns a table without connections.
func New(l Limits) *Table {
	return &Table{limits: l, entries: map[ID]*entry{}, releasing: map[ID]int64{}, runningBySource: map[string]int64{}}
}

// Open admits a connection from a source, which is the address of the client. The caller has to end
// the evicted connections, and to call Close for each when its memory is free. If ok is false, the connection is not admitted.
func (t *Table) Open(source string, now time.Time) (id ID, evicted []ID, ok bool) {
	t.connections++
	id, evicted, ok = t.add(&entry{source: source, cost: ConnectionCost, since: now}, now)
	if !ok {
		t.connections--
	}
	return id, evicted, ok
}

// OpenShared admits a request with a head of cost bytes on a connection that has several requests at a
// time. It is to be closed as a connection is.
func (t *Table) OpenShared(source string, cost int64, now time.Time) (id ID, evicted []ID, ok bool) {
	return t.add(&entry{source: source, stage: reading, cost: cost, since: now, isShared: true}, now)
}

func (t *Table) add(e *entry, now time.Time) (ID, []ID, bool) {
	t.nextID++
	e.id = t.nextID
	t.entries[e.id] = e
	t.bytes += e.cost
	evicted, ok := t.makeRoom(e, now)
	if !ok {
		t.remove(e)
		return 0, evicted, false
	}
	return e.id, evicted, true
}

// Receive accounts for cost bytes of memory for a part of a request. The first part begins the request. If
// ok is false, there is no room, and the connection has to be closed or the request refused. While a whole
// request is being answered, ok is true.
func (t *Table) Receive(id ID, cost int64, now time.Time) (evicted []ID, ok bool) {
	e := t.entries[id]
	if e == nil {
		return nil, false
	}
	if e.stage == idle {
		e.stage, e.since = reading, now
	}
	e.cost += cost
	t.bytes += cost
	if e.stage == running {
		t.addRunning(e, cost)
		evicted, _ = t.makeRoom(e, now)
		return evicted, true
	}
	return t.makeRoom(e, now)
}

// Run marks a request as whole and accounts for cost bytes of memory to answer it. From then on the request
// is not evicted. If ok is false, the request must be refused; it is not evicted then either, so that the
// refusal reaches the client.
//
// A single request is admitted up to the limit; a source that has several may use half of the limit.
func (t *Table) Run(id ID, cost int64, now time.Time) (evicted []ID, ok bool) {
	e := t.entries[id]
	if e == nil {
		return nil, false
	}
	total, fromSource := t.runningBytes+cost, t.runningBySource[e.source]+cost
	if e.stage != running {
		total, fromSource = total+e.cost, fromSource+e.cost
	}
	isOnly := fromSource == e.cost+cost
	ok = total <= t.limits.RunningBytes && (isOnly || fromSource <= t.limits.RunningBytes/2)
	if e.stage != running {
		ok = ok && t.running < t.limits.RunningRequests
		e.stage, e.since = running, now
		t.running++
		t.addRunning(e, e.cost)
	}
	if !ok {
		return nil, false
	}
	e.cost += cost
	t.bytes += cost
	t.addRunning(e, cost)
	return t.makeRoom(e, now)
}

// Carry marks a connection as one with several requests at a time. Its requests are accounted for and may be refused one
// by one; the connection is not evicted while it carries any.
func (t *Table) Carry(id ID, now time.Time) {
	if e := t.entries[id]; e != nil && e.isEvictable() {
		e.stage, e.since = carrying, now
	}
}

// CanFit reports whether there would be room to answer a request if it were the only one. cost is the memory that it
// takes besides what it holds.
func (t *Table) CanFit(id ID, cost int64) bool {
	if e := t.entries[id]; e != nil {
		cost += e.cost
	}
	return cost <= t.limits.RunningBytes && cost <= t.limits.Bytes
}

// Rest marks the end of a connection's request. cost is the memory for bytes that may belong to the next
// request already.
func (t *Table) Rest(id ID, cost int64, now time.Time) {
	e := t.entries[id]
	if e == nil {
		return
	}
	t.endRunning(e)
	t.bytes += ConnectionCost + cost - e.cost
	e.stage, e.since, e.cost = idle, now, ConnectionCost+cost
}

// Close removes a connection, or marks the memory of one that was evicted as released.
func (t *Table) Close(id ID) {
	if e := t.entries[id]; e != nil {
		if !e.isShared {
			t.connections--
		}
		t.remove(e)
	}
	t.releasingBytes -= t.releasing[id]
	delete(t.releasing, id)
}

func (t *Table) evict(e *entry) {
	t.Close(e.id)
	t.releasing[e.id] = e.cost
	t.releasingBytes += e.cost
}

// IsReleasing reports whether evicted entries that were not closed yet hold so much memory that nothing more should be
// read until some of them are.
func (t *Table) IsReleasing() bool { return t.releasingBytes > t.limits.Bytes/releasingDivisor }

// Bytes returns the memory of all connections and requests.
func (t *Table) Bytes() int64 { return t.bytes }

// Connections returns the number of connections.
func (t *Table) Connections() int { return t.connections }

func (t *Table) remove(e *entry) {
	t.endRunning(e)
	t.bytes -= e.cost
	delete(t.entries, e.id)
}

func (t *Table) endRunning(e *entry) {
	if e.stage == running {
		t.running--
		t.addRunning(e, -e.cost)
	}
}

func (t *Table) addRunning(e *entry, cost int64) {
	t.runningBytes += cost
	if t.runningBySource[e.source] += cost; t.runningBySource[e.source] == 0 {
		delete(t.runningBySource, e.source)
	}
}

// isOver reports whether a limit, reduced by slack parts of evictionSlack, is exceeded.
func (t *Table) isOver(slack int64) bool { return t.isOverBytes(slack) || t.isOverConnections(slack) }

func (t *Table) isOverBytes(slack int64) bool {
	return t.bytes > t.limits.Bytes-slack*(t.limits.Bytes/evictionSlack)
}

func (t *Table) isOverConnections(slack int64) bool {
	return t.connections > t.limits.Connections-int(slack)*(t.limits.Connections/evictionSlack)
}

// makeRoom evicts entries until the limits hold, and then a little more: first what has held the most memory for the
// longest time. It reports false if there is nothing but the newcomer to evict, which then has to go.
func (t *Table) makeRoom(newcomer *entry, now time.Time) (evicted []ID, ok bool) {
	for t.isOver(0) {
		candidates := t.candidates(newcomer)
		if len(candidates) == 0 {
			return evicted, false
		}
		slices.SortFunc(candidates, func(a, b *entry) int {
			return cmp.Or(cmp.Compare(b.held(now), a.held(now)), cmp.Compare(a.id, b.id))
		})
		for _, e := range candidates {
			if !t.isOver(1) {
				break
			}
			t.evict(e)
			evicted = append(evicted, e.id)
		}
	}
	return evicted, true
}

// candidates returns entries, other than the newcomer, that may be evicted for the limit that is exceeded: those of the
// source that holds the most, if it stands out, and else those of all sources. If none stands out, the source of a
// newcomer with a large request may hold the most, and would be kept out for good by many that hold little each.
func (t *Table) candidates(newcomer *entry) []*entry {
	countsConnections := !t.isOverBytes(0)
	notable := t.limits.Bytes / notableDivisor
	if countsConnections {
		notable = int64(t.limits.Connections / notableDivisor)
	}
	var all []*entry
	held := map[string]int64{}
	for _, e := range t.entries {
		if !e.isEvictable() || countsConnections && e.isShared {
			continue
		}
		if e != newcomer {
			all = append(all, e)
		}
		if countsConnections {
			held[e.source]++
		} else {
			held[e.source] += e.cost
		}
	}
	var largest *entry
	for _, e := range all {
		if largest == nil || cmp.Or(cmp.Compare(held[e.source], held[largest.source]), cmp.Compare(largest.source, e.source)) > 0 {
			largest = e
		}
	}
	if largest == nil || held[largest.source] <= notable {
		return all
	}
	return slices.DeleteFunc(all, func(e *entry) bool { return e.source != largest.source })
}

package tbintake

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

const (
	crowdAddress  = "10.0.0.1"
	callerAddress = "10.0.0.2"
)

// replay drives a table and records which connections are open.
type replay struct {
	t      *testing.T
	table  *Table
	limits Limits
	now    time.Time
	isOpen map[ID]bool
}

func newReplay(t *testing.T, memoryMB int64, descriptors int) *replay {
	l := LimitsOf(memoryMB<<20, descriptors)
	return &replay{t: t, table: New(l), limits: l, now: start, isOpen: map[ID]bool{}}
}

func (r *replay) settle(id ID, evicted []ID, ok bool) bool {
	for _, e := range evicted {
		qt.Assert(r.t, r.isOpen[e], qt.IsTrue, qt.Commentf("connection %d is evicted twice", e))
		delete(r.isOpen, e)
	}
	if !ok && r.isOpen[id] {
		r.close(id)
	}
	qt.Assert(r.t, r.table.Bytes() <= r.limits.Bytes, qt.IsTrue, qt.Commentf("%d of %d bytes", r.table.Bytes(), r.limits.Bytes))
	qt.Assert(r.t, r.table.Connections() <= r.limits.Connections, qt.IsTrue)
	return ok
}

func (r *replay) open(source string) ID {
	id, evicted, ok := r.table.Open(source, r.now)
	if ok {
		r.isOpen[id] = true
	}
	r.settle(id, evicted, ok)
	return id
}

func (r *replay) receive(id ID, cost int64) bool {
	evicted, ok := r.table.Receive(id, cost, r.now)
	return r.settle(id, evicted, ok)
}

func (r *replay) run(id ID, cost int64) bool {
	evicted, ok := r.table.Run(id, cost, r.now)
	for _, e := range evicted {
		delete(r.isOpen, e)
	}
	return ok
}

func (r *replay) close(id ID) {
	delete(r.isOpen, id)
	r.table.Close(id)
}

// ask sends one ordinary request and reports whether it is served.
func (r *replay) ask(source string) bool {
	id := r.open(source)
	served := r.isOpen[id] && r.receive(id, 500*BufferFactor+10*LineCost) && r.run(id, 4000)
	r.now = r.now.Add(time.Millisecond)
	served = served && r.isOpen[id]
	r.table.Rest(id, 0, r.now)
	r.close(id)
	return served
}

// Load: clients that send a large part of a request and then nothing, or a byte now and then. Ordinary
// callers are served throughout, also if they come from the same address as the crowd.
func TestOrdinaryRequestsAreServedBesideCrowds(t *testing.T) {
	for name, cost := range map[string]int64{
		"silent":      0,
		"short lines": 2300 * (LineCost + 7*BufferFactor),
		"large body":  262144 * BufferFactor,
	} {
		for _, source := range []string{callerAddress, crowdAddress} {
			t.Run(fmt.Sprintf("%s from %s", name, source), func(t *testing.T) {
				r := newReplay(t, 184, 4100)
				var crowd []ID
				for i := range 5000 {
					id := r.open(crowdAddress)
					for part := int64(0); part < cost && r.isOpen[id]; part += 65536 {
						r.receive(id, min(65536, cost-part))
					}
					crowd = append(crowd, id)
					r.now = r.now.Add(2 * time.Millisecond)
					if trickler := crowd[i/2]; r.isOpen[trickler] {
						r.receive(trickler, 1)
					}
					if i%10 == 0 {
						qt.Assert(t, r.ask(source), qt.IsTrue, qt.Commentf("after %d clients", i))
					}
				}
			})
		}
	}
}

// Load: a crowd at one address fills the table. The connections of another address, which are idle for
// longer, stay.
func TestCrowdAtOneAddressDoesNotEvictOthers(t *testing.T) {
	r := newReplay(t, 184, 4100)
	var callers []ID
	for range 50 {
		callers = append(callers, r.open(callerAddress))
	}
	r.now = r.now.Add(10 * time.Second)
	for range 5000 {
		r.receive(r.open(crowdAddress), 100_000)
		r.now = r.now.Add(time.Millisecond)
	}
	for _, id := range callers {
		qt.Assert(t, r.isOpen[id], qt.IsTrue)
	}
}

// Load: whole requests of a crowd that all wait for an answer. They are not evicted, the crowd's address gets
// half of the room for them, and another address is served.
func TestWholeRequestsAreRefusedNotEvicted(t *testing.T) {
	r := newReplay(t, 184, 4100)
	var accepted []ID
	refused := 0
	for range 500 {
		id := r.open(crowdAddress)
		qt.Assert(t, r.receive(id, 100_000), qt.IsTrue)
		if r.run(id, 500_000) {
			accepted = append(accepted, id)
		} else {
			refused++
			r.table.Rest(id, 0, r.now)
		}
		r.now = r.now.Add(time.Millisecond)
	}
	qt.Check(t, len(accepted) > 10, qt.IsTrue)
	qt.Check(t, refused > 0, qt.IsTrue)
	for _, id := range accepted {
		qt.Assert(t, r.isOpen[id], qt.IsTrue)
	}
	qt.Check(t, r.ask(callerAddress), qt.IsTrue)
	for _, id := range accepted {
		r.close(id)
	}
	qt.Check(t, r.table.runningBytes, qt.Equals, int64(0))
	qt.Check(t, r.table.runningBySource, qt.HasLen, 0)
}

// A single request that needs more than half of the room is admitted in calm, and one that needs more than
// all of it is not.
func TestSingleRequestMayUseTheRoomOfAllRequests(t *testing.T) {
	r := newReplay(t, 80, 4100)
	large := r.open(callerAddress)
	qt.Check(t, r.run(large, r.limits.RunningBytes-ConnectionCost), qt.IsTrue)
	r.table.Rest(large, 0, r.now)
	qt.Check(t, r.run(large, r.limits.RunningBytes), qt.IsFalse)
	r.close(large)
	qt.Check(t, r.table.Bytes(), qt.Equals, int64(0))
}

// What a request leaves behind in the buffer of its connection is not forgotten.
func TestRestKeepsTheCostOfBufferedBytes(t *testing.T) {
	r := newReplay(t, 184, 4100)
	id := r.open(callerAddress)
	r.receive(id, 5000)
	r.run(id, 1000)
	r.table.Rest(id, 300, r.now)
	qt.Check(t, r.table.Bytes(), qt.Equals, int64(ConnectionCost+300))
	r.close(id)
	qt.Check(t, r.table.Bytes(), qt.Equals, int64(0))
	qt.Check(t, r.table.Connections(), qt.Equals, 0)
}

func TestDecodeCostCoversManySmallObjects(t *testing.T) {
	qt.Check(t, DecodeCost([]byte(`{"steps":[{},{},{}]}`)) >= 4*objectCost, qt.IsTrue)
}

// Load: whole requests while the leader does not answer. Each holds a connection to the leader or waits for
// one, so their number is bounded by the descriptors.
func TestWholeRequestsAreBoundedByDescriptors(t *testing.T) {
	r := newReplay(t, 4096, 1000)
	accepted := 0
	for i := range r.limits.Connections {
		id := r.open(fmt.Sprintf("10.0.1.%d", i))
		if r.run(id, 0) {
			accepted++
		} else {
			r.table.Rest(id, 0, r.now)
		}
	}
	qt.Check(t, accepted, qt.Equals, r.limits.RunningRequests)
	qt.Check(t, r.limits.Connections+r.limits.RunningRequests < 1000, qt.IsTrue)
}

// Load: idle connections of as many addresses fill the table, none of which stands out. A newcomer that sends the
// largest body is admitted, and so is one whose source has another request on its way.
func TestNewcomersAreAdmittedBesideIdleConnectionsOfManyAddresses(t *testing.T) {
	const idleCost = 24 << 10
	r := newReplay(t, 184, 4100)
	for i := range r.limits.Connections {
		id := r.open(fmt.Sprintf("10.1.%d.%d", i/250, i%250))
		r.run(id, 0)
		r.table.Rest(id, idleCost, r.now)
		r.now = r.now.Add(10 * time.Millisecond)
	}
	qt.Assert(t, r.table.Bytes() > r.limits.Bytes*9/10, qt.IsTrue)
	first := r.open(callerAddress)
	qt.Assert(t, r.isOpen[first], qt.IsTrue)
	for range 5 {
		id := r.open(callerAddress)
		for part := range 64 {
			qt.Assert(t, r.isOpen[id] && r.receive(id, 4096*BufferFactor), qt.IsTrue, qt.Commentf("after %d parts", part))
			r.now = r.now.Add(time.Millisecond)
		}
		qt.Assert(t, r.run(id, 0), qt.IsTrue)
		r.table.Rest(id, 0, r.now)
	}
	qt.Check(t, r.isOpen[first], qt.IsTrue)
}

// Load: addresses with one connection each that stop just short of the end of a large body. A caller with a large body
// is served throughout.
func TestLargeRequestsAreServedBesideIncompleteOnesOfManyAddresses(t *testing.T) {
	r := newReplay(t, 184, 4100)
	send := func(source string) (ID, bool) {
		id := r.open(source)
		for range 64 {
			if !r.isOpen[id] || !r.receive(id, 4096*BufferFactor) {
				return id, false
			}
		}
		return id, true
	}
	for i := range 1000 {
		_, _ = send(fmt.Sprintf("10.1.%d.%d", i/250, i%250))
		r.now = r.now.Add(time.Millisecond)
		if i%20 == 0 {
			id, ok := send(callerAddress)
			qt.Assert(t, ok && r.run(id, 0), qt.IsTrue, qt.Commentf("after %d clients", i))
			r.table.Rest(id, 0, r.now)
			r.close(id)
		}
	}
}

// Load: idle connections of as many addresses take all descriptors for connections. A newcomer is admitted.
func TestNewcomersAreAdmittedIfOtherAddressesHoldAllConnections(t *testing.T) {
	r := newReplay(t, 4096, 200)
	for i := range r.limits.Connections {
		r.open(fmt.Sprintf("10.1.0.%d", i))
		r.now = r.now.Add(time.Millisecond)
	}
	for _, source := range []string{"10.0.0.9", "10.2.0.1"} {
		qt.Check(t, r.isOpen[r.open(source)], qt.IsTrue, qt.Commentf("%s", source))
	}
}

// Load: one address holds half of the connections and little memory. Others are not given up for it.
func TestManyConnectionsOfOneAddressDoNotEvictOthers(t *testing.T) {
	r := newReplay(t, 4096, 200)
	var callers []ID
	for i := range r.limits.Connections / 2 {
		callers = append(callers, r.open(fmt.Sprintf("10.1.0.%d", i)))
	}
	r.now = r.now.Add(10 * time.Second)
	for range 1000 {
		r.open(crowdAddress)
	}
	for _, id := range callers {
		qt.Assert(t, r.isOpen[id], qt.IsTrue)
	}
}

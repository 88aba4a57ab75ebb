package tbdaemon

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbrelay"
	"tamarackbarrow/io/tbcodec"
	"tamarackbarrow/io/tbpeer"
	pb "tamarackbarrow/io/tbproto/v1"
	"tamarackbarrow/io/tbsettings"
)

// fakeAdapter counts the starts that it executes, by job.
type fakeAdapter struct {
	Adapter
	mu     sync.Mutex
	starts map[string]int
	// now reads the daemon's clock.
	now func() time.Time
	// sentAt is when the last start was sent.
	sentAt time.Time
	// blocks is closed to let the starts end. It is nil if they end at once.
	blocks chan struct{}
}

func (a *fakeAdapter) Start(_ context.Context, o tbfleet.Start) tbfleet.StartAnswered {
	a.mu.Lock()
	a.starts[o.Ref.Job]++
	sentAt, blocks := a.now(), a.blocks
	a.sentAt = sentAt
	a.mu.Unlock()
	if blocks != nil {
		<-blocks
	}
	return tbfleet.StartAnswered{Outcome: tbfleet.Accepted, ClockMs: 77, SentBefore: sentAt}
}

func (a *fakeAdapter) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.starts)
}

// startsOf returns how often the task of a job was started.
func (a *fakeAdapter) startsOf(job string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.starts[job]
}

func (a *fakeAdapter) block(until chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.blocks = until
}

// newRelayDaemon returns a daemon that serves its peers at a loopback address until stop is called.
func newRelayDaemon(t *testing.T, id string) (d *Daemon, adapter *fakeAdapter, stop func()) {
	listener, err := tbpeer.Listen("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	d, err = New(tbsettings.Settings{
		ID: id, PeerAddress: listener.Addr().String(), DataCentre: "dc-" + id, Policies: tbsettings.Policies{Relay: "always"},
	}, hclog.NewNullLogger(), hclog.NewNullLogger(), hclog.NewNullLogger())
	qt.Assert(t, err, qt.IsNil)
	adapter = &fakeAdapter{starts: map[string]int{}, now: d.Now}
	d.SetAdapter(adapter)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = tbpeer.Serve(ctx, listener, &peerHandler{d: d})
	}()
	t.Cleanup(func() {
		cancel()
		d.cancel()
	})
	return d, adapter, func() {
		cancel()
		listener.Close()
		<-served
	}
}

// newRelayedLeader returns a leader, its adapter, and a relay that the leader already uses.
func newRelayedLeader(t *testing.T) (leader *Daemon, own *fakeAdapter, relay *Daemon, relays *fakeAdapter, stopRelay func()) {
	leader, own, _ = newRelayDaemon(t, "leader")
	relay, relays, stopRelay = newRelayDaemon(t, "relay")
	leader.groupMembers.Store([]tbconsensus.Member{{ID: 1, Address: leader.settings.PeerAddress}, {ID: 2, Address: relay.settings.PeerAddress}})
	leader.isConfirmedLeader.Store(true)
	deadline := time.Now().Add(5 * time.Second)
	for n := 0; relays.count() == 0; n++ {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("the relay is never used"))
		leader.orders.send(startOrder(fmt.Sprintf("first%d", n)))
		qt.Assert(t, nextStartAnswer(t, leader).Outcome, qt.Equals, tbfleet.Accepted)
		time.Sleep(20 * time.Millisecond)
	}
	return leader, own, relay, relays, stopRelay
}

func startOrder(job string) tbcontrol.SendOrder {
	return tbcontrol.SendOrder{Term: 3, IssuedAt: time.Now(), Order: tbfleet.Start{
		Target: tbfleet.Target{ID: "w-" + job, Address: "127.0.0.1:1", Incarnation: 5}, Ref: tbflow.TaskRef{Job: job}, Run: 1, Timeout: 300 * time.Millisecond,
	}}
}

func nextStartAnswer(t *testing.T, d *Daemon) tbfleet.StartAnswered {
	t.Helper()
	select {
	case queued := <-d.events:
		if rest := queued.events[1:]; len(rest) > 0 {
			d.queueEvents(rest)
		}
		return queued.events[0].Control.(tbcontrol.StartAnswered).Answer
	case <-time.After(5 * time.Second):
		t.Fatal("no result of an order")
	}
	return tbfleet.StartAnswered{}
}

// answersByJob waits for the results of n orders and returns their outcomes.
func answersByJob(t *testing.T, d *Daemon, n int) map[string]tbfleet.Outcome {
	t.Helper()
	outcomes := map[string]tbfleet.Outcome{}
	for range n {
		a := nextStartAnswer(t, d)
		_, twice := outcomes[a.Ref.Job]
		qt.Check(t, twice, qt.IsFalse, qt.Commentf("two results for %s", a.Ref.Job))
		outcomes[a.Ref.Job] = a.Outcome
	}
	return outcomes
}

func TestRelaySendsOrdersAndReturnsResults(t *testing.T) {
	leader, own, _, relays, _ := newRelayedLeader(t)
	ownBefore := own.count()
	const n = 200
	for i := range n {
		leader.orders.send(startOrder(fmt.Sprintf("j%d", i)))
	}
	for job, outcome := range answersByJob(t, leader, n) {
		qt.Check(t, outcome, qt.Equals, tbfleet.Accepted, qt.Commentf("%s", job))
		qt.Check(t, relays.startsOf(job), qt.Equals, 1)
	}
	qt.Check(t, own.count(), qt.Equals, ownBefore)
	leader.orders.mu.Lock()
	defer leader.orders.mu.Unlock()
	qt.Check(t, leader.orders.pending.Size(), qt.Equals, 0)
}

// A relay ends while the leader issues orders. Each order has one result and is sent at most once. An
// order that was not sent is not reported as accepted.
func TestLossOfRelayLeavesOneResultForEachOrder(t *testing.T) {
	leader, own, _, relays, stopRelay := newRelayedLeader(t)
	const n = 400
	go func() {
		time.Sleep(5 * time.Millisecond)
		stopRelay()
	}()
	for i := range n {
		leader.orders.send(startOrder(fmt.Sprintf("j%d", i)))
		time.Sleep(50 * time.Microsecond)
	}
	accepted := 0
	for job, outcome := range answersByJob(t, leader, n) {
		sent := own.startsOf(job) + relays.startsOf(job)
		qt.Check(t, sent <= 1, qt.IsTrue, qt.Commentf("%s sent %d times", job, sent))
		if outcome == tbfleet.Accepted {
			accepted++
			qt.Check(t, sent, qt.Equals, 1, qt.Commentf("%s", job))
		} else {
			qt.Check(t, outcome, qt.Equals, tbfleet.Unconfirmed, qt.Commentf("%s", job))
		}
	}
	qt.Check(t, accepted > 0, qt.IsTrue)
	// Later orders are sent by the leader.
	leader.orders.send(startOrder("later"))
	qt.Check(t, nextStartAnswer(t, leader).Outcome, qt.Equals, tbfleet.Accepted)
	qt.Check(t, own.startsOf("later"), qt.Equals, 1)
}

func TestOrderIsUnconfirmedIfRelayReturnsNoResult(t *testing.T) {
	leader, _, _, relays, _ := newRelayedLeader(t)
	blocks := make(chan struct{})
	defer close(blocks)
	relays.block(blocks)
	leader.orders.send(startOrder("j"))
	a := nextStartAnswer(t, leader)
	qt.Check(t, a.Outcome, qt.Equals, tbfleet.Unconfirmed)
	qt.Check(t, a.Cause, qt.Equals, tbfleet.CauseNoResult)
	qt.Check(t, relays.startsOf("j"), qt.Equals, 1)
}

// A process is suspended between the decision to send an order and the sending.
func TestSuspendedLeaderDoesNotSendOrders(t *testing.T) {
	d, own, _ := newRelayDaemon(t, "leader")
	order := startOrder("j")
	d.orders.sendDirectly(tbrelay.PendingOrder{Order: order.Order, Term: order.Term, IssuedAt: d.clock.Now().Add(-maxSendDelay - time.Millisecond)})
	qt.Check(t, nextStartAnswer(t, d).Outcome, qt.Equals, tbfleet.NotSent)
	qt.Check(t, own.count(), qt.Equals, 0)
}

// relayDirectly passes one order to a relay, as a leader with the given reading would, and returns
// its result.
func relayDirectly(t *testing.T, leader, relay *Daemon, m *pb.RelayRequest) tbfleet.Outcome {
	t.Helper()
	order := startOrder("direct")
	leader.orders.mu.Lock()
	id := leader.orders.pending.Add(tbrelay.PendingOrder{Order: order.Order, Term: order.Term, Deadline: leader.clock.Now().Add(time.Minute)})
	leader.orders.mu.Unlock()
	m.LeaderAddress, m.Orders = leader.settings.PeerAddress, append(m.Orders, tbcodec.OrderToWire(id, order.Order))
	_, err := leader.peers.Relay(context.Background(), relay.settings.PeerAddress, time.Second, m)
	qt.Assert(t, err, qt.IsNil)
	return nextStartAnswer(t, leader).Outcome
}

func TestRelayRefusesOrdersWithoutValidReading(t *testing.T) {
	leader, _, relay, relays, _ := newRelayedLeader(t)
	relay.term.Store(3)
	now := int64(readBootTime())
	session := relay.incarnation
	for _, c := range []struct {
		name string
		m    *pb.RelayRequest
		want tbfleet.Outcome
	}{
		{"no reading", &pb.RelayRequest{Term: 3}, tbfleet.NotSent},
		{"old reading", &pb.RelayRequest{Term: 3, RelaySession: session, RelayClock: now - int64(maxSendDelay) - 1}, tbfleet.NotSent},
		{"earlier process", &pb.RelayRequest{Term: 3, RelaySession: session - 1, RelayClock: now}, tbfleet.NotSent},
		{"replaced leader", &pb.RelayRequest{Term: 2, RelaySession: session, RelayClock: now}, tbfleet.NotSent},
		{"valid", &pb.RelayRequest{Term: 3, RelaySession: session, RelayClock: now}, tbfleet.Accepted},
	} {
		qt.Check(t, relayDirectly(t, leader, relay, c.m), qt.Equals, c.want, qt.Commentf("%s", c.name))
	}
	qt.Check(t, relays.startsOf("direct"), qt.Equals, 1)
}

// A malformed order must not stop the relay, nor the orders that came with it.
func TestMalformedRelayedOrderIsSkipped(t *testing.T) {
	leader, _, relay, _, _ := newRelayedLeader(t)
	m := &pb.RelayRequest{RelaySession: relay.incarnation, RelayClock: int64(readBootTime()), Orders: []*pb.RelayedOrder{{Id: 1, Kind: 99}, {}}}
	qt.Check(t, relayDirectly(t, leader, relay, m), qt.Equals, tbfleet.Accepted)
	_, err := leader.peers.Relay(context.Background(), leader.settings.PeerAddress, time.Second, &pb.RelayRequest{})
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, leader.peers.ReturnResults(context.Background(), leader.settings.PeerAddress, time.Second, &pb.ReturnResultsRequest{
		Results: []*pb.RelayedResult{{Id: 12345, Outcome: 99}, {}},
	}), qt.IsNil)
}

// The leader is suspended after it has decided on an order and before the order reaches its sender.
func TestOrderAgeCountsFromItsDecision(t *testing.T) {
	d, own, _ := newRelayDaemon(t, "leader")
	order := startOrder("j")
	order.IssuedAt = d.clock.Now().Add(-maxSendDelay - time.Millisecond)
	d.orders.send(order)
	qt.Check(t, nextStartAnswer(t, d).Outcome, qt.Equals, tbfleet.NotSent)
	qt.Check(t, own.count(), qt.Equals, 0)
}

// lastSentAt returns when the last start was sent.
func (a *fakeAdapter) lastSentAt() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sentAt
}

func TestTimeOfSendingReachesTheLeader(t *testing.T) {
	leader, own, _, relays, _ := newRelayedLeader(t)
	blocks := make(chan struct{})
	relays.block(blocks)
	// The answer of the worker takes much longer than the sending.
	const answerTime = time.Second
	time.AfterFunc(answerTime, func() { close(blocks) })
	relayed := startOrder("j")
	start := relayed.Order.(tbfleet.Start)
	start.Timeout = 5 * answerTime
	relayed.Order = start
	leader.orders.send(relayed)
	a := nextStartAnswer(t, leader)
	qt.Check(t, a.Outcome, qt.Equals, tbfleet.Accepted)
	qt.Check(t, relays.startsOf("j"), qt.Equals, 1)
	late := a.SentBefore.Sub(relays.lastSentAt())
	qt.Check(t, late >= 0 && late < answerTime/2, qt.IsTrue, qt.Commentf("%v after the sending", late))

	order := startOrder("own")
	order.IssuedAt = leader.Now()
	leader.orders.sendDirectly(tbrelay.PendingOrder{Order: order.Order, Term: order.Term, IssuedAt: order.IssuedAt})
	qt.Check(t, nextStartAnswer(t, leader).SentBefore, qt.Equals, own.lastSentAt())
}

func TestTimeOfSendingIsUnknownWithoutAResult(t *testing.T) {
	leader, own, _, relays, stopRelay := newRelayedLeader(t)
	blocks := make(chan struct{})
	defer close(blocks)
	relays.block(blocks)
	leader.orders.send(startOrder("late"))
	a := nextStartAnswer(t, leader)
	qt.Check(t, a.Cause, qt.Equals, tbfleet.CauseNoResult)
	qt.Check(t, a.SentBefore.IsZero(), qt.IsTrue)

	// A result that cannot be decoded, one of an earlier version, and one of a relay with a wrong clock.
	for name, m := range map[string]*pb.RelayedResult{
		"undecodable": {Outcome: 99, SinceSentNs: 1000}, "without the field": {Outcome: uint32(tbfleet.Accepted)},
		"before the issue": {Outcome: uint32(tbfleet.Accepted), SinceSentNs: int64(time.Hour)},
	} {
		order := startOrder(name)
		leader.orders.mu.Lock()
		m.Id = leader.orders.pending.Add(tbrelay.PendingOrder{Order: order.Order, IssuedAt: leader.Now(), Deadline: leader.Now().Add(time.Minute)})
		leader.orders.mu.Unlock()
		leader.orders.handleResults([]*pb.RelayedResult{m})
		qt.Check(t, nextStartAnswer(t, leader).SentBefore.IsZero(), qt.IsTrue, qt.Commentf("%s", name))
	}

	// The leader gives an order up before it is sent.
	order := startOrder("old")
	leader.orders.sendDirectly(tbrelay.PendingOrder{Order: order.Order, IssuedAt: leader.Now().Add(-maxSendDelay - time.Millisecond)})
	a = nextStartAnswer(t, leader)
	qt.Check(t, a.Outcome, qt.Equals, tbfleet.NotSent)
	qt.Check(t, a.SentBefore.IsZero(), qt.IsTrue)

	leader.orders.send(startOrder("lost"))
	for relays.startsOf("lost")+own.startsOf("lost") == 0 {
		time.Sleep(time.Millisecond)
	}
	stopRelay()
	leader.orders.send(startOrder("after"))
	for range 2 {
		if a := nextStartAnswer(t, leader); a.Ref.Job == "lost" {
			qt.Check(t, a.Outcome, qt.Equals, tbfleet.Unconfirmed)
			qt.Check(t, a.SentBefore.IsZero(), qt.IsTrue)
		}
	}
}

func TestDelaysOfOrdersCountFromTheirDecisionAndFromTheirSending(t *testing.T) {
	workers := tbsettings.Workers{MaxOrderDelay: 12 * time.Second, Lease: 6 * time.Second, PollWait: time.Second, OrderTimeout: 400 * time.Millisecond}
	params := controlConfig(tbsettings.Settings{Times: tbsettings.Times{ElectionTimeout: 900 * time.Millisecond}, Workers: workers}, 1).Fleet
	qt.Check(t, params.MaxDeliveryDelay, qt.Equals, 12*time.Second)
	qt.Check(t, params.MaxOrderDelay, qt.Equals, 12*time.Second+2*900*time.Millisecond+2*maxSendDelay+MaxSendingTime)
}

package tbdaemon

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/io/tbproxy"
)

// Guards against workers that are taken for silent, and starts that are stopped, because one request to their relay was
// slow: the relay has sent the start, the worker answers, and the result arrives within the timeout of the order.
func TestOneSlowRequestToRelayDoesNotLoseOrdersInFlight(t *testing.T) {
	leader, _, _ := newRelayDaemon(t, "leader")
	relay, relays, _ := newRelayDaemon(t, "relay")
	proxy, err := tbproxy.Listen("127.0.0.1:0", relay.settings.PeerAddress)
	qt.Assert(t, err, qt.IsNil)
	defer proxy.Close()
	leader.groupMembers.Store([]tbconsensus.Member{{ID: 1, Address: leader.settings.PeerAddress}, {ID: 2, Address: proxy.Address()}})
	leader.isConfirmedLeader.Store(true)
	for deadline := time.Now().Add(5 * time.Second); relays.count() == 0; time.Sleep(20 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("the relay is never used"))
		leader.orders.send(startOrder("first"))
		nextStartAnswer(t, leader)
	}
	blocks := make(chan struct{})
	relays.block(blocks)
	order := startOrder("j")
	start := order.Order.(tbfleet.Start)
	start.Timeout = 2 * time.Second
	order.Order = start
	leader.orders.send(order)
	for relays.startsOf("j") == 0 {
		time.Sleep(time.Millisecond)
	}
	// The machines are slow from now on. The next probe of the relay takes longer than its timeout.
	proxy.SetFault(tbproxy.AnySource, tbproxy.Fault{Delay: 300 * time.Millisecond})
	time.AfterFunc(time.Second, func() { close(blocks) })
	a := nextStartAnswer(t, leader)
	qt.Check(t, a.Outcome, qt.Equals, tbfleet.Accepted, qt.Commentf("%s", a.Cause))
}

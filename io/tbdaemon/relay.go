package tbdaemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbnode"
	"tamarackbarrow/core/tbrelay"
	"tamarackbarrow/io/tbcodec"
	"tamarackbarrow/io/tbpeer"
	pb "tamarackbarrow/io/tbproto/v1"
)

// Timing of relayed orders.
const (
	// maxSendDelay is the longest time from when an order is issued until it is sent to the worker,
	// by the leader, or passed to a relay. A relay sends it within maxSendDelay of the reading of its
	// clock that the leader then has. A later order is not sent.
	maxSendDelay = tbrelay.MaxTimeout
	// relayLinger is how long an order or a result waits for others, to share a message with them.
	relayLinger = 2 * time.Millisecond
	// pendingCheckInterval is the time between two checks for pending orders past their deadline.
	pendingCheckInterval = 50 * time.Millisecond
	// idleResultsInterval is how long a sender of results waits for a further result before it ends.
	idleResultsInterval = 5 * time.Second
)

// orderSender sends the leader's orders to workers, directly or through relays.
type orderSender struct {
	d       *Daemon
	mu      sync.Mutex
	router  *tbrelay.Router
	pending *tbrelay.Pending
	// batchers holds the orders to send, by the address of the relay. It is empty while the leader
	// wants no relays.
	batchers map[string]*batcher[tbrelay.PendingOrder]
	// cancel stops the goroutines that serve relays. It is nil while there are none.
	cancel context.CancelFunc
}

func newOrderSender(d *Daemon, policy tbrelay.Policy, firstID uint64) *orderSender {
	return &orderSender{d: d, router: tbrelay.NewRouter(policy), pending: tbrelay.NewPending(firstID), batchers: map[string]*batcher[tbrelay.PendingOrder]{}}
}

func relayPolicy(name string) tbrelay.Policy {
	return map[string]tbrelay.Policy{"always": tbrelay.Always, "never": tbrelay.Never}[name]
}

// send sends an order without blocking. The result is queued as an event.
func (s *orderSender) send(e tbcontrol.SendOrder) {
	if s.d.adapter == nil {
		return
	}
	now := s.d.clock.Now()
	isExpired := now.Sub(e.IssuedAt) > maxSendDelay
	target, timeout := targetOf(e.Order)
	o := tbrelay.PendingOrder{Order: e.Order, Term: e.Term, IssuedAt: e.IssuedAt}
	s.mu.Lock()
	choice, ok := s.router.Choose(now, target.ID, target.DataCentre)
	if s.router.WantsRelays() && s.cancel == nil {
		s.startLocked()
	}
	b := s.batchers[choice.Address]
	if ok && b != nil && !isExpired {
		o.Relay, o.Issued, o.Deadline = choice.Address, choice.Reading, now.Add(timeout+choice.Margin)
		o.ID = s.pending.Add(o)
	}
	s.mu.Unlock()
	if o.ID == 0 {
		go s.sendDirectly(o)
		return
	}
	b.add(o)
}

// sendDirectly sends an order to its worker and queues the result.
func (s *orderSender) sendDirectly(o tbrelay.PendingOrder) {
	if s.d.clock.Now().Sub(o.IssuedAt) > maxSendDelay {
		s.d.counters.add("orders.expired")
		r := tbcodec.OrderResult{Outcome: tbfleet.NotSent, Cause: causeExpired}
		s.d.countOrder(o.Order, r)
		s.queueResult(o, r)
		return
	}
	s.queueResult(o, s.d.executeOrder(o.Order))
}

// causeExpired is the cause of a result for an order that was older than maxSendDelay.
const causeExpired = "the order was issued too long ago"

func (s *orderSender) queueResult(o tbrelay.PendingOrder, r tbcodec.OrderResult) {
	s.d.queueEvent(tbnode.Event{Control: resultEvent(o, r)})
}

// startLocked starts the goroutine that maintains the relays and expires pending orders.
func (s *orderSender) startLocked() {
	ctx, cancel := context.WithCancel(s.d.ctx)
	s.cancel = cancel
	s.d.log.Info("orders to workers are passed to relays", "replicas", len(s.d.Replicas()))
	s.d.spawn(func() { s.maintain(ctx) })
}

// maintain starts a sender for each other replica. It ends once this replica is not the leader or
// wants no relays, and no order is pending.
func (s *orderSender) maintain(ctx context.Context) {
	ticker := time.NewTicker(pendingCheckInterval)
	defer ticker.Stop()
	lastCheck := s.d.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := s.d.clock.Now()
		s.mu.Lock()
		if pause := now.Sub(lastCheck) - 2*pendingCheckInterval; pause > 0 {
			// Results may wait in the sockets of a process that did not run.
			s.pending.Postpone(pause)
		}
		lastCheck = now
		expired := s.pending.TakeExpired(now)
		isLeader := s.d.isConfirmedLeader.Load()
		if !isLeader {
			s.router.HandleLeadershipLost()
		}
		wantsRelays := isLeader && s.router.WantsRelays()
		if wantsRelays {
			s.addBatchersLocked(ctx)
		}
		ends := !wantsRelays && s.pending.Size() == 0
		if ends {
			s.cancel()
			s.cancel = nil
			clear(s.batchers)
		}
		s.mu.Unlock()
		for _, o := range expired {
			s.d.counters.add("relay.unanswered")
			s.d.log.Debug("no result of an order in time", "relay", o.Relay)
			s.queueResult(o, tbcodec.OrderResult{Cause: tbfleet.CauseNoResult})
		}
		if ends {
			s.d.log.Info("orders to workers are sent without relays", "leads", isLeader)
			return
		}
	}
}

func (s *orderSender) addBatchersLocked(ctx context.Context) {
	for _, address := range s.d.Replicas() {
		if address == s.d.settings.PeerAddress || s.batchers[address] != nil {
			continue
		}
		b := newBatcher[tbrelay.PendingOrder]()
		s.batchers[address] = b
		s.d.spawn(func() {
			b.run(ctx, relayLinger, tbrelay.ProbeInterval, func(orders []tbrelay.PendingOrder) { s.sendToRelay(ctx, address, orders) })
		})
	}
}

// sendToRelay sends a batch of orders to a relay. An empty batch probes the relay.
func (s *orderSender) sendToRelay(ctx context.Context, address string, orders []tbrelay.PendingOrder) {
	m := &pb.RelayRequest{LeaderAddress: s.d.settings.PeerAddress, Orders: make([]*pb.RelayedOrder, 0, len(orders))}
	var oldest tbrelay.Reading
	for i, o := range orders {
		switch {
		case i == 0:
			oldest = o.Issued
		case o.Issued.Session != oldest.Session:
			// The relay has restarted. It accepts no order without a reading.
			oldest = tbrelay.Reading{}
		case o.Issued.Clock < oldest.Clock:
			oldest = o.Issued
		}
		m.Term = max(m.Term, o.Term)
		m.Orders = append(m.Orders, tbcodec.OrderToWire(o.ID, o.Order))
	}
	m.RelaySession, m.RelayClock = oldest.Session, int64(oldest.Clock)
	s.d.counters.addMany("relay.orders", len(orders))
	s.mu.Lock()
	requestTimeout := s.router.Timeout(address)
	s.mu.Unlock()
	sentAt := s.d.clock.Now()
	answer, err := s.d.peers.Relay(ctx, address, requestTimeout, m)
	s.mu.Lock()
	if err == nil && !answer.GetCannotRelay() {
		s.router.HandleAnswer(s.d.clock.Now(), sentAt, address, answer.GetDataCentre(),
			tbrelay.Reading{Session: answer.GetRelaySession(), Clock: time.Duration(answer.GetRelayClock())})
		s.mu.Unlock()
		return
	}
	s.router.HandleFailure(address)
	var notSent *tbpeer.NotSentError
	var returned []tbrelay.PendingOrder
	if err == nil || errors.As(err, &notSent) {
		returned = s.takeLocked(orders)
	}
	lost := s.pending.TakeOf(address)
	s.mu.Unlock()
	if len(orders) > 0 || len(lost) > 0 {
		s.d.log.Warn("relay lost", "relay", address, "error", err, "unsent", len(returned), "unconfirmed", len(lost))
		s.d.counters.add("relay.failed")
	}
	for _, o := range returned {
		go s.sendDirectly(o)
	}
	for _, o := range lost {
		s.queueResult(o, tbcodec.OrderResult{Cause: tbfleet.CauseNoResult})
	}
}

func (s *orderSender) takeLocked(orders []tbrelay.PendingOrder) []tbrelay.PendingOrder {
	var taken []tbrelay.PendingOrder
	for _, o := range orders {
		if p, ok := s.pending.Take(o.ID); ok {
			taken = append(taken, p)
		}
	}
	return taken
}

// handleResults handles results that a relay has returned. Results of orders that are no longer
// pending are ignored.
func (s *orderSender) handleResults(results []*pb.RelayedResult) {
	now := s.d.clock.Now()
	events := make([]tbnode.Event, 0, len(results))
	for _, m := range results {
		s.mu.Lock()
		o, ok := s.pending.Take(m.GetId())
		s.mu.Unlock()
		if !ok {
			s.d.counters.add("relay.lateResult")
			continue
		}
		r, err := tbcodec.ResultFromWire(m, now, s.d.settings.Times.ClockRateBound)
		if err != nil {
			s.d.log.Error("cannot decode the result of a relayed order", "relay", o.Relay, "error", err)
			r = tbcodec.OrderResult{Cause: err.Error()}
		}
		events = append(events, tbnode.Event{Control: resultEvent(o, r)})
	}
	s.d.queueEvents(events)
}

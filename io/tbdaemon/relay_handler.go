package tbdaemon

import (
	"context"
	"sync"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbrelay"
	"tamarackbarrow/io/tbcodec"
	pb "tamarackbarrow/io/tbproto/v1"
)

// resultSender returns the results of relayed orders to the leaders that issued the orders.
type resultSender struct {
	d        *Daemon
	mu       sync.Mutex
	batchers map[string]*batcher[*pb.RelayedResult]
}

func newResultSender(d *Daemon) *resultSender {
	return &resultSender{d: d, batchers: map[string]*batcher[*pb.RelayedResult]{}}
}

func (s *resultSender) add(leader string, result *pb.RelayedResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.batchers[leader]
	if b == nil {
		b = newBatcher[*pb.RelayedResult]()
		s.batchers[leader] = b
		ctx, cancel := context.WithCancel(s.d.ctx)
		s.d.spawn(func() {
			b.run(ctx, relayLinger, idleResultsInterval, func(results []*pb.RelayedResult) {
				if len(results) > 0 {
					s.send(ctx, leader, results)
					return
				}
				s.removeIfIdle(leader, b, cancel)
			})
		})
	}
	b.add(result)
}

func (s *resultSender) removeIfIdle(leader string, b *batcher[*pb.RelayedResult], cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.items) == 0 && s.batchers[leader] == b {
		delete(s.batchers, leader)
		cancel()
	}
}

// send sends results and repeats the message once on another connection, with twice the time. The leader ignores
// results that it gets twice. Results that do not arrive leave the orders unconfirmed.
func (s *resultSender) send(ctx context.Context, leader string, results []*pb.RelayedResult) {
	const tries = 2
	var err error
	for try := range tries {
		if err = s.d.peers.ReturnResults(ctx, leader, tbrelay.MinTimeout<<try, &pb.ReturnResultsRequest{Results: results}); err == nil {
			return
		}
	}
	s.d.counters.addMany("relay.resultsLost", len(results))
	s.d.log.Warn("results of relayed orders do not reach the leader", "leader", leader, "results", len(results), "error", err)
}

// Relay sends the orders of a leader to workers. The results follow with ReturnResults.
func (h *peerHandler) Relay(_ context.Context, m *pb.RelayRequest) (*pb.RelayResponse, error) {
	d := h.d
	answer := &pb.RelayResponse{RelaySession: d.incarnation, RelayClock: int64(readBootTime()), DataCentre: d.settings.DataCentre}
	if d.adapter == nil || d.ctx.Err() != nil {
		answer.CannotRelay = true
		return answer, nil
	}
	issued := tbrelay.Reading{Session: m.GetRelaySession(), Clock: time.Duration(m.GetRelayClock())}
	if m.GetTerm() < d.term.Load() {
		// The leader has been replaced.
		issued = tbrelay.Reading{}
	}
	for _, wire := range m.GetOrders() {
		order, err := tbcodec.OrderFromWire(wire)
		if err != nil {
			d.log.Error("cannot decode an order to relay", "leader", m.GetLeaderAddress(), "error", err)
			continue
		}
		go d.executeRelayed(m.GetLeaderAddress(), wire.GetId(), order, issued)
	}
	return answer, nil
}

func (d *Daemon) executeRelayed(leader string, id uint64, order tbfleet.Order, issued tbrelay.Reading) {
	var r tbcodec.OrderResult
	if now := (tbrelay.Reading{Session: d.incarnation, Clock: readBootTime()}); tbrelay.Fresh(now, issued, maxSendDelay) {
		d.counters.add("relay.executed")
		r = d.executeOrder(order)
	} else {
		d.counters.add("relay.expired")
		r = tbcodec.OrderResult{Outcome: tbfleet.NotSent, Cause: causeExpired}
		d.countOrder(order, r)
	}
	d.results.add(leader, tbcodec.ResultToWire(id, r, d.clock.Now()))
}

// ReturnResults accepts the results of orders that this replica has passed to a relay.
func (h *peerHandler) ReturnResults(_ context.Context, m *pb.ReturnResultsRequest) (*pb.ReturnResultsResponse, error) {
	h.d.orders.handleResults(m.GetResults())
	return &pb.ReturnResultsResponse{}, nil
}

package tbentry

import (
	"slices"
	"time"
)

// maxHandovers bounds the handovers of one call.
const maxHandovers = 2

// tryHandover forwards a call to a peer that reported a free slot, and reports whether it did.
//
// The leader divides the slots among the entries by demand about twice a second. Until the leader has
// adapted to a sudden change of load, a fully loaded entry can use the idle slots of other entries.
// A handover costs one hop of about a millisecond.
func (e *Entry) tryHandover(now time.Time, c *call) bool {
	if !e.cfg.HandoverEnabled || c.fromPeer || len(c.triedPeers) >= maxHandovers || !e.lease.Valid(now) {
		return false
	}
	peer := e.bestPeer(c)
	if peer == "" {
		return false
	}
	c.service.peerFreeSlots[peer]--
	c.triedPeers = append(c.triedPeers, peer)
	c.phase = awaitingPeer
	e.count("retried", handedOverReason)
	e.emit(StartHandover{
		ID: c.id, Address: e.view.sessions[peer].Address, Call: c.call, TimeLeft: c.deadline.Sub(now),
	})
	return true
}

// handedOverReason is the reason under which handovers are counted.
const handedOverReason Reason = "handedOver"

// bestPeer returns the session of the peer with the most free slots, or "" if no peer has any.
// A peer in the same data centre wins a tie. Peers that already got the call are skipped.
func (e *Entry) bestPeer(c *call) string {
	best, bestScore := "", 0
	for session, free := range c.service.peerFreeSlots {
		s, known := e.view.sessions[session]
		if !known || free <= 0 || slices.Contains(c.triedPeers, session) {
			continue
		}
		score := 2 * free
		if s.DataCentre == e.cfg.DataCentre {
			score++
		}
		if score > bestScore || score == bestScore && session < best {
			best, bestScore = session, score
		}
	}
	return best
}

func (e *Entry) hasFreePeer(s *service) bool {
	if !e.cfg.HandoverEnabled {
		return false
	}
	for session, free := range s.peerFreeSlots {
		if _, known := e.view.sessions[session]; known && free > 0 {
			return true
		}
	}
	return false
}

func (e *Entry) onHandoverEnded(now time.Time, ev HandoverEnded) {
	c := e.calls[ev.ID]
	if c == nil || c.phase != awaitingPeer {
		return
	}
	s := c.service
	peer := c.triedPeers[len(c.triedPeers)-1]
	switch {
	case ev.NotSent:
		s.peerFreeSlots[peer] = 0
		e.dispatch(now, c)
	case ev.Lost:
		s.peerFreeSlots[peer] = 0
		c.mayHaveExecuted = true
		e.retryOrEnd(now, c, HandoverLost, "")
	case ev.Outcome.Status == Answered:
		e.answer(now, c, ev.Outcome.Payload)
	case ev.Outcome.Status == NotExecuted:
		s.peerFreeSlots[peer] = 0
		e.dispatch(now, c)
	default:
		c.mayHaveExecuted = true
		e.retryOrEnd(now, c, ev.Outcome.Reason, ev.Outcome.Detail)
	}
}

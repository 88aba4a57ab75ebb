package tbentry

import (
	"slices"
	"time"
)

// maxHandovers bounds how many peers one call is sent to.
const maxHandovers = 2

// handOver sends a call to a peer that seems to have a free slot.
//
// The slots are shared out by demand about twice a second. Until the shares
// follow a sudden swing, a call arriving at a crowded entry finds the idle slots
// of the others this way, for one hop of about a millisecond.
func (e *Entry) handOver(now time.Time, c *call) bool {
	if !e.cfg.Handover || c.fromPeer || len(c.triedPeers) >= maxHandovers || !e.lease.Valid(now) {
		return false
	}
	peer := e.peerWithRoom(c)
	if peer == "" {
		return false
	}
	c.service.peerFree[peer]--
	c.triedPeers = append(c.triedPeers, peer)
	c.phase = handedOver
	e.count("retried", handoverReason)
	e.emit(StartHandover{
		ID: c.id, Address: e.view.sessions[peer].Address, Call: c.call, Left: c.deadline.Sub(now),
	})
	return true
}

// handoverReason is the reason under which calls sent to peers are counted.
const handoverReason Reason = "handedOver"

// peerWithRoom returns the session of the peer with most free slots, near ones first, or "".
func (e *Entry) peerWithRoom(c *call) string {
	best, bestFree := "", 0
	for session, free := range c.service.peerFree {
		s, known := e.view.sessions[session]
		if !known || free <= 0 || slices.Contains(c.triedPeers, session) {
			continue
		}
		score := 2 * free
		if s.DataCentre == e.cfg.DataCentre {
			score++
		}
		if score > bestFree || score == bestFree && session < best {
			best, bestFree = session, score
		}
	}
	return best
}

func (e *Entry) anyPeerFree(s *service) bool {
	if !e.cfg.Handover {
		return false
	}
	for session, free := range s.peerFree {
		if _, known := e.view.sessions[session]; known && free > 0 {
			return true
		}
	}
	return false
}

func (e *Entry) onHandoverEnded(now time.Time, ev HandoverEnded) {
	c := e.calls[ev.ID]
	if c == nil || c.phase != handedOver {
		return
	}
	s := c.service
	peer := c.triedPeers[len(c.triedPeers)-1]
	switch {
	case ev.NotSent:
		s.peerFree[peer] = 0
		e.dispatch(now, c)
	case ev.Lost:
		s.peerFree[peer] = 0
		c.mayHaveRun = true
		e.retryOr(now, c, HandoverLost, "")
	case ev.Outcome.Status == Answered:
		e.answer(now, c, ev.Outcome.Payload)
	case ev.Outcome.Status == NotRun:
		s.peerFree[peer] = 0
		e.dispatch(now, c)
	default:
		c.mayHaveRun = true
		e.retryOr(now, c, ev.Outcome.Reason, ev.Outcome.Detail)
	}
}

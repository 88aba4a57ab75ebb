package tbstate

import "container/heap"

// expiryHeap is a heap of finished claims ordered by expiry.
type expiryHeap []*Claim

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].ExpiresMs < h[j].ExpiresMs }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*Claim)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// acquireClaim grants the claim on a key to the first call only. The same command sent again succeeds
// until the result of the call is recorded.
//
// A claim with ClaimNotExecuted exists only to refuse a late AcquireClaim of the call that ended.
// Therefore another call may replace that claim.
func (s *State) acquireClaim(c AcquireClaim) Outcome {
	if existing := s.Claims[c.Key]; existing != nil {
		same := existing.Session == c.Session && existing.CallID == c.CallID
		switch {
		case existing.Status == ClaimNotExecuted && !same:
			s.dropClaim(existing)
		case existing.Status != ClaimHeld:
			return Outcome{Reason: ClaimFinished, Claim: existing}
		case same:
			return Outcome{}
		default:
			return Outcome{Reason: ClaimInProgress, Claim: existing}
		}
	}
	if s.Sessions[c.Session] == nil {
		return Outcome{Reason: SessionUnknown}
	}
	b := s.Bundle()
	if b == nil {
		return Outcome{Reason: NoActiveBundle}
	}
	service, ok := b.Service(c.Key.Service)
	if !ok {
		return Outcome{Reason: ServiceUnknown}
	}
	if s.claimCounts[c.Key.Service] >= service.ClaimLimit || s.answerBytes >= MaxAnswerBytes {
		return Outcome{Reason: ClaimTableFull}
	}
	s.Claims[c.Key] = &Claim{
		Key: c.Key, Session: c.Session, CallID: c.CallID,
		RetentionMs: service.IdempotencyRetention.Milliseconds(),
	}
	s.claimCounts[c.Key.Service]++
	return Outcome{}
}

func (s *State) finishClaim(c FinishClaim) Outcome {
	claim := s.Claims[c.Key]
	if claim == nil && c.Status == ClaimNotExecuted {
		s.blockLateClaim(c)
		return Outcome{}
	}
	if claim == nil || claim.Session != c.Session || claim.CallID != c.CallID {
		return Outcome{Reason: NoSuchClaim}
	}
	if claim.Status != ClaimHeld {
		return Outcome{}
	}
	if c.Status == ClaimNotExecuted {
		// The request is certain not to have been executed, so a resend of the request may be executed.
		s.dropClaim(claim)
		return Outcome{}
	}
	s.endClaim(claim, c.Status, c.Answer, c.Reason)
	return Outcome{}
}

// blockLateClaim stores a claim for a call that ended before its AcquireClaim was applied. If that
// AcquireClaim arrives after all, it is refused.
func (s *State) blockLateClaim(c FinishClaim) {
	claim := &Claim{Key: c.Key, Session: c.Session, CallID: c.CallID, RetentionMs: lateClaimRetentionMs}
	s.Claims[c.Key] = claim
	s.claimCounts[c.Key.Service]++
	s.endClaim(claim, ClaimNotExecuted, nil, c.Reason)
}

// lateClaimRetentionMs is how long the claim that blockLateClaim stores is kept.
const lateClaimRetentionMs = 60_000

func (s *State) endClaim(claim *Claim, status ClaimStatus, answer []byte, reason string) {
	claim.Status = status
	claim.Answer = answer
	s.answerBytes += len(answer)
	claim.Reason = reason
	claim.ExpiresMs = s.NowMs + claim.RetentionMs
	heap.Push(&s.claimExpiries, claim)
}

func (s *State) dropClaim(claim *Claim) {
	delete(s.Claims, claim.Key)
	s.claimCounts[claim.Key.Service]--
	s.answerBytes -= len(claim.Answer)
}

func (s *State) expireClaims() {
	for len(s.claimExpiries) > 0 && s.claimExpiries[0].ExpiresMs <= s.NowMs {
		claim := heap.Pop(&s.claimExpiries).(*Claim)
		if s.Claims[claim.Key] == claim {
			s.dropClaim(claim)
		}
	}
}

package tbstate

import "container/heap"

// expiryHeap orders finished claims by the time when they may be forgotten.
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

// makeClaim gives the right to run only to the first attempt; the same attempt again keeps it.
func (s *State) makeClaim(c MakeClaim) Outcome {
	if known := s.Claims[c.Key]; known != nil {
		same := known.Session == c.Session && known.Attempt == c.Attempt
		switch {
		case known.Status == ClaimNotRun && !same:
			s.dropClaim(known)
		case known.Status != ClaimRunning:
			return Outcome{Reason: ClaimFinished, Claim: known}
		case same:
			return Outcome{}
		default:
			return Outcome{Reason: ClaimInProgress, Claim: known}
		}
	}
	if s.Sessions[c.Session] == nil {
		return Outcome{Reason: SessionUnknown}
	}
	b := s.Bundle()
	if b == nil {
		return Outcome{Reason: NoBundleInForce}
	}
	service, ok := b.Service(c.Key.Service)
	if !ok {
		return Outcome{Reason: ServiceUnknown}
	}
	if s.claimCounts[c.Key.Service] >= service.ClaimLimit {
		return Outcome{Reason: ClaimTableFull}
	}
	s.Claims[c.Key] = &Claim{
		Key: c.Key, Session: c.Session, Attempt: c.Attempt,
		RetentionMs: service.IdempotencyRetention.Milliseconds(),
	}
	s.claimCounts[c.Key.Service]++
	return Outcome{}
}

func (s *State) finishClaim(c FinishClaim) Outcome {
	claim := s.Claims[c.Key]
	if claim == nil && c.Status == ClaimNotRun {
		s.refuseLateClaim(c)
		return Outcome{}
	}
	if claim == nil || claim.Session != c.Session || claim.Attempt != c.Attempt {
		return Outcome{Reason: ClaimUnknown}
	}
	if claim.Status != ClaimRunning {
		return Outcome{}
	}
	if c.Status == ClaimNotRun {
		// It surely did not run, so that a resend may run.
		s.dropClaim(claim)
		return Outcome{}
	}
	s.endClaim(claim, c.Status, c.Answer, c.Reason)
	return Outcome{}
}

// refuseLateClaim keeps a given-up attempt from claiming when its request arrives late.
func (s *State) refuseLateClaim(c FinishClaim) {
	claim := &Claim{Key: c.Key, Session: c.Session, Attempt: c.Attempt, RetentionMs: lateClaimMs}
	s.Claims[c.Key] = claim
	s.claimCounts[c.Key.Service]++
	s.endClaim(claim, ClaimNotRun, nil, c.Reason)
}

// lateClaimMs is how long a given-up attempt is remembered.
const lateClaimMs = 60_000

func (s *State) endClaim(claim *Claim, status ClaimStatus, answer []byte, reason string) {
	claim.Status = status
	claim.Answer = answer
	claim.Reason = reason
	claim.ExpiresMs = s.NowMs + claim.RetentionMs
	heap.Push(&s.expiries, claim)
}

func (s *State) dropClaim(claim *Claim) {
	delete(s.Claims, claim.Key)
	s.claimCounts[claim.Key.Service]--
}

func (s *State) expireClaims() {
	for len(s.expiries) > 0 && s.expiries[0].ExpiresMs <= s.NowMs {
		claim := heap.Pop(&s.expiries).(*Claim)
		if s.Claims[claim.Key] == claim {
			s.dropClaim(claim)
		}
	}
}

package tbcodec

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"tamarackbarrow/core/tbstate"
	"tamarackbarrow/io/tbflowcodec"
	pb "tamarackbarrow/io/tbproto/v1"
)

// EncodeState encodes the state as the data of a snapshot.
func (c *Codec) EncodeState(s *tbstate.State) []byte {
	m := &pb.StateSnapshot{NowMs: s.NowMs, InForce: s.ActiveVersion, Applied: s.Applied, NextSeq: s.NextSeq}
	for _, b := range s.Bundles {
		m.Bundles = append(m.Bundles, BundleToWire(*b))
	}
	for _, session := range s.Sessions {
		m.Entries = append(m.Entries, SessionToWire(*session))
	}
	for _, r := range s.Runners {
		m.Runners = append(m.Runners, RunnerToWire(*r))
	}
	for _, w := range s.Workers {
		m.Workers = append(m.Workers, WorkerToWire(*w))
	}
	for _, j := range s.Jobs {
		m.Jobs = append(m.Jobs, JobToWire(*j))
	}
	for _, claim := range s.Claims {
		m.Claims = append(m.Claims, ClaimToWire(claim))
	}
	for _, k := range s.Kinds {
		m.Kinds = append(m.Kinds, &pb.KindRecord{Kind: k.Kind, MeanMs: k.MeanMs, Runs: k.FinishedJobs})
	}
	m.Flow = tbflowcodec.EncodeState(s.Flow)
	return marshal(m)
}

// DecodeState decodes the data of a snapshot.
func (c *Codec) DecodeState(data []byte) (*tbstate.State, error) {
	var m pb.StateSnapshot
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("cannot decode the state: %w", err)
	}
	s := tbstate.New()
	s.NowMs, s.ActiveVersion, s.Applied, s.NextSeq = m.GetNowMs(), m.GetInForce(), m.GetApplied(), m.GetNextSeq()
	for _, wire := range m.GetBundles() {
		b, err := c.BundleFromWire(wire)
		if err != nil {
			return nil, fmt.Errorf("bundle version %d: %w", wire.GetVersion(), err)
		}
		s.Bundles[b.Version] = &b
	}
	for _, wire := range m.GetEntries() {
		session := SessionFromWire(wire)
		s.Sessions[session.Key] = &session
	}
	for _, wire := range m.GetRunners() {
		r := RunnerFromWire(wire)
		s.Runners[r.ID] = &r
	}
	for _, wire := range m.GetWorkers() {
		w := WorkerFromWire(wire)
		s.Workers[w.ID] = &w
	}
	for _, wire := range m.GetJobs() {
		j := JobFromWire(wire)
		s.Jobs[j.ID] = &j
	}
	for _, wire := range m.GetClaims() {
		claim := ClaimFromWire(wire)
		s.Claims[claim.Key] = claim
	}
	for _, k := range m.GetKinds() {
		s.Kinds[k.GetKind()] = &tbstate.KindStats{Kind: k.GetKind(), MeanMs: k.GetMeanMs(), FinishedJobs: k.GetRuns()}
	}
	flow, err := tbflowcodec.DecodeState(m.GetFlow())
	if err != nil {
		return nil, err
	}
	s.Flow = flow
	s.Rebuild()
	return s, nil
}

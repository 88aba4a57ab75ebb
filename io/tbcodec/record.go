package tbcodec

import (
	"tamarackbarrow/core/tbbundle"
	"tamarackbarrow/core/tbstate"
	pb "tamarackbarrow/io/tbproto/v1"
)

// BundleToWire converts a bundle to a message that contains the bundle's source. BundleFromWire parses
// this source.
func BundleToWire(b tbbundle.Bundle) *pb.SignOffCommand {
	return &pb.SignOffCommand{Version: b.Version, Digest: b.Digest, Source: b.Source}
}

// BundleFromWire parses the source of a bundle. Version and digest are derived from the source; the
// version and digest in the message are ignored.
func (c *Codec) BundleFromWire(m *pb.SignOffCommand) (tbbundle.Bundle, error) {
	return c.parse(m.GetSource())
}

// SessionToWire converts a session to protobuf.
func SessionToWire(s tbstate.Session) *pb.EntryRecord {
	return &pb.EntryRecord{Session: s.Key, Id: s.ID, DataCentre: s.DataCentre, Address: s.Address, Changed: s.Changed}
}

// SessionFromWire converts a session from protobuf.
func SessionFromWire(m *pb.EntryRecord) tbstate.Session {
	return tbstate.Session{
		Key: m.GetSession(), ID: m.GetId(), DataCentre: m.GetDataCentre(), Address: m.GetAddress(), Changed: m.GetChanged(),
	}
}

// RunnerToWire converts a runner with its grants to protobuf.
func RunnerToWire(r tbstate.Runner) *pb.RunnerRecord {
	m := &pb.RunnerRecord{
		Id: r.ID, Incarnation: r.Incarnation, Address: r.Address, DataCentre: r.DataCentre,
		Service: r.Service, Slots: uint32(r.Slots), Phase: string(r.Phase), Changed: r.Changed, Worker: r.Worker,
	}
	for _, g := range r.Grants {
		m.Grants = append(m.Grants, &pb.GrantRecord{
			Session: g.Session, Granted: uint32(g.Granted), Target: uint32(g.Target), Changed: g.Changed,
		})
	}
	return m
}

// RunnerFromWire converts a runner with its grants from protobuf.
func RunnerFromWire(m *pb.RunnerRecord) tbstate.Runner {
	r := tbstate.Runner{
		ID: m.GetId(), Incarnation: m.GetIncarnation(), Address: m.GetAddress(), DataCentre: m.GetDataCentre(),
		Service: m.GetService(), Slots: int(m.GetSlots()), Phase: tbstate.RunnerPhase(m.GetPhase()), Changed: m.GetChanged(), Worker: m.GetWorker(),
	}
	for _, g := range m.GetGrants() {
		r.Grants = append(r.Grants, tbstate.Grant{
			Session: g.GetSession(), Granted: int(g.GetGranted()), Target: int(g.GetTarget()), Changed: g.GetChanged(),
		})
	}
	return r
}

// WorkerToWire converts a worker to protobuf.
func WorkerToWire(w tbstate.Worker) *pb.WorkerRecord {
	return &pb.WorkerRecord{
		Id: w.ID, Incarnation: w.Incarnation, Address: w.Address, DataCentre: w.DataCentre, Rack: w.Rack,
		Capacity: AmountToWire(w.Capacity), Phase: string(w.Phase), Changed: w.Changed,
		Failures: uint32(w.ConsecutiveFailures), ProbationUntilMs: w.BackoffUntilMs,
	}
}

// WorkerFromWire converts a worker from protobuf.
func WorkerFromWire(m *pb.WorkerRecord) tbstate.Worker {
	return tbstate.Worker{
		ID: m.GetId(), Incarnation: m.GetIncarnation(), Address: m.GetAddress(), DataCentre: m.GetDataCentre(),
		Rack: m.GetRack(), Capacity: AmountFromWire(m.GetCapacity()), Phase: tbstate.WorkerPhase(m.GetPhase()),
		Changed: m.GetChanged(), ConsecutiveFailures: int(m.GetFailures()), BackoffUntilMs: m.GetProbationUntilMs(),
	}
}

// JobToWire converts a job to protobuf.
func JobToWire(j tbstate.Job) *pb.JobRecord {
	return &pb.JobRecord{
		Id: j.ID, Kind: j.Kind, Team: j.Team, Payload: j.Payload, Urgent: j.Urgent,
		Resources: AmountToWire(j.Resources), Rank: uint32(j.Rank), Phase: string(j.Phase), Reason: string(j.Reason),
		Worker: j.Worker, WorkerIncarnation: j.WorkerIncarnation, Epoch: j.Run, Checkpoint: j.Checkpoint,
		Evictions: uint32(j.Requeues), Failures: uint32(j.Failures), Cancelled: j.Cancelled, LongClass: j.RanLong,
		SubmittedMs: j.SubmittedMs, StartedMs: j.StartedMs, EndedMs: j.EndedMs, RanMs: uint64(j.RanMs),
		Seq: j.Seq, Changed: j.Changed, Crashes: uint32(j.Crashes), SoleCrashes: uint32(j.SoleCrashes),
	}
}

// JobFromWire converts a job from protobuf.
func JobFromWire(m *pb.JobRecord) tbstate.Job {
	return tbstate.Job{
		ID: m.GetId(), Kind: m.GetKind(), Team: m.GetTeam(), Payload: m.GetPayload(), Urgent: m.GetUrgent(),
		Resources: AmountFromWire(m.GetResources()), Rank: int(m.GetRank()),
		Phase: tbstate.JobPhase(m.GetPhase()), Reason: tbstate.Reason(m.GetReason()),
		Worker: m.GetWorker(), WorkerIncarnation: m.GetWorkerIncarnation(), Run: m.GetEpoch(), Checkpoint: m.GetCheckpoint(),
		Requeues: int(m.GetEvictions()), Failures: int(m.GetFailures()), Cancelled: m.GetCancelled(), RanLong: m.GetLongClass(),
		SubmittedMs: m.GetSubmittedMs(), StartedMs: m.GetStartedMs(), EndedMs: m.GetEndedMs(), RanMs: int64(m.GetRanMs()),
		Seq: m.GetSeq(), Changed: m.GetChanged(), Crashes: int(m.GetCrashes()), SoleCrashes: int(m.GetSoleCrashes()),
	}
}

// ClaimToWire converts a claim to protobuf. It returns nil for a nil claim.
func ClaimToWire(c *tbstate.Claim) *pb.ClaimRecord {
	if c == nil {
		return nil
	}
	return &pb.ClaimRecord{
		Key: claimKeyToWire(c.Key), Session: c.Session, Attempt: c.CallID, Status: uint32(c.Status),
		Answer: c.Answer, Reason: c.Reason, AtMs: c.ExpiresMs, RetentionMs: c.RetentionMs,
	}
}

// ClaimFromWire converts a claim from protobuf. It returns nil for a nil message.
func ClaimFromWire(m *pb.ClaimRecord) *tbstate.Claim {
	if m == nil {
		return nil
	}
	return &tbstate.Claim{
		Key: claimKeyFromWire(m.GetKey()), Session: m.GetSession(), CallID: m.GetAttempt(),
		Status: tbstate.ClaimStatus(m.GetStatus()), Answer: m.GetAnswer(), Reason: m.GetReason(),
		ExpiresMs: m.GetAtMs(), RetentionMs: m.GetRetentionMs(),
	}
}

// OutcomesToWire converts the outcomes of commands to protobuf.
func OutcomesToWire(outcomes []tbstate.Outcome) []*pb.CommandOutcome {
	wire := make([]*pb.CommandOutcome, len(outcomes))
	for i, o := range outcomes {
		wire[i] = &pb.CommandOutcome{Reason: string(o.Reason), Detail: o.Detail, Claim: ClaimToWire(o.Claim)}
	}
	return wire
}

// OutcomesFromWire converts the outcomes of commands from protobuf.
func OutcomesFromWire(wire []*pb.CommandOutcome) []tbstate.Outcome {
	outcomes := make([]tbstate.Outcome, len(wire))
	for i, m := range wire {
		outcomes[i] = tbstate.Outcome{Reason: tbstate.Reason(m.GetReason()), Detail: m.GetDetail(), Claim: ClaimFromWire(m.GetClaim())}
	}
	return outcomes
}

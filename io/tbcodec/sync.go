package tbcodec

import (
	"time"

	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbstate"
	pb "tamarackbarrow/io/tbproto/v1"
)

// SyncToWire converts an entry's report to protobuf.
func SyncToWire(s tbcontrol.Sync) *pb.SyncRequest {
	m := &pb.SyncRequest{
		Entry: SessionToWire(s.Session), SessionSeen: s.SessionSeen, ConfirmedVersion: s.ConfirmedVersion,
		ViewIndex: s.ViewIndex, HeardRunners: s.HeardRunners, HeardWorkers: s.HeardWorkers,
		Loads: loadsToWire(s.Loads),
	}
	for _, t := range s.Timings {
		m.Timings = append(m.Timings, &pb.RunnerTiming{Runner: t.Runner, Answers: uint32(t.Answers), MeanUs: uint32(t.Mean.Microseconds())})
	}
	for _, u := range s.Usages {
		m.Usages = append(m.Usages, &pb.TaskUsage{Job: u.Job, Usage: AmountToWire(u.Usage), AgeMs: toMillis(u.Age)})
	}
	return m
}

// SyncFromWire converts an entry's report from protobuf.
func SyncFromWire(m *pb.SyncRequest) tbcontrol.Sync {
	s := tbcontrol.Sync{
		Session: SessionFromWire(m.GetEntry()), SessionSeen: m.GetSessionSeen(), ConfirmedVersion: m.GetConfirmedVersion(),
		ViewIndex: m.GetViewIndex(), HeardRunners: m.GetHeardRunners(), HeardWorkers: m.GetHeardWorkers(),
		Loads: loadsFromWire(m.GetLoads()),
	}
	for _, t := range m.GetTimings() {
		s.Timings = append(s.Timings, tbcontrol.RunnerTiming{
			Runner: t.GetRunner(), Answers: int(t.GetAnswers()), Mean: time.Duration(t.GetMeanUs()) * time.Microsecond,
		})
	}
	for _, u := range m.GetUsages() {
		s.Usages = append(s.Usages, tbcontrol.TaskUsage{Job: u.GetJob(), Usage: AmountFromWire(u.GetUsage()), Age: fromMillis(u.GetAgeMs())})
	}
	return s
}

func loadsToWire(loads []tbcontrol.ServiceLoad) []*pb.ServiceLoad {
	var wire []*pb.ServiceLoad
	for _, l := range loads {
		wire = append(wire, &pb.ServiceLoad{
			Service: l.Service, InFlight: uint32(l.InFlight), Queued: uint32(l.Queued), Free: uint32(l.Free),
			Arrived: uint32(l.Arrived), ServiceMs: toMillis(l.ServiceTime), SlowPercent: uint32(l.SlowPercent),
		})
	}
	return wire
}

func loadsFromWire(wire []*pb.ServiceLoad) []tbcontrol.ServiceLoad {
	var loads []tbcontrol.ServiceLoad
	for _, m := range wire {
		loads = append(loads, tbcontrol.ServiceLoad{
			Service: m.GetService(), InFlight: int(m.GetInFlight()), Queued: int(m.GetQueued()), Free: int(m.GetFree()),
			Arrived: int(m.GetArrived()), ServiceTime: fromMillis(m.GetServiceMs()), SlowPercent: int(m.GetSlowPercent()),
		})
	}
	return loads
}

func toMillis(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

func fromMillis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// SyncAnswerToWire converts the answer to an entry's report to protobuf.
func SyncAnswerToWire(a tbcontrol.AnswerSync) *pb.SyncResponse {
	m := &pb.SyncResponse{Leader: uint64(a.Leader), NotLeader: a.NotLeader}
	if a.NotLeader {
		return m
	}
	v := a.View
	m.Term, m.ViewIndex, m.Full = v.Term, v.Index, v.Full
	m.LeaseGranted, m.SessionClosed = v.LeaseGranted, v.SessionClosed
	m.GoneSessions, m.GoneRunners, m.GoneWorkers, m.GoneTasks = v.RemovedSessions, v.RemovedRunners, v.RemovedWorkers, v.RemovedTasks
	m.Replicas = MembersToWire(v.Replicas)
	m.Throttled = v.Throttled
	if v.Bundle != nil {
		m.Bundle = BundleToWire(*v.Bundle)
	}
	for _, s := range v.Sessions {
		m.Entries = append(m.Entries, SessionToWire(s))
	}
	for _, r := range v.Runners {
		m.Runners = append(m.Runners, RunnerToWire(r))
	}
	for _, w := range v.Workers {
		m.Workers = append(m.Workers, WorkerToWire(w))
	}
	for _, j := range v.PlacedJobs {
		m.Tasks = append(m.Tasks, JobToWire(j))
	}
	for _, l := range v.Loads {
		m.PeerLoads = append(m.PeerLoads, &pb.EntryLoad{Session: l.Session, Loads: loadsToWire(l.Loads)})
	}
	return m
}

// SyncAnswerFromWire converts the answer to an entry's report from protobuf.
func (c *Codec) SyncAnswerFromWire(m *pb.SyncResponse) (tbcontrol.AnswerSync, error) {
	a := tbcontrol.AnswerSync{Leader: tbconsensus.ReplicaID(m.GetLeader()), NotLeader: m.GetNotLeader()}
	v := &a.View
	v.Term, v.Index, v.Full = m.GetTerm(), m.GetViewIndex(), m.GetFull()
	v.LeaseGranted, v.SessionClosed = m.GetLeaseGranted(), m.GetSessionClosed()
	v.RemovedSessions, v.RemovedRunners, v.RemovedWorkers, v.RemovedTasks = m.GetGoneSessions(), m.GetGoneRunners(), m.GetGoneWorkers(), m.GetGoneTasks()
	v.Replicas = MembersFromWire(m.GetReplicas())
	v.Throttled = m.GetThrottled()
	if m.GetBundle() != nil {
		b, err := c.BundleFromWire(m.GetBundle())
		if err != nil {
			return a, err
		}
		v.Bundle = &b
	}
	for _, s := range m.GetEntries() {
		v.Sessions = append(v.Sessions, SessionFromWire(s))
	}
	for _, r := range m.GetRunners() {
		v.Runners = append(v.Runners, RunnerFromWire(r))
	}
	for _, w := range m.GetWorkers() {
		v.Workers = append(v.Workers, WorkerFromWire(w))
	}
	for _, j := range m.GetTasks() {
		v.PlacedJobs = append(v.PlacedJobs, JobFromWire(j))
	}
	for _, l := range m.GetPeerLoads() {
		v.Loads = append(v.Loads, tbcontrol.EntryLoad{Session: l.GetSession(), Loads: loadsFromWire(l.GetLoads())})
	}
	return a, nil
}

// StatusToWire converts the leader's status to protobuf. The instance that an operator queries then
// sets the fields that describe that instance.
func StatusToWire(st tbcontrol.Status) *pb.StatusResponse {
	m := &pb.StatusResponse{
		Leader: uint64(st.Leader), Term: st.Term, CommitIndex: st.CommitIndex, Claims: uint64(st.Claims),
	}
	for _, b := range st.Bundles {
		m.Bundles = append(m.Bundles, &pb.BundleStatus{Version: b.Version, Digest: b.Digest, InForce: b.Version == st.ActiveVersion})
	}
	for _, e := range st.Entries {
		m.Entries = append(m.Entries, &pb.EntryStatus{
			Id: e.Session.ID, DataCentre: e.Session.DataCentre, Address: e.Session.Address,
			ConfirmedVersion: e.ConfirmedVersion, LeaseLeftMs: uint64(e.LeaseLeft.Milliseconds()),
		})
	}
	for _, r := range st.Runners {
		m.Runners = append(m.Runners, &pb.RunnerStatus{
			Id: r.ID, DataCentre: r.DataCentre, Service: r.Service, Slots: uint32(r.Slots),
			Granted: uint32(r.Granted()), Phase: string(r.Phase),
		})
	}
	for _, w := range st.Workers {
		m.Workers = append(m.Workers, &pb.WorkerStatus{
			Id: w.Worker.ID, DataCentre: w.Worker.DataCentre, Rack: w.Worker.Rack,
			Capacity: AmountToWire(w.Worker.Capacity), Reserved: AmountToWire(w.Reserved),
			Tasks: uint32(w.Tasks), Phase: string(w.Worker.Phase),
		})
	}
	for _, p := range st.Jobs {
		m.Jobs = append(m.Jobs, &pb.PhaseCount{Phase: string(p.Phase), Count: uint64(p.Count)})
	}
	m.Replicas = replicaStatuses(st)
	for _, e := range st.Evacuations {
		m.Evacuations = append(m.Evacuations, &pb.EvacuationStatus{DataCentre: e.DataCentre, Active: e.Active, SinceMs: e.SinceMs, Runs: uint64(e.Runs)})
	}
	return m
}

func replicaStatuses(st tbcontrol.Status) []*pb.ReplicaStatus {
	var all []*pb.ReplicaStatus
	for _, member := range st.Replicas {
		r := &pb.ReplicaStatus{Id: uint64(member.ID), Address: member.Address, Role: "voter"}
		switch {
		case member.ID == st.Leader:
			r.Role = "leader"
			r.Match = st.CommitIndex
		case member.Learner:
			r.Role = "learner"
		}
		for _, p := range st.Progress {
			if p.ID == member.ID {
				r.Match = p.Match
			}
		}
		all = append(all, r)
	}
	return all
}

// JobViewToWire converts the status of a job to protobuf. An unknown job gets the phase "unknown".
func JobViewToWire(v tbcontrol.JobStatus) *pb.JobStatus {
	j := v.Job
	m := &pb.JobStatus{
		Id: j.ID, Kind: j.Kind, Phase: string(j.Phase), Reason: string(j.Reason),
		Worker: j.Worker, Epoch: j.Run, Evictions: uint32(j.Requeues),
	}
	switch {
	case !v.Known:
		m.Phase = "unknown"
	case j.Phase == tbstate.JobQueued:
		m.Reason = string(v.Waiting)
	}
	return m
}

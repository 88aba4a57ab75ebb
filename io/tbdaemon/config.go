package tbdaemon

import (
	"time"

	"tamarackbarrow/core/tbbundle"
	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbentry"
	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tblease"
	"tamarackbarrow/core/tbplacement"
	"tamarackbarrow/core/tbqueue"
	"tamarackbarrow/core/tbrouting"
	"tamarackbarrow/core/tbshare"
	"tamarackbarrow/io/tbsettings"
)

type bundle = tbbundle.Bundle

// Sizes and times that settings do not change.
const (
	maxAppendBytes   = 64 << 10
	maxInFlightBytes = 256 << 10
	snapshotChunk    = 256 << 10
	shareInterval    = 250 * time.Millisecond
	planInterval     = 50 * time.Millisecond
	forgetRunner     = 2 * tbbundle.MaxRunDeadline
	batchesInFlight  = 2
	commandsInBatch  = 512
	waitingProposals = 20_000
	entriesApplied   = 64
	workerRetryPause = 250 * time.Millisecond
)

func entryLease(t tbsettings.Times) tblease.Params {
	return tblease.Params{Duration: t.EntryLease, ClockRateBound: t.ClockRateBound}
}

func taskLease(t tbsettings.Times) tblease.Params {
	return tblease.Params{Duration: t.TaskLease, ClockRateBound: t.ClockRateBound}
}

func entryConfig(s tbsettings.Settings, incarnation uint64) tbentry.Config {
	routing := tbrouting.DefaultPolicy()
	routing.Strategy = tbrouting.Strategy(s.Policies.Routing)
	order := tbqueue.OldestFirst
	if s.Policies.NewestFirst {
		order = tbqueue.NewestFirst
	}
	return tbentry.Config{
		ID: s.ID, Incarnation: incarnation, DataCentre: s.DataCentre, PeerAddress: s.PeerAddress,
		Control: s.Control, EntryLease: entryLease(s.Times), TaskLease: taskLease(s.Times),
		SyncInterval: s.Times.SyncInterval, DeliveryMargin: s.Times.DeliveryMargin,
		Routing: routing, QueueOrder: order,
		AdmissionEnabled: s.Policies.Admission, HandoverEnabled: s.Policies.Handover, Seed: s.Seed,
	}
}

func controlConfig(s tbsettings.Settings, seed uint64) tbcontrol.Config {
	placement := tbplacement.DefaultConfig()
	placement.LearnRunTimes = s.Policies.LearnJobs
	placement.LearnNeighbours = s.Policies.LearnNeighbours
	placement.ShortBound = s.Policies.ShortBound
	cfg := tbcontrol.Config{
		Consensus: tbconsensus.Config{
			ID: s.ReplicaID, ElectionTimeout: s.Times.ElectionTimeout, HeartbeatInterval: s.Times.Heartbeat,
			ClockRateBound: s.Times.ClockRateBound, MaxBatchBytes: maxAppendBytes, MaxInFlightBytes: maxInFlightBytes,
			ChunkBytes: snapshotChunk, Seed: seed, Join: s.Join,
		},
		EntryLease: entryLease(s.Times), TaskLease: taskLease(s.Times),
		BackendSilence: s.Times.BackendSilence, DeliveryMargin: s.Times.DeliveryMargin,
		ForgetAfter: forgetRunner, GrantInterval: shareInterval, PlanInterval: planInterval,
		SnapshotEvery: uint64(s.Policies.SnapshotEvery), MaxInFlight: batchesInFlight,
		MaxBatchCommands: commandsInBatch, MaxWaiting: waitingProposals, MaxApplied: entriesApplied,
		Share:     tbshare.Policy{BaseWeight: 2, Tolerance: 0.1},
		Placement: placement,
		Fleet: tbfleet.Params{
			Lease: s.Workers.Lease, MaxLease: s.Workers.LongestLease, MaxOrderDelay: s.Workers.LongestDelay + longestHold(s), ClockRateBound: s.Workers.ClockRateBound,
			PollWait: s.Workers.LookWait, OrderTimeout: s.Workers.OrderTimeout,
			HeartbeatTimeout: s.Workers.HeartbeatSilence, PollRetryDelay: workerRetryPause,
		},
	}
	if s.Group != nil {
		cfg.GroupSize = 2*s.Group.Tolerance + 1
	}
	if !s.Policies.BatchCommits {
		cfg.MaxInFlight, cfg.MaxBatchCommands = 1, 1
	}
	if !s.Policies.ShareByDemand {
		cfg.Share.BaseWeight = equalShareWeight
	}
	return cfg
}

// equalShareWeight makes any measured demand vanish beside it.
const equalShareWeight = 1e9

// longestHold is how long an order may be held back by a leader that is not confirmed: it
// checks its quorum once in an election timeout.
func longestHold(s tbsettings.Settings) time.Duration { return 2 * s.Times.ElectionTimeout }

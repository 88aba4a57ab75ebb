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

// Limits and intervals that are not configurable; tbcontrol.Config, tbconsensus.Config and
// tbfleet.Params explain them.
const (
	maxAppendBytes     = 64 << 10
	maxInFlightBytes   = 256 << 10
	snapshotChunkBytes = 256 << 10
	grantInterval      = 250 * time.Millisecond
	planInterval       = 50 * time.Millisecond
	// removeRunnerAfter is the silence after which a runner is removed: twice the largest
	// RunDeadline of a service.
	removeRunnerAfter   = 2 * tbbundle.MaxRunDeadline
	maxBatchesInFlight  = 2
	maxBatchCommands    = 512
	maxWaitingProposals = 20_000
	maxEntriesApplied   = 64
	workerRetryInterval = 250 * time.Millisecond
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
		AdmissionEnabled: s.Policies.Admission, HandoverEnabled: s.Policies.Handover, Seed: s.RandomSeed,
	}
}

func controlConfig(s tbsettings.Settings, seed uint64) tbcontrol.Config {
	placement := tbplacement.DefaultConfig()
	placement.LearnRunTimes = s.Policies.LearnRunTimes
	placement.ProtectServices = s.Policies.ProtectServices
	placement.ShortBound = s.Policies.ShortBound
	cfg := tbcontrol.Config{
		Consensus: tbconsensus.Config{
			ID: s.ReplicaID, ElectionTimeout: s.Times.ElectionTimeout, HeartbeatInterval: s.Times.Heartbeat,
			ClockRateBound: s.Times.ClockRateBound, MaxBatchBytes: maxAppendBytes, MaxInFlightBytes: maxInFlightBytes,
			ChunkBytes: snapshotChunkBytes, Seed: seed, Join: s.Join,
		},
		EntryLease: entryLease(s.Times), TaskLease: taskLease(s.Times),
		BackendSilence: s.Times.BackendSilence, DeliveryMargin: s.Times.DeliveryMargin,
		RemoveAfter: removeRunnerAfter, GrantInterval: grantInterval, PlacementInterval: planInterval,
		SnapshotEvery: uint64(s.Policies.SnapshotEvery), MaxInFlight: maxBatchesInFlight,
		MaxBatchCommands: maxBatchCommands, MaxWaiting: maxWaitingProposals, MaxApplied: maxEntriesApplied,
		// The weight is in slots, the tolerance a fraction of the share.
		Share:     tbshare.Policy{BaseWeight: 2, Tolerance: 0.1},
		Placement: placement,
		Fleet: tbfleet.Params{
			// MaxOrderDelay also includes how long the leader may hold an order back before sending it.
			Lease: s.Workers.Lease, MaxLease: s.Workers.MaxLease, MaxOrderDelay: s.Workers.MaxOrderDelay + maxOrderHold(s), ClockRateBound: s.Workers.ClockRateBound,
			PollWait: s.Workers.PollWait, OrderTimeout: s.Workers.OrderTimeout,
			SilenceTimeout: s.Workers.SilenceTimeout, PollRetryDelay: workerRetryInterval,
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

// equalShareWeight is so large a base weight that measured demand becomes negligible.
const equalShareWeight = 1e9

// maxOrderHold returns how long a leader that waits to confirm its quorum may hold back an
// order. A leader checks its quorum once per election timeout, and a busy one steps down at the
// latest two election timeouts after its last contact with a quorum.
func maxOrderHold(s tbsettings.Settings) time.Duration { return 2 * s.Times.ElectionTimeout }

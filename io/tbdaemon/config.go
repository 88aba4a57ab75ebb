package tbdaemon

import (
	"time"

	"tamarackbarrow/core/tbassign"
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
	"tamarackbarrow/io/tbpeer"
	"tamarackbarrow/io/tbsettings"
)

type bundle = tbbundle.Bundle

// MaxCommandBytes is the size of the largest change, encoded, in bytes. It leaves room in a message of
// tbpeer.MaxMessageBytes for others that it is sent with.
const MaxCommandBytes = tbpeer.MaxMessageBytes * 5 / 8

// Limits and intervals that are not configurable. Most are explained at the fields that they are
// assigned to, in tbcontrol.Config, tbconsensus.Config and tbfleet.Params.
const (
	maxAppendBytes     = 64 << 10
	maxInFlightBytes   = 256 << 10
	snapshotChunkBytes = 256 << 10
	grantInterval      = 250 * time.Millisecond
	placementInterval  = 50 * time.Millisecond
	// removeRunnerAfter is how long a runner must be silent before it is removed: twice
	// the largest RunDeadline that a service may have.
	removeRunnerAfter   = 2 * tbbundle.MaxRunDeadline
	maxBatchesInFlight  = 2
	maxBatchCommands    = 512
	maxBatchBytes       = 512 << 10
	maxWaitingProposals = 20_000
	maxWaitingBytes     = 4 * MaxCommandBytes
	maxJobBytes         = 32 << 20
	snapshotLogBytes    = 32 << 20
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
			// In a group that forms itself, the id is stored in the data folder (see loadIdentity).
			NewIDAfterDiskLoss: s.Group != nil,
		},
		EntryLease: entryLease(s.Times), TaskLease: taskLease(s.Times),
		BackendSilence: s.Times.BackendSilence, DeliveryMargin: s.Times.DeliveryMargin,
		RemoveAfter: removeRunnerAfter, GrantInterval: grantInterval, PlacementInterval: placementInterval,
		SnapshotEvery: uint64(s.Policies.SnapshotEvery), MaxInFlight: maxBatchesInFlight,
		MaxBatchCommands: maxBatchCommands, MaxBatchBytes: maxBatchBytes, MaxCommandBytes: MaxCommandBytes,
		MaxWaiting: maxWaitingProposals, MaxWaitingBytes: maxWaitingBytes, MaxJobBytes: maxJobBytes,
		SnapshotBytes: snapshotLogBytes, MaxApplied: maxEntriesApplied,
		// BaseWeight is in slots. Tolerance is a fraction of the share.
		Share:     tbshare.Policy{BaseWeight: 2, Tolerance: 0.1},
		Placement: placement,
		Scheduling: tbassign.Features{
			PredictedAdmission: s.Scheduling.PredictedAdmission, FairShares: s.Scheduling.FairShares,
			LookAhead: s.Scheduling.LookAhead, SecondCopies: s.Scheduling.SecondCopies,
			WorkerSpeeds: s.Scheduling.WorkerSpeeds,
		},
		Fleet: tbfleet.Params{
			Lease: s.Workers.Lease, MaxLease: s.Workers.MaxLease, ClockRateBound: s.Workers.ClockRateBound,
			MaxDeliveryDelay: s.Workers.MaxOrderDelay, PollWait: s.Workers.PollWait, OrderTimeout: s.Workers.OrderTimeout,
			SilenceTimeout: s.Workers.SilenceTimeout, PollRetryDelay: workerRetryInterval,
		},
	}
	// MaxOrderDelay includes the time for which the leader may hold back an order before it issues it, the time until
	// the order is sent or passed to a relay, that until the relay sends it, and that for which the transport sends it.
	cfg.Fleet.MaxOrderDelay = cfg.Fleet.MaxDeliveryDelay + maxOrderHold(s) + 2*maxSendDelay + MaxSendingTime
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

// equalShareWeight is a base weight that is so large that measured demand becomes negligible. All
// holders then get equal shares.
const equalShareWeight = 1e9

// maxOrderHold returns how long a leader may hold back an order while it waits to confirm its
// quorum. A leader checks its quorum once per election timeout. Even a busy leader steps down at
// the latest two election timeouts after its last contact with a quorum.
func maxOrderHold(s tbsettings.Settings) time.Duration { return 2 * s.Times.ElectionTimeout }

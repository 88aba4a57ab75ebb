package tbdaemon

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbnode"
	"tamarackbarrow/io/tbstore"
)

// storage writes saves and snapshots to disk in a separate goroutine, in the order in which add
// received them.
type storage struct {
	d      *Daemon
	store  *tbstore.Store
	mu     sync.Mutex
	cond   *sync.Cond
	jobs   []storageJob
	closed bool
	// unsaved is the newest snapshot that was not saved because the disk was full, or nil. It is tried again
	// from retrySnapshotAt on.
	unsaved         *tbconsensus.Snapshot
	retrySnapshotAt time.Time
}

// snapshotRetryInterval is the time between two tries to save a snapshot on a full disk.
const snapshotRetryInterval = time.Second

// storageJob is a save or a snapshot. Exactly one of its fields is set.
type storageJob struct {
	save     *tbcontrol.Save
	snapshot *tbconsensus.Snapshot
}

func newStorage(store *tbstore.Store, d *Daemon) *storage {
	s := &storage{d: d, store: store}
	s.cond = sync.NewCond(&s.mu)
	return s
}

func (s *storage) add(job storageJob) {
	s.mu.Lock()
	s.jobs = append(s.jobs, job)
	s.mu.Unlock()
	s.cond.Signal()
}

// close closes the store, which ends a wait for space on a full disk. It discards waiting jobs; this
// is safe because their messages are sent only after a sync.
func (s *storage) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cond.Signal()
	if err := s.store.Close(); err != nil {
		s.d.log.Warn("cannot close the store", "error", err)
	}
}

// run processes jobs until close is called or a job fails. It takes all waiting jobs at once, so that
// many saves share one sync.
func (s *storage) run() {
	for {
		jobs := s.waitForJobs()
		if jobs == nil {
			return
		}
		if err := s.process(jobs); err != nil {
			s.fail(err)
			return
		}
	}
}

func (s *storage) waitForJobs() []storageJob {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.jobs) == 0 && !s.closed {
		s.cond.Wait()
	}
	if s.closed {
		return nil
	}
	jobs := s.jobs
	s.jobs = nil
	return jobs
}

func (s *storage) process(jobs []storageJob) error {
	var saves []*tbcontrol.Save
	for _, job := range jobs {
		if job.save != nil {
			saves = append(saves, job.save)
			continue
		}
		if err := s.saveAll(saves); err != nil {
			return err
		}
		saves = nil
		if err := s.saveSnapshot(*job.snapshot); err != nil {
			return err
		}
	}
	if err := s.saveAll(saves); err != nil {
		return err
	}
	if s.unsaved != nil && !time.Now().Before(s.retrySnapshotAt) {
		return s.saveSnapshot(*s.unsaved)
	}
	return nil
}

// saveSnapshot saves a snapshot. If the disk is full, it puts the snapshot off; no data is lost, because
// the log still has all entries.
func (s *storage) saveSnapshot(snapshot tbconsensus.Snapshot) error {
	err := s.store.SaveSnapshot(snapshot)
	s.unsaved = nil
	if errors.Is(err, syscall.ENOSPC) {
		s.unsaved, s.retrySnapshotAt = &snapshot, time.Now().Add(snapshotRetryInterval)
		s.d.log.Error("disk is full: a snapshot was not saved", "index", snapshot.Meta.Index)
		s.d.counters.add("storage.snapshotNotSaved")
		return nil
	}
	return err
}

// saveAll makes saves durable together. It sends their messages and reports their entries as persisted
// only afterwards.
func (s *storage) saveAll(saves []*tbcontrol.Save) error {
	if len(saves) == 0 {
		return nil
	}
	changeSets := make([]tbstore.ChangeSet, len(saves))
	for i, save := range saves {
		if save.Install != nil {
			s.unsaved = nil
		}
		changeSets[i] = tbstore.ChangeSet{Install: save.Install, Entries: save.Entries, HardState: save.HardState}
	}
	start := time.Now()
	err := s.store.Append(changeSets)
	s.d.counters.histograms.observe(latencyDiskSync, time.Since(start))
	if err != nil {
		return err
	}
	s.d.counters.set("storage.syncs", int64(s.store.Syncs()))
	for _, save := range saves {
		s.d.sendMessages(save.Messages)
		if n := len(save.Entries); n > 0 {
			last := save.Entries[n-1]
			s.d.queueEvent(tbnode.Event{Control: tbcontrol.EntriesPersisted{Term: last.Term, Index: last.Index}})
		}
	}
	return nil
}

// fail stops the control role, because the contents of the disk are unknown after a failed sync. It
// does nothing if the daemon is already stopping.
func (s *storage) fail(err error) {
	if s.d.ctx.Err() != nil {
		return
	}
	s.d.log.Error("storage failed: this instance takes no part in control until it is restarted", "error", err)
	s.d.counters.add("storage.failed")
	s.d.queueEvent(tbnode.Event{Control: tbcontrol.StorageFailed{}})
}

package tbdaemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/io/tbstore"
)

// Intervals and timeouts of requests to join the control group.
const (
	joinRetryInterval = 300 * time.Millisecond
	// firstLeaderTimeout is how long a founder waits after its start before its first request to join.
	// In this time the founders can elect a first leader without any request.
	firstLeaderTimeout = 4 * time.Second
)

// minRandomReplicaID is the smallest id of a replica that is not a founder. It is larger than the ids
// of all founders, which are numbered from 1.
const minRandomReplicaID = 1 << 32

// loadIdentity sets the replica id in a group that forms itself from its seeds. The id is chosen once
// for each data folder and stored there.
//
// If Group.FirstStart says that the whole system starts for the first time, the seeds are the
// founders. Their ids are assigned in the order of their addresses, so that all founders start with
// the same group.
//
// Any other instance with an empty data folder may be a former member that has lost its votes and
// the entries that it acknowledged. Under its old id it could break the consensus protocol. So it
// gets a new id and joins as a new replica.
func (d *Daemon) loadIdentity(folder *tbstore.Folder) error {
	id, found, err := folder.ReadIdentity()
	if err != nil {
		return merry.Prepend(err, "cannot read the replica's identity")
	}
	if !found {
		id = d.newIdentity()
		if err := d.waitForSpace(func() error { return folder.WriteIdentity(id) }); err != nil {
			return merry.Prepend(err, "cannot write the replica's identity")
		}
	}
	d.settings.ReplicaID = tbconsensus.ReplicaID(id.Replica)
	d.settings.Join = len(id.Founders) == 0
	d.settings.Control = nil
	for i, address := range id.Founders {
		d.settings.Control = append(d.settings.Control, tbconsensus.Member{ID: tbconsensus.ReplicaID(i + 1), Address: address})
	}
	d.groupMembers.Store(d.settings.Control)
	return nil
}

func (d *Daemon) newIdentity() tbstore.Identity {
	founders := slices.Sorted(slices.Values(d.settings.Group.Seeds))
	if i := slices.Index(founders, d.settings.PeerAddress); i >= 0 && d.settings.Group.FirstStart {
		return tbstore.Identity{Replica: uint64(i + 1), Founders: founders}
	}
	return tbstore.Identity{Replica: minRandomReplicaID + rand.Uint64()>>2}
}

// errRemoved stops a daemon whose replica was removed from the group, for example because the replica
// was unreachable for a long time.
var errRemoved = merry.New("this replica was removed from the control group; its data folder is cleared so that it can join as a new replica")

// maintainMembership repeats requests to join the group while this replica knows no leader or is not
// a member. A founder sends no request before firstLeaderTimeout has passed.
func (d *Daemon) maintainMembership() {
	for d.ctx.Err() == nil {
		select {
		case <-d.ctx.Done():
			return
		case <-time.After(joinRetryInterval):
		}
		if d.inGroup.Load() || !d.settings.Join && time.Since(d.startedAt) < firstLeaderTimeout {
			continue
		}
		d.requestJoin()
	}
}

func (d *Daemon) requestJoin() {
	ctx, cancel := context.WithTimeout(d.ctx, askTryTimeout)
	defer cancel()
	answer, err := d.AskLeader(ctx, tbcontrol.JoinRequested{Replica: d.settings.ReplicaID, Address: d.settings.PeerAddress})
	switch {
	case err != nil:
		d.counters.add("group.joinUnanswered")
	case answer.Code == tbcontrol.Removed:
		d.log.Error("replica was removed from the control group", "replica", uint64(d.settings.ReplicaID))
		d.fail(errRemoved)
	}
}

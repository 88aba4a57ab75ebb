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

// Timing of joining the control group.
const (
	joinRetryInterval = 300 * time.Millisecond
	// firstLeaderTimeout is how long after its start a founder waits for a first leader before it
	// asks whether it is still a member.
	firstLeaderTimeout = 4 * time.Second
)

// minRandomReplicaID is above the ids that the founders of a group get.
const minRandomReplicaID = 1 << 32

// loadIdentity sets the replica id in a group that forms itself from its seeds; the id is chosen
// once for each disk.
//
// Founders are the seeds, if Group.FirstStart says that the whole system starts for the first
// time; their ids follow from the order of their addresses, so that all of them start with the
// same group. Any other instance with an empty disk gets a new id and joins: it may have been a
// member before and have lost its votes and the entries that it acknowledged.
func (d *Daemon) loadIdentity(folder *tbstore.Folder) error {
	id, found, err := folder.ReadIdentity()
	if err != nil {
		return merry.Prepend(err, "cannot read the replica's identity")
	}
	if !found {
		id = d.newIdentity()
		if err := folder.WriteIdentity(id); err != nil {
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

// errRemoved stops a daemon whose replica was removed from the group, such as one that was
// unreachable for long.
var errRemoved = merry.New("this replica was removed from the control group; its data folder is cleared so that it can join as a new replica")

// maintainMembership requests to join the group while this replica has no leader or is no member;
// a founder does so only after firstLeaderTimeout.
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

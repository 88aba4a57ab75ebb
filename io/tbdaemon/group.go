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

// Times of joining the control group.
const (
	joinPause = 300 * time.Millisecond
	// leaderSilence is how long a member waits for a leader before it asks whether it is still one.
	leaderSilence = 4 * time.Second
)

// firstRandomReplica is above the ids that the founders of a group get.
const firstRandomReplica = 1 << 32

// identify chooses the replica id of a group that forms itself, once for each disk.
//
// Founders are the seeds of the first start; their ids follow from the order of their
// addresses, so that all of them see the same group. Any other empty disk gets a new
// id and joins: it may have been part of the group before and lost what it promised.
func (d *Daemon) identify(folder *tbstore.Folder) error {
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
	d.members.Store(d.settings.Control)
	return nil
}

func (d *Daemon) newIdentity() tbstore.Identity {
	founders := slices.Sorted(slices.Values(d.settings.Group.Seeds))
	if i := slices.Index(founders, d.settings.PeerAddress); i >= 0 && d.settings.Group.FirstStart {
		return tbstore.Identity{Replica: uint64(i + 1), Founders: founders}
	}
	return tbstore.Identity{Replica: firstRandomReplica + rand.Uint64()>>2}
}

// errRemoved ends a process whose replica was replaced while it was away.
var errRemoved = merry.New("this replica was removed from the control group; its folder is emptied for a new one")

// keepJoined asks for a place in the group until this replica has one and hears a leader.
func (d *Daemon) keepJoined() {
	for d.ctx.Err() == nil {
		select {
		case <-d.ctx.Done():
			return
		case <-time.After(joinPause):
		}
		if d.inGroup.Load() || !d.settings.Join && time.Since(d.startedAt) < leaderSilence {
			continue
		}
		d.askToJoin()
	}
}

func (d *Daemon) askToJoin() {
	ctx, cancel := context.WithTimeout(d.ctx, askTryWithin)
	defer cancel()
	answer, err := d.Ask(ctx, tbcontrol.JoinRequested{Replica: d.settings.ReplicaID, Address: d.settings.PeerAddress})
	switch {
	case err != nil:
		d.counters.add("group.joinUnanswered")
	case answer.Code == tbcontrol.Removed:
		d.log.Error("replica was removed from the control group", "replica", uint64(d.settings.ReplicaID))
		d.fail(errRemoved)
	}
}

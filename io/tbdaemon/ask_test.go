package tbdaemon

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/io/tbcodec"
	pb "tamarackbarrow/io/tbproto/v1"
	"tamarackbarrow/io/tbsettings"
)

// A leader loses its disk and comes back while the others still name it as the leader.
// It has to go on to other addresses, or it never joins again.
func TestInstanceDoesNotAskItselfForever(t *testing.T) {
	settings := tbsettings.Settings{
		ID: "a", PeerAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:2", DataFolder: filepath.Join(t.TempDir(), "data"),
		Group: &tbsettings.Group{Seeds: []string{"127.0.0.1:1", "127.0.0.1:3"}, Tolerance: 1},
		Times: tbsettings.Times{ElectionTimeout: time.Second, Heartbeat: 100 * time.Millisecond},
	}
	d, err := New(settings, hclog.NewNullLogger(), hclog.NewNullLogger())
	qt.Assert(t, err, qt.IsNil)
	defer d.folder.Close()
	d.directory.learn(settings.PeerAddress, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err = d.Ask(ctx, tbcontrol.ConfigRequested{})
	qt.Check(t, err, qt.Equals, ErrNotAsked)
	qt.Check(t, d.LeaderAddress(), qt.Equals, "")
}

// A leader takes in a replica whose question for a place got no answer. The replica has
// to reach the leader nevertheless, and to go on asking until it knows of its place
// (kollaalert inc-9df0: the group was incomplete for 15 s, tunnelcover-ja hunt-7fea-39:
// for a whole day).
func TestReplicaWithoutAnAnswerReachesTheLeaderThatTookItIn(t *testing.T) {
	settings := tbsettings.Settings{
		ID: "a", PeerAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:2", DataFolder: filepath.Join(t.TempDir(), "data"),
		Group: &tbsettings.Group{Seeds: []string{"127.0.0.1:3"}, Tolerance: 1},
		Times: tbsettings.Times{ElectionTimeout: time.Second, Heartbeat: 100 * time.Millisecond},
	}
	d, err := New(settings, hclog.NewNullLogger(), hclog.NewNullLogger())
	qt.Assert(t, err, qt.IsNil)
	defer d.folder.Close()
	heartbeat := tbconsensus.Message{Kind: tbconsensus.MsgHeartbeat, From: 7, To: d.settings.ReplicaID, Term: 1, Round: 1}
	h := &peerHandler{d: d}
	_, err = h.Deliver(context.Background(), &pb.DeliverRequest{
		Messages: []*pb.ConsensusMessage{tbcodec.MessageToWire(heartbeat)}, FromAddress: "127.0.0.1:9",
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, d.addressOf(7), qt.Equals, "127.0.0.1:9")
	d.take(<-d.events)
	d.publish(d.clock.Now())
	qt.Assert(t, d.node.Control.Replica().LeaderID(), qt.Equals, tbconsensus.ReplicaID(7))
	qt.Check(t, d.inGroup.Load(), qt.IsFalse)
}

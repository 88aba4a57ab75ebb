package test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	"tamarackbarrow/io/tblaunch"
	pb "tamarackbarrow/io/tbproto/v1"
	"tamarackbarrow/io/tbproto/v1/tbprotov1connect"
)

const testBundle = `version = %d

[[jobKinds]]
name = "plan"
processors = 1
memoryMB = 100
rank = %d
expectedRunTime = "1s"

[[teams]]
name = "team"
processors = 10
memoryMB = 1000
`

func bundle(version, rank int) []byte { return fmt.Appendf(nil, testBundle, version, rank) }

// startCluster starts a cluster of instances with three control replicas. It returns when bundle
// version 1 is active and all instances are ready. policies holds lines for the [policies] section of
// the settings. If proxied is true, tests can disturb the network between the instances.
func startCluster(t *testing.T, instances int, policies string, proxied bool) (*tblaunch.Cluster, context.Context) {
	ctx := testContext(t)
	c, err := tblaunch.New(tblaunch.Options{
		Binary: programPath("tamarackbarrow"), Folder: t.TempDir(), Instances: instances, ControlReplicas: 3, Policies: policies, Proxied: proxied,
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(c.Close)
	qt.Assert(t, c.StartAll(), qt.IsNil)
	qt.Assert(t, c.RollOutBundle(ctx, bundle(1, 1), 1), qt.IsNil)
	qt.Assert(t, c.WaitReady(ctx, c.Instances...), qt.IsNil)
	return c, ctx
}

func jobClient(in *tblaunch.Instance) tbprotov1connect.JobServiceClient {
	return tbprotov1connect.NewJobServiceClient(http.DefaultClient, "http://"+in.CallerAddress)
}

// submitUntilAccepted submits a job repeatedly until a submission is answered or ctx is done. It
// returns an error if the answer refuses the job or no submission was answered.
func submitUntilAccepted(ctx context.Context, in *tblaunch.Instance, id string) error {
	for {
		answer, err := jobClient(in).Submit(ctx, connect.NewRequest(&pb.SubmitRequest{Jobs: []*pb.JobSpec{{Id: id, Kind: "plan", Team: "team"}}}))
		if err == nil {
			if reason := answer.Msg.GetResults()[0].GetReason(); reason != "" {
				return fmt.Errorf("job %s: %s", id, reason)
			}
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
	}
}

func submitMany(t *testing.T, ctx context.Context, in *tblaunch.Instance, label string, n int) []string {
	var ids []string
	for i := range n {
		id := fmt.Sprintf("%s-%d", label, i)
		qt.Assert(t, submitUntilAccepted(ctx, in, id), qt.IsNil)
		ids = append(ids, id)
	}
	return ids
}

func checkQueued(t *testing.T, ctx context.Context, in *tblaunch.Instance, ids []string) {
	answer, err := jobClient(in).Status(ctx, connect.NewRequest(&pb.JobStatusRequest{Ids: ids}))
	qt.Assert(t, err, qt.IsNil)
	for _, j := range answer.Msg.GetJobs() {
		qt.Check(t, j.GetPhase(), qt.Equals, "queued", qt.Commentf("job %s", j.GetId()))
	}
}

func TestConcurrentSignOffsAcceptOneContentPerVersion(t *testing.T) {
	c, ctx := startCluster(t, 3, "", false)
	var wg sync.WaitGroup
	results := make([]*pb.SignOffResponse, 6)
	for i := range results {
		wg.Add(1)
		go func() {
			defer wg.Done()
			// Each bundle is sent twice, as by two operators or by a client that retries after a
			// lost answer.
			request := connect.NewRequest(&pb.SignOffRequest{Source: bundle(2, 1+i/2)})
			answer, err := c.Instances[i%3].Operator().SignOff(ctx, request)
			if err == nil {
				results[i] = answer.Msg
			}
		}()
	}
	wg.Wait()
	accepted := map[string]bool{}
	for _, r := range results {
		qt.Assert(t, r, qt.IsNotNil)
		if r.GetResult().GetReason() == "" {
			accepted[r.GetDigest()] = true
		}
	}
	qt.Assert(t, accepted, qt.HasLen, 1)
	for _, r := range results {
		if accepted[r.GetDigest()] {
			qt.Check(t, r.GetResult().GetReason(), qt.Equals, "")
			continue
		}
		qt.Check(t, r.GetResult().GetReason(), qt.Equals, "versionTaken")
		qt.Check(t, strings.Contains(r.GetResult().GetDetail(), r.GetDigest()), qt.IsTrue)
	}
}

func TestLowerVersionsAreRefused(t *testing.T) {
	c, ctx := startCluster(t, 3, "", false)
	qt.Assert(t, c.RollOutBundle(ctx, bundle(5, 1), 5), qt.IsNil)
	answer, err := c.Instances[1].Operator().RollOut(ctx, connect.NewRequest(&pb.RollOutRequest{Version: 1}))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, answer.Msg.GetResult().GetReason(), qt.Equals, "versionLower")
	signed, err := c.Instances[2].Operator().SignOff(ctx, connect.NewRequest(&pb.SignOffRequest{Source: bundle(4, 1)}))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, signed.Msg.GetResult().GetReason(), qt.Equals, "versionLower")
}

func TestJobsSurviveRestartsOfAllInstances(t *testing.T) {
	c, ctx := startCluster(t, 4, "snapshotEvery = 100", false)
	ids := submitMany(t, ctx, c.Instances[3], "before", 350)
	for range 2 {
		for _, in := range c.Instances {
			qt.Assert(t, in.Kill(), qt.IsNil)
		}
		qt.Assert(t, c.StartAll(), qt.IsNil)
		qt.Assert(t, c.WaitReady(ctx, c.Instances...), qt.IsNil)
		checkQueued(t, ctx, c.Instances[3], ids)
		ids = append(ids, submitMany(t, ctx, c.Instances[3], fmt.Sprint("after", len(ids)), 50)...)
	}
	st, err := c.Instances[0].Operator().Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, st.Msg.GetBundles()[0].GetInForce(), qt.IsTrue)
}

func TestJobsSurviveInstanceLossRightAfterReplacement(t *testing.T) {
	c, ctx := startCluster(t, 4, "snapshotEvery = 50", false)
	ids := submitMany(t, ctx, c.Instances[3], "job", 120)
	// The third instance is killed and restarted as replica 4, which replaces replica 3.
	qt.Assert(t, c.Instances[2].Kill(), qt.IsNil)
	qt.Assert(t, c.AssignReplica(2, 4), qt.IsNil)
	qt.Assert(t, c.Instances[2].Start(), qt.IsNil)
	serverFlag := "--server=" + c.Instances[3].CallerAddress
	runTool(t, 0, serverFlag, "member", "replace", "3", "4", c.Instances[2].PeerAddress)
	// Right after the replacement, the first instance is killed too.
	qt.Assert(t, c.Instances[0].Kill(), qt.IsNil)
	qt.Assert(t, submitUntilAccepted(ctx, c.Instances[3], "after the second loss"), qt.IsNil)
	checkQueued(t, ctx, c.Instances[3], ids)
	out := runTool(t, 1, serverFlag, "member", "add", "3", "127.0.0.1:1")
	qt.Check(t, out, qt.Contains, "replicaIdUsedBefore")
}

func TestIsolatedFollowerRejoinsWithoutElection(t *testing.T) {
	c, ctx := startCluster(t, 5, "", true)
	before := groupStatus(t, ctx, c.Instances[3])
	follower := c.Instances[0]
	if before.GetLeader() == follower.ReplicaID {
		follower = c.Instances[1]
	}
	setPartition(c, follower, true)
	ids := submitMany(t, ctx, c.Instances[3], "while partitioned", 30)
	waitUntil(t, ctx, func() bool { ready, _ := follower.Ready(ctx); return !ready })
	setPartition(c, follower, false)
	waitUntil(t, ctx, func() bool { ready, _ := follower.Ready(ctx); return ready })
	checkQueued(t, ctx, follower, ids)
	qt.Check(t, groupStatus(t, ctx, c.Instances[3]).GetTerm(), qt.Equals, before.GetTerm())
}

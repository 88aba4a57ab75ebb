package tbscenario

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	pb "tamarackbarrow/io/tbproto/v1"
	"tamarackbarrow/io/tbproto/v1/tbprotov1connect"
	"tamarackbarrow/io/tbproxy"
	"tamarackbarrow/io/tbstandin"
)

// demoBundleAtVersion returns the bundle of the demo scenario with the given version number.
func demoBundleAtVersion(version int) []byte {
	return []byte(strings.Replace(demoBundle, "version = 1", fmt.Sprintf("version = %d", version), 1))
}

// controlShape returns the deployment of the scenarios that measure the control group.
func controlShape(name string) Shape {
	return Shape{
		Name: name, Instances: loadInstances, ControlReplicas: loadControlReplicas, Runners: 8, Slots: loadSlots, Workers: 2,
		Bundle: demoBundle, ServiceTime: logNormal(20*time.Millisecond, 0.5), Proxied: true,
	}
}

const (
	rollOutCount             = 8
	activationLimitSeconds   = 5.0
	partitionedInstanceIndex = 1
	killedInstanceIndex      = 6
	partitionAtVersion       = 4
	killAtVersion            = 6
	confirmPollInterval      = 20 * time.Millisecond
)

// runRollout measures the time from the acceptance of a bundle version until every entry that holds a
// lease has confirmed the version. One entry is partitioned during some roll-outs. Another entry is
// killed before a later roll-out.
func runRollout(ctx context.Context, env Env, r *Report) error {
	d, err := deploy(ctx, env, controlShape("rollout"))
	if err != nil {
		return err
	}
	defer d.Close()
	stopWatching := d.watchVersionDecreases(ctx)
	var allSeconds []float64
	for version := 2; version < 2+rollOutCount; version++ {
		switch version {
		case partitionAtVersion:
			d.setPartitioned(partitionedInstanceIndex, true)
		case killAtVersion:
			d.setPartitioned(partitionedInstanceIndex, false)
			if err := d.Cluster.Instances[killedInstanceIndex].Kill(); err != nil {
				return err
			}
		}
		seconds, err := d.measureRollOut(ctx, version)
		if err != nil {
			return fmt.Errorf("version %d: %w", version, err)
		}
		r.AtMost(fmt.Sprintf("version %d in force on every live entry after", version), seconds, activationLimitSeconds, "s")
		allSeconds = append(allSeconds, seconds)
	}
	slices.Sort(allSeconds)
	r.Add("median", allSeconds[len(allSeconds)/2], "s")
	r.AtMost("entries seen with a lower version than before", float64(stopWatching()), 0, "")
	r.Note("entry %d was partitioned from version %d to %d, entry %d killed at version %d",
		partitionedInstanceIndex+1, partitionAtVersion, killAtVersion-1, killedInstanceIndex+1, killAtVersion)
	return nil
}

// setPartitioned starts or ends a network partition between instance i and all others, in both
// directions. The start of a partition closes no connection.
func (d *Deployment) setPartitioned(i int, partitioned bool) {
	isolatedInstance := d.Cluster.Instances[i]
	fault := tbproxy.Fault{DropAll: partitioned}
	for j, in := range d.Cluster.Instances {
		if j != i {
			isolatedInstance.Proxy.SetFault(in.SourceIP, fault)
			in.Proxy.SetFault(isolatedInstance.SourceIP, fault)
		}
	}
	if !partitioned {
		// Bytes were lost during the partition, so the open streams are unusable.
		isolatedInstance.Proxy.CloseConnections(tbproxy.AnySource)
		for _, in := range d.Cluster.Instances {
			in.Proxy.CloseConnections(isolatedInstance.SourceIP)
		}
	}
}

// measureRollOut rolls out a version and returns the seconds from its acceptance until no entry takes
// calls under an older version.
func (d *Deployment) measureRollOut(ctx context.Context, version int) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	if err := d.Cluster.RollOutBundle(ctx, demoBundleAtVersion(version), uint64(version)); err != nil {
		return 0, err
	}
	acceptedAt := time.Now()
	for {
		if d.allConfirmed(ctx, uint64(version)) {
			return time.Since(acceptedAt).Seconds(), nil
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(confirmPollInterval):
		}
	}
}

// allConfirmed reports whether every entry that holds a lease has confirmed version. Entries without
// a lease are ignored because they take no calls. The result is false if the status is unavailable or
// lists no entry.
func (d *Deployment) allConfirmed(ctx context.Context, version uint64) bool {
	st, err := d.Status(ctx)
	if err != nil || len(st.GetEntries()) == 0 {
		return false
	}
	for _, e := range st.GetEntries() {
		if e.GetLeaseLeftMs() > 0 && e.GetConfirmedVersion() < version {
			return false
		}
	}
	return true
}

// watchVersionDecreases starts to count how often the confirmed version of an entry decreases. The
// returned function stops the counting and returns the count.
func (d *Deployment) watchVersionDecreases(ctx context.Context) func() int {
	ctx, cancel := context.WithCancel(ctx)
	highestByAddress := map[string]uint64{}
	decreaseCount := 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			if st, err := d.Status(ctx); err == nil {
				for _, e := range st.GetEntries() {
					// Version 0 means that a new leader does not know yet which version the entry confirmed.
					if v := e.GetConfirmedVersion(); v > 0 && v < highestByAddress[e.GetAddress()] {
						decreaseCount++
					}
					highestByAddress[e.GetAddress()] = max(highestByAddress[e.GetAddress()], e.GetConfirmedVersion())
				}
			}
			time.Sleep(confirmPollInterval)
		}
	}()
	return func() int {
		cancel()
		<-done
		return decreaseCount
	}
}

const (
	failoverCount           = 10
	firstCommitLimitSeconds = 3.0
	failoverWriterCount     = 8
)

// runFailover repeatedly kills the leader while jobs are submitted and calls are sent.
func runFailover(ctx context.Context, env Env, r *Report) error {
	d, err := deploy(ctx, env, controlShape("failover"))
	if err != nil {
		return err
	}
	defer d.Close()
	// Only instances with a control replica are killed. Writers and callers use the other instances.
	address := d.Cluster.Instances[loadControlReplicas].CallerAddress
	w := startWriters(ctx, address, failoverWriterCount)
	// The load of calls lasts eight seconds for each kill.
	calls := d.startBackgroundCalls(ctx, env.Seed, 100*time.Duration(failoverCount)*80*time.Millisecond)
	var allSeconds []float64
	for range failoverCount {
		seconds, err := d.killAndRestartLeader(ctx, address)
		if err != nil {
			return err
		}
		allSeconds = append(allSeconds, seconds)
	}
	acknowledgedIDs := w.stop()
	lostCount, err := d.countLostJobs(ctx, address, acknowledgedIDs)
	if err != nil {
		return err
	}
	slices.Sort(allSeconds)
	r.Add("leaders killed", failoverCount, "")
	r.Add("acknowledged changes", float64(len(acknowledgedIDs)), "")
	r.AtMost("acknowledged changes lost", float64(lostCount), 0, "")
	r.Add("first commit after a kill, median", allSeconds[len(allSeconds)/2], "s")
	r.AtMost("first commit after a kill, maximum", allSeconds[len(allSeconds)-1], firstCommitLimitSeconds, "s")
	s := summarise(<-calls, serviceTarget, 0, time.Hour)
	r.Add("calls without control state", float64(s.sentCount), "")
	r.AtLeast("calls without control state answered on time", float64(s.onTimeCount)/float64(s.sentCount), 0.99, "")
	d.reportViolations(r, "")
	return nil
}

// startBackgroundCalls sends idempotent calls to the entries without a control replica.
func (d *Deployment) startBackgroundCalls(ctx context.Context, seed uint64, duration time.Duration) <-chan []outcome {
	rng := rand.New(rand.NewPCG(seed, 8))
	withoutControl := d.Addresses()[loadControlReplicas:]
	arrivals := drawPoissonArrivals(rng, []loadPhase{{duration: duration, rate: 100}}, pickUniformly(withoutControl), "background")
	done := make(chan []outcome, 1)
	go func() { done <- sendLoad(ctx, d.Caller, arrivals) }()
	return done
}

// killAndRestartLeader kills the leader's process and restarts it after the next commit. It returns
// the seconds from the kill to that commit.
func (d *Deployment) killAndRestartLeader(ctx context.Context, address string) (float64, error) {
	leader, err := d.waitForLeader(ctx)
	if err != nil {
		return 0, err
	}
	in := d.Cluster.Instances[leader-1]
	if err := in.Kill(); err != nil {
		return 0, err
	}
	killedAt := time.Now()
	if err := commitProbeJob(ctx, address); err != nil {
		return 0, err
	}
	seconds := time.Since(killedAt).Seconds()
	if err := in.Start(); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return seconds, d.Cluster.WaitReady(ctx, in)
}

// waitForLeader waits until a leader is known and returns its replica id.
func (d *Deployment) waitForLeader(ctx context.Context) (uint64, error) {
	for {
		st, err := d.Status(ctx)
		if err == nil && st.GetLeader() > 0 {
			return st.GetLeader(), nil
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(statusPollInterval):
		}
	}
}

var lastProbeNumber atomic.Uint64

// commitProbeJob submits a probe job and retries after errors. It returns once the system has
// answered, even if the answer is a refusal.
func commitProbeJob(ctx context.Context, address string) error {
	id := fmt.Sprintf("probe-%d", lastProbeNumber.Add(1))
	for {
		if _, err := submitProbeJob(ctx, address, id); err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// submitProbeJob submits a job of 1 ms and reports whether the job was accepted. An accepted job is
// committed.
func submitProbeJob(ctx context.Context, address, id string) (bool, error) {
	client := tbprotov1connect.NewJobServiceClient(http.DefaultClient, "http://"+address)
	resp, err := client.Submit(ctx, connect.NewRequest(&pb.SubmitRequest{Jobs: []*pb.JobSpec{{
		Id: id, Kind: "cuttingPlan", Team: "planning", Payload: tbstandin.JobPayload{RunMs: 1}.Encode(),
	}}}))
	if err != nil {
		return false, err
	}
	return resp.Msg.GetResults()[0].GetReason() == "", nil
}

// writers are goroutines that submit probe jobs one after another until they are stopped.
type writers struct {
	cancel          context.CancelFunc
	wg              sync.WaitGroup
	mu              sync.Mutex
	acknowledgedIDs []string
}

func startWriters(ctx context.Context, address string, n int) *writers {
	ctx, cancel := context.WithCancel(ctx)
	w := &writers{cancel: cancel}
	for i := range n {
		w.wg.Add(1)
		go func() {
			defer w.wg.Done()
			for k := 0; ctx.Err() == nil; k++ {
				id := fmt.Sprintf("write-%d-%d", i, k)
				if ok, err := submitProbeJob(ctx, address, id); err != nil || !ok {
					continue
				}
				w.mu.Lock()
				w.acknowledgedIDs = append(w.acknowledgedIDs, id)
				w.mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		}()
	}
	return w
}

// stop stops the writers and returns the ids of all acknowledged jobs.
func (w *writers) stop() []string {
	w.cancel()
	w.wg.Wait()
	return w.acknowledgedIDs
}

const statusBatchSize = 500

// countLostJobs returns how many of the given ids are unknown to the system.
func (d *Deployment) countLostJobs(ctx context.Context, address string, ids []string) (int, error) {
	client := tbprotov1connect.NewJobServiceClient(http.DefaultClient, "http://"+address)
	lostCount := 0
	for batch := range slices.Chunk(ids, statusBatchSize) {
		resp, err := client.Status(ctx, connect.NewRequest(&pb.JobStatusRequest{Ids: batch}))
		if err != nil {
			return 0, err
		}
		for _, j := range resp.Msg.GetJobs() {
			if j.GetPhase() == "unknown" {
				lostCount++
			}
		}
	}
	return lostCount, nil
}

const commitsMeasureTime = 3 * time.Second

// runCommits measures committed changes per second with and without group commit.
func runCommits(ctx context.Context, env Env, r *Report) error {
	ratesByVariant := map[string]map[int]float64{}
	for _, variant := range []struct{ name, policies string }{{"grouped", ""}, {"one change an entry", "batchCommits = false"}} {
		shape := controlShape("commits")
		shape.Policies, shape.Runners, shape.Workers, shape.Proxied = variant.policies, 0, 0, false
		d, err := deploy(ctx, env, shape)
		if err != nil {
			return err
		}
		ratesByVariant[variant.name] = map[int]float64{}
		for _, n := range []int{1, 10, 100} {
			rate, syncs := d.measureCommits(ctx, n)
			ratesByVariant[variant.name][n] = rate
			r.Add(fmt.Sprintf("%s, %d writers: changes a second", variant.name, n), rate, "")
			r.Add(fmt.Sprintf("%s, %d writers: syncs of the leader's disk for each change", variant.name, n), syncs, "")
		}
		d.Close()
	}
	for _, n := range []int{1, 10, 100} {
		r.Add(fmt.Sprintf("%d writers: grouped against one change an entry", n), ratesByVariant["grouped"][n]/ratesByVariant["one change an entry"][n], "")
	}
	return nil
}

// measureCommits returns the changes that n concurrent writers commit per second, and the leader's
// disk syncs per change. Each change is the submission of one job.
func (d *Deployment) measureCommits(ctx context.Context, n int) (rate, syncsPerChange float64) {
	address := d.Cluster.Instances[loadControlReplicas].CallerAddress
	before := d.readLeaderSyncCount(ctx)
	ctx, cancel := context.WithTimeout(ctx, commitsMeasureTime)
	defer cancel()
	var committedCount atomic.Int64
	var wg sync.WaitGroup
	seriesNumber := lastProbeNumber.Add(1)
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for k := 0; ctx.Err() == nil; k++ {
				if ok, err := submitProbeJob(ctx, address, fmt.Sprintf("commit-%d-%d-%d", seriesNumber, i, k)); err == nil && ok {
					committedCount.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	changes := float64(committedCount.Load())
	syncs := d.readLeaderSyncCount(context.Background()) - before
	return changes / commitsMeasureTime.Seconds(), syncs / math.Max(1, changes)
}

// readLeaderSyncCount returns the number of disk syncs of the leader, or 0 if the number cannot be read.
func (d *Deployment) readLeaderSyncCount(ctx context.Context) float64 {
	leader, err := d.waitForLeader(ctx)
	if err != nil {
		return 0
	}
	resp, err := d.Cluster.Instances[leader-1].Operator().Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
	if err != nil {
		return 0
	}
	for _, c := range resp.Msg.GetReasons() {
		if c.GetReason() == "storage.syncs" {
			return float64(c.GetCount())
		}
	}
	return 0
}

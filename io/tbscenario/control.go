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

// bundleVersion returns the demonstration bundle under another version number.
func bundleVersion(version int) []byte {
	return []byte(strings.Replace(demoBundle, "version = 1", fmt.Sprintf("version = %d", version), 1))
}

func controlShape(name string) Shape {
	return Shape{
		Name: name, Entries: loadEntries, Controls: loadControls, Runners: 8, Slots: loadSlots, Workers: 2,
		Bundle: demoBundle, ServiceTime: logNormal(20*time.Millisecond, 0.5), Proxied: true,
	}
}

const (
	rollOuts         = 8
	inForceWithin    = 5.0
	rollOutCutOff    = 1
	rollOutKilled    = 6
	rollOutCutVer    = 4
	rollOutKillVer   = 6
	rollOutPollEvery = 20 * time.Millisecond
)

// runRollout measures the time from acceptance until every live entry confirmed a version.
func runRollout(ctx context.Context, env Env, r *Report) error {
	d, err := deploy(ctx, env, controlShape("rollout"))
	if err != nil {
		return err
	}
	defer d.Close()
	watcher := d.watchVersions(ctx)
	var times []float64
	for version := 2; version < 2+rollOuts; version++ {
		switch version {
		case rollOutCutVer:
			d.cutOff(rollOutCutOff, true)
		case rollOutKillVer:
			d.cutOff(rollOutCutOff, false)
			if err := d.Cluster.Instances[rollOutKilled].Kill(); err != nil {
				return err
			}
		}
		took, err := d.measureRollOut(ctx, version)
		if err != nil {
			return fmt.Errorf("version %d: %w", version, err)
		}
		r.AtMost(fmt.Sprintf("version %d in force on every live entry after", version), took, inForceWithin, "s")
		times = append(times, took)
	}
	slices.Sort(times)
	r.Add("median", times[len(times)/2], "s")
	r.AtMost("entries seen with a lower version than before", float64(watcher()), 0, "")
	r.Note("entry %d was cut off from version %d to %d, entry %d killed at version %d",
		rollOutCutOff+1, rollOutCutVer, rollOutKillVer-1, rollOutKilled+1, rollOutKillVer)
	return nil
}

// cutOff parts an instance from all others, in both directions, without closing a connection.
func (d *Deployment) cutOff(i int, on bool) {
	cut := d.Cluster.Instances[i]
	fault := tbproxy.Fault{Silent: on}
	for j, in := range d.Cluster.Instances {
		if j != i {
			cut.Proxy.Set(in.SourceIP, fault)
			in.Proxy.Set(cut.SourceIP, fault)
		}
	}
	if !on {
		// What was lost on the way leaves streams with holes.
		cut.Proxy.Cut(tbproxy.AnySource)
		for _, in := range d.Cluster.Instances {
			in.Proxy.Cut(cut.SourceIP)
		}
	}
}

// measureRollOut returns the seconds until no entry takes calls under an older version.
func (d *Deployment) measureRollOut(ctx context.Context, version int) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	if err := d.Cluster.PutInForce(ctx, bundleVersion(version), uint64(version)); err != nil {
		return 0, err
	}
	accepted := time.Now()
	for {
		if d.allConfirmed(ctx, uint64(version)) {
			return time.Since(accepted).Seconds(), nil
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(rollOutPollEvery):
		}
	}
}

// allConfirmed asks the leader; an entry without a lease takes no calls and does not count.
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

// watchVersions notes entries whose confirmed version goes down; the returned function ends it.
func (d *Deployment) watchVersions(ctx context.Context) func() int {
	ctx, cancel := context.WithCancel(ctx)
	seen := map[string]uint64{}
	lower := 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			if st, err := d.Status(ctx); err == nil {
				for _, e := range st.GetEntries() {
					// A new leader does not know yet what an entry confirmed.
					if v := e.GetConfirmedVersion(); v > 0 && v < seen[e.GetAddress()] {
						lower++
					}
					seen[e.GetAddress()] = max(seen[e.GetAddress()], e.GetConfirmedVersion())
				}
			}
			time.Sleep(rollOutPollEvery)
		}
	}()
	return func() int {
		cancel()
		<-done
		return lower
	}
}

const (
	failovers        = 10
	commitBackWithin = 3.0
	failoverWriters  = 8
)

// runFailover kills the leader again and again while changes and calls go on.
func runFailover(ctx context.Context, env Env, r *Report) error {
	d, err := deploy(ctx, env, controlShape("failover"))
	if err != nil {
		return err
	}
	defer d.Close()
	// The writer and the callers use plain entries, which are not killed.
	entry := d.Cluster.Instances[loadControls].CallerAddress
	w := startWriters(ctx, entry, failoverWriters)
	calls := d.callsInBackground(ctx, env.Seed, 100*time.Duration(failovers)*80*time.Millisecond)
	var times []float64
	for range failovers {
		took, err := d.killLeader(ctx, entry)
		if err != nil {
			return err
		}
		times = append(times, took)
	}
	acknowledged := w.stop()
	lost, err := d.countLost(ctx, entry, acknowledged)
	if err != nil {
		return err
	}
	slices.Sort(times)
	r.Add("leaders killed", failovers, "")
	r.Add("acknowledged changes", float64(len(acknowledged)), "")
	r.AtMost("acknowledged changes lost", float64(lost), 0, "")
	r.Add("first commit after a kill, median", times[len(times)/2], "s")
	r.AtMost("first commit after a kill, maximum", times[len(times)-1], commitBackWithin, "s")
	s := summarise(<-calls, serviceTarget, 0, time.Hour)
	r.Add("calls without control state", float64(s.sent), "")
	r.AtLeast("calls without control state answered on time", float64(s.onTime)/float64(s.sent), 0.99, "")
	d.reportViolations(r, "")
	return nil
}

// callsInBackground sends idempotent calls to plain entries.
func (d *Deployment) callsInBackground(ctx context.Context, seed uint64, length time.Duration) <-chan []outcome {
	rng := rand.New(rand.NewPCG(seed, 8))
	plain := d.Addresses()[loadControls:]
	arrivals := poisson(rng, []phase{{length: length, rate: 100}}, evenly(plain), "background")
	done := make(chan []outcome, 1)
	go func() { done <- runLoad(ctx, d.Caller, arrivals) }()
	return done
}

// killLeader kills the leading process, measures the first commit after it and starts the process again.
func (d *Deployment) killLeader(ctx context.Context, entry string) (float64, error) {
	leader, err := d.leader(ctx)
	if err != nil {
		return 0, err
	}
	in := d.Cluster.Instances[leader-1]
	if err := in.Kill(); err != nil {
		return 0, err
	}
	killed := time.Now()
	if err := commitOnce(ctx, entry); err != nil {
		return 0, err
	}
	took := time.Since(killed).Seconds()
	if err := in.Start(); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	return took, d.Cluster.WaitReady(ctx, in)
}

func (d *Deployment) leader(ctx context.Context) (uint64, error) {
	for {
		st, err := d.Status(ctx)
		if err == nil && st.GetLeader() > 0 {
			return st.GetLeader(), nil
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(statusPoll):
		}
	}
}

var probeNumber atomic.Uint64

// commitOnce submits a job nobody can run and returns when that is committed.
func commitOnce(ctx context.Context, entry string) error {
	id := fmt.Sprintf("probe-%d", probeNumber.Add(1))
	for {
		if _, err := submitParked(ctx, entry, id); err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// submitParked adds a job of a team without room, which stays queued.
func submitParked(ctx context.Context, entry, id string) (bool, error) {
	client := tbprotov1connect.NewJobServiceClient(http.DefaultClient, "http://"+entry)
	answer, err := client.Submit(ctx, connect.NewRequest(&pb.SubmitRequest{Jobs: []*pb.JobSpec{{
		Id: id, Kind: "cuttingPlan", Team: "planning", Payload: tbstandin.JobPayload{RunMs: 1}.Encode(),
	}}}))
	if err != nil {
		return false, err
	}
	return answer.Msg.GetResults()[0].GetReason() == "", nil
}

// writers submit jobs one after another until they are stopped.
type writers struct {
	cancel context.CancelFunc
	group  sync.WaitGroup
	mu     sync.Mutex
	ids    []string
}

func startWriters(ctx context.Context, entry string, n int) *writers {
	ctx, cancel := context.WithCancel(ctx)
	w := &writers{cancel: cancel}
	for i := range n {
		w.group.Add(1)
		go func() {
			defer w.group.Done()
			for k := 0; ctx.Err() == nil; k++ {
				id := fmt.Sprintf("write-%d-%d", i, k)
				if ok, err := submitParked(ctx, entry, id); err != nil || !ok {
					continue
				}
				w.mu.Lock()
				w.ids = append(w.ids, id)
				w.mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		}()
	}
	return w
}

// stop ends the writers and returns the ids of all acknowledged jobs.
func (w *writers) stop() []string {
	w.cancel()
	w.group.Wait()
	return w.ids
}

const statusBatch = 500

func (d *Deployment) countLost(ctx context.Context, entry string, ids []string) (int, error) {
	client := tbprotov1connect.NewJobServiceClient(http.DefaultClient, "http://"+entry)
	lost := 0
	for batch := range slices.Chunk(ids, statusBatch) {
		answer, err := client.Status(ctx, connect.NewRequest(&pb.JobStatusRequest{Ids: batch}))
		if err != nil {
			return 0, err
		}
		for _, j := range answer.Msg.GetJobs() {
			if j.GetPhase() == "unknown" {
				lost++
			}
		}
	}
	return lost, nil
}

const commitsLength = 3 * time.Second

// runCommits measures committed changes a second with and without group commit.
func runCommits(ctx context.Context, env Env, r *Report) error {
	rates := map[string]map[int]float64{}
	for _, way := range []struct{ name, policies string }{{"grouped", ""}, {"one change an entry", "batchCommits = false"}} {
		shape := controlShape("commits")
		shape.Policies, shape.Runners, shape.Workers, shape.Proxied = way.policies, 0, 0, false
		d, err := deploy(ctx, env, shape)
		if err != nil {
			return err
		}
		rates[way.name] = map[int]float64{}
		for _, n := range []int{1, 10, 100} {
			rate, syncs := d.measureCommits(ctx, n)
			rates[way.name][n] = rate
			r.Add(fmt.Sprintf("%s, %d writers: changes a second", way.name, n), rate, "")
			r.Add(fmt.Sprintf("%s, %d writers: syncs of the leader's disk for each change", way.name, n), syncs, "")
		}
		d.Close()
	}
	for _, n := range []int{1, 10, 100} {
		r.Add(fmt.Sprintf("%d writers: grouped against one change an entry", n), rates["grouped"][n]/rates["one change an entry"][n], "")
	}
	return nil
}

func (d *Deployment) measureCommits(ctx context.Context, n int) (rate, syncsPerChange float64) {
	entry := d.Cluster.Instances[loadControls].CallerAddress
	before := d.syncs(ctx)
	ctx, cancel := context.WithTimeout(ctx, commitsLength)
	defer cancel()
	var done atomic.Int64
	var group sync.WaitGroup
	run := probeNumber.Add(1)
	for i := range n {
		group.Add(1)
		go func() {
			defer group.Done()
			for k := 0; ctx.Err() == nil; k++ {
				if ok, err := submitParked(ctx, entry, fmt.Sprintf("commit-%d-%d-%d", run, i, k)); err == nil && ok {
					done.Add(1)
				}
			}
		}()
	}
	group.Wait()
	changes := float64(done.Load())
	spent := d.syncs(context.Background()) - before
	return changes / commitsLength.Seconds(), spent / math.Max(1, changes)
}

// syncs returns how often the leader's disk was synced.
func (d *Deployment) syncs(ctx context.Context) float64 {
	leader, err := d.leader(ctx)
	if err != nil {
		return 0
	}
	answer, err := d.Cluster.Instances[leader-1].Operator().Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
	if err != nil {
		return 0
	}
	for _, c := range answer.Msg.GetReasons() {
		if c.GetReason() == "storage.syncs" {
			return float64(c.GetCount())
		}
	}
	return 0
}

package tbscenario

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"

	"tamarackbarrow/core/tbbundle"
	"tamarackbarrow/core/tbresource"
	"tamarackbarrow/core/tbstate"
	"tamarackbarrow/io/tbbundlefile"
	"tamarackbarrow/io/tbcodec"
	"tamarackbarrow/io/tblaunch"
	"tamarackbarrow/io/tbpeer"
	"tamarackbarrow/io/tbstandin"
)

// Parameters of the capacity measurement. One machine can host at most capacityWorkers workers.
const (
	capacityWorkers     = 1040
	tasksPerWorker      = 10
	capacityMeasureTime = 8 * time.Second
	capacitySettleTime  = 3 * time.Second
)

var sizeFractions = []float64{0.125, 0.25, 0.5, 1}

// runCapacity measures how state, traffic, processor time and memory grow with the size of the deployment.
func runCapacity(ctx context.Context, env Env, r *Report) error {
	if err := measureStateGrowth(r); err != nil {
		return err
	}
	return measureProcessGrowth(ctx, env, r)
}

// measureStateGrowth measures the cost of the replicated state for each kind of record, with an
// increasing number of records of this kind.
func measureStateGrowth(r *Report) error {
	b, err := tbbundlefile.Parse("bundle", []byte(jobBundle+strings.TrimPrefix(ordersBundle, "version = 1\n")))
	if err != nil {
		return err
	}
	recordKinds := []struct {
		name       string
		maxCount   int
		newCommand func(i int) tbstate.Command
	}{
		{"job queued", 80_000, func(i int) tbstate.Command {
			return tbstate.SubmitJob{Job: tbstate.Job{ID: fmt.Sprintf("plan-%d", i), Kind: "cuttingPlan", Team: "stock", Payload: make([]byte, 64)}}
		}},
		{"claim", 80_000, func(i int) tbstate.Command {
			return tbstate.AcquireClaim{Key: tbstate.ClaimKey{Member: "member", Service: "quotes", Key: fmt.Sprintf("order-%d", i)}, Session: "entry-1@1.1", CallID: uint64(i)}
		}},
		{"worker", 8_000, func(i int) tbstate.Command {
			return tbstate.AnnounceWorker{Worker: tbstate.Worker{ID: fmt.Sprintf("worker-%d", i), Incarnation: 1, Address: "10.10.10.10:7000", DataCentre: "north", Rack: "rack-1", Phase: tbstate.WorkerPresent}}
		}},
		{"runner", 8_000, func(i int) tbstate.Command {
			return tbstate.AnnounceRunner{Runner: tbstate.Runner{ID: fmt.Sprintf("runner-%d", i), Incarnation: 1, Address: "10.10.10.10:7000", DataCentre: "north", Service: "quotes", Slots: 8, Phase: tbstate.RunnerPresent}}
		}},
	}
	codec := tbcodec.New(parseBundle)
	for _, kind := range recordKinds {
		var sizes, snapshotBytes, heapBytes, applyMicros, logBytes []float64
		for _, fraction := range sizeFractions {
			n := int(fraction * float64(kind.maxCount))
			cost := measureStateCost(codec, n, kind.newCommand, tbstate.SignOff{Bundle: b}, tbstate.RollOut{Version: 1},
				tbstate.OpenSession{Session: tbstate.Session{Key: "entry-1@1.1", ID: "entry-1"}})
			sizes = append(sizes, float64(n))
			snapshotBytes = append(snapshotBytes, cost.snapshotBytes)
			heapBytes = append(heapBytes, cost.heapBytes)
			applyMicros = append(applyMicros, cost.applyMicros)
			logBytes = append(logBytes, cost.logBytes)
		}
		addSlope(r, "state: snapshot bytes for each "+kind.name, sizes, snapshotBytes, "B")
		addSlope(r, "state: heap bytes for each "+kind.name, sizes, heapBytes, "B")
		addSlope(r, "state: log bytes for each "+kind.name, sizes, logBytes, "B")
		addSlope(r, "state: processor time to decode and apply each "+kind.name, sizes, applyMicros, "us")
	}
	return nil
}

// stateCost is the cost of filling and keeping a state.
type stateCost struct {
	snapshotBytes float64
	heapBytes     float64
	logBytes      float64
	// applyMicros is the time to decode and apply all commands.
	applyMicros float64
}

const commandsPerBatch = 100

// measureStateCost applies the setup commands to a new state and returns the cost of n more commands.
// Only snapshotBytes includes the setup commands.
func measureStateCost(codec *tbcodec.Codec, n int, command func(i int) tbstate.Command, setup ...tbstate.Command) stateCost {
	s := tbstate.New()
	s.Apply(1, tbstate.Batch{NowMs: 1, Commands: setup})
	heapBefore := liveHeapBytes()
	var cost stateCost
	logIndex := uint64(1)
	for i := 0; i < n; i += commandsPerBatch {
		batch := tbstate.Batch{NowMs: int64(i)}
		for k := i; k < min(n, i+commandsPerBatch); k++ {
			batch.Commands = append(batch.Commands, command(k))
		}
		data := codec.EncodeBatch(batch)
		cost.logBytes += float64(len(data))
		start := time.Now()
		decoded, err := codec.DecodeBatch(data)
		if err != nil {
			panic(err)
		}
		logIndex++
		s.Apply(logIndex, decoded)
		cost.applyMicros += float64(time.Since(start).Microseconds())
	}
	cost.heapBytes = liveHeapBytes() - heapBefore
	cost.snapshotBytes = float64(len(codec.EncodeState(s)))
	runtime.KeepAlive(s)
	return cost
}

// liveHeapBytes returns the bytes of live heap objects after a garbage collection.
func liveHeapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// addSlope fits a line through the points and reports its slope.
func addSlope(r *Report, name string, x, y []float64, unit string) {
	l := fitLine(x, y)
	r.Add(name, l.slope, unit)
	r.Note("%s: intercept %.4g, largest residual %.1f %%", name, l.intercept, 100*l.maxResidual)
}

// processUsage is the resource usage of one process, either since its start or per second.
// residentBytes is the current amount in both cases.
type processUsage struct {
	processorSeconds float64
	residentBytes    float64
	sentBytes        float64
	receivedBytes    float64
}

// measureProcessGrowth measures real deployments with increasing numbers of workers and tasks.
func measureProcessGrowth(ctx context.Context, env Env, r *Report) error {
	roles := []string{"leader", "follower", "entry"}
	var sizes, announceBytesPerSecond []float64
	usagesByRole := map[string][]processUsage{}
	for _, fraction := range sizeFractions {
		n := int(fraction * capacityWorkers)
		usageByRole, bytesPerSecond, err := measureWithWorkers(ctx, env, n)
		if err != nil {
			return fmt.Errorf("%d workers: %w", n, err)
		}
		sizes = append(sizes, float64(n))
		announceBytesPerSecond = append(announceBytesPerSecond, bytesPerSecond)
		for _, role := range roles {
			usagesByRole[role] = append(usagesByRole[role], usageByRole[role])
		}
	}
	for _, role := range roles {
		valuesOf := func(value func(processUsage) float64) []float64 {
			var y []float64
			for _, u := range usagesByRole[role] {
				y = append(y, value(u))
			}
			return y
		}
		prefix := fmt.Sprintf("%s, for each worker with %d tasks: ", role, tasksPerWorker)
		addSlope(r, prefix+"processor time a second", sizes, valuesOf(func(u processUsage) float64 { return u.processorSeconds * 1e6 }), "us")
		addSlope(r, prefix+"resident memory", sizes, valuesOf(func(u processUsage) float64 { return u.residentBytes / 1024 }), "KB")
		addSlope(r, prefix+"bytes sent to peers a second", sizes, valuesOf(func(u processUsage) float64 { return u.sentBytes }), "B")
		addSlope(r, prefix+"bytes received from peers a second", sizes, valuesOf(func(u processUsage) float64 { return u.receivedBytes }), "B")
		largestUsage := usagesByRole[role][len(usagesByRole[role])-1]
		r.Add(fmt.Sprintf("%s at %d workers: processors", role, capacityWorkers), largestUsage.processorSeconds, "")
		r.Add(fmt.Sprintf("%s at %d workers: resident memory", role, capacityWorkers), largestUsage.residentBytes/(1<<20), "MB")
	}
	r.AtMost("worker: bytes a second for its announcements", announceBytesPerSecond[len(announceBytesPerSecond)-1], 11_000, "B")
	return nil
}

// measureWithWorkers measures a deployment with n workers. The map holds for each role the processor
// time and traffic per second and the resident memory. The number is the bytes per second that the
// announcements of one worker take.
func measureWithWorkers(ctx context.Context, env Env, n int) (map[string]processUsage, float64, error) {
	shape := jobShape("capacity", "")
	// shortBound exceeds the run time of all jobs, so that no job is treated as long.
	shape.Policies = "shortBound = \"2h\""
	shape.Workers = 0
	d, err := deploy(ctx, env, shape)
	if err != nil {
		return nil, 0, err
	}
	defer d.Close()
	traffic := &tbpeer.Traffic{}
	if err := d.addCapacityWorkers(n, traffic); err != nil {
		return nil, 0, err
	}
	var jobs []*job
	for i := range n * tasksPerWorker {
		jobs = append(jobs, newJob(fmt.Sprintf("task-%d", i), "expiryCheck", "alerts", time.Hour))
	}
	if err := d.submitJobs(ctx, jobs); err != nil {
		return nil, 0, err
	}
	if err := d.waitForTasks(ctx, len(jobs)); err != nil {
		return nil, 0, err
	}
	time.Sleep(capacitySettleTime)
	leader, err := d.waitForLeader(ctx)
	if err != nil {
		return nil, 0, err
	}
	before := readUsage(d.Cluster.Instances)
	bytesBefore := traffic.Sent.Load() + traffic.Received.Load()
	time.Sleep(capacityMeasureTime)
	after := readUsage(d.Cluster.Instances)
	bytesPerSecond := float64(traffic.Sent.Load()+traffic.Received.Load()-bytesBefore) / capacityMeasureTime.Seconds() / float64(n)
	return meanUsageByRole(d.Cluster.Instances, int(leader), before, after), bytesPerSecond, nil
}

// addCapacityWorkers starts n workers with room for tasksPerWorker tasks each. The bytes of their
// announcements are added to traffic.
func (d *Deployment) addCapacityWorkers(n int, traffic *tbpeer.Traffic) error {
	for i := range n {
		cfg := d.workerConfig(i)
		cfg.CheckInterval, cfg.AnnounceInterval, cfg.Traffic = 500*time.Millisecond, time.Second, traffic
		cfg.Capacity = tbresource.Amount{MilliProcessors: tasksPerWorker * 1000, MemoryMB: workerMemoryMB}
		w, err := tbstandin.StartWorker(cfg)
		if err != nil {
			return err
		}
		d.Workers = append(d.Workers, w)
	}
	return nil
}

// waitForTasks waits until the workers execute n tasks in total, which use one processor each.
func (d *Deployment) waitForTasks(ctx context.Context, n int) error {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	for {
		var used int64
		for _, w := range d.Workers {
			used += w.Used().MilliProcessors
		}
		if used >= int64(n)*1000 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("only %d of %d tasks started: %w", used/1000, n, ctx.Err())
		case <-time.After(statusPollInterval):
		}
	}
}

// readUsage reads the processor time and traffic of each instance since its start, and its current
// resident memory.
func readUsage(instances []*tblaunch.Instance) []processUsage {
	usages := make([]processUsage, len(instances))
	for i, in := range instances {
		usages[i] = processUsage{processorSeconds: cpuTime(in.PID()).Seconds(), residentBytes: residentBytes(in.PID())}
		usages[i].sentBytes, usages[i].receivedBytes = peerTraffic(in.CallerAddress)
	}
	return usages
}

// meanUsageByRole returns the means over the instances of each role: processor time and traffic per
// second between two readings, and resident memory at the second reading.
func meanUsageByRole(instances []*tblaunch.Instance, leader int, before, after []processUsage) map[string]processUsage {
	sumByRole := map[string]processUsage{}
	instanceCounts := map[string]float64{}
	for i := range instances {
		// Instances without a control replica have only the entry role.
		role := "entry"
		switch {
		case i == leader-1:
			role = "leader"
		case i < loadControlReplicas:
			role = "follower"
		}
		u := sumByRole[role]
		seconds := capacityMeasureTime.Seconds()
		u.processorSeconds += (after[i].processorSeconds - before[i].processorSeconds) / seconds
		u.sentBytes += (after[i].sentBytes - before[i].sentBytes) / seconds
		u.receivedBytes += (after[i].receivedBytes - before[i].receivedBytes) / seconds
		u.residentBytes += after[i].residentBytes
		sumByRole[role] = u
		instanceCounts[role]++
	}
	for role, u := range sumByRole {
		n := instanceCounts[role]
		sumByRole[role] = processUsage{processorSeconds: u.processorSeconds / n, residentBytes: u.residentBytes / n, sentBytes: u.sentBytes / n, receivedBytes: u.receivedBytes / n}
	}
	return sumByRole
}

// residentBytes returns the resident memory of a process in bytes, or 0 if /proc cannot be read.
func residentBytes(pid int) float64 {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	pages, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return 0
	}
	return pages * float64(os.Getpagesize())
}

// peerTraffic returns the bytes that an instance has exchanged with its peers, or zeros if the numbers
// cannot be read.
func peerTraffic(address string) (sent, received float64) {
	resp, err := http.Get("http://" + address + "/debug/vars")
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	var vars struct {
		PeerBytesSent     float64 `json:"peerBytesSent"`
		PeerBytesReceived float64 `json:"peerBytesReceived"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		return 0, 0
	}
	return vars.PeerBytesSent, vars.PeerBytesReceived
}

func parseBundle(source []byte) (tbbundle.Bundle, error) { return tbbundlefile.Parse("bundle", source) }

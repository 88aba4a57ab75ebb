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

// Sizes of the capacity measurement; the largest is what one machine carries.
const (
	capacityWorkers  = 1040
	tasksForWorker   = 10
	capacityMeasured = 8 * time.Second
	capacitySettle   = 3 * time.Second
)

var capacityShares = []float64{0.125, 0.25, 0.5, 1}

// runCapacity measures how state, traffic, processor time and memory grow.
func runCapacity(ctx context.Context, env Env, r *Report) error {
	if err := stateSlopes(r); err != nil {
		return err
	}
	return processSlopes(ctx, env, r)
}

// stateSlopes fills the real state with more and more records of one sort.
func stateSlopes(r *Report) error {
	b, err := tbbundlefile.Parse("bundle", []byte(batchBundle+strings.TrimPrefix(ordersBundle, "version = 1\n")))
	if err != nil {
		return err
	}
	sorts := []struct {
		name    string
		largest int
		command func(i int) tbstate.Command
	}{
		{"job queued", 80_000, func(i int) tbstate.Command {
			return tbstate.SubmitJob{Job: tbstate.Job{ID: fmt.Sprintf("plan-%d", i), Kind: "cuttingPlan", Team: "stock", Payload: make([]byte, 64)}}
		}},
		{"claim", 80_000, func(i int) tbstate.Command {
			return tbstate.AcquireClaim{Key: tbstate.ClaimKey{Member: "member", Service: "quotes", Key: fmt.Sprintf("order-%d", i)}, Session: "entry-1@1.1", Attempt: uint64(i)}
		}},
		{"worker", 8_000, func(i int) tbstate.Command {
			return tbstate.AnnounceWorker{Worker: tbstate.Worker{ID: fmt.Sprintf("worker-%d", i), Incarnation: 1, Address: "10.10.10.10:7000", DataCentre: "north", Rack: "rack-1", Phase: tbstate.WorkerPresent}}
		}},
		{"runner", 8_000, func(i int) tbstate.Command {
			return tbstate.AnnounceRunner{Runner: tbstate.Runner{ID: fmt.Sprintf("runner-%d", i), Incarnation: 1, Address: "10.10.10.10:7000", DataCentre: "north", Service: "quotes", Slots: 8, Phase: tbstate.RunnerPresent}}
		}},
	}
	codec := tbcodec.New(parseAny)
	for _, sort := range sorts {
		var sizes, bytes, heap, micros, wire []float64
		for _, share := range capacityShares {
			n := int(share * float64(sort.largest))
			filled := fillState(codec, n, sort.command, tbstate.SignOff{Bundle: b}, tbstate.RollOut{Version: 1},
				tbstate.OpenSession{Session: tbstate.Session{Key: "entry-1@1.1", ID: "entry-1"}})
			sizes = append(sizes, float64(n))
			bytes = append(bytes, filled.snapshotBytes)
			heap = append(heap, filled.heapBytes)
			micros = append(micros, filled.applyMicros)
			wire = append(wire, filled.logBytes)
		}
		addSlope(r, "state: snapshot bytes for each "+sort.name, sizes, bytes, "B")
		addSlope(r, "state: heap bytes for each "+sort.name, sizes, heap, "B")
		addSlope(r, "state: log bytes for each "+sort.name, sizes, wire, "B")
		addSlope(r, "state: processor time to decode and apply each "+sort.name, sizes, micros, "us")
	}
	return nil
}

// filling is what a state with many records costs.
type filling struct {
	snapshotBytes float64
	heapBytes     float64
	logBytes      float64
	applyMicros   float64
}

const fillBatch = 100

func fillState(codec *tbcodec.Codec, n int, command func(i int) tbstate.Command, first ...tbstate.Command) filling {
	s := tbstate.New()
	s.Apply(1, tbstate.Batch{NowMs: 1, Commands: first})
	before := liveHeap()
	var f filling
	index := uint64(1)
	for i := 0; i < n; i += fillBatch {
		batch := tbstate.Batch{NowMs: int64(i)}
		for k := i; k < min(n, i+fillBatch); k++ {
			batch.Commands = append(batch.Commands, command(k))
		}
		data := codec.EncodeBatch(batch)
		f.logBytes += float64(len(data))
		began := time.Now()
		decoded, err := codec.DecodeBatch(data)
		if err != nil {
			panic(err)
		}
		index++
		s.Apply(index, decoded)
		f.applyMicros += float64(time.Since(began).Microseconds())
	}
	f.heapBytes = liveHeap() - before
	f.snapshotBytes = float64(len(codec.EncodeState(s)))
	runtime.KeepAlive(s)
	return f
}

func liveHeap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func addSlope(r *Report, name string, x, y []float64, unit string) {
	l := fitLine(x, y)
	r.Add(name, l.slope, unit)
	r.Note("%s: base %.4g, largest residual %.1f %%", name, l.base, 100*l.residual)
}

// usage is what one process used a second.
type usage struct {
	processor float64
	resident  float64
	sent      float64
	received  float64
}

// processSlopes runs real deployments with more and more workers and tasks.
func processSlopes(ctx context.Context, env Env, r *Report) error {
	roles := []string{"leader", "follower", "entry"}
	var sizes, announceBytes []float64
	measured := map[string][]usage{}
	for _, share := range capacityShares {
		n := int(share * capacityWorkers)
		use, bytes, err := measureSize(ctx, env, n)
		if err != nil {
			return fmt.Errorf("%d workers: %w", n, err)
		}
		sizes = append(sizes, float64(n))
		announceBytes = append(announceBytes, bytes)
		for _, role := range roles {
			measured[role] = append(measured[role], use[role])
		}
	}
	for _, role := range roles {
		series := func(pick func(usage) float64) []float64 {
			var y []float64
			for _, u := range measured[role] {
				y = append(y, pick(u))
			}
			return y
		}
		prefix := fmt.Sprintf("%s, for each worker with %d tasks: ", role, tasksForWorker)
		addSlope(r, prefix+"processor time a second", sizes, series(func(u usage) float64 { return u.processor * 1e6 }), "us")
		addSlope(r, prefix+"resident memory", sizes, series(func(u usage) float64 { return u.resident / 1024 }), "KB")
		addSlope(r, prefix+"bytes sent to peers a second", sizes, series(func(u usage) float64 { return u.sent }), "B")
		addSlope(r, prefix+"bytes received from peers a second", sizes, series(func(u usage) float64 { return u.received }), "B")
		last := measured[role][len(measured[role])-1]
		r.Add(fmt.Sprintf("%s at %d workers: processors", role, capacityWorkers), last.processor, "")
		r.Add(fmt.Sprintf("%s at %d workers: resident memory", role, capacityWorkers), last.resident/(1<<20), "MB")
	}
	r.AtMost("worker: bytes a second for its announcements", announceBytes[len(announceBytes)-1], 11_000, "B")
	return nil
}

func measureSize(ctx context.Context, env Env, n int) (map[string]usage, float64, error) {
	shape := batchShape("capacity", "")
	shape.Policies = "shortBound = \"2h\""
	shape.Workers = 0
	d, err := deploy(ctx, env, shape)
	if err != nil {
		return nil, 0, err
	}
	defer d.Close()
	traffic := &tbpeer.Traffic{}
	if err := d.addManyWorkers(n, traffic); err != nil {
		return nil, 0, err
	}
	var jobs []*job
	for i := range n * tasksForWorker {
		jobs = append(jobs, newJob(fmt.Sprintf("task-%d", i), "expiryCheck", "alerts", time.Hour))
	}
	if err := d.submitJobs(ctx, jobs); err != nil {
		return nil, 0, err
	}
	if err := d.waitForTasks(ctx, len(jobs)); err != nil {
		return nil, 0, err
	}
	time.Sleep(capacitySettle)
	leader, err := d.leader(ctx)
	if err != nil {
		return nil, 0, err
	}
	before := snapshotUsage(d.Cluster.Instances)
	bytesBefore := traffic.Sent.Load() + traffic.Received.Load()
	time.Sleep(capacityMeasured)
	after := snapshotUsage(d.Cluster.Instances)
	bytes := float64(traffic.Sent.Load()+traffic.Received.Load()-bytesBefore) / capacityMeasured.Seconds() / float64(n)
	return byRole(d.Cluster.Instances, int(leader), before, after), bytes, nil
}

func (d *Deployment) addManyWorkers(n int, traffic *tbpeer.Traffic) error {
	for i := range n {
		cfg := d.workerConfig(i)
		cfg.Step, cfg.Announce, cfg.Traffic = 500*time.Millisecond, time.Second, traffic
		cfg.Capacity = tbresource.Amount{MilliProcessors: tasksForWorker * 1000, MemoryMB: workerMemoryMB}
		w, err := tbstandin.StartWorker(cfg)
		if err != nil {
			return err
		}
		d.Workers = append(d.Workers, w)
	}
	return nil
}

// waitForTasks waits until all workers together hold n tasks of one processor.
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
			return fmt.Errorf("%d of %d tasks run: %w", used/1000, n, ctx.Err())
		case <-time.After(statusPoll):
		}
	}
}

func snapshotUsage(instances []*tblaunch.Instance) []usage {
	all := make([]usage, len(instances))
	for i, in := range instances {
		all[i] = usage{processor: processTime(in.PID()).Seconds(), resident: residentBytes(in.PID())}
		all[i].sent, all[i].received = peerBytes(in.CallerAddress)
	}
	return all
}

// byRole averages what the instances of each role used a second between two snapshots.
func byRole(instances []*tblaunch.Instance, leader int, before, after []usage) map[string]usage {
	sums := map[string]usage{}
	counts := map[string]float64{}
	for i := range instances {
		role := "entry"
		switch {
		case i == leader-1:
			role = "leader"
		case i < loadControls:
			role = "follower"
		}
		u := sums[role]
		seconds := capacityMeasured.Seconds()
		u.processor += (after[i].processor - before[i].processor) / seconds
		u.sent += (after[i].sent - before[i].sent) / seconds
		u.received += (after[i].received - before[i].received) / seconds
		u.resident += after[i].resident
		sums[role] = u
		counts[role]++
	}
	for role, u := range sums {
		n := counts[role]
		sums[role] = usage{processor: u.processor / n, resident: u.resident / n, sent: u.sent / n, received: u.received / n}
	}
	return sums
}

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

// peerBytes reads the traffic counters of an instance.
func peerBytes(address string) (sent, received float64) {
	answer, err := http.Get("http://" + address + "/debug/vars")
	if err != nil {
		return 0, 0
	}
	defer answer.Body.Close()
	var vars struct {
		PeerBytesSent     float64 `json:"peerBytesSent"`
		PeerBytesReceived float64 `json:"peerBytesReceived"`
	}
	if err := json.NewDecoder(answer.Body).Decode(&vars); err != nil {
		return 0, 0
	}
	return vars.PeerBytesSent, vars.PeerBytesReceived
}

func parseAny(source []byte) (tbbundle.Bundle, error) { return tbbundlefile.Parse("bundle", source) }

package tbscenario

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"time"

	"connectrpc.com/connect"

	"tamarackbarrow/core/tbresource"
	"tamarackbarrow/io/tblaunch"
	pb "tamarackbarrow/io/tbproto/v1"
	"tamarackbarrow/io/tbproxy"
	"tamarackbarrow/io/tbstandin"
)

// Shape describes a deployment with its stand-ins.
type Shape struct {
	Entries  int
	Controls int
	Runners  int
	Slots    int
	Workers  int
	Bundle   string
	// ServiceTime draws a runner's time for one request.
	ServiceTime func(*rand.Rand) time.Duration
	Policies    string
	Times       string
	// Proxied and ProxiedRunners put fault-injecting proxies before peers and runners.
	Proxied        bool
	ProxiedRunners bool
	// Slowdown makes each runner share an instance with the worker of its number.
	Slowdown func(loads []tbstandin.Load) float64
	// Name keeps deployments of one run apart.
	Name string
}

// Deployment is a running system with its stand-ins.
type Deployment struct {
	Cluster *tblaunch.Cluster
	Runners []*tbstandin.Runner
	// RunnerProxies stand before the runners, if the shape asks for them.
	RunnerProxies []*tbproxy.Proxy
	Workers       []*tbstandin.Worker
	Ledger        *tbstandin.Ledger
	Caller        *tbstandin.Caller
	shape         Shape
	env           Env
}

// Sizes of a stand-in worker, as the users' workers have them.
const (
	workerMilliProcessors = 32_000
	workerMemoryMB        = 125_000
	workersPerRack        = 10
)

const startWithin = 30 * time.Second

// deploy starts everything and waits until calls can be answered.
func deploy(ctx context.Context, env Env, shape Shape) (*Deployment, error) {
	folder, err := newFolder(env.Folder, shape.Name)
	if err != nil {
		return nil, err
	}
	cluster, err := tblaunch.New(tblaunch.Options{
		Binary: env.Binary, Folder: folder, Entries: shape.Entries, Controls: shape.Controls,
		Policies: shape.Policies, Times: shape.Times, Proxied: shape.Proxied,
	})
	if err != nil {
		return nil, err
	}
	d := &Deployment{Cluster: cluster, Ledger: tbstandin.NewLedger(), shape: shape, env: env}
	d.Caller = tbstandin.NewCaller(d.Addresses(), d.Ledger)
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func newFolder(parent, name string) (string, error) {
	if err := os.MkdirAll(parent, 0o750); err != nil {
		return "", err
	}
	return os.MkdirTemp(parent, name+"-")
}

func (d *Deployment) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	if err := d.Cluster.StartAll(); err != nil {
		return err
	}
	if err := d.Cluster.PutInForce(ctx, []byte(d.shape.Bundle), 1); err != nil {
		return err
	}
	if err := d.Cluster.WaitReady(ctx, d.Cluster.Instances...); err != nil {
		return err
	}
	for i := range d.shape.Workers {
		if err := d.addWorker(i); err != nil {
			return err
		}
	}
	for i := range d.shape.Runners {
		if err := d.addRunner(i); err != nil {
			return err
		}
	}
	return d.waitForSlots(ctx)
}

// Addresses returns the caller addresses of all instances.
func (d *Deployment) Addresses() []string {
	var all []string
	for _, in := range d.Cluster.Instances {
		all = append(all, in.CallerAddress)
	}
	return all
}

func (d *Deployment) addRunner(i int) error {
	cfg := d.runnerConfig(i)
	if d.shape.ProxiedRunners {
		p, err := d.proxyRunner(&cfg)
		if err != nil {
			return err
		}
		d.RunnerProxies = append(d.RunnerProxies, p)
	}
	r, err := tbstandin.StartRunner(cfg)
	if err != nil {
		return err
	}
	d.Runners = append(d.Runners, r)
	return nil
}

func (d *Deployment) runnerConfig(i int) tbstandin.RunnerConfig {
	cfg := tbstandin.RunnerConfig{
		ID: fmt.Sprintf("runner-%d", i+1), DataCentre: dataCentre(i), Service: "quotes", Slots: d.shape.Slots,
		Entries: d.Addresses(), ServiceTime: d.shape.ServiceTime, Seed: d.env.Seed, Ledger: d.Ledger,
	}
	if d.shape.Slowdown != nil && i < len(d.Workers) {
		w := d.Workers[i]
		cfg.Worker = d.workerConfig(i).ID
		cfg.Slowdown = func() float64 { return d.shape.Slowdown(w.Loads()) }
	}
	return cfg
}

// proxyRunner chooses the runner's address and starts a proxy that is announced instead.
func (d *Deployment) proxyRunner(cfg *tbstandin.RunnerConfig) (*tbproxy.Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	cfg.Address = l.Addr().String()
	if err := l.Close(); err != nil {
		return nil, err
	}
	p, err := tbproxy.Listen("127.0.0.1:0", cfg.Address)
	if err != nil {
		return nil, err
	}
	cfg.Announced = p.Address()
	return p, nil
}

// restartRunner starts a killed runner again under a new incarnation.
func (d *Deployment) restartRunner(i int) error {
	cfg := d.runnerConfig(i)
	if d.shape.ProxiedRunners {
		cfg.Address = d.Runners[i].Address()
		cfg.Announced = d.RunnerProxies[i].Address()
	}
	r, err := tbstandin.StartRunner(cfg)
	if err != nil {
		return err
	}
	d.Runners[i] = r
	return nil
}

func (d *Deployment) addWorker(i int) error {
	w, err := tbstandin.StartWorker(d.workerConfig(i))
	if err != nil {
		return err
	}
	d.Workers = append(d.Workers, w)
	return nil
}

func (d *Deployment) workerConfig(i int) tbstandin.WorkerConfig {
	return tbstandin.WorkerConfig{
		ID: fmt.Sprintf("worker-%d", i+1), DataCentre: dataCentre(i), Rack: fmt.Sprintf("rack-%d", i/workersPerRack+1),
		Capacity: tbresource.Amount{MilliProcessors: workerMilliProcessors, MemoryMB: workerMemoryMB},
		Entries:  d.Addresses(), Ledger: d.Ledger, Seed: d.env.Seed, CheckpointTime: 50 * time.Millisecond,
	}
}

func dataCentre(i int) string { return []string{"north", "middle", "south"}[i%3] }

const statusPoll = 50 * time.Millisecond

// waitForSlots waits until all slots of the runners are granted and all workers are known.
func (d *Deployment) waitForSlots(ctx context.Context) error {
	want := uint32(d.shape.Runners * d.shape.Slots)
	for {
		st, err := d.Status(ctx)
		if err == nil {
			granted := uint32(0)
			for _, r := range st.GetRunners() {
				granted += r.GetGranted()
			}
			if granted == want && len(st.GetWorkers()) == d.shape.Workers {
				// The entries learn their grants with their next sync.
				time.Sleep(2 * statusPoll)
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("slots or workers did not become known: %w", ctx.Err())
		case <-time.After(statusPoll):
		}
	}
}

// Status asks the first instance that answers.
func (d *Deployment) Status(ctx context.Context) (*pb.StatusResponse, error) {
	var last error
	for _, in := range d.Cluster.Instances {
		answer, err := in.Operator().Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
		if err == nil {
			return answer.Msg, nil
		}
		last = err
	}
	return nil, last
}

// Close ends everything that the deployment started.
func (d *Deployment) Close() {
	for _, r := range d.Runners {
		r.Kill()
	}
	for _, w := range d.Workers {
		w.Kill()
	}
	for _, p := range d.RunnerProxies {
		p.Close()
	}
	d.Cluster.Close()
}

// reportViolations adds the number of broken promises and the first ones in words.
func (d *Deployment) reportViolations(r *Report, prefix string) {
	n, words := d.Ledger.Violations()
	r.AtMost(prefix+"violations", float64(n), 0, "")
	for _, w := range words {
		r.Note("violation: %s", w)
	}
}

// logNormal draws times with a given median; sigma 0.5 gives a p99 of 3.2 times the median.
func logNormal(median time.Duration, sigma float64) func(*rand.Rand) time.Duration {
	return func(rng *rand.Rand) time.Duration {
		return time.Duration(float64(median) * math.Exp(sigma*rng.NormFloat64()))
	}
}

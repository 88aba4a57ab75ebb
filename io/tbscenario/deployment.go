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

// Shape describes a deployment and its fake runners and workers.
type Shape struct {
	// Instances is the number of instances; the first ControlReplicas of them host control replicas.
	Instances       int
	ControlReplicas int
	// Runners is the number of runners, and Slots is the number of slots of each runner.
	Runners int
	Slots   int
	Workers int
	// Bundle is the source of the bundle that is rolled out as version 1.
	Bundle string
	// ServiceTime draws a runner's time for one request.
	ServiceTime func(*rand.Rand) time.Duration
	// Policies and Times are the TOML lines of the settings' tables [policies] and [times].
	Policies string
	Times    string
	// Proxied puts a fault-injecting proxy in front of each peer address. ProxiedRunners puts one in
	// front of each runner.
	Proxied        bool
	ProxiedRunners bool
	// Slowdown, if set, makes each runner share an instance with the worker of the same number.
	// Slowdown returns the factor by which the worker's loads slow down the runner.
	Slowdown func(loads []tbstandin.Load) float64
	// Name prefixes the name of the deployment's folder.
	Name string
}

// Deployment is a running system with its fake runners, workers and callers.
type Deployment struct {
	Cluster *tblaunch.Cluster
	Runners []*tbstandin.Runner
	// RunnerProxies are the proxies in front of the runners. The list is empty unless
	// Shape.ProxiedRunners is set.
	RunnerProxies []*tbproxy.Proxy
	Workers       []*tbstandin.Worker
	// Ledger collects what the fakes observe.
	Ledger *tbstandin.Ledger
	Caller *tbstandin.Caller
	shape  Shape
	env    Env
}

// Size of a fake worker, which equals that of the users' workers, and number of workers in a rack.
const (
	workerMilliProcessors = 32_000
	workerMemoryMB        = 125_000
	workersPerRack        = 10
)

const startTimeout = 30 * time.Second

// deploy starts the daemons and fakes of a shape and waits until calls can be answered.
func deploy(ctx context.Context, env Env, shape Shape) (*Deployment, error) {
	folder, err := createFolder(env.Folder, shape.Name)
	if err != nil {
		return nil, err
	}
	cluster, err := tblaunch.New(tblaunch.Options{
		Binary: env.Binary, Folder: folder, Instances: shape.Instances, ControlReplicas: shape.ControlReplicas,
		Policies: shape.Policies, Times: shape.Times, Proxied: shape.Proxied,
	})
	if err != nil {
		return nil, err
	}
	d := &Deployment{Cluster: cluster, Ledger: tbstandin.NewLedger(), shape: shape, env: env}
	d.Caller = tbstandin.NewCaller(d.Addresses(), d.Ledger)
	if err := d.startAll(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func createFolder(parent, name string) (string, error) {
	if err := os.MkdirAll(parent, 0o750); err != nil {
		return "", err
	}
	return os.MkdirTemp(parent, name+"-")
}

func (d *Deployment) startAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.Cluster.StartAll(); err != nil {
		return err
	}
	if err := d.Cluster.RollOutBundle(ctx, []byte(d.shape.Bundle), 1); err != nil {
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
	return d.waitForBackends(ctx)
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
		p, err := d.startRunnerProxy(&cfg)
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

// startRunnerProxy chooses a free address for the runner and starts a proxy that forwards to it. It
// sets both addresses in cfg, so that the runner announces the proxy's address.
func (d *Deployment) startRunnerProxy(cfg *tbstandin.RunnerConfig) (*tbproxy.Proxy, error) {
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
	cfg.AnnouncedAddress = p.Address()
	return p, nil
}

// restartRunner restarts a killed runner under a new incarnation.
func (d *Deployment) restartRunner(i int) error {
	cfg := d.runnerConfig(i)
	if d.shape.ProxiedRunners {
		cfg.Address = d.Runners[i].Address()
		cfg.AnnouncedAddress = d.RunnerProxies[i].Address()
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

const statusPollInterval = 50 * time.Millisecond

// waitForBackends waits until all slots of the runners are granted to entries and the status lists all
// workers.
func (d *Deployment) waitForBackends(ctx context.Context) error {
	wantSlots := uint32(d.shape.Runners * d.shape.Slots)
	for {
		st, err := d.Status(ctx)
		if err == nil {
			grantedSlots := uint32(0)
			for _, r := range st.GetRunners() {
				grantedSlots += r.GetGranted()
			}
			if grantedSlots == wantSlots && len(st.GetWorkers()) == d.shape.Workers {
				// Entries receive their grants only with their next report to the leader. This wait gives them
				// time for that report.
				time.Sleep(2 * statusPollInterval)
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting for granted slots and known workers: %w", ctx.Err())
		case <-time.After(statusPollInterval):
		}
	}
}

// Status returns the status of the system from the first instance that answers, or the last error.
func (d *Deployment) Status(ctx context.Context) (*pb.StatusResponse, error) {
	var lastErr error
	for _, in := range d.Cluster.Instances {
		resp, err := in.Operator().Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
		if err == nil {
			return resp.Msg, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

// Close stops all processes, fakes and proxies of the deployment.
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

// reportViolations reports the number of violated guarantees and describes the first ones in notes.
func (d *Deployment) reportViolations(r *Report, prefix string) {
	n, descriptions := d.Ledger.Violations()
	r.AtMost(prefix+"violations", float64(n), 0, "")
	for _, description := range descriptions {
		r.Note("violation: %s", description)
	}
}

// logNormal returns a function that draws log-normal times; sigma 0.5 gives a p99 of 3.2 times the median.
func logNormal(median time.Duration, sigma float64) func(*rand.Rand) time.Duration {
	return func(rng *rand.Rand) time.Duration {
		return time.Duration(float64(median) * math.Exp(sigma*rng.NormFloat64()))
	}
}

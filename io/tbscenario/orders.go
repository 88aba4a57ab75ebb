package tbscenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	pb "tamarackbarrow/io/tbproto/v1"
	"tamarackbarrow/io/tbproxy"
	"tamarackbarrow/io/tbstandin"
)

const (
	ordersRate     = 200
	ordersLength   = 20 * time.Second
	orderPatience  = 15 * time.Second
	orderDeadline  = 2 * time.Second
	orderResendGap = 200 * time.Millisecond
	ordersRunners  = 12
)

var ordersBundle = `version = 1

[[services]]
name = "quotes"
targetLatency = "400ms"
runDeadline = "2s"
rank = 100
idempotentMethods = ["quote"]
idempotencyRetention = "10m"
`

// order is one keyed request with all that its caller saw.
type order struct {
	number string
	last   tbstandin.Result
	sends  int
}

func runOrders(ctx context.Context, env Env, r *Report) error {
	d, err := deploy(ctx, env, Shape{
		Name: "orders", Entries: loadEntries, Controls: loadControls, Runners: ordersRunners, Slots: loadSlots,
		Bundle: ordersBundle, ServiceTime: logNormal(40*time.Millisecond, 0.5), ProxiedRunners: true,
	})
	if err != nil {
		return err
	}
	defer d.Close()
	claimLatency(ctx, d, env.Seed, r)
	b := newBalancer(d.Cluster.Instances, env.Seed)
	defer b.close()
	faults := make(chan error, 1)
	go func() { faults <- d.orderFaults(ctx) }()
	orders := d.sendOrders(ctx, b, env.Seed)
	if err := <-faults; err != nil {
		return err
	}
	d.judgeOrders(r, orders)
	d.reportViolations(r, "")
	return nil
}

// claimLatency compares keyed orders with requests that need no claim, without faults.
func claimLatency(ctx context.Context, d *Deployment, seed uint64, r *Report) {
	rng := rand.New(rand.NewPCG(seed, 3))
	arrivals := poisson(rng, []phase{{length: 4 * time.Second, rate: ordersRate}}, evenly(d.Addresses()), "plain")
	plain := summarise(runLoad(ctx, d.Caller, arrivals), time.Second, 0, time.Hour)
	for i := range arrivals {
		arrivals[i].request.Method = "order"
		arrivals[i].request.Number = fmt.Sprintf("claimed-%d", i)
		arrivals[i].request.Key = arrivals[i].request.Number
	}
	claimed := summarise(runLoad(ctx, d.Caller, arrivals), time.Second, 0, time.Hour)
	r.Add("median without a claim", quantile(plain.answeredLatency, 50), "ms")
	r.Add("median with a claim", quantile(claimed.answeredLatency, 50), "ms")
	r.Add("p99 without a claim", quantile(plain.answeredLatency, 99), "ms")
	r.Add("p99 with a claim", quantile(claimed.answeredLatency, 99), "ms")
}

// orderFaults kills runners and entries and silences connections while orders flow.
func (d *Deployment) orderFaults(ctx context.Context) error {
	steps := []func() error{
		func() error { d.Runners[0].Kill(); return nil },
		func() error { d.RunnerProxies[1].Set(tbproxy.AnySource, tbproxy.Fault{SilentOld: true}); return nil },
		func() error { return d.Cluster.Instances[6].Kill() },
		func() error { return d.restartRunner(0) },
		func() error {
			d.RunnerProxies[2].Set(tbproxy.AnySource, tbproxy.Fault{SilentAnswers: true})
			return nil
		},
		func() error { return d.Cluster.Instances[6].Start() },
		func() error { return d.Cluster.Instances[0].Kill() },
		func() error { d.RunnerProxies[2].Clear(); return nil },
		func() error { return d.Cluster.Instances[0].Start() },
		func() error { d.Runners[3].SetFault(tbstandin.FaultShortAnswer); return nil },
		func() error { d.Runners[3].SetFault(tbstandin.FaultOtherAnswer); return nil },
		func() error { d.Runners[3].SetFault(tbstandin.FaultNone); return nil },
	}
	pause := ordersLength / time.Duration(len(steps)+1)
	for _, step := range steps {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// sendOrders sends each order until it is answered, surely undecided or too old.
func (d *Deployment) sendOrders(ctx context.Context, b *balancer, seed uint64) []order {
	rng := rand.New(rand.NewPCG(seed, 4))
	arrivals := poisson(rng, []phase{{length: ordersLength, rate: ordersRate}}, func(*rand.Rand) string { return "" }, "order")
	orders := make([]order, len(arrivals))
	var mu sync.Mutex
	runAt(arrivals, func(i int, a arrival) {
		o := d.sendOrder(ctx, b, a.request)
		mu.Lock()
		defer mu.Unlock()
		orders[i] = o
	})
	return orders
}

func (d *Deployment) sendOrder(ctx context.Context, b *balancer, request tbstandin.Request) order {
	request.Method, request.Key, request.Deadline = "order", request.Number, orderDeadline
	o := order{number: request.Number}
	for began := time.Now(); time.Since(began) < orderPatience; {
		o.sends++
		o.last = d.Caller.Call(ctx, b.pick(), request)
		if o.last.Status == pb.CallStatus_CALL_STATUS_ANSWERED || o.last.Reason == "claimUndecided" {
			return o
		}
		select {
		case <-ctx.Done():
			return o
		case <-time.After(orderResendGap):
		}
	}
	return o
}

func (d *Deployment) judgeOrders(r *Report, orders []order) {
	twice, acknowledgedWrong, falseNotRun, answered, unknown, resends := 0, 0, 0, 0, 0, 0
	for _, o := range orders {
		runs := d.Ledger.Runs(o.number)
		resends += o.sends - 1
		if runs > 1 {
			twice++
		}
		switch o.last.Status {
		case pb.CallStatus_CALL_STATUS_ANSWERED:
			answered++
			if runs != 1 {
				acknowledgedWrong++
			}
		case pb.CallStatus_CALL_STATUS_NOT_RUN:
			if runs > 0 {
				falseNotRun++
			}
		default:
			unknown++
		}
	}
	r.Add("orders", float64(len(orders)), "")
	r.Add("resends", float64(resends), "")
	r.AtMost("orders run twice", float64(twice), 0, "")
	r.AtMost("acknowledged orders that did not run exactly once", float64(acknowledgedWrong), 0, "")
	r.AtMost("orders called not run that ran", float64(falseNotRun), 0, "")
	r.Add("share answered", float64(answered)/float64(len(orders)), "")
	r.Add("share unknown", float64(unknown)/float64(len(orders)), "")
}

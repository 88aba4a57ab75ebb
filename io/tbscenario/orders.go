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
	ordersPerSecond    = 200
	ordersLoadTime     = 20 * time.Second
	orderResendTimeout = 15 * time.Second
	orderDeadline      = 2 * time.Second
	orderResendDelay   = 200 * time.Millisecond
	ordersRunnerCount  = 12
)

// ordersBundle defines a service that accepts idempotency keys.
var ordersBundle = `version = 1

[[services]]
name = "quotes"
targetLatency = "400ms"
runDeadline = "2s"
rank = 100
idempotentMethods = ["quote"]
idempotencyRetention = "10m"
`

// order is one request with an idempotency key, and what its caller observed.
type order struct {
	id         string
	lastResult tbstandin.Result
	sendCount  int
}

// runOrders checks that keyed orders are executed at most once while runners, entries and connections fail.
func runOrders(ctx context.Context, env Env, r *Report) error {
	d, err := deploy(ctx, env, Shape{
		Name: "orders", Instances: loadInstances, ControlReplicas: loadControlReplicas, Runners: ordersRunnerCount, Slots: loadSlots,
		Bundle: ordersBundle, ServiceTime: logNormal(40*time.Millisecond, 0.5), ProxiedRunners: true,
	})
	if err != nil {
		return err
	}
	defer d.Close()
	measureClaimLatency(ctx, d, env.Seed, r)
	b := newLoadBalancer(d.Cluster.Instances, env.Seed)
	defer b.close()
	faultErr := make(chan error, 1)
	go func() { faultErr <- d.injectOrderFaults(ctx) }()
	orders := d.sendOrders(ctx, b, env.Seed)
	if err := <-faultErr; err != nil {
		return err
	}
	d.reportOrders(r, orders)
	d.reportViolations(r, "")
	return nil
}

// measureClaimLatency compares the latency of keyed orders with that of requests that claim no key.
// It injects no faults.
func measureClaimLatency(ctx context.Context, d *Deployment, seed uint64, r *Report) {
	rng := rand.New(rand.NewPCG(seed, 3))
	arrivals := drawPoissonArrivals(rng, []loadPhase{{duration: 4 * time.Second, rate: ordersPerSecond}}, pickUniformly(d.Addresses()), "plain")
	plainSummary := summarise(sendLoad(ctx, d.Caller, arrivals), time.Second, 0, time.Hour)
	for i := range arrivals {
		arrivals[i].request.Method = "order"
		arrivals[i].request.ID = fmt.Sprintf("claimed-%d", i)
		arrivals[i].request.IdempotencyKey = arrivals[i].request.ID
	}
	claimedSummary := summarise(sendLoad(ctx, d.Caller, arrivals), time.Second, 0, time.Hour)
	r.Add("median without a claim", percentileMillis(plainSummary.answeredLatency, 50), "ms")
	r.Add("median with a claim", percentileMillis(claimedSummary.answeredLatency, 50), "ms")
	r.Add("p99 without a claim", percentileMillis(plainSummary.answeredLatency, 99), "ms")
	r.Add("p99 with a claim", percentileMillis(claimedSummary.answeredLatency, 99), "ms")
}

// injectOrderFaults injects faults at equal intervals during the load. It kills and restarts a runner
// and two instances. It sets the faults DropExisting and DropResponses on the connections of two other
// runners. Last, it makes a runner truncate its answers and then answer with a wrong request id.
func (d *Deployment) injectOrderFaults(ctx context.Context) error {
	steps := []func() error{
		func() error { d.Runners[0].Kill(); return nil },
		func() error {
			d.RunnerProxies[1].SetFault(tbproxy.AnySource, tbproxy.Fault{DropExisting: true})
			return nil
		},
		func() error { return d.Cluster.Instances[6].Kill() },
		func() error { return d.restartRunner(0) },
		func() error {
			d.RunnerProxies[2].SetFault(tbproxy.AnySource, tbproxy.Fault{DropResponses: true})
			return nil
		},
		func() error { return d.Cluster.Instances[6].Start() },
		func() error { return d.Cluster.Instances[0].Kill() },
		func() error { d.RunnerProxies[2].ClearFaults(); return nil },
		func() error { return d.Cluster.Instances[0].Start() },
		func() error { d.Runners[3].SetFault(tbstandin.FaultTruncatedAnswer); return nil },
		func() error { d.Runners[3].SetFault(tbstandin.FaultWrongRequestID); return nil },
		func() error { d.Runners[3].SetFault(tbstandin.FaultNone); return nil },
	}
	pause := ordersLoadTime / time.Duration(len(steps)+1)
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

// sendOrders starts sendOrder for each order at its arrival time and returns all orders.
func (d *Deployment) sendOrders(ctx context.Context, b *loadBalancer, seed uint64) []order {
	rng := rand.New(rand.NewPCG(seed, 4))
	arrivals := drawPoissonArrivals(rng, []loadPhase{{duration: ordersLoadTime, rate: ordersPerSecond}}, func(*rand.Rand) string { return "" }, "order")
	orders := make([]order, len(arrivals))
	var mu sync.Mutex
	sendOnSchedule(arrivals, func(i int, a arrival) {
		o := d.sendOrder(ctx, b, a.request)
		mu.Lock()
		defer mu.Unlock()
		orders[i] = o
	})
	return orders
}

// sendOrder sends an order repeatedly until it is answered or refused with the reason claimUndecided,
// or until orderResendTimeout has passed.
func (d *Deployment) sendOrder(ctx context.Context, b *loadBalancer, request tbstandin.Request) order {
	request.Method, request.IdempotencyKey, request.Deadline = "order", request.ID, orderDeadline
	o := order{id: request.ID}
	for start := time.Now(); time.Since(start) < orderResendTimeout; {
		o.sendCount++
		o.lastResult = d.Caller.Call(ctx, b.pickReadyAddress(), request)
		if o.lastResult.Status == pb.CallStatus_CALL_STATUS_ANSWERED || o.lastResult.Reason == "claimUndecided" {
			return o
		}
		select {
		case <-ctx.Done():
			return o
		case <-time.After(orderResendDelay):
		}
	}
	return o
}

// reportOrders compares the callers' last results with the executions that the runners counted.
func (d *Deployment) reportOrders(r *Report, orders []order) {
	executedTwiceCount, wronglyAcknowledgedCount, falseNotRunCount, answeredCount, unknownCount, resendCount := 0, 0, 0, 0, 0, 0
	for _, o := range orders {
		executions := d.Ledger.Executions(o.id)
		resendCount += o.sendCount - 1
		if executions > 1 {
			executedTwiceCount++
		}
		switch o.lastResult.Status {
		case pb.CallStatus_CALL_STATUS_ANSWERED:
			answeredCount++
			if executions != 1 {
				wronglyAcknowledgedCount++
			}
		case pb.CallStatus_CALL_STATUS_NOT_RUN:
			if executions > 0 {
				falseNotRunCount++
			}
		default:
			// The system reported the outcome as unknown or did not respond.
			unknownCount++
		}
	}
	r.Add("orders", float64(len(orders)), "")
	r.Add("resends", float64(resendCount), "")
	r.AtMost("orders run twice", float64(executedTwiceCount), 0, "")
	r.AtMost("acknowledged orders that did not run exactly once", float64(wronglyAcknowledgedCount), 0, "")
	r.AtMost("orders called not run that ran", float64(falseNotRunCount), 0, "")
	r.Add("share answered", float64(answeredCount)/float64(len(orders)), "")
	r.Add("share unknown", float64(unknownCount)/float64(len(orders)), "")
}

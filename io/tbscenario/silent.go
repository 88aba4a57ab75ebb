package tbscenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"tamarackbarrow/io/tbproxy"
)

const (
	recoveryRunnerCount  = 16
	recoveryLoadFactor   = 0.5
	timeBeforeFault      = 4 * time.Second
	timeAfterFault       = 6 * time.Second
	bucketTime           = 250 * time.Millisecond
	normalShareFactor    = 0.95
	recoveryLimitSeconds = 3.0
)

// recoveryShape returns the deployment of the scenarios that measure recovery. All connections to
// runners and peer addresses pass through proxies.
func recoveryShape(name string) Shape {
	return Shape{
		Name: name, Instances: loadInstances, ControlReplicas: loadControlReplicas, Runners: recoveryRunnerCount, Slots: loadSlots,
		Bundle: loadBundle, ServiceTime: logNormal(serviceMedian, serviceSigma), ProxiedRunners: true, Proxied: true,
	}
}

// recoveryLoadRate returns half the capacity of the scenario's runners, in requests per second.
func recoveryLoadRate() float64 {
	return recoveryLoadFactor * loadCapacity() * recoveryRunnerCount / loadRunners
}

// runSilent measures the recovery time after all open connections stop delivering data without being closed.
func runSilent(ctx context.Context, env Env, r *Report) error {
	d, err := deploy(ctx, env, recoveryShape("silent"))
	if err != nil {
		return err
	}
	defer d.Close()
	cases := []struct {
		name        string
		injectFault func()
	}{
		{"to all runners", func() {
			for _, p := range d.RunnerProxies {
				p.SetFault(tbproxy.AnySource, tbproxy.Fault{DropExisting: true})
			}
		}},
		{"between all instances", func() {
			for _, in := range d.Cluster.Instances {
				in.Proxy.SetFault(tbproxy.AnySource, tbproxy.Fault{DropExisting: true})
			}
		}},
	}
	for i, c := range cases {
		label := fmt.Sprintf("silent%d", i)
		secondsToRecover, unansweredCount := measureRecovery(ctx, d, env.Seed, label, pickUniformly(d.Addresses()), c.injectFault)
		r.AtMost("open connections "+c.name+" go silent: back to the normal rate after", secondsToRecover, recoveryLimitSeconds, "s")
		r.Add("open connections "+c.name+" go silent: calls not answered", float64(unansweredCount), "")
	}
	d.reportViolations(r, "")
	return nil
}

// measureRecovery sends a load with a constant rate and injects a fault after timeBeforeFault. It returns the
// result of recoverySeconds and the number of calls without a correct answer.
func measureRecovery(ctx context.Context, d *Deployment, seed uint64, idPrefix string, pick func(*rand.Rand) string, injectFault func()) (secondsToRecover float64, unansweredCount int) {
	rng := rand.New(rand.NewPCG(seed, 6))
	arrivals := drawPoissonArrivals(rng, []loadPhase{{duration: timeBeforeFault + timeAfterFault, rate: recoveryLoadRate()}}, pick, idPrefix)
	go func() {
		time.Sleep(timeBeforeFault)
		injectFault()
	}()
	outcomes := sendLoad(ctx, d.Caller, arrivals)
	for _, o := range outcomes {
		if !o.result.Answered() {
			unansweredCount++
		}
	}
	return recoverySeconds(outcomes), unansweredCount
}

// recoverySeconds returns the seconds from the fault to the end of the last bucket with a low share
// of calls on time, or 0 if no bucket has one. A share is low if it is below normalShareFactor times
// the share before the fault.
//
// Some service times exceed the target even without a fault. The share before the fault includes
// these calls, so they do not increase the result.
func recoverySeconds(outcomes []outcome) float64 {
	type bucket struct{ sentCount, onTimeCount int }
	buckets := make([]bucket, (timeBeforeFault+timeAfterFault)/bucketTime+1)
	var beforeFault bucket
	for _, o := range outcomes {
		b := &buckets[o.arrival.at/bucketTime]
		b.sentCount++
		onTime := o.result.Answered() && o.result.Latency <= serviceTarget
		if onTime {
			b.onTimeCount++
		}
		// Excludes the first second of the load and calls that may still be in progress at the fault.
		if o.arrival.at > time.Second && o.arrival.at < timeBeforeFault-serviceTarget {
			beforeFault.sentCount++
			if onTime {
				beforeFault.onTimeCount++
			}
		}
	}
	minNormalShare := normalShareFactor * float64(beforeFault.onTimeCount) / float64(max(1, beforeFault.sentCount))
	recoveredAt := timeBeforeFault
	for i, b := range buckets {
		end := time.Duration(i+1) * bucketTime
		if end > timeBeforeFault && b.sentCount > 0 && float64(b.onTimeCount)/float64(b.sentCount) < minNormalShare {
			recoveredAt = end
		}
	}
	return (recoveredAt - timeBeforeFault).Seconds()
}

// runDrain checks that planned stops of runners and entries interrupt no call.
func runDrain(ctx context.Context, env Env, r *Report) error {
	d, err := deploy(ctx, env, recoveryShape("drain"))
	if err != nil {
		return err
	}
	defer d.Close()
	secondsToRecover, unansweredCount := measureRecovery(ctx, d, env.Seed, "leave", pickUniformly(d.Addresses()), func() {
		for _, runner := range d.Runners[:2] {
			runner.Leave()
		}
	})
	r.AtMost("two runners leave: back to the normal rate after", secondsToRecover, recoveryLimitSeconds, "s")
	r.AtMost("two runners leave: calls not answered", float64(unansweredCount), 0, "")
	b := newLoadBalancer(d.Cluster.Instances, env.Seed)
	defer b.close()
	stopErrs := make(chan error, 2)
	rng := rand.New(rand.NewPCG(env.Seed, 6))
	arrivals := drawPoissonArrivals(rng, []loadPhase{{duration: timeBeforeFault + timeAfterFault, rate: recoveryLoadRate()}}, func(*rand.Rand) string { return "" }, "stop")
	go func() {
		time.Sleep(timeBeforeFault)
		// The first instance hosts a control replica and may be the leader; the last hosts none.
		stopErrs <- d.Cluster.Instances[0].Stop()
		stopErrs <- d.Cluster.Instances[6].Stop()
	}()
	outcomes := make([]outcome, len(arrivals))
	sendOnSchedule(arrivals, func(i int, a arrival) {
		a.address = b.pickReadyAddress()
		outcomes[i] = outcome{arrival: a, result: d.Caller.Call(ctx, a.address, a.request)}
	})
	for range 2 {
		if err := <-stopErrs; err != nil {
			return fmt.Errorf("planned stop: %w", err)
		}
	}
	reportStops(r, outcomes)
	r.AtMost("two entries stop: calls not run that ran", float64(countFalseNotRun(outcomes, d.Ledger)), 0, "")
	d.reportViolations(r, "")
	return nil
}

// reportStops reports interrupted calls, the recovery time and refused calls. A refused call was
// never accepted, so a refused call is not an interrupted one.
func reportStops(r *Report, outcomes []outcome) {
	s := summarise(outcomes, serviceTarget, 0, time.Hour)
	r.AtMost("two entries stop: calls cut off", float64(s.unknownCount+s.failedCount), 0, "")
	r.AtMost("two entries stop: back to the normal rate after", recoverySeconds(outcomes), recoveryLimitSeconds, "s")
	r.Add("two entries stop: calls refused", float64(s.notRunCount), "")
	if s.notRunCount+s.unknownCount+s.failedCount > 0 {
		r.Note("two entries stop: reasons %v", s.countByReason)
	}
}

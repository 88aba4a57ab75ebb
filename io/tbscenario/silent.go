package tbscenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"tamarackbarrow/io/tbproxy"
)

const (
	silentRunners = 16
	silentFactor  = 0.5
	silentBefore  = 4 * time.Second
	silentAfter   = 6 * time.Second
	rateBucket    = 250 * time.Millisecond
	normalShare   = 0.95
	backWithin    = 3.0
)

func silentShape(name string) Shape {
	return Shape{
		Name: name, Entries: loadEntries, Controls: loadControls, Runners: silentRunners, Slots: loadSlots,
		Bundle: loadBundle, ServiceTime: logNormal(serviceMedian, serviceSigma), ProxiedRunners: true, Proxied: true,
	}
}

// silentRate is half of what the runners of the scenario can carry.
func silentRate() float64 { return silentFactor * loadCapacity() * silentRunners / loadRunners }

// runSilent measures how long service suffers when all open connections go silent for good.
func runSilent(ctx context.Context, env Env, r *Report) error {
	d, err := deploy(ctx, env, silentShape("silent"))
	if err != nil {
		return err
	}
	defer d.Close()
	cases := []struct {
		name   string
		strike func()
	}{
		{"to all runners", func() {
			for _, p := range d.RunnerProxies {
				p.Set(tbproxy.AnySource, tbproxy.Fault{SilentOld: true})
			}
		}},
		{"between all instances", func() {
			for _, in := range d.Cluster.Instances {
				in.Proxy.Set(tbproxy.AnySource, tbproxy.Fault{SilentOld: true})
			}
		}},
	}
	for i, c := range cases {
		label := fmt.Sprintf("silent%d", i)
		back, lost := measureStrike(ctx, d, env.Seed, label, evenly(d.Addresses()), c.strike)
		r.AtMost("open connections "+c.name+" go silent: back to the normal rate after", back, backWithin, "s")
		r.Add("open connections "+c.name+" go silent: calls not answered", float64(lost), "")
	}
	d.reportViolations(r, "")
	return nil
}

// measureStrike runs a constant load, strikes in its midst and returns the seconds until the normal rate is back.
func measureStrike(ctx context.Context, d *Deployment, seed uint64, label string, pick func(*rand.Rand) string, strike func()) (back float64, lost int) {
	rng := rand.New(rand.NewPCG(seed, 6))
	arrivals := poisson(rng, []phase{{length: silentBefore + silentAfter, rate: silentRate()}}, pick, label)
	go func() {
		time.Sleep(silentBefore)
		strike()
	}()
	outcomes := runLoad(ctx, d.Caller, arrivals)
	for _, o := range outcomes {
		if !o.result.Answered() {
			lost++
		}
	}
	return secondsUntilNormal(outcomes), lost
}

// secondsUntilNormal returns when, after the strike, the last span of calls with a low share on time ended.
//
// The normal share is that of the seconds before the strike, so that the tail of
// the service itself does not count against the system.
func secondsUntilNormal(outcomes []outcome) float64 {
	type bucket struct{ sent, onTime int }
	buckets := make([]bucket, (silentBefore+silentAfter)/rateBucket+1)
	var before bucket
	for _, o := range outcomes {
		b := &buckets[o.arrival.at/rateBucket]
		b.sent++
		onTime := o.result.Answered() && o.result.Latency <= serviceTarget
		if onTime {
			b.onTime++
		}
		if o.arrival.at > time.Second && o.arrival.at < silentBefore-serviceTarget {
			before.sent++
			if onTime {
				before.onTime++
			}
		}
	}
	normal := normalShare * float64(before.onTime) / float64(max(1, before.sent))
	last := silentBefore
	for i, b := range buckets {
		end := time.Duration(i+1) * rateBucket
		if end > silentBefore && b.sent > 0 && float64(b.onTime)/float64(b.sent) < normal {
			last = end
		}
	}
	return (last - silentBefore).Seconds()
}

// runDrain measures planned stops of runners and entries.
func runDrain(ctx context.Context, env Env, r *Report) error {
	d, err := deploy(ctx, env, silentShape("drain"))
	if err != nil {
		return err
	}
	defer d.Close()
	back, lost := measureStrike(ctx, d, env.Seed, "leave", evenly(d.Addresses()), func() {
		for _, runner := range d.Runners[:2] {
			runner.Leave()
		}
	})
	r.AtMost("two runners leave: back to the normal rate after", back, backWithin, "s")
	r.AtMost("two runners leave: calls not answered", float64(lost), 0, "")
	b := newBalancer(d.Cluster.Instances, env.Seed)
	defer b.close()
	stopped := make(chan error, 2)
	rng := rand.New(rand.NewPCG(env.Seed, 6))
	arrivals := poisson(rng, []phase{{length: silentBefore + silentAfter, rate: silentRate()}}, func(*rand.Rand) string { return "" }, "stop")
	go func() {
		time.Sleep(silentBefore)
		// The first instance may lead the control group; the last is a plain entry.
		stopped <- d.Cluster.Instances[0].Stop()
		stopped <- d.Cluster.Instances[6].Stop()
	}()
	outcomes := make([]outcome, len(arrivals))
	runAt(arrivals, func(i int, a arrival) {
		a.address = b.pick()
		outcomes[i] = outcome{arrival: a, result: d.Caller.Call(ctx, a.address, a.request)}
	})
	for range 2 {
		if err := <-stopped; err != nil {
			return fmt.Errorf("planned stop: %w", err)
		}
	}
	reportStops(r, outcomes)
	r.AtMost("two entries stop: calls not run that ran", float64(countFalseNotRun(outcomes, d.Ledger)), 0, "")
	d.reportViolations(r, "")
	return nil
}

// reportStops counts calls that were cut; a refusal is not a cut, the call was never taken.
func reportStops(r *Report, outcomes []outcome) {
	s := summarise(outcomes, serviceTarget, 0, time.Hour)
	r.AtMost("two entries stop: calls cut off", float64(s.unknown+s.failed), 0, "")
	r.AtMost("two entries stop: back to the normal rate after", secondsUntilNormal(outcomes), backWithin, "s")
	r.Add("two entries stop: calls refused", float64(s.notRun), "")
	if s.notRun+s.unknown+s.failed > 0 {
		r.Note("two entries stop: reasons %v", s.reasons)
	}
}

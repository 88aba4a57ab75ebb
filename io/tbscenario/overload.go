package tbscenario

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Parameters of the request load. It has the size of the users' current load and goes to one
// service, whose service times are heavy-tailed.
const (
	loadInstances       = 7
	loadControlReplicas = 3
	loadRunners         = 65
	loadSlots           = 8
	// A shorter serviceMedian would raise the capacity. One machine could then not send requests at four
	// times the capacity.
	serviceMedian = 200 * time.Millisecond
	serviceSigma  = 0.5
	// targetFactor is the ratio of the target latency to the median service time.
	targetFactor       = 4
	serviceTarget      = targetFactor * serviceMedian
	overloadWarmUpTime = 2 * time.Second
)

var loadBundle = fmt.Sprintf(`version = 1

[[services]]
name = "quotes"
targetLatency = %q
runDeadline = "2s"
rank = 100
idempotentMethods = ["quote"]
retryPercent = 10
queueLimit = 2000
`, serviceTarget)

// loadShape returns the deployment that the request scenarios measure.
func loadShape(name, policies string) Shape {
	return Shape{
		Name: name, Instances: loadInstances, ControlReplicas: loadControlReplicas, Runners: loadRunners, Slots: loadSlots,
		Bundle: loadBundle, ServiceTime: logNormal(serviceMedian, serviceSigma), Policies: policies,
	}
}

// loadCapacity returns the number of requests per second that keeps all slots busy.
func loadCapacity() float64 {
	mean := serviceMedian.Seconds() * math.Exp(serviceSigma*serviceSigma/2)
	return float64(loadRunners*loadSlots) / mean
}

// overloadBaselines are simpler policies. After the default policies, the scenario measures each
// of these at twice the capacity.
var overloadBaselines = []struct{ name, policies string }{
	{"no admission", "admission = false"},
	{"newest first", "newestFirst = true"},
	{"no handover", "handover = false"},
	{"random routing", "routing = \"random\""},
}

const overloadLoadTime = 6 * time.Second

// runOverload measures goodput, latency and refusals at loads from half to four times the capacity.
func runOverload(ctx context.Context, env Env, r *Report) error {
	d, err := deploy(ctx, env, loadShape("overload", ""))
	if err != nil {
		return err
	}
	peakGoodput := 0.0
	goodputByFactor := map[float64]float64{}
	for _, factor := range []float64{0.5, 0.9, 1.2, 2, 4} {
		s, falseNotRunCount := measureLoad(ctx, d, env.Seed, factor)
		g := float64(s.onTimeCount) / (overloadLoadTime - overloadWarmUpTime).Seconds() / loadCapacity()
		goodputByFactor[factor] = g
		peakGoodput = max(peakGoodput, g)
		reportLoad(r, fmt.Sprintf("%gx: ", factor), s, g, falseNotRunCount)
		if factor == 2 {
			r.AtMost("2x: p99 of answered calls", percentileMillis(s.answeredLatency, 99), float64(serviceTarget.Milliseconds()), "ms")
			r.AtMost("2x: median of refusals", percentileMillis(s.notRunLatency, 50), 10, "ms")
		}
	}
	r.AtLeast("2x: goodput against peak", goodputByFactor[2]/peakGoodput, 0.95, "")
	r.AtLeast("4x: goodput against peak", goodputByFactor[4]/peakGoodput, 0.95, "")
	d.reportViolations(r, "")
	d.Close()
	for _, b := range overloadBaselines {
		if err := measureOverloadBaseline(ctx, env, r, b.name, b.policies); err != nil {
			return err
		}
	}
	return nil
}

func measureOverloadBaseline(ctx context.Context, env Env, r *Report, name, policies string) error {
	d, err := deploy(ctx, env, loadShape("baseline", policies))
	if err != nil {
		return err
	}
	defer d.Close()
	s, falseNotRunCount := measureLoad(ctx, d, env.Seed, 2)
	g := float64(s.onTimeCount) / (overloadLoadTime - overloadWarmUpTime).Seconds() / loadCapacity()
	reportLoad(r, "baseline "+name+" 2x: ", s, g, falseNotRunCount)
	return nil
}

// measureLoad sends requests at factor times the capacity. It returns their summary without
// arrivals before overloadWarmUpTime, and how many executed requests were reported as not run.
func measureLoad(ctx context.Context, d *Deployment, seed uint64, factor float64) (summary, int) {
	rng := rand.New(rand.NewPCG(seed, uint64(factor*100)))
	phases := []loadPhase{{duration: overloadLoadTime, rate: factor * loadCapacity()}}
	label := fmt.Sprintf("%s-%g", d.shape.Name, factor)
	outcomes := sendLoad(ctx, d.Caller, drawPoissonArrivals(rng, phases, pickUniformly(d.Addresses()), label))
	return summarise(outcomes, serviceTarget, overloadWarmUpTime, overloadLoadTime), countFalseNotRun(outcomes, d.Ledger)
}

func reportLoad(r *Report, prefix string, s summary, goodput float64, falseNotRunCount int) {
	r.Add(prefix+"goodput as share of capacity", goodput, "")
	r.Add(prefix+"p50 of answered calls", percentileMillis(s.answeredLatency, 50), "ms")
	r.Add(prefix+"p99 of answered calls", percentileMillis(s.answeredLatency, 99), "ms")
	r.Add(prefix+"refused share", float64(s.notRunCount)/float64(max(1, s.sentCount)), "")
	r.AtMost(prefix+"called not run but ran", float64(falseNotRunCount), 0, "")
	if s.unknownCount+s.failedCount > 0 {
		r.Note("%s%d unknown, %d without outcome, reasons %v", prefix, s.unknownCount, s.failedCount, s.countByReason)
	}
}

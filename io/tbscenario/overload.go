package tbscenario

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// The request load of today: one order service with a heavy tail.
const (
	loadEntries  = 7
	loadControls = 3
	loadRunners  = 65
	loadSlots    = 8
	// serviceMedian is long enough for one machine to send four times the capacity.
	serviceMedian    = 200 * time.Millisecond
	serviceSigma     = 0.5
	targetMedians    = 4
	serviceTarget    = targetMedians * serviceMedian
	capacityRampTime = 2 * time.Second
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

// loadShape is the deployment that the request scenarios measure.
func loadShape(name, policies string) Shape {
	return Shape{
		Name: name, Entries: loadEntries, Controls: loadControls, Runners: loadRunners, Slots: loadSlots,
		Bundle: loadBundle, ServiceTime: logNormal(serviceMedian, serviceSigma), Policies: policies,
	}
}

// loadCapacity is the number of requests a second that keep all slots busy.
func loadCapacity() float64 {
	mean := serviceMedian.Seconds() * math.Exp(serviceSigma*serviceSigma/2)
	return float64(loadRunners*loadSlots) / mean
}

// overloadBaselines are simpler ways, measured at twice the capacity in the same run.
var overloadBaselines = []struct{ name, policies string }{
	{"no admission", "admission = false"},
	{"newest first", "newestFirst = true"},
	{"no handover", "handover = false"},
	{"random routing", "routing = \"random\""},
}

const overloadLength = 6 * time.Second

func runOverload(ctx context.Context, env Env, r *Report) error {
	d, err := deploy(ctx, env, loadShape("overload", ""))
	if err != nil {
		return err
	}
	peak := 0.0
	goodput := map[float64]float64{}
	for _, factor := range []float64{0.5, 0.9, 1.2, 2, 4} {
		s, falseNotRun := measureLoad(ctx, d, env.Seed, factor)
		g := float64(s.onTime) / (overloadLength - capacityRampTime).Seconds() / loadCapacity()
		goodput[factor] = g
		peak = max(peak, g)
		reportLoad(r, fmt.Sprintf("%gx: ", factor), s, g, falseNotRun)
		if factor == 2 {
			r.AtMost("2x: p99 of answered calls", quantile(s.answeredLatency, 99), float64(serviceTarget.Milliseconds()), "ms")
			r.AtMost("2x: median of refusals", quantile(s.refusedLatency, 50), 10, "ms")
		}
	}
	r.AtLeast("2x: goodput against peak", goodput[2]/peak, 0.95, "")
	r.AtLeast("4x: goodput against peak", goodput[4]/peak, 0.95, "")
	d.reportViolations(r, "")
	d.Close()
	for _, b := range overloadBaselines {
		if err := overloadBaseline(ctx, env, r, b.name, b.policies); err != nil {
			return err
		}
	}
	return nil
}

func overloadBaseline(ctx context.Context, env Env, r *Report, name, policies string) error {
	d, err := deploy(ctx, env, loadShape("baseline", policies))
	if err != nil {
		return err
	}
	defer d.Close()
	s, falseNotRun := measureLoad(ctx, d, env.Seed, 2)
	g := float64(s.onTime) / (overloadLength - capacityRampTime).Seconds() / loadCapacity()
	reportLoad(r, "baseline "+name+" 2x: ", s, g, falseNotRun)
	return nil
}

// measureLoad offers factor times the capacity; the first moments do not count.
func measureLoad(ctx context.Context, d *Deployment, seed uint64, factor float64) (summary, int) {
	rng := rand.New(rand.NewPCG(seed, uint64(factor*100)))
	phases := []phase{{length: overloadLength, rate: factor * loadCapacity()}}
	label := fmt.Sprintf("%s-%g", d.shape.Name, factor)
	outcomes := runLoad(ctx, d.Caller, poisson(rng, phases, evenly(d.Addresses()), label))
	return summarise(outcomes, serviceTarget, capacityRampTime, overloadLength), countFalseNotRun(outcomes, d.Ledger)
}

func reportLoad(r *Report, prefix string, s summary, goodput float64, falseNotRun int) {
	r.Add(prefix+"goodput as share of capacity", goodput, "")
	r.Add(prefix+"p50 of answered calls", quantile(s.answeredLatency, 50), "ms")
	r.Add(prefix+"p99 of answered calls", quantile(s.answeredLatency, 99), "ms")
	r.Add(prefix+"refused share", float64(s.notRun)/float64(max(1, s.sent)), "")
	r.AtMost(prefix+"called not run but ran", float64(falseNotRun), 0, "")
	if s.unknown+s.failed > 0 {
		r.Note("%s%d unknown, %d without outcome, reasons %v", prefix, s.unknown, s.failed, s.reasons)
	}
}

package tbscenario

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"time"
)

// swingPhases go from 0.3 to 1.5 of the capacity within a second and back.
func swingPhases() []phase {
	c := loadCapacity()
	return []phase{
		{length: 3 * time.Second, rate: 0.3 * c},
		{length: 500 * time.Millisecond, rate: 0.7 * c},
		{length: 500 * time.Millisecond, rate: 1.1 * c},
		{length: 4 * time.Second, rate: 1.5 * c},
		{length: 500 * time.Millisecond, rate: 1.1 * c},
		{length: 500 * time.Millisecond, rate: 0.7 * c},
		{length: 3 * time.Second, rate: 0.3 * c},
	}
}

// swingBaselines are simpler ways, measured on the same arrivals.
var swingBaselines = []struct{ name, policies string }{
	{"equal shares", "shareByDemand = false"},
	{"no handover", "handover = false"},
	{"equal shares and no handover", "shareByDemand = false\nhandover = false"},
	{"random routing", "routing = \"random\""},
	{"two choices", "routing = \"twoChoices\""},
	{"no admission", "admission = false"},
	{"newest first", "newestFirst = true"},
}

func runSwing(ctx context.Context, env Env, r *Report) error {
	share, err := measureSwing(ctx, env, r, "", "")
	if err != nil {
		return err
	}
	perfect, clairvoyant := perfectShares(swingArrivals(env.Seed, []string{"x"}), env.Seed)
	r.Add("perfect queue: share on time", perfect, "")
	r.Add("queue that knows service times: share on time", clairvoyant, "")
	r.AtLeast("share on time against the perfect queue", share/perfect, 0.95, "")
	for _, b := range swingBaselines {
		if _, err := measureSwing(ctx, env, r, "baseline "+b.name+": ", b.policies); err != nil {
			return err
		}
	}
	return nil
}

// swingArrivals gives half of all calls to the first instance.
func swingArrivals(seed uint64, addresses []string) []arrival {
	rng := rand.New(rand.NewPCG(seed, 77))
	pick := func(rng *rand.Rand) string {
		half := rng.IntN(2) == 0
		i := rng.IntN(1 << 20)
		if half {
			return addresses[0]
		}
		return addresses[i%len(addresses)]
	}
	return poisson(rng, swingPhases(), pick, "swing")
}

func measureSwing(ctx context.Context, env Env, r *Report, prefix, policies string) (float64, error) {
	d, err := deploy(ctx, env, loadShape("swing", policies))
	if err != nil {
		return 0, err
	}
	defer d.Close()
	outcomes := runLoad(ctx, d.Caller, swingArrivals(env.Seed, d.Addresses()))
	s := summarise(outcomes, serviceTarget, 0, time.Hour)
	share := float64(s.onTime) / float64(s.sent)
	r.Add(prefix+"share on time", share, "")
	r.Add(prefix+"p99 of answered calls", quantile(s.answeredLatency, 99), "ms")
	r.AtMost(prefix+"called not run but ran", float64(countFalseNotRun(outcomes, d.Ledger)), 0, "")
	if s.unknown+s.failed > 0 {
		r.Note("%s%d unknown, %d without outcome, reasons %v", prefix, s.unknown, s.failed, s.reasons)
	}
	d.reportViolations(r, prefix)
	return share, nil
}

// freeTimes is a heap of the moments when slots become free.
type freeTimes []time.Duration

func (f freeTimes) Len() int           { return len(f) }
func (f freeTimes) Less(i, j int) bool { return f[i] < f[j] }
func (f freeTimes) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }

// Push implements heap.Interface.
func (f *freeTimes) Push(x any) { *f = append(*f, x.(time.Duration)) }

// Pop implements heap.Interface.
func (f *freeTimes) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

// waitLimitStep is the distance of the wait limits among which the perfect queue chooses.
const waitLimitStep = 10 * time.Millisecond

// perfectShares computes the share on time of one queue before all slots, without any delay.
//
// The first result turns calls away by the wait limit that serves these arrivals
// best; the second knows each service time beforehand and drops whatever would
// be late, which no real system can.
func perfectShares(arrivals []arrival, seed uint64) (perfect, clairvoyant float64) {
	for limit := time.Duration(0); limit < serviceTarget; limit += waitLimitStep {
		share := queueShare(arrivals, seed, func(wait, _ time.Duration) bool { return wait > limit })
		perfect = max(perfect, share)
	}
	clairvoyant = queueShare(arrivals, seed, func(wait, service time.Duration) bool { return wait+service > serviceTarget })
	return perfect, clairvoyant
}

func queueShare(arrivals []arrival, seed uint64, drop func(wait, service time.Duration) bool) float64 {
	rng := rand.New(rand.NewPCG(seed, 78))
	draw := logNormal(serviceMedian, serviceSigma)
	free := make(freeTimes, loadRunners*loadSlots)
	onTime := 0
	for _, a := range arrivals {
		service := draw(rng)
		start := max(a.at, free[0])
		wait := start - a.at
		if drop(wait, service) {
			continue
		}
		free[0] = start + service
		heap.Fix(&free, 0)
		if wait+service <= serviceTarget {
			onTime++
		}
	}
	return float64(onTime) / float64(len(arrivals))
}

package tbscenario

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"time"
)

// swingPhases returns a load that grows from 0.3 to 1.5 times the capacity within a second. After four
// seconds it falls back within a second.
func swingPhases() []loadPhase {
	c := loadCapacity()
	return []loadPhase{
		{duration: 3 * time.Second, rate: 0.3 * c},
		{duration: 500 * time.Millisecond, rate: 0.7 * c},
		{duration: 500 * time.Millisecond, rate: 1.1 * c},
		{duration: 4 * time.Second, rate: 1.5 * c},
		{duration: 500 * time.Millisecond, rate: 1.1 * c},
		{duration: 500 * time.Millisecond, rate: 0.7 * c},
		{duration: 3 * time.Second, rate: 0.3 * c},
	}
}

// swingBaselines are simpler policies. The scenario measures each with the arrivals that it uses for
// the default policies.
var swingBaselines = []struct{ name, policies string }{
	{"equal shares", "shareByDemand = false"},
	{"no handover", "handover = false"},
	{"equal shares and no handover", "shareByDemand = false\nhandover = false"},
	{"random routing", "routing = \"random\""},
	{"two choices", "routing = \"twoChoices\""},
	{"no admission", "admission = false"},
	{"newest first", "newestFirst = true"},
}

// runSwing measures the share of calls on time under changing demand. It compares this share with the
// shares of an ideal queue and of simpler policies.
func runSwing(ctx context.Context, env Env, r *Report) error {
	share, err := measureSwing(ctx, env, r, "", "")
	if err != nil {
		return err
	}
	perfectShare, clairvoyantShare := perfectQueueShares(drawSwingArrivals(env.Seed, []string{"x"}), env.Seed)
	r.Add("perfect queue: share on time", perfectShare, "")
	r.Add("queue that knows service times: share on time", clairvoyantShare, "")
	r.AtLeast("share on time against the perfect queue", share/perfectShare, 0.95, "")
	for _, b := range swingBaselines {
		if _, err := measureSwing(ctx, env, r, "baseline "+b.name+": ", b.policies); err != nil {
			return err
		}
	}
	return nil
}

// drawSwingArrivals draws the arrivals of swingPhases. Each arrival goes to the first address
// with probability one half, and otherwise to any address with equal probability.
func drawSwingArrivals(seed uint64, addresses []string) []arrival {
	rng := rand.New(rand.NewPCG(seed, 77))
	pick := func(rng *rand.Rand) string {
		picksFirst := rng.IntN(2) == 0
		i := rng.IntN(1 << 20)
		if picksFirst {
			return addresses[0]
		}
		return addresses[i%len(addresses)]
	}
	return drawPoissonArrivals(rng, swingPhases(), pick, "swing")
}

func measureSwing(ctx context.Context, env Env, r *Report, prefix, policies string) (float64, error) {
	d, err := deploy(ctx, env, loadShape("swing", policies))
	if err != nil {
		return 0, err
	}
	defer d.Close()
	outcomes := sendLoad(ctx, d.Caller, drawSwingArrivals(env.Seed, d.Addresses()))
	s := summarise(outcomes, serviceTarget, 0, time.Hour)
	share := float64(s.onTimeCount) / float64(s.sentCount)
	r.Add(prefix+"share on time", share, "")
	r.Add(prefix+"p99 of answered calls", percentileMillis(s.answeredLatency, 99), "ms")
	r.AtMost(prefix+"called not run but ran", float64(countFalseNotRun(outcomes, d.Ledger)), 0, "")
	if s.unknownCount+s.failedCount > 0 {
		r.Note("%s%d unknown, %d without outcome, reasons %v", prefix, s.unknownCount, s.failedCount, s.countByReason)
	}
	d.reportViolations(r, prefix)
	return share, nil
}

// slotFreeTimes is a min-heap of the times at which slots become free.
type slotFreeTimes []time.Duration

func (f slotFreeTimes) Len() int           { return len(f) }
func (f slotFreeTimes) Less(i, j int) bool { return f[i] < f[j] }
func (f slotFreeTimes) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }

// Push implements heap.Interface.
func (f *slotFreeTimes) Push(x any) { *f = append(*f, x.(time.Duration)) }

// Pop implements heap.Interface.
func (f *slotFreeTimes) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

// waitLimitStep is the step between the wait limits that perfectQueueShares tries.
const waitLimitStep = 10 * time.Millisecond

// perfectQueueShares computes the share on time of a single queue for all slots, without any communication delay.
//
// For perfectShare, the queue drops each call that would wait longer than a limit. The limit is the
// best one for these arrivals. For clairvoyantShare, the queue drops each call that would exceed the
// target latency. No real system can do that, since it requires service times known in advance.
func perfectQueueShares(arrivals []arrival, seed uint64) (perfectShare, clairvoyantShare float64) {
	for limit := time.Duration(0); limit < serviceTarget; limit += waitLimitStep {
		share := simulateQueue(arrivals, seed, func(wait, _ time.Duration) bool { return wait > limit })
		perfectShare = max(perfectShare, share)
	}
	clairvoyantShare = simulateQueue(arrivals, seed, func(wait, serviceTime time.Duration) bool { return wait+serviceTime > serviceTarget })
	return perfectShare, clairvoyantShare
}

// simulateQueue returns the share of arrivals on time of a first-in, first-out queue. Calls for
// which isDropped returns true are not served.
func simulateQueue(arrivals []arrival, seed uint64, isDropped func(wait, serviceTime time.Duration) bool) float64 {
	rng := rand.New(rand.NewPCG(seed, 78))
	drawServiceTime := logNormal(serviceMedian, serviceSigma)
	freeTimes := make(slotFreeTimes, loadRunners*loadSlots)
	onTimeCount := 0
	for _, a := range arrivals {
		serviceTime := drawServiceTime(rng)
		start := max(a.at, freeTimes[0])
		wait := start - a.at
		if isDropped(wait, serviceTime) {
			continue
		}
		freeTimes[0] = start + serviceTime
		heap.Fix(&freeTimes, 0)
		if wait+serviceTime <= serviceTarget {
			onTimeCount++
		}
	}
	return float64(onTimeCount) / float64(len(arrivals))
}

package tbrelay

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// Policy says when a leader uses relays.
type Policy uint8

// Policies of a leader.
const (
	// ByLoad uses relays while the rate of orders is high.
	ByLoad Policy = iota
	// Always uses relays whenever one is available.
	Always
	// Never uses no relays.
	Never
)

// Bounds of the use of relays.
const (
	// A leader starts to use relays at highRate orders per second and stops at lowRate. At lowRate,
	// its own requests to workers take a few hundredths of a processor, and a relay would cost more
	// in all.
	highRate = 800.0
	lowRate  = 400.0
	// rateWindow is the time over which the rate of orders is measured.
	rateWindow = 250 * time.Millisecond
	// answerTimeout is the least age of a relay's last answer from which the relay is not used. The leader
	// sends each relay a request at least every ProbeInterval.
	answerTimeout = MinTimeout + ProbeInterval
	// A relay is slow, and is not used, if its answers take longer than minSlowAnswer and
	// slowAnswerFactor times as long as those of the fastest relay.
	minSlowAnswer    = 30 * time.Millisecond
	slowAnswerFactor = 5
	// answerTimeWeight and deviationWeight are the weights of one answer in the moving averages of answer times
	// and of their deviation, and deviationFactor is the number of deviations after which an answer is late.
	answerTimeWeight = 0.2
	deviationWeight  = 0.25
	deviationFactor  = 4
)

// Bounds of the times for requests to relays.
const (
	// MinTimeout and MaxTimeout bound the timeout of a request to a relay. Orders older than MaxTimeout are not sent.
	MinTimeout = 400 * time.Millisecond
	MaxTimeout = time.Second
	// MinMargin is the least time that is added to the timeout of an order for the way through a relay.
	MinMargin = 200 * time.Millisecond
)

// ProbeInterval is the longest time between two requests to a relay.
const ProbeInterval = 200 * time.Millisecond

// Router chooses the relay for each order of a leader. The zero Router has no relays.
type Router struct {
	policy Policy
	relays []*relay
	// windowStart and windowOrders measure the rate of orders. relaying is the decision that
	// follows from the rate.
	windowStart  time.Time
	windowOrders int
	relaying     bool
}

// relay is what the leader knows of one relay.
type relay struct {
	address    string
	dataCentre string
	answeredAt time.Time
	// reading is the reading of the relay's clock in its last answer.
	reading Reading
	// answerTime is the moving average of the times that answers took, and deviation that of their deviation from it.
	answerTime time.Duration
	deviation  time.Duration
	// isLost is true while the last request has failed. backedOffTimeout is the timeout of the next one then.
	isLost           bool
	backedOffTimeout time.Duration
}

// usualTime returns a time that few requests exceed.
func (l *relay) usualTime() time.Duration {
	return max(2*l.answerTime, l.answerTime+deviationFactor*l.deviation)
}

func (l *relay) timeout() time.Duration {
	return min(max(MinTimeout, l.usualTime(), l.backedOffTimeout), MaxTimeout)
}

// Choice is a relay that the router has chosen.
type Choice struct {
	Address string
	// Reading is the newest known reading of the relay's clock.
	Reading Reading
	// Margin is the time for the way through the relay, with the wait for the answer to the request before.
	Margin time.Duration
}

// NewRouter returns a router without relays.
func NewRouter(policy Policy) *Router { return &Router{policy: policy} }

// HandleAnswer records that a relay has answered a request that was sent at sentAt.
func (r *Router) HandleAnswer(now, sentAt time.Time, address, dataCentre string, reading Reading) {
	l, d := r.ensureRelay(address), now.Sub(sentAt)
	if l.isLost || l.answeredAt.IsZero() {
		l.answerTime, l.deviation = d, 0
	}
	l.isLost, l.backedOffTimeout = false, 0
	l.dataCentre, l.answeredAt, l.reading = dataCentre, now, reading
	l.deviation += time.Duration(deviationWeight * float64((d-l.answerTime).Abs()-l.deviation))
	l.answerTime += time.Duration(answerTimeWeight * float64(d-l.answerTime))
}

// HandleFailure records that a request to a relay has failed. The relay is not used until it answers
// again, for which it gets twice the time.
func (r *Router) HandleFailure(address string) {
	l := r.ensureRelay(address)
	l.isLost, l.backedOffTimeout = true, 2*l.timeout()
}

// Timeout returns the timeout of a request to a relay.
func (r *Router) Timeout(address string) time.Duration {
	if i, found := r.indexOf(address); found {
		return r.relays[i].timeout()
	}
	return MinTimeout
}

func (r *Router) ensureRelay(address string) *relay {
	i, found := r.indexOf(address)
	if !found {
		r.relays = slices.Insert(r.relays, i, &relay{address: address})
	}
	return r.relays[i]
}

func (r *Router) indexOf(address string) (int, bool) {
	return slices.BinarySearchFunc(r.relays, address, func(l *relay, address string) int { return cmp.Compare(l.address, address) })
}

// HandleLeadershipLost forgets all relays and the rate of orders.
func (r *Router) HandleLeadershipLost() { *r = Router{policy: r.policy} }

// Choose counts an order and returns the relay for it. It returns false if the leader should send
// the order itself.
//
// Orders to one worker go to the same relay while the set of relays does not change, so that the
// relay can reuse its connection. Relays in the worker's data centre are preferred.
func (r *Router) Choose(now time.Time, worker, dataCentre string) (Choice, bool) {
	r.countOrder(now)
	if !r.WantsRelays() {
		return Choice{}, false
	}
	fastest := r.fastestAnswer(now)
	var best *relay
	var bestRank uint64
	for _, l := range r.relays {
		if !l.isUsable(now, fastest) {
			continue
		}
		rank := hash(l.address, worker) >> 1
		if l.dataCentre == dataCentre {
			rank |= 1 << 63
		}
		if best == nil || rank > bestRank {
			best, bestRank = l, rank
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{Address: best.address, Reading: best.reading, Margin: min(max(MinMargin, best.usualTime()), MaxTimeout)}, true
}

// WantsRelays reports whether the leader uses relays as soon as some are available.
func (r *Router) WantsRelays() bool { return r.policy == Always || r.policy == ByLoad && r.relaying }

func (r *Router) countOrder(now time.Time) {
	elapsed := now.Sub(r.windowStart)
	if elapsed >= rateWindow {
		rate := float64(r.windowOrders) / elapsed.Seconds()
		r.relaying = rate >= highRate || r.relaying && rate >= lowRate
		r.windowStart, r.windowOrders = now, 0
	}
	r.windowOrders++
}

func (r *Router) fastestAnswer(now time.Time) time.Duration {
	fastest := time.Duration(-1)
	for _, l := range r.relays {
		if l.isAnswering(now) && (fastest < 0 || l.answerTime < fastest) {
			fastest = l.answerTime
		}
	}
	return fastest
}

func (l *relay) isUsable(now time.Time, fastest time.Duration) bool {
	isSlow := l.answerTime > minSlowAnswer && l.answerTime > slowAnswerFactor*fastest
	return l.isAnswering(now) && !isSlow
}

// isAnswering reports whether the relay has answered and its next answer is not late.
func (l *relay) isAnswering(now time.Time) bool {
	return !l.isLost && now.Sub(l.answeredAt) < max(answerTimeout, l.timeout()+ProbeInterval)
}

func hash(address, worker string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(address))
	h.Write([]byte{0})
	h.Write([]byte(worker))
	// The low bits of FNV hardly change the high ones, which decide the order of hashes.
	x := h.Sum64()
	x ^= x >> 32
	x *= 0x9e3779b97f4a7c15
	return x ^ x>>29
}

package tbrelay

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
)

// A relay is suspended for some seconds between the arrival of an order and its sending. Its leader
// may have been replaced meanwhile, and the permission to send has expired.
func TestSuspendedRelayDoesNotSend(t *testing.T) {
	issued := Reading{Session: 1, Clock: 10 * time.Second}
	for _, c := range []struct {
		name   string
		now    Reading
		issued Reading
		want   bool
	}{
		{"at once", Reading{1, 10 * time.Second}, issued, true},
		{"within the limit", Reading{1, 11 * time.Second}, issued, true},
		{"after a suspension", Reading{1, 15 * time.Second}, issued, false},
		{"after a restart", Reading{2, 10 * time.Second}, issued, false},
		{"without a reading", Reading{1, 10 * time.Second}, Reading{}, false},
	} {
		qt.Check(t, Fresh(c.now, c.issued, time.Second), qt.Equals, c.want, qt.Commentf("%s", c.name))
	}
}

// Results arrive late, twice or not at all, relays are lost, and deadlines pass. The leader gets
// exactly one result for each order.
func TestEachPendingOrderIsTakenOnce(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 7))
		p, now := NewPending(rng.Uint64()>>1), start
		taken := map[uint64]int{}
		count := func(orders []PendingOrder) {
			for _, o := range orders {
				taken[o.ID]++
			}
		}
		var ids []uint64
		for range 300 {
			now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
			switch rng.IntN(8) {
			case 0:
				count(p.TakeExpired(now))
			case 1:
				if rng.IntN(10) == 0 {
					count(p.TakeOf([]string{"a", "b"}[rng.IntN(2)]))
				}
			case 2, 3, 4:
				if len(ids) > 0 {
					if o, ok := p.Take(ids[rng.IntN(len(ids))]); ok {
						count([]PendingOrder{o})
					}
				}
			default:
				ids = append(ids, p.Add(PendingOrder{
					Order: tbfleet.Stop{}, Relay: []string{"a", "b"}[rng.IntN(2)], IssuedAt: now, Deadline: now.Add(time.Duration(rng.IntN(400)) * time.Millisecond),
				}))
			}
		}
		count(p.TakeExpired(now.Add(time.Second)))
		qt.Check(t, p.Size(), qt.Equals, 0)
		qt.Check(t, len(taken), qt.Equals, len(ids))
		for _, id := range ids {
			qt.Check(t, taken[id], qt.Equals, 1, qt.Commentf("seed %d, order %d", seed, id))
		}
	}
}

func TestPostponedOrdersExpireLater(t *testing.T) {
	p := NewPending(0)
	p.Add(PendingOrder{Deadline: start.Add(time.Second)})
	p.Postpone(2 * time.Second)
	p.Add(PendingOrder{Deadline: start.Add(time.Second)})
	qt.Check(t, p.TakeExpired(start.Add(2*time.Second)), qt.HasLen, 1)
	qt.Check(t, p.TakeExpired(start.Add(3*time.Second-1)), qt.HasLen, 0)
	qt.Check(t, p.TakeExpired(start.Add(3*time.Second)), qt.HasLen, 1)
}

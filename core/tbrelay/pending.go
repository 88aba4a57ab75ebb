package tbrelay

import (
	"slices"
	"time"

	"tamarackbarrow/core/tbfleet"
)

// Reading is a reading of a relay's clock. The zero Reading means that there is none.
type Reading struct {
	// Session identifies the lifetime of the relay's process. Readings of different sessions cannot
	// be compared.
	Session int64
	// Clock is the time since an arbitrary moment. The clock also advances while the instance is
	// suspended.
	Clock time.Duration
}

// Fresh reports whether a relay may still send an order. issued is the reading of the relay's clock
// that the leader had when it issued the order. now is the present reading.
//
// The leader reckons that no order is executed later than a certain time after it was issued. A relay
// that was suspended, or that got the order late, must not send the order after that time. The clocks
// of leader and relay cannot be compared, so the age is measured on the relay's clock alone. That
// clock must also advance while the instance is suspended.
func Fresh(now, issued Reading, maxAge time.Duration) bool {
	return issued != Reading{} && issued.Session == now.Session && now.Clock-issued.Clock <= maxAge
}

// PendingOrder is an order that was passed to a relay and whose result has not arrived.
type PendingOrder struct {
	ID    uint64
	Order tbfleet.Order
	// Term is the term in which the leader issued the order.
	Term uint64
	// Relay is the address of the relay.
	Relay string
	// Issued is the reading of the relay's clock that the leader had when it issued the order.
	Issued Reading
	// IssuedAt is when the leader issued the order. At Deadline, the order is unconfirmed.
	IssuedAt time.Time
	Deadline time.Time
}

// Pending holds the pending orders of a leader. Each order is taken exactly once: with its result,
// with the failure of its relay, or at its deadline.
type Pending struct {
	lastID uint64
	orders map[uint64]PendingOrder
}

// NewPending returns an empty set. The ids of its orders begin after firstID, which has to differ
// between two processes that may get each other's results.
func NewPending(firstID uint64) *Pending {
	return &Pending{lastID: firstID, orders: map[uint64]PendingOrder{}}
}

// Add adds an order and returns its id.
func (p *Pending) Add(o PendingOrder) uint64 {
	p.lastID++
	o.ID = p.lastID
	p.orders[o.ID] = o
	return o.ID
}

// Take removes and returns an order. It returns false if the order was taken already.
func (p *Pending) Take(id uint64) (PendingOrder, bool) {
	o, ok := p.orders[id]
	delete(p.orders, id)
	return o, ok
}

// TakeExpired removes and returns the orders whose deadline has passed, in order of their ids.
func (p *Pending) TakeExpired(now time.Time) []PendingOrder {
	return p.takeAll(func(o PendingOrder) bool { return !now.Before(o.Deadline) })
}

// Postpone moves all deadlines by d.
func (p *Pending) Postpone(d time.Duration) {
	for id, o := range p.orders {
		o.Deadline = o.Deadline.Add(d)
		p.orders[id] = o
	}
}

// TakeOf removes and returns the orders of a relay, in order of their ids.
func (p *Pending) TakeOf(relay string) []PendingOrder {
	return p.takeAll(func(o PendingOrder) bool { return o.Relay == relay })
}

// Size returns the number of pending orders.
func (p *Pending) Size() int { return len(p.orders) }

func (p *Pending) takeAll(matches func(PendingOrder) bool) []PendingOrder {
	var taken []PendingOrder
	for id, o := range p.orders {
		if matches(o) {
			taken = append(taken, o)
			delete(p.orders, id)
		}
	}
	slices.SortFunc(taken, func(a, b PendingOrder) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return taken
}

package tbqueue

import "slices"

// Order is the order in which the items of one member are served.
type Order uint8

// Values of Order.
const (
	// OldestFirst serves items in order of arrival (FIFO).
	OldestFirst Order = iota
	// NewestFirst serves the newest item first (LIFO). This item has the most time left before its deadline.
	NewestFirst
)

// Queue is a bounded queue of item ids that serves members round-robin; New returns one.
type Queue struct {
	limit   int
	count   int
	members []*memberQueue
	// next is the index in members of the member whose turn it is.
	next int
}

// memberQueue holds the items of one member in order of arrival.
type memberQueue struct {
	member string
	ids    []uint64
}

// New returns an empty queue that holds at most limit items.
func New(limit int) *Queue { return &Queue{limit: limit} }

// Len returns the number of items of all members.
func (q *Queue) Len() int { return q.count }

// SetLimit changes the largest number of items. Items already queued above the new limit stay.
func (q *Queue) SetLimit(limit int) { q.limit = limit }

// Push adds an item of member and reports whether the queue had room for it.
func (q *Queue) Push(member string, id uint64) bool {
	if q.count >= q.limit {
		return false
	}
	m := q.lookup(member)
	if m == nil {
		m = &memberQueue{member: member}
		q.members = append(q.members, m)
	}
	m.ids = append(m.ids, id)
	q.count++
	return true
}

// lookup returns the items of member, or nil if it has none.
func (q *Queue) lookup(member string) *memberQueue {
	i := slices.IndexFunc(q.members, func(m *memberQueue) bool { return m.member == member })
	if i < 0 {
		return nil
	}
	return q.members[i]
}

// Pop removes and returns the next item of the member whose turn it is. It returns false if the queue
// is empty.
func (q *Queue) Pop(order Order) (uint64, bool) {
	if q.count == 0 {
		return 0, false
	}
	q.next %= len(q.members)
	m := q.members[q.next]
	i := 0
	if order == NewestFirst {
		i = len(m.ids) - 1
	}
	id := m.ids[i]
	m.ids = slices.Delete(m.ids, i, i+1)
	q.count--
	if len(m.ids) == 0 {
		q.members = slices.Delete(q.members, q.next, q.next+1)
		return id, true
	}
	q.next++
	return id, true
}

// Remove removes an item of member and reports whether it was queued.
func (q *Queue) Remove(member string, id uint64) bool {
	m := q.lookup(member)
	if m == nil {
		return false
	}
	i := slices.Index(m.ids, id)
	if i < 0 {
		return false
	}
	m.ids = slices.Delete(m.ids, i, i+1)
	q.count--
	if len(m.ids) == 0 {
		at := slices.Index(q.members, m)
		q.members = slices.Delete(q.members, at, at+1)
		if at < q.next {
			q.next--
		}
	}
	return true
}

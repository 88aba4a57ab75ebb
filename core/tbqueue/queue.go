package tbqueue

import "slices"

// Order is the order of one member's items.
type Order uint8

// Orders of items of the same member.
const (
	// OldestFirst serves in order of arrival.
	OldestFirst Order = iota
	// NewestFirst serves the item that has waited least, which has most time left.
	NewestFirst
)

// Queue holds items by id; members take turns.
type Queue struct {
	limit   int
	count   int
	members []*lane
	next    int
}

type lane struct {
	member string
	ids    []uint64
}

// New returns an empty queue for at most limit items.
func New(limit int) *Queue { return &Queue{limit: limit} }

// Len returns the number of items.
func (q *Queue) Len() int { return q.count }

// SetLimit changes the largest number of items; items above it stay.
func (q *Queue) SetLimit(limit int) { q.limit = limit }

// Push adds an item and reports whether there was room.
func (q *Queue) Push(member string, id uint64) bool {
	if q.count >= q.limit {
		return false
	}
	l := q.lane(member)
	if l == nil {
		l = &lane{member: member}
		q.members = append(q.members, l)
	}
	l.ids = append(l.ids, id)
	q.count++
	return true
}

func (q *Queue) lane(member string) *lane {
	i := slices.IndexFunc(q.members, func(l *lane) bool { return l.member == member })
	if i < 0 {
		return nil
	}
	return q.members[i]
}

// Pop takes the next item of the next member, or returns false when empty.
func (q *Queue) Pop(order Order) (uint64, bool) {
	if q.count == 0 {
		return 0, false
	}
	q.next %= len(q.members)
	l := q.members[q.next]
	i := 0
	if order == NewestFirst {
		i = len(l.ids) - 1
	}
	id := l.ids[i]
	l.ids = slices.Delete(l.ids, i, i+1)
	q.count--
	if len(l.ids) == 0 {
		q.members = slices.Delete(q.members, q.next, q.next+1)
		return id, true
	}
	q.next++
	return id, true
}

// Remove takes an item out and reports whether it was there.
func (q *Queue) Remove(member string, id uint64) bool {
	l := q.lane(member)
	if l == nil {
		return false
	}
	i := slices.Index(l.ids, id)
	if i < 0 {
		return false
	}
	l.ids = slices.Delete(l.ids, i, i+1)
	q.count--
	if len(l.ids) == 0 {
		at := slices.Index(q.members, l)
		q.members = slices.Delete(q.members, at, at+1)
		if at < q.next {
			q.next--
		}
	}
	return true
}

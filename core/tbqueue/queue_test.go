package tbqueue_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbqueue"
)

func popAll(q *tbqueue.Queue, order tbqueue.Order) []uint64 {
	var ids []uint64
	for {
		id, ok := q.Pop(order)
		if !ok {
			return ids
		}
		ids = append(ids, id)
	}
}

func TestMembersAreServedRoundRobin(t *testing.T) {
	for _, test := range []struct {
		order tbqueue.Order
		want  []uint64
	}{
		{tbqueue.OldestFirst, []uint64{1, 5, 2, 3, 4}},
		{tbqueue.NewestFirst, []uint64{4, 5, 3, 2, 1}},
	} {
		q := tbqueue.New(10)
		for id := uint64(1); id <= 4; id++ {
			q.Push("busy", id)
		}
		q.Push("quiet", 5)
		qt.Check(t, popAll(q, test.order), qt.DeepEquals, test.want)
	}
}

func TestPushFailsAtLimitAndRemovedItemIsNotPopped(t *testing.T) {
	q := tbqueue.New(2)
	qt.Check(t, q.Push("a", 1), qt.IsTrue)
	qt.Check(t, q.Push("b", 2), qt.IsTrue)
	qt.Check(t, q.Push("c", 3), qt.IsFalse)
	qt.Check(t, q.Remove("a", 1), qt.IsTrue)
	qt.Check(t, q.Remove("a", 1), qt.IsFalse)
	qt.Check(t, popAll(q, tbqueue.OldestFirst), qt.DeepEquals, []uint64{2})
}

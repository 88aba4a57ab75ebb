package tbfleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// workersAt returns the IDs of the registered workers at an address, except exceptID. It searches
// all workers and does not use the index.
func workersAt(f *Fleet, address, exceptID string) (ids []string) {
	for _, w := range f.sortedWorkers {
		if w.ID != exceptID && w.registered && w.Address == address {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

// A few workers report from a few addresses, restart, sign off and are removed, in random order. A
// report must replace all other workers that workersAt finds at the reported address.
func TestReportReplacesOtherWorkersAtItsAddress(t *testing.T) {
	for seed := range uint64(50) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		f := New(Params{SilenceTimeout: time.Second, MaxOrderDelay: 3 * time.Second}, 1)
		now := time.UnixMilli(1_700_000_000_000)
		replacedCount := 0
		for i := range 2000 {
			now = now.Add(time.Duration(rnd.IntN(800)) * time.Millisecond)
			r := Report{
				ID: fmt.Sprint("w", rnd.IntN(8)), Address: fmt.Sprint("a", rnd.IntN(6)),
				Incarnation: int64(1 + i/(1+rnd.IntN(40))), Sequence: uint64(i), Draining: rnd.IntN(4) == 0,
			}
			others := workersAt(f, r.Address, r.ID)
			if f.HandleReport(now, r) {
				for _, id := range others {
					replacedCount++
					qt.Assert(t, f.Worker(id), qt.IsNil, qt.Commentf("seed %d, event %d", seed, i))
				}
			}
			switch rnd.IntN(10) {
			case 0:
				f.HandleSignOff(now, r.ID)
			case 1:
				f.removeSilent(now)
			}
			indexedCount := 0
			for address, workers := range f.workersByAddress {
				for _, w := range workers {
					indexedCount++
					qt.Assert(t, w.Address, qt.Equals, address)
					qt.Assert(t, f.workers[w.ID], qt.Equals, w)
				}
			}
			for _, w := range f.sortedWorkers {
				if w.Address != "" {
					indexedCount--
				}
			}
			qt.Assert(t, indexedCount, qt.Equals, 0)
		}
		qt.Check(t, replacedCount > 100, qt.IsTrue, qt.Commentf("seed %d: %d replaced", seed, replacedCount))
	}
}

package tbfleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A worker is removed and another one appears between two calls of Workers, so the number of
// workers stays the same. Workers must not return the earlier list.
func TestWorkersAreSortedAfterOneReplacedAnother(t *testing.T) {
	f := New(Params{SilenceTimeout: time.Second}, 1)
	now := time.UnixMilli(1_700_000_000_000)
	ids := func() []string {
		var all []string
		for _, w := range f.Workers() {
			all = append(all, w.ID)
		}
		return all
	}
	report := func(id string) { f.HandleReport(now, Report{ID: id, Address: id, Incarnation: 1, Sequence: 1}) }
	report("m")
	report("z")
	qt.Check(t, ids(), qt.DeepEquals, []string{"m", "z"})
	now = now.Add(2 * removeSilentAfter)
	f.workers["z"].LastHeardAt = now
	f.removeSilent(now)
	report("a")
	qt.Check(t, ids(), qt.DeepEquals, []string{"a", "z"})
	f.HandleReport(now, Report{ID: "z", Address: "z", Incarnation: 1, Sequence: 2, Draining: true})
	f.HandleSignOff(now, "z")
	qt.Check(t, ids(), qt.DeepEquals, []string{"a"})
}

package tbfleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A worker is forgotten and another one appears between two calls, so that there are as
// many as before: the order that was kept is not used for them.
func TestWorkersAreInOrderAfterOneTookThePlaceOfAnother(t *testing.T) {
	f := New(Terms{HeartbeatSilence: time.Second}, 1)
	now := time.UnixMilli(1_700_000_000_000)
	ids := func() []string {
		var all []string
		for _, w := range f.Workers() {
			all = append(all, w.ID)
		}
		return all
	}
	hear := func(id string) { f.Heard(now, Report{ID: id, Address: id, Born: 1, Sequence: 1}) }
	hear("m")
	hear("z")
	qt.Check(t, ids(), qt.DeepEquals, []string{"m", "z"})
	now = now.Add(2 * forgetAfter)
	f.workers["z"].HeardAt = now
	f.forgetSilent(now)
	hear("a")
	qt.Check(t, ids(), qt.DeepEquals, []string{"a", "z"})
	f.Heard(now, Report{ID: "z", Address: "z", Born: 1, Sequence: 2, Draining: true})
	f.Left(now, "z")
	qt.Check(t, ids(), qt.DeepEquals, []string{"a"})
}

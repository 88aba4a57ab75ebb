package tbrouting_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbrouting"
)

func newPool(n int) *tbrouting.Pool {
	p := tbrouting.New(tbrouting.DefaultPolicy(), "north", rand.New(rand.NewPCG(1, 1)))
	for i := range n {
		p.Put(&tbrouting.Runner{ID: fmt.Sprint(i), DataCentre: []string{"north", "south"}[i%2], Available: true, SlotLimit: 2})
	}
	return p
}

func TestPickPrefersLeastLoadedThenSameDataCentre(t *testing.T) {
	p := newPool(4)
	now := time.Unix(100, 0)
	p.Get("0").InUse = 1
	qt.Check(t, p.Pick(now, nil).ID, qt.Equals, "2")
	qt.Check(t, p.Pick(now, []string{"2"}).DataCentre, qt.Equals, "south")
	for _, r := range p.Runners() {
		r.InUse = r.SlotLimit
	}
	qt.Check(t, p.Pick(now, nil), qt.IsNil)
}

func TestEjectionIsBoundedAndExpires(t *testing.T) {
	p := newPool(6)
	now := time.Unix(100, 0)
	ejected := 0
	for _, r := range p.Runners() {
		for range 5 {
			if p.ReportFailure(r, now) {
				ejected++
			}
		}
	}
	qt.Check(t, ejected, qt.Equals, 2, qt.Commentf("at most a third of the six runners"))
	qt.Check(t, p.FreeSlots(now), qt.Equals, 8)
	qt.Check(t, p.FreeSlots(now.Add(time.Minute)), qt.Equals, 12)
}

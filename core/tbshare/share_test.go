package tbshare_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbshare"
)

var policy = tbshare.Policy{BaseWeight: 2, Tolerance: 0.1}

func Example() {
	holders := []tbshare.Holder{{Key: "entry-1", Demand: 6}, {Key: "entry-2", Demand: 0}}
	runners := []tbshare.Runner{{ID: "runner-1", Slots: 5}}
	for _, change := range tbshare.Plan(holders, runners, policy) {
		fmt.Println(change.Holder, change.Target)
	}
	// Output:
	// entry-1 4
	// entry-2 1
}

// apply applies changes as the replicated state does and checks that no runner exceeds its slots.
func apply(t *testing.T, runners []tbshare.Runner, changes []tbshare.Change) {
	for _, c := range changes {
		for i := range runners {
			if runners[i].ID == c.Runner {
				setTarget(&runners[i], c)
			}
		}
	}
	for _, r := range runners {
		sum := 0
		for _, g := range r.Grants {
			sum += g.Granted
		}
		qt.Assert(t, sum <= r.Slots, qt.IsTrue, qt.Commentf("%+v", r))
	}
}

func setTarget(r *tbshare.Runner, c tbshare.Change) {
	for i := range r.Grants {
		if r.Grants[i].Holder == c.Holder {
			r.Grants[i].Target = c.Target
			r.Grants[i].Granted = max(r.Grants[i].Granted, c.Target)
			return
		}
	}
	r.Grants = append(r.Grants, tbshare.Grant{Holder: c.Holder, Granted: c.Target, Target: c.Target})
}

func TestPlanAssignsAllSlotsWithinCapacity(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	for range 200 {
		var runners []tbshare.Runner
		for i := range 1 + rng.IntN(12) {
			runners = append(runners, tbshare.Runner{ID: fmt.Sprint("r", i), Slots: 8})
		}
		holders := make([]tbshare.Holder, 1+rng.IntN(8))
		for step := range 12 {
			for h := range holders {
				holders[h].Key = fmt.Sprint("h", h)
				// The demand is constant from step 6 on.
				if step < 6 {
					holders[h].Demand = rng.Float64() * 40
				}
			}
			apply(t, runners, tbshare.Plan(holders, runners, policy))
			for i := range runners {
				for g := range runners[i].Grants {
					runners[i].Grants[g].Granted = runners[i].Grants[g].Target
				}
			}
		}
		qt.Assert(t, totalTarget(runners), qt.Equals, 8*len(runners), qt.Commentf("slots remain unassigned after the demand became constant"))
	}
}

func totalTarget(runners []tbshare.Runner) int {
	sum := 0
	for _, r := range runners {
		for _, g := range r.Grants {
			sum += g.Target
		}
	}
	return sum
}

func TestNoChangeWithinTolerance(t *testing.T) {
	holders := []tbshare.Holder{{Key: "a", Demand: 20}, {Key: "b", Demand: 21}}
	runners := []tbshare.Runner{{ID: "r", Slots: 40, Grants: []tbshare.Grant{
		{Holder: "a", Granted: 20, Target: 20}, {Holder: "b", Granted: 20, Target: 20},
	}}}
	qt.Check(t, tbshare.Plan(holders, runners, policy), qt.HasLen, 0)
}

package tbshare_test

import (
	"fmt"
	"testing"

	"tamarackbarrow/core/tbshare"
)

func benchmarkInput(runners, holders int) ([]tbshare.Holder, []tbshare.Runner) {
	var hs []tbshare.Holder
	for i := range holders {
		hs = append(hs, tbshare.Holder{Key: fmt.Sprint("entry-", i), Demand: float64(10 + i)})
	}
	var rs []tbshare.Runner
	for i := range runners {
		rs = append(rs, tbshare.Runner{ID: fmt.Sprint("runner-", i), Slots: 8})
	}
	return hs, rs
}

// BenchmarkFirstPlan plans a service whose slots are all still unassigned.
func BenchmarkFirstPlan(b *testing.B) {
	for _, n := range []int{65, 260, 1040, 3700} {
		hs, rs := benchmarkInput(n, 17)
		b.Run(fmt.Sprint(n, " runners"), func(b *testing.B) {
			for b.Loop() {
				tbshare.Plan(hs, rs, policy)
			}
		})
	}
}

// BenchmarkSteadyPlan plans again after the changes of the first plan have been applied.
func BenchmarkSteadyPlan(b *testing.B) {
	for _, n := range []int{65, 260, 1040, 3700} {
		hs, rs := benchmarkInput(n, 17)
		for _, c := range tbshare.Plan(hs, rs, policy) {
			for i := range rs {
				if rs[i].ID == c.Runner {
					setTarget(&rs[i], c)
				}
			}
		}
		b.Run(fmt.Sprint(n, " runners"), func(b *testing.B) {
			for b.Loop() {
				tbshare.Plan(hs, rs, policy)
			}
		})
	}
}

package tblease_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tblease"
)

func Example() {
	params := tblease.Params{Duration: 3 * time.Second, ClockRateBound: 0.01}
	grantor, holder := tblease.NewGrantor(params), tblease.NewHolder(params)
	sent := time.Unix(100, 0)
	received := sent.Add(2 * time.Millisecond)
	grantor.Grant("entry-1", received)
	holder.Renew(sent)
	at := sent.Add(2990 * time.Millisecond)
	fmt.Println(holder.Valid(at), grantor.Expired("entry-1", at))
	// Output: false false
}

// The rates of the holder's and the grantor's clock differ by at most the bound.
func TestLeaseEndsAtHolderBeforeGrantor(t *testing.T) {
	params := tblease.Params{Duration: time.Second, ClockRateBound: 0.05}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 10_000 {
		// The rate of each clock differs from that of true time by at most half the bound.
		holderRate := 1 + (rng.Float64()-0.5)*params.ClockRateBound
		grantorRate := 1 + (rng.Float64()-0.5)*params.ClockRateBound
		delay := time.Duration(rng.Int64N(int64(time.Second)))
		holderEnds := float64(params.HolderDuration()) / holderRate
		grantorEnds := float64(delay) + float64(params.GrantorDuration())/grantorRate
		qt.Assert(t, holderEnds <= grantorEnds, qt.IsTrue)
	}
}

func TestNewGrantorWaitsForLeasesOfPreviousGrantor(t *testing.T) {
	g := tblease.NewGrantor(tblease.Params{Duration: time.Second})
	now := time.Unix(100, 0)
	g.AssumeGranted([]string{"a"}, now)
	qt.Check(t, g.Expired("a", now.Add(999*time.Millisecond)), qt.IsFalse)
	qt.Check(t, g.Expired("a", now.Add(time.Second)), qt.IsTrue)
	qt.Check(t, g.Expired("never granted", now), qt.IsTrue)
}

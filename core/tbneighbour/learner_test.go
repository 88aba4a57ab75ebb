package tbneighbour_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbneighbour"
)

const baseTime = 200 * time.Millisecond

// observeAndLearn reports answers of every runner with log-normal times that follow trueCosts,
// then calls Learn.
func observeAndLearn(l *tbneighbour.Learner, rng *rand.Rand, runners []tbneighbour.Runner, trueCosts map[string]float64, now time.Time) {
	for _, r := range runners {
		slowdown := 1.0
		for _, t := range r.Tasks {
			slowdown += trueCosts[t.Kind] * t.Share
		}
		sum := 0.0
		const answers = 45
		for range answers {
			// The divisor is the mean of the log-normal factor.
			sum += baseTime.Seconds() * slowdown * math.Exp(0.5*rng.NormFloat64()) / math.Exp(0.125)
		}
		l.Observe(r.ID, answers, time.Duration(sum/answers*float64(time.Second)))
	}
	l.Learn(runners, now)
}

// randomRunners returns n runners, each co-located with four tasks of random kinds.
func randomRunners(rng *rand.Rand, n int) []tbneighbour.Runner {
	var runners []tbneighbour.Runner
	for i := range n {
		r := tbneighbour.Runner{ID: fmt.Sprint("runner-", i), Service: "quotes"}
		for k := range 4 {
			kind := []string{"noisy", "quiet"}[rng.IntN(2)]
			r.Tasks = append(r.Tasks, tbneighbour.Task{Job: fmt.Sprint(i, k), Kind: kind, Share: 0.25})
		}
		runners = append(runners, r)
	}
	return runners
}

func TestLearnerTellsNoisyFromQuietKinds(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	l := tbneighbour.New()
	now := time.Unix(1000, 0)
	trueCosts := map[string]float64{"noisy": 0.6, "quiet": 0.05}
	for range 10 {
		now = now.Add(3 * time.Second)
		observeAndLearn(l, rng, randomRunners(rng, 65), trueCosts, now)
	}
	noisy := l.Cost("quotes", tbneighbour.Task{Kind: "noisy", Share: 1})
	quiet := l.Cost("quotes", tbneighbour.Task{Kind: "quiet", Share: 1})
	t.Logf("noisy %.2f, quiet %.2f", noisy, quiet)
	qt.Check(t, noisy > 0.35 && noisy < 0.85, qt.IsTrue)
	qt.Check(t, quiet < 0.2, qt.IsTrue)
}

func TestLearnerFollowsChangedCosts(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 1))
	l := tbneighbour.New()
	now := time.Unix(1000, 0)
	for i := range 20 {
		trueCosts := map[string]float64{"noisy": 0.6, "quiet": 0.05}
		if i >= 10 {
			trueCosts = map[string]float64{"noisy": 0.05, "quiet": 0.6}
		}
		now = now.Add(3 * time.Second)
		observeAndLearn(l, rng, randomRunners(rng, 65), trueCosts, now)
	}
	noisy := l.Cost("quotes", tbneighbour.Task{Kind: "noisy", Share: 1})
	quiet := l.Cost("quotes", tbneighbour.Task{Kind: "quiet", Share: 1})
	qt.Check(t, quiet > noisy+0.2, qt.IsTrue, qt.Commentf("noisy %.2f, quiet %.2f", noisy, quiet))
}

func TestCostDecaysWithoutMeasurements(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 1))
	l := tbneighbour.New()
	now := time.Unix(1000, 0)
	for range 5 {
		now = now.Add(3 * time.Second)
		observeAndLearn(l, rng, randomRunners(rng, 65), map[string]float64{"noisy": 1}, now)
	}
	task := tbneighbour.Task{Kind: "noisy", Share: 1}
	before := l.Cost("quotes", task)
	for range 200 {
		now = now.Add(500 * time.Millisecond)
		l.Learn(nil, now)
	}
	qt.Check(t, l.Cost("quotes", task) < before/10, qt.IsTrue)
}

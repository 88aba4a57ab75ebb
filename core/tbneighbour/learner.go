package tbneighbour

import (
	"slices"
	"time"
)

// Task is a batch task on an instance.
type Task struct {
	Job  string
	Kind string
	// Share is the share of the instance's capacity that the task has reserved, from 0 to 1.
	Share float64
}

// Measurement is the latest slowdown of a runner; the zero value means that there is none.
type Measurement struct {
	// Slowdown is the runner's smoothed response time relative to the service's baseline, at least 1.
	Slowdown float64
	// At is when the slowdown was computed.
	At time.Time
}

// pair is a service and a job kind that is co-located with the service.
type pair struct {
	service string
	kind    string
}

// window accumulates the reports about a runner since its last measurement.
type window struct {
	answers int
	// sum is the total time of the answers.
	sum time.Duration
}

// Learner holds the slowdown of each runner and the interference cost of each pair.
type Learner struct {
	windows  map[string]window
	measured map[string]Measurement
	// smoothedTimes is the smoothed mean response time of each runner in seconds.
	smoothedTimes map[string]float64
	// baseline is the response time without interference in seconds, by service.
	baseline map[string]float64
	costs    map[pair]cost
}

// cost is what tasks of a kind add to the slowdown of a service if they fill the whole instance.
type cost struct {
	value float64
	// updatedAt is when the cost was last fitted to a measurement or last decayed.
	updatedAt time.Time
}

// New returns a learner without any measurements.
func New() *Learner {
	return &Learner{
		windows: map[string]window{}, measured: map[string]Measurement{}, smoothedTimes: map[string]float64{},
		baseline: map[string]float64{}, costs: map[pair]cost{},
	}
}

// Parameters of learning.
const (
	// minAnswers is the smallest number of answers in a measurement.
	minAnswers = 40
	// baselineQuantile is the quantile of the runners' times at which a service's baseline starts.
	baselineQuantile = 0.25
	// baselineLearningRate is the step size of the baseline.
	baselineLearningRate = 0.05
	// smoothingWeight is the weight of a new measurement in smoothedTimes.
	smoothingWeight = 0.5
	// costLearningRate is the step size of the costs.
	costLearningRate = 0.1
	// decayInterval is the time without measurements after which a cost decays by decayFraction.
	decayInterval = 2 * time.Second
	// decayFraction is the part of a cost that one decay removes.
	decayFraction = 0.1
)

// Observe adds an entry's report about a runner: the number of answers and their mean time.
func (l *Learner) Observe(runner string, answers int, mean time.Duration) {
	w := l.windows[runner]
	l.windows[runner] = window{answers: w.answers + answers, sum: w.sum + time.Duration(answers)*mean}
}

// Runner is a runner with the tasks on the same instance.
type Runner struct {
	ID      string
	Service string
	Tasks   []Task
}

// Learn updates the measurements and costs from those runners that have at least minAnswers reported
// answers. Costs without new measurements decay. runners has to contain all runners that are
// co-located with a worker.
func (l *Learner) Learn(runners []Runner, now time.Time) {
	var fresh []Runner
	means := map[string]float64{}
	for _, r := range runners {
		if w := l.windows[r.ID]; w.answers >= minAnswers {
			delete(l.windows, r.ID)
			means[r.ID] = w.sum.Seconds() / float64(w.answers)
			l.smoothTime(r, means[r.ID])
			fresh = append(fresh, r)
		}
	}
	l.initBaselines(runners)
	for _, r := range fresh {
		l.fitRunner(r, means[r.ID], now)
		l.measured[r.ID] = Measurement{Slowdown: max(1, l.smoothedTimes[r.ID]/l.baseline[r.Service]), At: now}
	}
	l.decayCosts(now)
}

func (l *Learner) smoothTime(r Runner, mean float64) {
	if old, known := l.smoothedTimes[r.ID]; known {
		mean = smoothingWeight*mean + (1-smoothingWeight)*old
	}
	l.smoothedTimes[r.ID] = mean
}

// initBaselines sets the baseline of new services to baselineQuantile of their runners' times.
func (l *Learner) initBaselines(runners []Runner) {
	times := map[string][]float64{}
	for _, r := range runners {
		if t, known := l.smoothedTimes[r.ID]; known && l.baseline[r.Service] == 0 {
			times[r.Service] = append(times[r.Service], t)
		}
	}
	for service, sorted := range times {
		slices.Sort(sorted)
		l.baseline[service] = sorted[int(baselineQuantile*float64(len(sorted)-1))]
	}
}

// fitRunner moves the baseline of a runner's service and the costs of the kinds co-located with
// the runner one gradient step towards the measured mean response time of the runner.
//
// Costs are never negative. If every runner has co-located tasks, the baseline therefore
// converges to the time with the kind that interferes least, and the costs of the other
// kinds are relative to it. The mean is not smoothed, because the co-located tasks were
// different in earlier measurements.
func (l *Learner) fitRunner(r Runner, mean float64, now time.Time) {
	shares := sharesByKind(r.Tasks)
	// norm starts above 0 to bound the step if there are only small tasks.
	predicted, norm := 1.0, 0.01
	for kind, share := range shares {
		predicted += l.costs[pair{r.Service, kind}].value * share
		norm += share * share
	}
	residual := mean/l.baseline[r.Service] - predicted
	for kind, share := range shares {
		key := pair{r.Service, kind}
		value := l.costs[key].value + costLearningRate*residual*share/norm
		l.costs[key] = cost{value: max(0, value), updatedAt: now}
	}
	l.baseline[r.Service] *= 1 + baselineLearningRate*residual
}

// decayCosts lowers costs that no measurement has updated for decayInterval.
//
// A kind that is no longer co-located with a service gives no more measurements. Without decay, one
// wrong estimate or a temporary slowdown would permanently keep the kind away from the service.
func (l *Learner) decayCosts(now time.Time) {
	for key, c := range l.costs {
		if now.Sub(c.updatedAt) >= decayInterval {
			l.costs[key] = cost{value: c.value * (1 - decayFraction), updatedAt: now}
		}
	}
}

func sharesByKind(tasks []Task) map[string]float64 {
	shares := map[string]float64{}
	for _, t := range tasks {
		shares[t.Kind] += t.Share
	}
	return shares
}

// Predict returns the expected slowdown of a service co-located with tasks, 1 for none.
func (l *Learner) Predict(service string, tasks []Task) float64 {
	sum := 1.0
	for _, t := range tasks {
		sum += l.Cost(service, t)
	}
	return sum
}

// Cost returns how much a task adds to the slowdown of a service, 0 if that is unknown.
func (l *Learner) Cost(service string, t Task) float64 {
	return l.costs[pair{service, t.Kind}].value * t.Share
}

// Measured returns the latest measurement of a runner, or the zero value.
func (l *Learner) Measured(runner string) Measurement { return l.measured[runner] }

// Remove removes the data of a runner that no longer exists. The learned costs stay.
func (l *Learner) Remove(runner string) {
	delete(l.windows, runner)
	delete(l.measured, runner)
	delete(l.smoothedTimes, runner)
}

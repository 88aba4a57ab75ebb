package tbneighbour

import (
	"slices"
	"time"
)

// Task is a batch task on an instance.
type Task struct {
	Job  string
	Kind string
	// Share is the part of the instance's processors that the task holds.
	Share float64
}

// Measurement is what is known of one runner.
type Measurement struct {
	// Slowdown is the runner's time against that of undisturbed runners, 1 for none.
	Slowdown float64
	At       time.Time
}

// pair names a service and a kind of task.
type pair struct {
	service string
	kind    string
}

// window sums up what entries reported of a runner since the last look.
type window struct {
	answers int
	sum     time.Duration
}

// Learner keeps the slowdown of each runner and the cost of each pair.
type Learner struct {
	windows  map[string]window
	measured map[string]Measurement
	// times holds the smoothed time of each runner in seconds.
	times map[string]float64
	// calm is the time of undisturbed runners in seconds, by service.
	calm map[string]float64
	cost map[pair]cost
}

// cost is what one whole instance of a kind adds to the slowdown of a service.
type cost struct {
	value float64
	// seenAt is when a task of the kind was last beside a measured runner, or the cost last faded.
	seenAt time.Time
}

// New returns a learner that knows nothing.
func New() *Learner {
	return &Learner{
		windows: map[string]window{}, measured: map[string]Measurement{}, times: map[string]float64{},
		calm: map[string]float64{}, cost: map[pair]cost{},
	}
}

// Constants of learning.
const (
	// minAnswers is the least number of answers that make a measurement.
	minAnswers = 40
	// calmQuantile is the place among a service's runners from which the undisturbed time starts.
	calmQuantile = 0.25
	// calmRate is the size of a step of the undisturbed time.
	calmRate = 0.05
	// smoothing is the weight of a new measurement.
	smoothing = 0.5
	// learnRate is the size of a step of the costs.
	learnRate = 0.1
	// fadeAfter and fadeShare let a cost shrink that nothing confirms, so that the kind is tried again.
	fadeAfter = 2 * time.Second
	fadeShare = 0.1
)

// Observe takes in one entry's report of one runner.
func (l *Learner) Observe(runner string, answers int, mean time.Duration) {
	w := l.windows[runner]
	l.windows[runner] = window{answers: w.answers + answers, sum: w.sum + time.Duration(answers)*mean}
}

// Runner is a runner with the tasks beside it.
type Runner struct {
	ID      string
	Service string
	Tasks   []Task
}

// Learn turns the reports since the last call into measurements and costs.
func (l *Learner) Learn(runners []Runner, now time.Time) {
	var fresh []Runner
	means := map[string]float64{}
	for _, r := range runners {
		if w := l.windows[r.ID]; w.answers >= minAnswers {
			delete(l.windows, r.ID)
			means[r.ID] = w.sum.Seconds() / float64(w.answers)
			l.smooth(r, means[r.ID])
			fresh = append(fresh, r)
		}
	}
	l.guessCalm(runners)
	for _, r := range fresh {
		l.update(r, means[r.ID], now)
		l.measured[r.ID] = Measurement{Slowdown: max(1, l.times[r.ID]/l.calm[r.Service]), At: now}
	}
	l.fade(now)
}

func (l *Learner) smooth(r Runner, mean float64) {
	if old, known := l.times[r.ID]; known {
		mean = smoothing*mean + (1-smoothing)*old
	}
	l.times[r.ID] = mean
}

// guessCalm starts from the faster runners of a service.
func (l *Learner) guessCalm(runners []Runner) {
	times := map[string][]float64{}
	for _, r := range runners {
		if t, known := l.times[r.ID]; known && l.calm[r.Service] == 0 {
			times[r.Service] = append(times[r.Service], t)
		}
	}
	for service, all := range times {
		slices.Sort(all)
		l.calm[service] = all[int(calmQuantile*float64(len(all)-1))]
	}
}

// update moves the undisturbed time and the costs of the kinds beside a runner
// towards what explains its time.
//
// Costs cannot fall below 0. So where every runner has tasks beside it, the
// undisturbed time settles at that beside the quietest kind, and the others show
// what they add to it. The mean is not smoothed, since the tasks beside the runner
// were others before.
func (l *Learner) update(r Runner, mean float64, now time.Time) {
	shares := sharesByKind(r.Tasks)
	predicted, norm := 1.0, 0.01
	for kind, share := range shares {
		predicted += l.cost[pair{r.Service, kind}].value * share
		norm += share * share
	}
	off := mean/l.calm[r.Service] - predicted
	for kind, share := range shares {
		key := pair{r.Service, kind}
		value := l.cost[key].value + learnRate*off*share/norm
		l.cost[key] = cost{value: max(0, value), seenAt: now}
	}
	l.calm[r.Service] *= 1 + calmRate*off
}

// fade lets costs shrink that no measurement confirmed of late.
//
// A kind that is kept away from a service gives no more measurements. Without
// fading, one bad estimate or a slowdown that has passed would bar it for good.
func (l *Learner) fade(now time.Time) {
	for key, c := range l.cost {
		if now.Sub(c.seenAt) >= fadeAfter {
			l.cost[key] = cost{value: c.value * (1 - fadeShare), seenAt: now}
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

// Predict returns the slowdown of a service beside tasks.
func (l *Learner) Predict(service string, tasks []Task) float64 {
	sum := 1.0
	for _, t := range tasks {
		sum += l.Cost(service, t)
	}
	return sum
}

// Cost returns how much one task adds to the slowdown of a service.
func (l *Learner) Cost(service string, t Task) float64 {
	return l.cost[pair{service, t.Kind}].value * t.Share
}

// Measured returns the newest measurement of a runner, or a zero one.
func (l *Learner) Measured(runner string) Measurement { return l.measured[runner] }

// Forget drops what is known of a runner that is gone.
func (l *Learner) Forget(runner string) {
	delete(l.windows, runner)
	delete(l.measured, runner)
	delete(l.times, runner)
}

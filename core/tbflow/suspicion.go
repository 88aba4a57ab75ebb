package tbflow

// maxCrashes is the number of suspected crashes of one task after which its job is given up in any case.
const maxCrashes = 5

// permilleToGiveUp holds, by the number of suspected crashes of one task, the suspicion at which its job is
// given up, in thousandths.
var permilleToGiveUp = map[int]int{3: 2000, 4: 1000}

// MustGiveUp reports whether the job of a task with these crashes is given up.
func MustGiveUp(crashes []Crash) bool {
	n := SuspectedCrashes(crashes)
	threshold, ok := permilleToGiveUp[n]
	return n >= maxCrashes || ok && SuspicionPermille(crashes) >= threshold
}

// SuspicionPermille returns how much the crashes point at a task, in thousandths. Only the most telling
// crash of each machine counts, because a machine may crash by itself again and again. But the next run of the task
// counts again if it was started on the same machine, as after an unanswered start, and the machine crashed just when
// that run began.
func SuspicionPermille(crashes []Crash) int {
	byAddress, sum := map[string]int{}, 0
	for i := range crashes {
		c := &crashes[i]
		if i > 0 && c.isRepeated(&crashes[i-1]) {
			sum += c.SuspicionPermille
			continue
		}
		byAddress[c.Address] = max(byAddress[c.Address], c.SuspicionPermille)
	}
	for _, share := range byAddress {
		sum += share
	}
	return sum
}

// isRepeated reports whether a task was started again on the machine of the crash before, and crashed it before it
// was known to execute.
func (c *Crash) isRepeated(before *Crash) bool {
	return c.Address == before.Address && c.Run == before.Run+1 && c.RanMs == 0 && c.AgeMs > 0
}

// Weights of the suspects of a crash. They are integers, so that all replicas compute the same.
const (
	// A run with the age ageMs at the crash has the weight weightOfAge / (ageMs + ageOffsetMs).
	weightOfAge = 1_000_000
	ageOffsetMs = 50
	// unknownAgeMs is the assumed age of a run whose age is unknown, and machineAgeMs that of the machine as
	// a suspect.
	unknownAgeMs = 500
	machineAgeMs = 1000
	// maxEarlierCrashes bounds the earlier crashes of the machine, each of which makes it more suspect.
	maxEarlierCrashes = 3
)

func weightAtAge(ageMs int64) int { return int(weightOfAge / (max(0, ageMs) + ageOffsetMs)) }

// weight returns the weight of a run among the suspects of a crash, given the earlier crashes of its task.
// The age counts in relation to the observation time, because a task that was observed for longer takes
// longer to crash its worker. A task that crashes its workers late and at the same age again counts as
// if its run had just begun.
func (r *CrashedRun) weight(crashes []Crash) int {
	if r.AgeMs == 0 {
		return weightAtAge(unknownAgeMs)
	}
	age := r.AgeMs * minObservation.Milliseconds() / ObservationTime(crashes).Milliseconds()
	for i := range crashes {
		if earlier := crashes[i].AgeMs; earlier >= minObservation.Milliseconds() {
			age = min(age, max(r.AgeMs, earlier)-min(r.AgeMs, earlier))
		}
	}
	return weightAtAge(age)
}

// machineWeight returns the weight of the machine among the suspects of a crash.
func (c *RecordCrash) machineWeight() int {
	return weightAtAge(machineAgeMs) * (1 + max(0, min(c.EarlierCrashes, maxEarlierCrashes)))
}

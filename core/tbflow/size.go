package tbflow

import "time"

// Sizes in bytes that a snapshot has about for parts of a job, without their texts and checkpoints.
const (
	jobBaseBytes  = 200
	stepBaseBytes = 120
	taskBytes     = 48
)

// storedBytes returns about how many bytes a snapshot has for the job. It does not change while the job
// is stored.
func (j *Job) storedBytes() int {
	size := jobBaseBytes + len(j.ID) + len(j.Spec) + len(j.Queue.Host) + len(j.Queue.Prefix) + len(j.CallerDataCentre)
	for i := range j.Steps {
		step := &j.Steps[i]
		size += stepBaseBytes + len(step.Label) + len(step.Rack) + len(step.Image) + 4*len(step.DependsOn)
		size += taskBytes * step.Count * max(1, j.Repeat)
	}
	return size
}

// JobBytesAt returns about how many bytes a snapshot has for all jobs, without those that the next command
// at nowMs removes. nowMs is in milliseconds since 1970.
func (s *State) JobBytesAt(nowMs int64) int {
	size := s.jobBytes
	for _, j := range s.endedJobs[:s.expiredJobCount(nowMs)] {
		if !s.hasAssignedRun(j) {
			size -= j.storedBytes()
		}
	}
	return size
}

// StoredBytes returns about how many bytes a snapshot will have for a job that is to be submitted.
func (c Submit) StoredBytes() int { return c.Job.storedBytes() + len(c.Host) + len(c.Path) }

// NextJobExpiry returns how long after nowMs the first ended job is removed, or 0 if none has ended.
func (s *State) NextJobExpiry(nowMs int64) time.Duration {
	if len(s.endedJobs) == 0 {
		return 0
	}
	return max(0, time.Duration(s.endedJobs[0].EndedMs-nowMs)*time.Millisecond+EndedRetention)
}

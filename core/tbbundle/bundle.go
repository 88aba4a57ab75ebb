package tbbundle

import (
	"fmt"
	"slices"
	"time"

	"tamarackbarrow/core/tbresource"
)

// Bundle is one version of the operators' configuration of services, job kinds and teams.
type Bundle struct {
	Version uint64
	// Digest is the SHA-256 of Source in hexadecimal.
	Digest string
	// Source is the content of the signed-off file.
	Source   []byte
	Services []Service
	Kinds    []JobKind
	Teams    []Team
}

// Service is a latency-critical service whose requests runners process.
type Service struct {
	Name string
	// TargetLatency is the time from the arrival of a request within which an answer is on time.
	TargetLatency time.Duration
	// RunDeadline is the longest time that a runner may take for one request.
	RunDeadline time.Duration
	// Rank is the priority relative to other services and job kinds, higher first.
	Rank int
	// IdempotentMethods are the methods that may be executed more than once for one request.
	IdempotentMethods []string
	// RetryPercent is the number of retries allowed per 100 requests.
	RetryPercent int
	// IdempotencyRetention is how long the answer to a request with an idempotency key is kept.
	IdempotencyRetention time.Duration
	// ClaimLimit is the largest number of idempotency keys stored for the service.
	ClaimLimit int
	// QueueLimit is the largest number of queued requests at one entry.
	QueueLimit int
	// Replicas has to be 0 in this version: runners are started externally.
	Replicas int
	// Resources is what one replica would reserve. Validate does not check Resources of services.
	Resources tbresource.Amount
}

// Idempotent reports whether method may be executed more than once for one request.
func (s Service) Idempotent(method string) bool {
	return slices.Contains(s.IdempotentMethods, method)
}

// JobKind is a kind of batch job.
type JobKind struct {
	Name string
	// Resources is what one job reserves.
	Resources tbresource.Amount
	// Rank is the priority relative to other services and job kinds, higher first.
	Rank int
	// ExpectedRunTime is the declared run time, which may be very inaccurate.
	ExpectedRunTime time.Duration
	// Checkpointable is true if an evicted job can resume from a checkpoint.
	Checkpointable bool
	// MaxFailures is the number of failed runs after which a job fails.
	MaxFailures int
}

// Team owns jobs and has a quota for the resources of its running jobs.
type Team struct {
	Name  string
	Quota tbresource.Amount
}

// Error describes one violation found by Validate; it is not an error value.
type Error struct {
	// Key is the path of the setting in the file, for example "services.quotes.runDeadline".
	Key string
	// Message is what is required and, in most cases, the actual value.
	Message string
}

// Service returns the service with that name, or false.
func (b *Bundle) Service(name string) (Service, bool) {
	return findFunc(b.Services, func(s Service) bool { return s.Name == name })
}

// Kind returns the job kind with that name, or false.
func (b *Bundle) Kind(name string) (JobKind, bool) {
	return findFunc(b.Kinds, func(k JobKind) bool { return k.Name == name })
}

// Team returns the team with that name, or false.
func (b *Bundle) Team(name string) (Team, bool) {
	return findFunc(b.Teams, func(t Team) bool { return t.Name == name })
}

func findFunc[T any](items []T, match func(T) bool) (T, bool) {
	if i := slices.IndexFunc(items, match); i >= 0 {
		return items[i], true
	}
	var zero T
	return zero, false
}

// LongestRunDeadline returns the largest run deadline of all services, or 0.
func (b *Bundle) LongestRunDeadline() time.Duration {
	var longest time.Duration
	for _, s := range b.Services {
		longest = max(longest, s.RunDeadline)
	}
	return longest
}

// Limits of the values in a bundle.
const (
	// MaxRunDeadline is the largest RunDeadline.
	MaxRunDeadline = 10 * time.Minute
	// MaxRank is the highest Rank; the lowest is 0.
	MaxRank = 1000
)

// Validate returns all violations in b. Those of the version come first, then those of services, job
// kinds and teams.
func Validate(b *Bundle) []Error {
	var violations []Error
	add := func(key, format string, args ...any) {
		violations = append(violations, Error{Key: key, Message: fmt.Sprintf(format, args...)})
	}
	if b.Version == 0 {
		add("version", "must be 1 or more")
	}
	names := map[string]bool{}
	for i, s := range b.Services {
		key := itemPath("services", s.Name, i)
		if s.Name == "" || names[s.Name] {
			add(key+".name", "must be set and unique, is %q", s.Name)
		}
		names[s.Name] = true
		validateService(s, key, add)
	}
	kinds := map[string]bool{}
	for i, k := range b.Kinds {
		key := itemPath("jobKinds", k.Name, i)
		if k.Name == "" || kinds[k.Name] {
			add(key+".name", "must be set and unique, is %q", k.Name)
		}
		kinds[k.Name] = true
		validateKind(k, key, add)
	}
	teams := map[string]bool{}
	for i, t := range b.Teams {
		key := itemPath("teams", t.Name, i)
		if t.Name == "" || teams[t.Name] {
			add(key+".name", "must be set and unique, is %q", t.Name)
		}
		teams[t.Name] = true
		if t.Quota.MilliProcessors <= 0 || t.Quota.MemoryMB <= 0 || t.Quota.Accelerators < 0 {
			add(key, "quota must give processors and memory above 0 and accelerators of 0 or more")
		}
	}
	return violations
}

type addViolation func(key, format string, args ...any)

func validateService(s Service, key string, add addViolation) {
	if s.RunDeadline <= 0 || s.RunDeadline > MaxRunDeadline {
		add(key+".runDeadline", "must be above 0 and at most %s, is %s", MaxRunDeadline, s.RunDeadline)
	}
	if s.TargetLatency <= 0 || s.TargetLatency > s.RunDeadline {
		add(key+".targetLatency", "must be above 0 and at most runDeadline, is %s", s.TargetLatency)
	}
	if s.RetryPercent < 0 || s.RetryPercent > 100 {
		add(key+".retryPercent", "must be from 0 to 100, is %d", s.RetryPercent)
	}
	if s.IdempotencyRetention <= 0 {
		add(key+".idempotencyRetention", "must be above 0, is %s", s.IdempotencyRetention)
	}
	if s.ClaimLimit <= 0 {
		add(key+".claimLimit", "must be above 0, is %d", s.ClaimLimit)
	}
	if s.QueueLimit <= 0 {
		add(key+".queueLimit", "must be above 0, is %d", s.QueueLimit)
	}
	validateRank(s.Rank, key, add)
	if s.Replicas != 0 {
		add(key+".replicas", "must be 0, is %d: this version does not run services as tasks", s.Replicas)
	}
}

func validateKind(k JobKind, key string, add addViolation) {
	validateResources(k.Resources, key, add)
	validateRank(k.Rank, key, add)
	if k.ExpectedRunTime <= 0 {
		add(key+".expectedRunTime", "must be above 0, is %s", k.ExpectedRunTime)
	}
	if k.MaxFailures <= 0 {
		add(key+".maxFailures", "must be above 0, is %d", k.MaxFailures)
	}
}

func validateRank(rank int, key string, add addViolation) {
	if rank < 0 || rank > MaxRank {
		add(key+".rank", "must be from 0 to %d, is %d", MaxRank, rank)
	}
}

func validateResources(a tbresource.Amount, key string, add addViolation) {
	if a.MilliProcessors <= 0 {
		add(key+".processors", "must be above 0")
	}
	if a.MemoryMB <= 0 {
		add(key+".memoryMB", "must be above 0, is %d", a.MemoryMB)
	}
	if a.Accelerators < 0 {
		add(key+".accelerators", "must not be negative, is %d", a.Accelerators)
	}
}

func itemPath(list, name string, i int) string {
	if name == "" {
		return fmt.Sprintf("%s[%d]", list, i)
	}
	return list + "." + name
}

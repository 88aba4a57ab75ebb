package tbbundle

import (
	"fmt"
	"slices"
	"time"

	"tamarackbarrow/core/tbresource"
)

// Bundle is one version of everything that operators decide.
type Bundle struct {
	Version uint64
	// Digest is the SHA-256 of Source in hexadecimal.
	Digest string
	// Source is the file as it was signed off.
	Source   []byte
	Services []Service
	Kinds    []JobKind
	Teams    []Team
}

// Service is a latency-critical service that runners serve.
type Service struct {
	Name string
	// TargetLatency is the time within which an answer counts as on time.
	TargetLatency time.Duration
	// RunDeadline is the longest that a runner may work on one request.
	RunDeadline time.Duration
	// Rank orders services and job kinds; the higher rank goes first.
	Rank int
	// IdempotentMethods may be run more than once for one request.
	IdempotentMethods []string
	// RetryPercent is the number of retries allowed for each 100 requests.
	RetryPercent int
	// IdempotencyRetention is how long the answer to a keyed request is kept.
	IdempotencyRetention time.Duration
	// ClaimLimit is the largest number of kept idempotency keys.
	ClaimLimit int
	// QueueLimit is the largest number of waiting requests at one entry.
	QueueLimit int
	// Replicas is the number of tasks that serve the service, 0 if its runners start themselves.
	Replicas int
	// Resources is what one replica uses.
	Resources tbresource.Amount
}

// Idempotent reports whether method may be run more than once for one request.
func (s Service) Idempotent(method string) bool {
	return slices.Contains(s.IdempotentMethods, method)
}

// JobKind is a sort of batch job.
type JobKind struct {
	Name      string
	Resources tbresource.Amount
	Rank      int
	// ExpectedRunTime is the declared run time; it may be far off.
	ExpectedRunTime time.Duration
	Checkpointable  bool
	// MaxFailures is the number of failed runs after which a job has failed.
	MaxFailures int
}

// Team owns jobs and has a quota for what runs at once.
type Team struct {
	Name  string
	Quota tbresource.Amount
}

// Fault is one thing wrong with a bundle.
type Fault struct {
	// Key is the place in the file, for example "services.quotes.runDeadline".
	Key     string
	Problem string
}

// Service returns the service of that name.
func (b *Bundle) Service(name string) (Service, bool) {
	return find(b.Services, func(s Service) bool { return s.Name == name })
}

// Kind returns the job kind of that name.
func (b *Bundle) Kind(name string) (JobKind, bool) {
	return find(b.Kinds, func(k JobKind) bool { return k.Name == name })
}

// Team returns the team of that name.
func (b *Bundle) Team(name string) (Team, bool) {
	return find(b.Teams, func(t Team) bool { return t.Name == name })
}

func find[T any](all []T, match func(T) bool) (T, bool) {
	if i := slices.IndexFunc(all, match); i >= 0 {
		return all[i], true
	}
	var none T
	return none, false
}

// LongestRunDeadline returns the largest run deadline of all services, or 0.
func (b *Bundle) LongestRunDeadline() time.Duration {
	var longest time.Duration
	for _, s := range b.Services {
		longest = max(longest, s.RunDeadline)
	}
	return longest
}

// Limits of what a bundle may ask for.
const (
	MaxRunDeadline = 10 * time.Minute
	MaxRank        = 1000
)

// Validate returns everything that is wrong with b, in the order of the file.
func Validate(b *Bundle) []Fault {
	var faults []Fault
	add := func(key, format string, args ...any) {
		faults = append(faults, Fault{Key: key, Problem: fmt.Sprintf(format, args...)})
	}
	if b.Version == 0 {
		add("version", "must be 1 or more")
	}
	names := map[string]bool{}
	for i, s := range b.Services {
		key := itemKey("services", s.Name, i)
		if s.Name == "" || names[s.Name] {
			add(key+".name", "must be set and unique, is %q", s.Name)
		}
		names[s.Name] = true
		validateService(s, key, add)
	}
	kinds := map[string]bool{}
	for i, k := range b.Kinds {
		key := itemKey("jobKinds", k.Name, i)
		if k.Name == "" || kinds[k.Name] {
			add(key+".name", "must be set and unique, is %q", k.Name)
		}
		kinds[k.Name] = true
		validateKind(k, key, add)
	}
	teams := map[string]bool{}
	for i, t := range b.Teams {
		key := itemKey("teams", t.Name, i)
		if t.Name == "" || teams[t.Name] {
			add(key+".name", "must be set and unique, is %q", t.Name)
		}
		teams[t.Name] = true
		if t.Quota.MilliProcessors <= 0 || t.Quota.MemoryMB <= 0 || t.Quota.Accelerators < 0 {
			add(key, "quota must give processors and memory above 0")
		}
	}
	return faults
}

type addFault func(key, format string, args ...any)

func validateService(s Service, key string, add addFault) {
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

func validateKind(k JobKind, key string, add addFault) {
	validateResources(k.Resources, key, add)
	validateRank(k.Rank, key, add)
	if k.ExpectedRunTime <= 0 {
		add(key+".expectedRunTime", "must be above 0, is %s", k.ExpectedRunTime)
	}
	if k.MaxFailures <= 0 {
		add(key+".maxFailures", "must be above 0, is %d", k.MaxFailures)
	}
}

func validateRank(rank int, key string, add addFault) {
	if rank < 0 || rank > MaxRank {
		add(key+".rank", "must be from 0 to %d, is %d", MaxRank, rank)
	}
}

func validateResources(a tbresource.Amount, key string, add addFault) {
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

func itemKey(list, name string, i int) string {
	if name == "" {
		return fmt.Sprintf("%s[%d]", list, i)
	}
	return list + "." + name
}

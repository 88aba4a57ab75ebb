package tbflow

import (
	"slices"
	"strings"
	"time"
)

// QueueKey identifies a queue by the host and the path prefix that callers use.
type QueueKey struct {
	Host   string
	Prefix string
}

// Queue accepts jobs at a host and path prefix and sends their tasks to a worker class.
type Queue struct {
	Name        string
	Key         QueueKey
	WorkerClass string
	// Timeout is the time limit for one request of a caller.
	Timeout time.Duration
	// Target is the fixed part of a job's latency objective, see Slack.
	Target time.Duration
	// Priority orders the waiting tasks of all queues. 0 is the highest priority.
	Priority int
	// MaxFailures is the number of failed runs of one task at which its job fails. It must be
	// positive. Failed runs of long-running tasks are not included.
	MaxFailures int
	// Slack is a factor. A job's latency objective is Slack times its critical path, plus Target.
	Slack float64
	// Advised is true when the queue's settings contain a recommendation. The recommendation asks
	// an external service which workers may execute a step. Advised is only stored; assignment does
	// not read it.
	Advised bool
}

// WorkerClass is a pool of workers.
type WorkerClass struct {
	Name string
	// EnforcesCapacity is true when the workers of the class refuse tasks that exceed their
	// capacity.
	EnforcesCapacity bool
	// Standby is true when the class's instances are powered off until they are needed.
	Standby bool
}

// Config is one version of all queues and worker classes.
type Config struct {
	// Version increases with each configuration. 0 means that no configuration is stored yet.
	Version uint64
	// Source is the configuration text as the operator sent it. It is returned to operators
	// unchanged.
	Source  []byte
	Queues  []Queue
	Classes []WorkerClass
	Limits  RequestLimits
}

// RequestLimits bounds single requests of callers. Each 0 leaves the limit to the settings of the instance.
type RequestLimits struct {
	// MaxHeadBytes is the size of the largest request line and header lines together.
	MaxHeadBytes int64
	MaxBodyBytes int64
}

// Match returns the queue at host whose prefix is the longest one that path starts with, or nil if
// there is none.
func (c *Config) Match(host, path string) *Queue {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Key.Host != host || !strings.HasPrefix(path, q.Key.Prefix) {
			continue
		}
		if best == nil || len(q.Key.Prefix) > len(best.Key.Prefix) {
			best = q
		}
	}
	return best
}

// HasClass reports whether a worker class is listed or used by a queue.
func (c *Config) HasClass(name string) bool {
	return slices.ContainsFunc(c.Classes, func(w WorkerClass) bool { return w.Name == name }) ||
		slices.ContainsFunc(c.Queues, func(q Queue) bool { return q.WorkerClass == name })
}

// EnforcesCapacity reports whether the workers of a class refuse tasks that exceed their capacity. It
// returns false for a class that is not listed.
func (c *Config) EnforcesCapacity(class string) bool {
	i := slices.IndexFunc(c.Classes, func(w WorkerClass) bool { return w.Name == class })
	return i >= 0 && c.Classes[i].EnforcesCapacity
}

// Queue returns the queue with the given key, or nil if there is none.
func (c *Config) Queue(key QueueKey) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Key == key {
			return &c.Queues[i]
		}
	}
	return nil
}

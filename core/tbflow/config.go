package tbflow

import (
	"slices"
	"strings"
	"time"
)

// QueueKey names a queue by the place that callers address.
type QueueKey struct {
	Host   string
	Prefix string
}

// Queue accepts jobs at a host and path prefix and sends their tasks to a worker class.
type Queue struct {
	Name        string
	Key         QueueKey
	WorkerClass string
	// Timeout bounds one request of a caller.
	Timeout time.Duration
	// Target is the part of a job's latency objective that does not depend on its size.
	Target time.Duration
	// Priority 0 comes first and may preempt others.
	Priority    int
	MaxAttempts int
	// Slack times a job's longest chain of work, plus Target, is its latency objective.
	Slack float64
	// Advised is true when an outside service decides which workers may run a step.
	Advised bool
}

// WorkerClass is a pool of workers.
type WorkerClass struct {
	Name string
	// Guards is true when its workers refuse what exceeds their capacity.
	Guards bool
	// Standby is true when its instances are switched off until they are needed.
	Standby bool
}

// Config is one version of all queues and worker classes.
type Config struct {
	Version uint64
	// Source is the text that the operator sent, returned unchanged.
	Source  []byte
	Queues  []Queue
	Classes []WorkerClass
}

// Match returns the queue with the longest prefix of path at host, or nil.
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

// HasClass reports whether a worker class is listed or some queue uses it.
func (c *Config) HasClass(name string) bool {
	return slices.ContainsFunc(c.Classes, func(w WorkerClass) bool { return w.Name == name }) ||
		slices.ContainsFunc(c.Queues, func(q Queue) bool { return q.WorkerClass == name })
}

// Queue returns the queue of a key, or nil.
func (c *Config) Queue(key QueueKey) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Key == key {
			return &c.Queues[i]
		}
	}
	return nil
}

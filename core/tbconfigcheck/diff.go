package tbconfigcheck

import (
	"fmt"

	"tamarackbarrow/core/tbflow"
)

// Change is a difference between two configurations. Before or After is empty if the entry was added or removed.
type Change struct {
	Entry  string
	Field  string
	Before string
	After  string
}

// Diff returns what a new configuration changes, in the order of its entries, followed by what it removes.
func Diff(before, after *tbflow.Config) []Change {
	var all []Change
	for i := range after.Queues {
		q := &after.Queues[i]
		if old := before.Queue(q.Key); old == nil {
			all = append(all, Change{Entry: queueEntry(q), After: "added"})
		} else {
			all = append(all, diffFields(queueEntry(q), queueFields(old), queueFields(q))...)
		}
	}
	for _, w := range after.Classes {
		entry := "worker class " + w.Name
		if old := findClass(before, w.Name); old == nil {
			all = append(all, Change{Entry: entry, After: "added"})
		} else {
			all = append(all, diffFields(entry, classFields(old), classFields(&w))...)
		}
	}
	all = append(all, diffFields("limits", limitFields(before), limitFields(after))...)
	for i := range before.Queues {
		if q := &before.Queues[i]; after.Queue(q.Key) == nil {
			all = append(all, Change{Entry: queueEntry(q), Before: "removed"})
		}
	}
	for _, w := range before.Classes {
		if findClass(after, w.Name) == nil {
			all = append(all, Change{Entry: "worker class " + w.Name, Before: "removed"})
		}
	}
	return all
}

func findClass(c *tbflow.Config, name string) *tbflow.WorkerClass {
	for i := range c.Classes {
		if c.Classes[i].Name == name {
			return &c.Classes[i]
		}
	}
	return nil
}

type field struct{ name, value string }

func queueFields(q *tbflow.Queue) []field {
	return []field{
		{"name", q.Name}, {"workerClass", q.WorkerClass}, {"timeout", q.Timeout.String()}, {"target", q.Target.String()},
		{"priority", fmt.Sprint(q.Priority)}, {"maxFailures", fmt.Sprint(q.MaxFailures)}, {"slack", fmt.Sprint(q.Slack)},
		{"advised", fmt.Sprint(q.Advised)},
	}
}

func classFields(w *tbflow.WorkerClass) []field {
	return []field{{"enforcesCapacity", fmt.Sprint(w.EnforcesCapacity)}, {"standby", fmt.Sprint(w.Standby)}}
}

func limitFields(c *tbflow.Config) []field {
	return []field{{"maxHeadBytes", fmt.Sprint(c.Limits.MaxHeadBytes)}, {"maxBodyBytes", fmt.Sprint(c.Limits.MaxBodyBytes)}}
}

// diffFields compares the fields of an entry, which have the same names in the same order.
func diffFields(entry string, before, after []field) []Change {
	var changes []Change
	for i := range after {
		if before[i].value != after[i].value {
			changes = append(changes, Change{Entry: entry, Field: after[i].name, Before: before[i].value, After: after[i].value})
		}
	}
	return changes
}

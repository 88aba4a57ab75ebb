package tbconfigcheck

import (
	"fmt"
	"strings"

	"tamarackbarrow/core/tbflow"
)

// Finding is a mistake in a configuration that can be stored nevertheless.
type Finding struct {
	// Entry names the queue, the worker class or the limit.
	Entry   string
	Problem string
}

// maxSpecBytes is the size of the largest specification of a job, in bytes, which a body has to have room for.
const maxSpecBytes = 4000

// Check returns the findings in a configuration, in the order of its entries.
func Check(c *tbflow.Config) []Finding {
	var all []Finding
	add := func(entry, format string, args ...any) {
		all = append(all, Finding{Entry: entry, Problem: fmt.Sprintf(format, args...)})
	}
	names := map[string]string{}
	used := map[string]bool{}
	for i := range c.Queues {
		q := &c.Queues[i]
		entry := queueEntry(q)
		used[q.WorkerClass] = true
		if problem := whyNothingMatches(c, q); problem != "" {
			add(entry, "can never match: %s", problem)
		}
		if other, ok := names[q.Name]; ok && q.Name != "" {
			add(entry, "has the name of %s", other)
		}
		names[q.Name] = entry
		switch {
		case q.Slack < 0 || q.Target < 0:
			add(entry, "slack %v and target %v must not be negative", q.Slack, q.Target)
		case q.Slack < 1 && q.Target == 0:
			add(entry, "no job can be on time: the slack is %v, and there is no target besides", q.Slack)
		}
	}
	for _, w := range c.Classes {
		entry := "worker class " + w.Name
		switch {
		case !used[w.Name]:
			add(entry, "no queue sends work to it")
		case w.Standby:
			add(entry, "is on standby, although queues send work to it")
		}
	}
	if n := c.Limits.MaxBodyBytes; n > 0 && n < maxSpecBytes {
		add("limits", "bodies of %d bytes have no room for the specification of a job, which may have %d", n, maxSpecBytes)
	}
	return all
}

func queueEntry(q *tbflow.Queue) string {
	return fmt.Sprintf("queue %s (%s%s)", q.Name, q.Key.Host, q.Key.Prefix)
}

// idDigits are the characters with which the ID of a job begins.
const idDigits = "0123456789abcdefABCDEF"

// whyNothingMatches returns why no request for a job can reach a queue, or "".
func whyNothingMatches(c *tbflow.Config, q *tbflow.Queue) string {
	switch {
	case strings.ContainsAny(q.Key.Host, ":/ \t"):
		return fmt.Sprintf("host %q is not a name alone; ports are left out when hosts are compared", q.Key.Host)
	case !strings.HasPrefix(q.Key.Prefix, "/"):
		return fmt.Sprintf("prefix %q does not begin with /", q.Key.Prefix)
	case strings.ContainsAny(q.Key.Prefix, "?#"):
		return fmt.Sprintf("prefix %q has a part that does not belong to a path", q.Key.Prefix)
	case !strings.HasSuffix(q.Key.Prefix, "/"):
		return fmt.Sprintf("prefix %q does not end with /, so that no id can follow it", q.Key.Prefix)
	}
	for _, digit := range idDigits {
		if match := c.Match(q.Key.Host, q.Key.Prefix+string(digit)); match != nil && match.Key == q.Key {
			return ""
		}
	}
	return "queues with longer prefixes take all of its ids"
}

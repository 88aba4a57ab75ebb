package tbfleet

// TaskCount returns the number of tasks whose outstanding starts have times, for tests.
func (t *OutstandingTimes) TaskCount() int { return len(t.byTask) }

// SilentCount returns the number of silent workers with a time, for tests.
func (t *OutstandingTimes) SilentCount() int { return len(t.silentSince) }

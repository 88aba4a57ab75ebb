package tbfleet

// TaskCount returns the number of tasks whose outstanding starts have times, for tests.
func (t *OutstandingTimes) TaskCount() int { return len(t.byTask) }

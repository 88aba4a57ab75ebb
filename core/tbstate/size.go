package tbstate

// PayloadBytes returns the size in bytes of what a caller or backend server has put into a command. All
// else in a command is small.
func PayloadBytes(c Command) int {
	switch c := c.(type) {
	case SignOff:
		return len(c.Bundle.Source)
	case SubmitJob:
		return len(c.Job.ID) + len(c.Job.Payload)
	case ReportTask:
		return len(c.Job) + len(c.Checkpoint)
	case FinishClaim:
		return len(c.Answer)
	}
	return 0
}

package tbflow

// A leader that takes over has to assume that the lease of each worker was renewed just before. For a worker that has
// been silent for long, it would wait as long as for one that fell silent at the takeover. The state therefore names the
// silent workers: they get no starts and no renewals of their leases.

// RecordSilent records that a worker is silent. Neither its incarnation nor a later one gets a start or a renewal of the
// lease until RecordSilenceEnded is applied.
type RecordSilent struct{ Worker string }

// RecordSilenceEnded records that a worker is not silent any more, or that nothing depends on its lease.
type RecordSilenceEnded struct{ Worker string }

func (RecordSilent) isCommand()       {}
func (RecordSilenceEnded) isCommand() {}

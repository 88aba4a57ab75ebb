package tbassign

// Features are decisions under load that a deployment asks for by its settings. Without them, the leader accepts jobs
// by the time to drain the backlog alone and places each task where it fits now.
type Features struct {
	// PredictedAdmission refuses jobs that are predicted to end too late to be of use.
	PredictedAdmission bool
	// FairShares divides scarce capacity between data centres of callers.
	FairShares bool
	// LookAhead reserves capacity that will be free soon for large waiting tasks.
	LookAhead bool
	// SecondCopies starts a second run of a straggler whose step allows it.
	SecondCopies bool
	// WorkerSpeeds places short tasks on workers on which tasks do not take longer than elsewhere.
	WorkerSpeeds bool
}

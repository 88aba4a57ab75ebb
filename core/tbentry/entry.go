package tbentry

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tamarackbarrow/core/tbadmission"
	"tamarackbarrow/core/tbbundle"
	"tamarackbarrow/core/tblease"
	"tamarackbarrow/core/tbqueue"
	"tamarackbarrow/core/tbrouting"
	"tamarackbarrow/core/tbstate"
)

// Entry is the entry role of one daemon.
type Entry struct {
	cfg      Config
	rng      *rand.Rand
	lease    *tblease.Holder
	session  string
	opened   uint64
	view     view
	services map[string]*service
	calls    map[uint64]*call
	attempts map[uint64]*attempt
	// nextID numbers attempts, claims and proposals of this session.
	nextID      uint64
	proposer    proposer
	sync        syncer
	care        backendCare
	timings     map[string]timing
	nextTimings time.Time
	stopping    bool
	closing     bool
	stopped     bool
	effects     []Effect
}

// service is what the entry keeps of one latency-critical service.
type service struct {
	spec     tbbundle.Service
	pool     *tbrouting.Pool
	queue    *tbqueue.Queue
	estimate tbadmission.Estimator
	// retryTokens is the number of retries that may be made now.
	retryTokens float64
	arrived     int
	answered    int
	slow        int
	// peerFree estimates the free slots of peers, by session.
	peerFree map[string]int
}

// New returns an entry without a lease; it takes no calls before its first sync.
func New(cfg Config, now time.Time) *Entry {
	e := &Entry{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
		lease:    tblease.NewHolder(cfg.EntryLease),
		view:     newView(),
		services: map[string]*service{},
		calls:    map[uint64]*call{},
		attempts: map[uint64]*attempt{},
		proposer: newProposer(),
		sync:     syncer{next: now},
		care:     newBackendCare(),
		timings:  map[string]timing{},
	}
	e.startSession()
	return e
}

// startSession takes a key that no earlier session of this entry had.
func (e *Entry) startSession() {
	e.opened++
	e.session = fmt.Sprintf("%s@%d.%d", e.cfg.ID, e.cfg.Incarnation, e.opened)
	e.lease = tblease.NewHolder(e.cfg.EntryLease)
	e.sync.sessionSeen = false
}

// Ready reports whether the entry takes new calls at now.
func (e *Entry) Ready(now time.Time) bool {
	return !e.stopping && e.lease.Valid(now) && e.view.bundle != nil
}

// Session returns the key of the present session.
func (e *Entry) Session() string { return e.session }

// QueuedCalls returns the number of calls that wait for a slot.
func (e *Entry) QueuedCalls() int {
	n := 0
	for _, s := range e.services {
		n += s.queue.Len()
	}
	return n
}

// Bundle returns the bundle in force as this entry knows it, or nil.
func (e *Entry) Bundle() *tbbundle.Bundle { return e.view.bundle }

// ControlAddress returns the control replica that is asked next.
func (e *Entry) ControlAddress() string { return e.controlTarget() }

// Step handles one event and returns what has to be done.
func (e *Entry) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case CallArrived:
		e.onCall(now, ev)
	case CallerLeft:
		e.onCallerLeft(now, ev)
	case RunEnded:
		e.onRunEnded(now, ev)
	case RunSettled:
		e.onRunSettled(now, ev)
	case HandoverEnded:
		e.onHandoverEnded(now, ev)
	case ProposalEnded:
		e.onProposalEnded(now, ev)
	case SyncEnded:
		e.onSyncEnded(now, ev)
	case RunnerAnnounced:
		e.onRunnerAnnounced(now, ev)
	case WorkerAnnounced:
		e.onWorkerAnnounced(now, ev)
	case CommandsSubmitted:
		e.onCommands(now, ev)
	case Ticked:
		e.onTick(now)
	case BatchEnded:
		e.sendProposals(now)
	case StopBegun:
		e.onStop(now)
	}
	effects := e.effects
	e.effects = nil
	return effects
}

func (e *Entry) emit(effect Effect) { e.effects = append(e.effects, effect) }

func (e *Entry) count(group string, reason Reason) {
	e.emit(Count{Counter: Counter{Group: group, Reason: reason}})
}

func (e *Entry) id() uint64 {
	e.nextID++
	return e.nextID
}

func (e *Entry) onTick(now time.Time) {
	e.expireAttempts(now)
	e.expireCalls(now)
	for _, s := range e.services {
		e.pump(now, s)
	}
	e.surrender(now)
	e.syncIfDue(now)
	e.forgetReports(now)
	e.finishStop(now)
}

// serviceOf returns the entry's record of a service in force, or nil.
func (e *Entry) serviceOf(name string) *service {
	return e.services[name]
}

// useBundle follows a new version; runners and queued calls of kept services stay.
func (e *Entry) useBundle(b *tbbundle.Bundle) {
	e.view.bundle = b
	for _, spec := range b.Services {
		s := e.services[spec.Name]
		if s == nil {
			s = e.newService(spec)
			e.services[spec.Name] = s
		}
		s.spec = spec
		s.queue.SetLimit(spec.QueueLimit)
	}
}

func (e *Entry) newService(spec tbbundle.Service) *service {
	return &service{
		spec:     spec,
		pool:     tbrouting.New(e.cfg.Routing, e.cfg.DataCentre, e.rng),
		queue:    tbqueue.New(spec.QueueLimit),
		peerFree: map[string]int{},
	}
}

// poolFor returns the pool of a service even before a bundle names it.
func (e *Entry) poolFor(name string) *tbrouting.Pool {
	s := e.services[name]
	if s == nil {
		s = e.newService(tbbundle.Service{Name: name})
		e.services[name] = s
	}
	return s.pool
}

// inForce reports whether the bundle in force names the service.
func (e *Entry) inForce(name string) bool {
	if e.view.bundle == nil {
		return false
	}
	_, ok := e.view.bundle.Service(name)
	return ok
}

// onStop refuses new calls and queued ones go on until they are answered.
func (e *Entry) onStop(now time.Time) {
	e.stopping = true
	e.finishStop(now)
}

// finishStop gives the session back once no call and no held slot is left.
func (e *Entry) finishStop(now time.Time) {
	if !e.stopping || e.stopped || len(e.calls) > 0 {
		return
	}
	if len(e.attempts) > 0 {
		return
	}
	if !e.proposer.idle() {
		return
	}
	if !e.closing && e.view.sessions[e.session].Key != "" {
		e.closing = true
		e.lease = tblease.NewHolder(e.cfg.EntryLease)
		e.propose(proposalItem{
			kind: closeSessionItem, until: now.Add(closeSessionWithin),
			commands: []tbstate.Command{tbstate.CloseSession{Key: e.session}},
		})
		return
	}
	e.stopped = true
	e.emit(Stopped{})
}

// closeSessionWithin bounds the wait for the control group at a stop.
const closeSessionWithin = 2 * time.Second

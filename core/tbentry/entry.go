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

// Entry is the entry role of one daemon; New returns one. It is not safe for concurrent use.
type Entry struct {
	cfg   Config
	rng   *rand.Rand
	lease *tblease.Holder
	// session is the key under which the control group knows this entry and its slot grants.
	session        string
	sessionsOpened uint64
	view           view
	services       map[string]*service
	calls          map[uint64]*call
	attempts       map[uint64]*attempt
	// lastID is the last number given to an attempt, claim or proposal.
	lastID   uint64
	proposer proposer
	sync     syncer
	backends backendTracker
	// timings holds, by runner, the response times that have not been sent to the leader yet.
	timings     map[string]timing
	nextTimings time.Time
	// stopping is true once a shutdown has begun. closingSession is true once the command to close
	// the session has been proposed.
	stopping       bool
	closingSession bool
	stopped        bool
	// effects collects the effects of the current Step.
	effects []Effect
}

// service is the entry's state for one latency-critical service.
type service struct {
	spec     tbbundle.Service
	pool     *tbrouting.Pool
	queue    *tbqueue.Queue
	estimate tbadmission.Estimator
	// retryTokens is the number of retries that the retry budget allows now.
	retryTokens float64
	// arrived, answered and slow count calls since the last sync. slow counts the answered calls that
	// took longer than the target latency. arrived does not include calls handed over by peers.
	arrived  int
	answered int
	slow     int
	// peerFreeSlots estimates the free slots of peers, by session.
	peerFreeSlots map[string]int
}

// New returns an entry without a lease. The entry refuses calls until a sync grants a lease.
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
		backends: newBackendTracker(),
		timings:  map[string]timing{},
	}
	e.startSession()
	return e
}

// startSession begins a session without a lease, under a key that no earlier session of this entry had.
func (e *Entry) startSession() {
	e.sessionsOpened++
	e.session = fmt.Sprintf("%s@%d.%d", e.cfg.ID, e.cfg.Incarnation, e.sessionsOpened)
	e.lease = tblease.NewHolder(e.cfg.EntryLease)
	e.sync.sessionSeen = false
}

// Ready reports whether the entry accepts new calls at now.
func (e *Entry) Ready(now time.Time) bool {
	return !e.stopping && e.lease.Valid(now) && e.view.bundle != nil
}

// Session returns the key of the current session.
func (e *Entry) Session() string { return e.session }

// QueuedCalls returns the number of calls that wait for a slot.
func (e *Entry) QueuedCalls() int {
	n := 0
	for _, s := range e.services {
		n += s.queue.Len()
	}
	return n
}

// Bundle returns the newest configuration bundle that the leader has sent, or nil.
func (e *Entry) Bundle() *tbbundle.Bundle { return e.view.bundle }

// ControlAddress returns the address of the control replica that gets the next request.
func (e *Entry) ControlAddress() string { return e.controlAddress() }

// Step handles one event and returns the effects to carry out, in order.
func (e *Entry) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case CallArrived:
		e.onCallArrived(now, ev)
	case CallerLeft:
		e.onCallerLeft(now, ev)
	case AttemptEnded:
		e.onAttemptEnded(now, ev)
	case AttemptSettled:
		e.onAttemptSettled(now, ev)
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
		e.onCommandsSubmitted(now, ev)
	case Tick:
		e.onTick(now)
	case EventBatchEnded:
		e.sendProposals(now)
	case ShutdownStarted:
		e.onShutdownStarted(now)
	}
	effects := e.effects
	e.effects = nil
	return effects
}

func (e *Entry) emit(effect Effect) { e.effects = append(e.effects, effect) }

func (e *Entry) count(group string, reason Reason) {
	e.emit(Count{Counter: Counter{Group: group, Reason: reason}})
}

func (e *Entry) newID() uint64 {
	e.lastID++
	return e.lastID
}

func (e *Entry) onTick(now time.Time) {
	e.expireAttempts(now)
	e.expireCalls(now)
	for _, s := range e.services {
		e.startQueued(now, s)
	}
	e.releaseUnusedSlots(now)
	e.syncIfDue(now)
	e.removeOldReports(now)
	e.finishShutdown(now)
}

// lookupService returns the state of a service, or nil.
func (e *Entry) lookupService(name string) *service {
	return e.services[name]
}

// applyBundle switches to a new bundle. Services that the bundle does not name get no new calls, but
// their queued calls and runners stay.
func (e *Entry) applyBundle(b *tbbundle.Bundle) {
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
		spec:          spec,
		pool:          tbrouting.New(e.cfg.Routing, e.cfg.DataCentre, e.rng),
		queue:         tbqueue.New(spec.QueueLimit),
		peerFreeSlots: map[string]int{},
	}
}

// poolFor returns the pool of a service and creates it if no bundle has named the service yet.
func (e *Entry) poolFor(name string) *tbrouting.Pool {
	s := e.services[name]
	if s == nil {
		s = e.newService(tbbundle.Service{Name: name})
		e.services[name] = s
	}
	return s.pool
}

// isServiceActive reports whether the active bundle names the service.
func (e *Entry) isServiceActive(name string) bool {
	if e.view.bundle == nil {
		return false
	}
	_, ok := e.view.bundle.Service(name)
	return ok
}

// onShutdownStarted refuses new calls from now on; calls in progress continue until they end.
func (e *Entry) onShutdownStarted(now time.Time) {
	e.stopping = true
	e.finishShutdown(now)
}

// finishShutdown proposes to close the session once there are no calls, attempts or proposals. When
// that proposal has ended, or if there is no session to close, it emits Stopped.
func (e *Entry) finishShutdown(now time.Time) {
	if !e.stopping || e.stopped || len(e.calls) > 0 {
		return
	}
	if len(e.attempts) > 0 {
		return
	}
	if !e.proposer.isIdle() {
		return
	}
	if !e.closingSession && e.view.sessions[e.session].Key != "" {
		e.closingSession = true
		e.lease = tblease.NewHolder(e.cfg.EntryLease)
		e.propose(proposalItem{
			kind: closeSessionItem, deadline: now.Add(closeSessionTimeout),
			commands: []tbstate.Command{tbstate.CloseSession{Key: e.session}},
		})
		return
	}
	e.stopped = true
	e.emit(Stopped{})
}

// closeSessionTimeout bounds the wait for the control group during a shutdown.
const closeSessionTimeout = 2 * time.Second

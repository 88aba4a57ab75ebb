package tbdaemon

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"

	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbentry"
	"tamarackbarrow/core/tbnode"
	"tamarackbarrow/io/tbbundlefile"
	"tamarackbarrow/io/tbcodec"
	"tamarackbarrow/io/tbhttp"
	"tamarackbarrow/io/tbpeer"
	"tamarackbarrow/io/tbrunnerclient"
	"tamarackbarrow/io/tbsettings"
	"tamarackbarrow/io/tbstore"
)

// Limits and intervals of the event loop and of the shutdown.
//
// After an event, the loop also handles about maxQueuedPerPass events that are already queued.
// transferLeadership checks every leaderPollInterval whether this replica still leads.
const (
	leaderPollInterval = 5 * time.Millisecond
	eventQueueSize     = 16384
	maxQueuedPerPass   = 512
)

// Daemon is the process of one instance: its event loop, storage and connections.
type Daemon struct {
	settings tbsettings.Settings
	log      hclog.Logger
	// routineLog receives the lines that are dropped first when the log exceeds its rate limit, and runLog those
	// that are dropped next.
	routineLog hclog.Logger
	runLog     hclog.Logger
	node       *tbnode.Node
	codec      *tbcodec.Codec
	events     chan queuedEvents
	// firstEvents holds the events that are handled before those in events (see tbcontrol.GoesFirst).
	firstEvents chan queuedEvents
	// ticks says when the loop ticks the node.
	ticks tbnode.TickSchedule
	// replies maps the request id of each event that waits for a reply to the channel for that reply.
	replies           sync.Map
	nextRequestID     atomic.Uint64
	peers             *tbpeer.Client
	runners           *tbrunnerclient.Client
	backendHTTPClient *http.Client
	outboxMu          sync.Mutex
	outboxes          map[string]*outbox
	// groupMembers holds the members of the control group as []tbconsensus.Member.
	groupMembers atomic.Value
	// incarnation is the start time in Unix nanoseconds. It identifies this lifetime of the process in
	// the ids of attempts. The entry role uses the same incarnation.
	incarnation int64
	startedAt   time.Time
	clock       clock
	adapter     Adapter
	// intake accounts for the connections of all servers of the process.
	intake *tbhttp.Intake
	// orders sends this replica's orders while it leads. results returns the results of orders that
	// this replica has relayed.
	orders    *orderSender
	results   *resultSender
	directory directory
	// lastAnswerAt is the wall clock time of the leader's last answer to AskLeader, in nanoseconds
	// since 1970. It is 0 before the first answer.
	lastAnswerAt atomic.Int64
	// inGroup is true while this replica knows a leader and the newest membership in its log contains
	// this replica.
	inGroup atomic.Bool
	// senderAddresses maps replica ids to the addresses that the replicas sent with their messages.
	senderAddresses sync.Map
	fatalErr        chan error
	storage         *storage
	folder          *tbstore.Folder
	counters        *counters
	traffic         *tbpeer.Traffic
	// account is the account of the event loop since the last log line about it. Only the loop uses it.
	account *loopAccount
	// ready, entryControlAddress, queuedCalls, isConfirmedLeader and term are published for other goroutines
	// after each pass of the event loop. entryControlAddress is the address of the control replica that
	// gets the entry role's next request. The directory has the leader's address that is known from the
	// control group.
	ready               atomic.Bool
	entryControlAddress atomic.Value
	queuedCalls         atomic.Int64
	isConfirmedLeader   atomic.Bool
	// term is the newest term that the control role knows.
	term         atomic.Uint64
	entryStopped chan struct{}
	ctx          context.Context
	cancel       context.CancelFunc
	wg           sync.WaitGroup
}

// New opens the data folder, if one is configured, and returns a daemon that is not running yet.
//
// Lines written to routine are the first to be dropped when the log exceeds its rate limit, and those written to runs
// the next.
func New(settings tbsettings.Settings, log, runs, routine hclog.Logger) (*Daemon, error) {
	ctx, cancel := context.WithCancel(context.Background())
	traffic := &tbpeer.Traffic{}
	httpClient := tbrunnerclient.NewHTTPClient()
	d := &Daemon{
		settings: settings, log: log, runLog: runs, routineLog: routine,
		codec: tbcodec.New(parseBundle), events: make(chan queuedEvents, eventQueueSize), firstEvents: make(chan queuedEvents, eventQueueSize),
		peers: tbpeer.New(settings.SourceIP, traffic), runners: tbrunnerclient.New(httpClient), backendHTTPClient: httpClient,
		outboxes: map[string]*outbox{}, counters: newCounters(traffic), traffic: traffic,
		entryStopped: make(chan struct{}), ctx: ctx, cancel: cancel,
		startedAt: time.Now(), clock: newClock(), fatalErr: make(chan error, 1), account: newLoopAccount(time.Now()),
	}
	d.intake = NewIntake(settings.Limits, d.counters.add, log)
	d.entryControlAddress.Store("")
	d.groupMembers.Store(settings.Control)
	if settings.Group != nil {
		d.directory.add(settings.Group.Seeds)
	}
	for _, m := range settings.Control {
		d.directory.add([]string{m.Address})
	}
	now := d.clock.Now()
	d.incarnation = now.UnixNano()
	d.orders, d.results = newOrderSender(d, relayPolicy(settings.Policies.Relay), uint64(d.incarnation)), newResultSender(d)
	control, err := d.openControl(now)
	if err != nil {
		cancel()
		return nil, err
	}
	var entry *tbentry.Entry
	if settings.Entry {
		entry = tbentry.New(entryConfig(settings, uint64(now.UnixNano())), now)
	}
	d.node = tbnode.New(entry, control)
	d.ticks.EndPass(now, d.node.NextDue(now), true)
	return d, nil
}

// parseBundle parses a bundle that was validated when it was signed off.
func parseBundle(source []byte) (bundle, error) {
	return tbbundlefile.Parse("bundle", source)
}

func (d *Daemon) openControl(now time.Time) (*tbcontrol.Control, error) {
	if d.settings.DataFolder == "" {
		return nil, nil
	}
	var folder *tbstore.Folder
	err := d.waitForSpace(func() (err error) {
		folder, err = tbstore.OpenFolder(d.settings.DataFolder)
		return err
	})
	if err != nil {
		return nil, merry.Prepend(err, "cannot open the data folder")
	}
	if d.settings.Group != nil {
		if err := d.loadIdentity(folder); err != nil {
			return nil, err
		}
	}
	store, persisted, err := tbstore.Open(folder, d.onDiskFull)
	if err != nil {
		return nil, merry.Prependf(err, "cannot read data folder %q", d.settings.DataFolder)
	}
	persisted.Initial.Members = d.settings.Control
	control, err := tbcontrol.New(controlConfig(d.settings, uint64(now.UnixNano())), d.codec, persisted, now)
	if err != nil {
		return nil, merry.Prependf(err, "cannot use data folder %q", d.settings.DataFolder)
	}
	d.folder = folder
	d.storage = newStorage(store, d)
	d.log.Info("data folder opened", "folder", d.settings.DataFolder,
		"snapshotIndex", persisted.Snapshot.Meta.Index, "entries", len(persisted.Entries), "term", persisted.HardState.Term)
	return control, nil
}

// diskFullRetryInterval is the time between two tries to open the data folder on a full disk.
const diskFullRetryInterval = 200 * time.Millisecond

// waitForSpace repeats an operation of the start while it finds the disk full.
func (d *Daemon) waitForSpace(operation func() error) error {
	err := operation()
	if !errors.Is(err, syscall.ENOSPC) {
		return err
	}
	d.onDiskFull(true)
	for errors.Is(err, syscall.ENOSPC) {
		time.Sleep(diskFullRetryInterval)
		err = operation()
	}
	d.onDiskFull(false)
	return err
}

func (d *Daemon) onDiskFull(full bool) {
	if full {
		d.log.Error("disk is full: no change is accepted until there is room", "folder", d.settings.DataFolder)
		d.counters.add("storage.diskFull")
		return
	}
	d.log.Info("disk has room again", "folder", d.settings.DataFolder)
}

// Run serves until ctx is done and then stops gracefully. It returns an error if the daemon cannot
// start or has to stop early.
//
// If this replica was removed from the control group, Run stops and clears the data folder. It then
// returns nil unless the data folder cannot be cleared.
func (d *Daemon) Run(ctx context.Context) error {
	peerListener, err := tbpeer.Listen(d.settings.PeerListenAddress)
	if err != nil {
		return merry.Prepend(err, "cannot listen for peers")
	}
	callerListener, err := d.intake.Listen(d.settings.CallerAddress)
	if err != nil {
		return merry.Prepend(err, "cannot listen for callers")
	}
	server := d.httpServer()
	d.spawn(func() {
		peers := tbpeer.NewIntake(d.peerLimits(), d.counters.add, d.log)
		if err := tbpeer.Serve(d.ctx, d.traffic.CountListener(peers.Listener(peerListener)), &peerHandler{d: d}); err != nil {
			d.log.Debug("peer listener ended", "error", err)
		}
	})
	d.spawn(func() {
		if err := server.Serve(callerListener); err != nil && err != http.ErrServerClosed {
			d.log.Error("caller listener ended", "error", err)
		}
	})
	if d.storage != nil {
		d.spawn(d.storage.run)
	}
	d.spawn(d.loop)
	d.spawn(func() { d.watchPauses(d.clock.Now) })
	d.log.Info("serving", "id", d.settings.ID, "dataCentre", d.settings.DataCentre,
		"callerAddress", d.settings.CallerAddress, "control", d.storage != nil)
	if d.storage != nil && d.settings.Group != nil {
		d.spawn(d.maintainMembership)
	}
	adapterResult := d.serveAdapter(ctx)
	var runErr error
	select {
	case <-ctx.Done():
	case runErr = <-d.fatalErr:
	}
	if runErr == nil {
		runErr = <-adapterResult
	}
	d.stop(server)
	if runErr == errRemoved {
		// Clear runs without the lock of the folder, because stop has already released the lock. Clear
		// would remove the files of another process that opened the folder in between.
		return merry.Prepend(d.folder.Clear(), "cannot clear the data folder")
	}
	return runErr
}

// serveAdapter starts to serve the adapter and sends the result of Serve on the returned channel.
// Without an adapter, the channel holds nil at once.
func (d *Daemon) serveAdapter(ctx context.Context) <-chan error {
	result := make(chan error, 1)
	if d.adapter == nil {
		result <- nil
		return result
	}
	go func() {
		err := d.adapter.Serve(ctx)
		if err != nil {
			d.fail(err)
		}
		result <- err
	}()
	return result
}

// fail stops the daemon with an error. After the first error, further ones are dropped.
func (d *Daemon) fail(err error) {
	select {
	case d.fatalErr <- err:
	default:
	}
}

func (d *Daemon) spawn(f func()) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		f()
	}()
}

// stop shuts the daemon down. It stops the entry role first, so that requests in flight can finish.
// It then transfers leadership and closes the sockets, the storage and the data folder.
func (d *Daemon) stop(server *http.Server) {
	start := time.Now()
	d.log.Info("stopping: takes no new calls and finishes those in flight")
	d.stopEntry()
	d.transferLeadership()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		server.Close()
	}
	d.cancel()
	if d.storage != nil {
		d.storage.close()
	}
	d.wg.Wait()
	d.peers.Close()
	if d.folder != nil {
		d.folder.Close()
	}
	d.log.Info("stopped", "took", time.Since(start).String())
}

// stopEntry stops the entry role and waits, up to StopTimeout, until its requests in flight have
// finished.
func (d *Daemon) stopEntry() {
	if d.node.Entry == nil {
		return
	}
	d.queueEvent(tbnode.Event{Entry: tbentry.ShutdownStarted{}})
	select {
	case <-d.entryStopped:
	case <-time.After(d.settings.Times.StopTimeout):
		d.log.Warn("stop limit reached with requests in flight", "limit", d.settings.Times.StopTimeout)
	}
}

// transferLeadership asks the control role to transfer leadership. It then waits, up to two election
// timeouts, until this replica is no longer the confirmed leader.
func (d *Daemon) transferLeadership() {
	if d.node.Control == nil || !d.isConfirmedLeader.Load() {
		return
	}
	d.queueEvent(tbnode.Event{Control: tbcontrol.ShutdownStarted{}})
	deadline := time.Now().Add(2 * d.settings.Times.ElectionTimeout)
	for d.isConfirmedLeader.Load() && time.Now().Before(deadline) {
		time.Sleep(leaderPollInterval)
	}
}

// queuedEvents holds events that arrived together and the time when they were queued.
type queuedEvents struct {
	events   []tbnode.Event
	queuedAt time.Time
}

// queueEvent queues an event for the loop and blocks while the queue is full. Once the daemon has been
// cancelled, events may be dropped.
func (d *Daemon) queueEvent(ev tbnode.Event) { d.queueEvents([]tbnode.Event{ev}) }

// queueEvents is queueEvent for events that arrived together. All of them are queued like the first one.
func (d *Daemon) queueEvents(events []tbnode.Event) {
	if len(events) == 0 {
		return
	}
	queue := d.events
	if tbcontrol.GoesFirst(events[0].Control) {
		queue = d.firstEvents
	}
	select {
	case queue <- queuedEvents{events, time.Now()}:
	case <-d.ctx.Done():
	}
}

// loop runs the event loop. Only its goroutine accesses the state of the node, so the node needs no
// locks.
func (d *Daemon) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		isDue := false
		select {
		case <-d.ctx.Done():
			return
		case queued := <-d.firstEvents:
			d.handle(queued)
			d.handleQueued()
			isDue = d.ticks.IsDue(d.clock.Now())
		case queued := <-d.events:
			d.handle(queued)
			d.handleQueued()
			isDue = d.ticks.IsDue(d.clock.Now())
		case <-timer.C:
			isDue = true
		}
		if isDue {
			d.accountFor(kindTick, func() []tbnode.Effect { return d.node.Tick(d.clock.Now()) })
		}
		now := d.clock.Now()
		d.accountFor(kindPassEnd, func() []tbnode.Effect { return d.node.EndEventBatch(now, d.account.takeLoad()) })
		d.publishState(now)
		d.logAccount(time.Now())
		next := d.node.NextDue(now)
		now = d.clock.Now()
		d.ticks.EndPass(now, next, isDue)
		timer.Reset(d.ticks.Due().Sub(now))
	}
}

// accountFor performs the effects that step returns, and accounts for the time as a part of the loop that
// handles no queued event.
func (d *Daemon) accountFor(kind string, step func() []tbnode.Effect) {
	start := time.Now()
	effects := step()
	stepped := time.Now()
	d.account.stepTime = stepped.Sub(start)
	d.perform(effects)
	d.account.addEvent(kind, 0, stepped.Sub(start), time.Since(stepped))
}

func (d *Daemon) handle(queued queuedEvents) {
	for _, ev := range queued.events {
		start := time.Now()
		age := start.Sub(queued.queuedAt)
		d.counters.histograms.observe(latencyEvent, age)
		effects := d.node.Step(d.clock.Now(), ev)
		stepped := time.Now()
		d.perform(effects)
		d.account.addEvent(eventKind(ev), age, stepped.Sub(start), time.Since(stepped))
	}
}

// handleQueued handles events that are already queued, so that these events share proposals and disk syncs. It stops
// after about maxQueuedPerPass events, or once a tick is due.
func (d *Daemon) handleQueued() {
	for n := 0; n < maxQueuedPerPass; {
		queued, ok := d.nextQueued()
		if !ok {
			return
		}
		d.handle(queued)
		n += len(queued.events)
		if d.ticks.IsDue(d.clock.Now()) {
			return
		}
	}
}

// nextQueued takes the next queued events from their queue, if there are any.
func (d *Daemon) nextQueued() (queuedEvents, bool) {
	select {
	case queued := <-d.firstEvents:
		return queued, true
	default:
	}
	select {
	case queued := <-d.events:
		return queued, true
	default:
		return queuedEvents{}, false
	}
}

func (d *Daemon) publishState(now time.Time) {
	if e := d.node.Entry; e != nil {
		d.ready.Store(e.Ready(now))
		d.queuedCalls.Store(int64(e.QueuedCalls()))
		if address := e.ControlAddress(); address != d.entryControlAddress.Load().(string) {
			d.entryControlAddress.Store(address)
		}
	}
	if c := d.node.Control; c != nil {
		d.isConfirmedLeader.Store(c.IsConfirmedLeader(now))
		d.term.Store(c.Replica().Term())
		leader := c.Replica().LeaderID()
		d.inGroup.Store(leader != 0 && c.Replica().IsMember())
		if d.settings.Group != nil && leader != 0 && leader != d.settings.ReplicaID {
			if address := d.addressOf(leader); address != "" {
				d.directory.update(address, nil)
			}
		}
	}
}

// queueAndWait queues an event with a new request id and waits for the reply to this event. It
// returns the reply and the request id. The id is also returned with an error, because
// tbentry.CallerLeft needs it.
func queueAndWait[R any](d *Daemon, ctx context.Context, event func(id uint64) tbnode.Event) (R, uint64, error) {
	id := d.nextRequestID.Add(1)
	reply := make(chan any, 1)
	d.replies.Store(id, reply)
	defer d.replies.Delete(id)
	d.queueEvent(event(id))
	var zero R
	select {
	case r := <-reply:
		return r.(R), id, nil
	case <-ctx.Done():
		return zero, id, ctx.Err()
	case <-d.ctx.Done():
		return zero, id, context.Canceled
	}
}

func (d *Daemon) reply(id uint64, r any) {
	if c, ok := d.replies.Load(id); ok {
		c.(chan any) <- r
	}
}

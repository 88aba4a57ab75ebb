package tbdaemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"

	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbentry"
	"tamarackbarrow/core/tbnode"
	"tamarackbarrow/io/tbbundlefile"
	"tamarackbarrow/io/tbcodec"
	"tamarackbarrow/io/tbpeer"
	"tamarackbarrow/io/tbrunnerclient"
	"tamarackbarrow/io/tbsettings"
	"tamarackbarrow/io/tbstore"
)

// Limits and intervals of the event loop; after an event, the loop also handles up to
// maxQueuedPerPass events that are already queued.
const (
	leaderPollInterval = 5 * time.Millisecond
	minTimerDelay      = time.Millisecond
	eventQueueSize     = 16384
	maxQueuedPerPass   = 512
)

// Daemon is the process of one instance: its event loop, storage and connections.
type Daemon struct {
	settings tbsettings.Settings
	log      hclog.Logger
	// routineLog takes the lines that are dropped first when the log exceeds its rate limit.
	routineLog hclog.Logger
	node       *tbnode.Node
	codec      *tbcodec.Codec
	events     chan queuedEvent
	// replies maps the ids of events that wait for a reply to the channels for it.
	replies       sync.Map
	nextRequestID atomic.Uint64
	peers         *tbpeer.Client
	runners       *tbrunnerclient.Client
	backends      *http.Client
	outboxMu      sync.Mutex
	outboxes      map[string]*outbox
	// groupMembers holds the members of the control group as []tbconsensus.Member.
	groupMembers atomic.Value
	// incarnation is the start time in Unix nanoseconds; it identifies this lifetime of the
	// process in the ids of attempts. The entry has the same incarnation.
	incarnation int64
	startedAt   time.Time
	clock       clock
	adapter     Adapter
	directory   directory
	// lastAnswer is the wall clock time of the last answer to a request to the leader, in
	// nanoseconds since 1970; 0 before the first.
	lastAnswer atomic.Int64
	// inGroup is true while this replica has a leader and its log lists it as a member.
	inGroup atomic.Bool
	// senderAddresses maps replica ids to the addresses given in their messages.
	senderAddresses sync.Map
	fatalErr        chan error
	storage         *storage
	folder          *tbstore.Folder
	counters        *counters
	traffic         *tbpeer.Traffic
	// ready, controlAddress, queuedCalls and isConfirmedLeader are published for other goroutines
	// after each pass of the event loop. controlAddress is the leader's peer address as the entry
	// role knows it; directory has the address known from the control group.
	ready             atomic.Bool
	controlAddress    atomic.Value
	queuedCalls       atomic.Int64
	isConfirmedLeader atomic.Bool
	entryStopped      chan struct{}
	ctx               context.Context
	cancel            context.CancelFunc
	wg                sync.WaitGroup
}

// New opens the data folder, if any, and returns a daemon that is not running yet.
//
// Lines written to routine are dropped first when the log exceeds its rate limit.
func New(settings tbsettings.Settings, log, routine hclog.Logger) (*Daemon, error) {
	ctx, cancel := context.WithCancel(context.Background())
	traffic := &tbpeer.Traffic{}
	httpClient := tbrunnerclient.NewHTTPClient()
	d := &Daemon{
		settings: settings, log: log, routineLog: routine,
		codec: tbcodec.New(parseBundle), events: make(chan queuedEvent, eventQueueSize),
		peers: tbpeer.New(settings.SourceIP, traffic), runners: tbrunnerclient.New(httpClient), backends: httpClient,
		outboxes: map[string]*outbox{}, counters: newCounters(traffic), traffic: traffic,
		entryStopped: make(chan struct{}), ctx: ctx, cancel: cancel,
		startedAt: time.Now(), clock: newClock(), fatalErr: make(chan error, 1),
	}
	d.controlAddress.Store("")
	d.groupMembers.Store(settings.Control)
	if settings.Group != nil {
		d.directory.add(settings.Group.Seeds)
	}
	now := d.clock.Now()
	d.incarnation = now.UnixNano()
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
	folder, err := tbstore.OpenFolder(d.settings.DataFolder)
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

func (d *Daemon) onDiskFull(full bool) {
	if full {
		d.log.Error("disk is full: no change is accepted until there is room", "folder", d.settings.DataFolder)
		d.counters.add("storage.diskFull")
		return
	}
	d.log.Info("disk has room again", "folder", d.settings.DataFolder)
}

// Run serves until ctx is done and then stops gracefully; it returns an error if it cannot
// start or has to stop early.
//
// If this replica was removed from the control group, Run stops, clears the data folder and
// returns nil unless that fails.
func (d *Daemon) Run(ctx context.Context) error {
	peerListener, err := tbpeer.Listen(d.settings.PeerListenAddress)
	if err != nil {
		return merry.Prepend(err, "cannot listen for peers")
	}
	callerListener, err := net.Listen("tcp", d.settings.CallerAddress)
	if err != nil {
		return merry.Prepend(err, "cannot listen for callers")
	}
	server := d.httpServer()
	d.spawn(func() {
		if err := tbpeer.Serve(d.ctx, d.traffic.CountListener(peerListener), &peerHandler{d: d}); err != nil {
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
	d.log.Info("serving", "id", d.settings.ID, "dataCentre", d.settings.DataCentre,
		"callerAddress", d.settings.CallerAddress, "control", d.storage != nil)
	if d.storage != nil && d.settings.Group != nil {
		d.spawn(d.maintainMembership)
	}
	served := d.serveAdapter(ctx)
	var failed error
	select {
	case <-ctx.Done():
	case failed = <-d.fatalErr:
	}
	if failed == nil {
		failed = <-served
	}
	d.stop(server)
	if failed == errRemoved {
		// The lock of the folder is already released.
		return merry.Prepend(d.folder.Clear(), "cannot clear the data folder")
	}
	return failed
}

// serveAdapter serves the adapter, if any, until ctx is done, and sends the result on the channel.
func (d *Daemon) serveAdapter(ctx context.Context) <-chan error {
	served := make(chan error, 1)
	if d.adapter == nil {
		served <- nil
		return served
	}
	go func() {
		err := d.adapter.Serve(ctx)
		if err != nil {
			d.fail(err)
		}
		served <- err
	}()
	return served
}

// fail stops the daemon with an error; only the first one is kept.
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

// stop shuts the daemon down: first the entry role, so that requests in flight can finish, then
// leadership, then the sockets.
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

// stopEntry stops the entry role and waits for its requests in flight, at most StopTimeout.
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

// transferLeadership asks the control role to hand over leadership and waits, up to two election
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

// queuedEvent is an event and the time when it was passed to the loop.
type queuedEvent struct {
	event    tbnode.Event
	queuedAt time.Time
}

// queueEvent queues an event for the loop; it blocks while the queue is full.
func (d *Daemon) queueEvent(ev tbnode.Event) {
	select {
	case d.events <- queuedEvent{ev, time.Now()}:
	case <-d.ctx.Done():
	}
}

// loop runs the event loop; no other goroutine accesses the state of the node.
func (d *Daemon) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case queued := <-d.events:
			d.handle(queued)
			d.handleQueued()
		case <-timer.C:
			d.perform(d.node.Tick(d.clock.Now()))
		}
		now := d.clock.Now()
		d.perform(d.node.EndEventBatch(now))
		d.publishState(now)
		timer.Reset(max(minTimerDelay, d.node.NextDue(now).Sub(now)))
	}
}

func (d *Daemon) handle(queued queuedEvent) {
	d.counters.histograms.observe(latencyEvent, time.Since(queued.queuedAt))
	d.perform(d.node.Step(d.clock.Now(), queued.event))
}

// handleQueued handles events that are already queued, so that they share proposals and disk syncs.
func (d *Daemon) handleQueued() {
	for range maxQueuedPerPass {
		select {
		case queued := <-d.events:
			d.handle(queued)
		default:
			return
		}
	}
}

func (d *Daemon) publishState(now time.Time) {
	if e := d.node.Entry; e != nil {
		d.ready.Store(e.Ready(now))
		d.queuedCalls.Store(int64(e.QueuedCalls()))
		if address := e.ControlAddress(); address != d.controlAddress.Load().(string) {
			d.controlAddress.Store(address)
		}
	}
	if c := d.node.Control; c != nil {
		d.isConfirmedLeader.Store(c.IsConfirmedLeader(now))
		leader := c.Replica().LeaderID()
		d.inGroup.Store(leader != 0 && c.Replica().IsMember())
		if d.settings.Group != nil && leader != 0 && leader != d.settings.ReplicaID {
			if address := d.addressOf(leader); address != "" {
				d.directory.update(address, nil)
			}
		}
	}
}

// queueAndWait queues an event with a new request id and waits for the reply to it. It returns
// the reply and the id, which tbentry.CallerLeft refers to.
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

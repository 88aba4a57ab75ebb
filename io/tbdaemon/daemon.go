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

// Sizes and times of the event loop.
const (
	leaderPoll     = 5 * time.Millisecond
	minTimer       = time.Millisecond
	eventQueueSize = 16384
	maxDrained     = 512
)

// Daemon is one running instance of the system.
type Daemon struct {
	settings tbsettings.Settings
	log      hclog.Logger
	// routineLog takes the lines that are dropped first when there are too many.
	routineLog hclog.Logger
	node       *tbnode.Node
	codec      *tbcodec.Codec
	events     chan arrival
	replies    sync.Map
	nextID     atomic.Uint64
	peers      *tbpeer.Client
	runners    *tbrunnerclient.Client
	backends   *http.Client
	outboxMu   sync.Mutex
	outboxes   map[string]*outbox
	// members is the control group as []tbconsensus.Member.
	members atomic.Value
	// started makes request ids of different incarnations differ.
	started   int64
	startedAt time.Time
	clock     clock
	adapter   Adapter
	directory directory
	// lastAnswer is the time of the last answer of a leader, in nanoseconds since 1970.
	lastAnswer atomic.Int64
	// inGroup is true while this replica knows itself as a member and hears a leader.
	inGroup atomic.Bool
	// senders are the addresses of replicas by id, from which messages came.
	senders  sync.Map
	failure  chan error
	storage  *storage
	folder   *tbstore.Folder
	counters *counters
	traffic  *tbpeer.Traffic
	// ready, target and queued are published for other goroutines after each batch.
	ready   atomic.Bool
	target  atomic.Value
	queued  atomic.Int64
	leads   atomic.Bool
	stopped chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup
}

// New opens the data folder, if any, and returns a daemon that does not run yet.
//
// What routine takes is dropped first when there are too many lines.
func New(settings tbsettings.Settings, log, routine hclog.Logger) (*Daemon, error) {
	ctx, cancel := context.WithCancel(context.Background())
	traffic := &tbpeer.Traffic{}
	httpClient := tbrunnerclient.NewHTTPClient()
	d := &Daemon{
		settings: settings, log: log, routineLog: routine,
		codec: tbcodec.New(parseBundle), events: make(chan arrival, eventQueueSize),
		peers: tbpeer.New(settings.SourceIP, traffic), runners: tbrunnerclient.New(httpClient), backends: httpClient,
		outboxes: map[string]*outbox{}, counters: newCounters(traffic), traffic: traffic,
		stopped: make(chan struct{}), ctx: ctx, cancel: cancel,
		startedAt: time.Now(), clock: newClock(), failure: make(chan error, 1),
	}
	d.target.Store("")
	d.members.Store(settings.Control)
	if settings.Group != nil {
		d.directory.seed(settings.Group.Seeds)
	}
	now := d.clock.Now()
	d.started = now.UnixNano()
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

// parseBundle reads a bundle that was checked before.
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
		if err := d.identify(folder); err != nil {
			return nil, err
		}
	}
	store, restored, err := tbstore.Open(folder, d.noteDiskFull)
	if err != nil {
		return nil, merry.Prependf(err, "cannot read data folder %q", d.settings.DataFolder)
	}
	restored.Initial.Members = d.settings.Control
	control, err := tbcontrol.New(controlConfig(d.settings, uint64(now.UnixNano())), d.codec, restored, now)
	if err != nil {
		return nil, merry.Prependf(err, "cannot use data folder %q", d.settings.DataFolder)
	}
	d.folder = folder
	d.storage = newStorage(store, d)
	d.log.Info("data folder opened", "folder", d.settings.DataFolder,
		"snapshotIndex", restored.Snapshot.Meta.Index, "entries", len(restored.Entries), "term", restored.HardState.Term)
	return control, nil
}

func (d *Daemon) noteDiskFull(full bool) {
	if full {
		d.log.Error("disk is full: no change is accepted until there is room", "folder", d.settings.DataFolder)
		d.counters.add("storage.diskFull")
		return
	}
	d.log.Info("disk has room again", "folder", d.settings.DataFolder)
}

// Run serves until ctx ends and then stops gracefully; the error tells why it could not start.
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
	d.goRun(func() {
		if err := tbpeer.Serve(d.ctx, d.traffic.Count(peerListener), &peerHandler{d: d}); err != nil {
			d.log.Debug("peer listener ended", "error", err)
		}
	})
	d.goRun(func() {
		if err := server.Serve(callerListener); err != nil && err != http.ErrServerClosed {
			d.log.Error("caller listener ended", "error", err)
		}
	})
	if d.storage != nil {
		d.goRun(d.storage.run)
	}
	d.goRun(d.loop)
	d.log.Info("serving", "id", d.settings.ID, "dataCentre", d.settings.DataCentre,
		"callerAddress", d.settings.CallerAddress, "control", d.storage != nil)
	if d.storage != nil && d.settings.Group != nil {
		d.goRun(d.keepJoined)
	}
	served := d.serveAdapter(ctx)
	var failed error
	select {
	case <-ctx.Done():
	case failed = <-d.failure:
	}
	if failed == nil {
		failed = <-served
	}
	d.stop(server)
	if failed == errRemoved {
		return merry.Prepend(d.folder.Empty(), "cannot empty the data folder")
	}
	return failed
}

// serveAdapter serves the adapter, if any, until ctx ends.
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

// fail ends the daemon with an error.
func (d *Daemon) fail(err error) {
	select {
	case d.failure <- err:
	default:
	}
}

func (d *Daemon) goRun(f func()) {
	d.group.Add(1)
	go func() {
		defer d.group.Done()
		f()
	}()
}

// stop ends the daemon without cutting off a request: entry first, then leadership, then sockets.
func (d *Daemon) stop(server *http.Server) {
	began := time.Now()
	d.log.Info("stopping: takes no new calls and finishes those in flight")
	d.finishCalls()
	d.handLeadershipOver()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		server.Close()
	}
	d.cancel()
	if d.storage != nil {
		d.storage.close()
	}
	d.group.Wait()
	d.peers.Close()
	if d.folder != nil {
		d.folder.Close()
	}
	d.log.Info("stopped", "took", time.Since(began).String())
}

// finishCalls ends the entry role and waits for its requests in flight.
func (d *Daemon) finishCalls() {
	if d.node.Entry == nil {
		return
	}
	d.push(tbnode.Event{Entry: tbentry.StopBegun{}})
	select {
	case <-d.stopped:
	case <-time.After(d.settings.Times.StopLimit):
		d.log.Warn("stop limit reached with requests in flight", "limit", d.settings.Times.StopLimit)
	}
}

// handLeadershipOver waits a moment for another replica to lead.
func (d *Daemon) handLeadershipOver() {
	if d.node.Control == nil || !d.leads.Load() {
		return
	}
	d.push(tbnode.Event{Control: tbcontrol.ShutdownStarted{}})
	deadline := time.Now().Add(2 * d.settings.Times.ElectionTimeout)
	for d.leads.Load() && time.Now().Before(deadline) {
		time.Sleep(leaderPoll)
	}
}

// arrival is an event and when it was handed to the loop.
type arrival struct {
	event tbnode.Event
	at    time.Time
}

// push hands an event to the loop; it waits when the loop is far behind.
func (d *Daemon) push(ev tbnode.Event) {
	select {
	case d.events <- arrival{ev, time.Now()}:
	case <-d.ctx.Done():
	}
}

// loop is the only goroutine that touches the node.
func (d *Daemon) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case a := <-d.events:
			d.take(a)
			d.drain()
		case <-timer.C:
			d.perform(d.node.Tick(d.clock.Now()))
		}
		now := d.clock.Now()
		d.perform(d.node.EndBatch(now))
		d.publish(now)
		timer.Reset(max(minTimer, d.node.NextDue(now).Sub(now)))
	}
}

func (d *Daemon) take(a arrival) {
	d.counters.histograms.observe(latencyEvent, time.Since(a.at))
	d.perform(d.node.Step(d.clock.Now(), a.event))
}

// drain handles what is already at hand, so that proposals and syncs of the disk are shared.
func (d *Daemon) drain() {
	for range maxDrained {
		select {
		case a := <-d.events:
			d.take(a)
		default:
			return
		}
	}
}

func (d *Daemon) publish(now time.Time) {
	if e := d.node.Entry; e != nil {
		d.ready.Store(e.Ready(now))
		d.queued.Store(int64(e.QueuedCalls()))
		if target := e.ControlAddress(); target != d.target.Load().(string) {
			d.target.Store(target)
		}
	}
	if c := d.node.Control; c != nil {
		d.leads.Store(c.IsConfirmedLeader(now))
		leader := c.Replica().LeaderID()
		d.inGroup.Store(leader != 0 && c.Replica().IsMember())
		if d.settings.Group != nil && leader != 0 && leader != d.settings.ReplicaID {
			if address := d.addressOf(leader); address != "" {
				d.directory.learn(address, nil)
			}
		}
	}
}

// ask pushes an event with a fresh id and waits for the reply to it.
func ask[R any](d *Daemon, ctx context.Context, event func(id uint64) tbnode.Event) (R, uint64, error) {
	id := d.nextID.Add(1)
	reply := make(chan any, 1)
	d.replies.Store(id, reply)
	defer d.replies.Delete(id)
	d.push(event(id))
	var none R
	select {
	case r := <-reply:
		return r.(R), id, nil
	case <-ctx.Done():
		return none, id, ctx.Err()
	case <-d.ctx.Done():
		return none, id, context.Canceled
	}
}

func (d *Daemon) reply(id uint64, r any) {
	if c, ok := d.replies.Load(id); ok {
		c.(chan any) <- r
	}
}

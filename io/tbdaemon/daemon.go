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
	tickInterval   = 5 * time.Millisecond
	eventQueueSize = 16384
	maxDrained     = 512
)

// Daemon is one running instance of the system.
type Daemon struct {
	settings tbsettings.Settings
	log      hclog.Logger
	node     *tbnode.Node
	codec    *tbcodec.Codec
	events   chan tbnode.Event
	replies  sync.Map
	nextID   atomic.Uint64
	peers    *tbpeer.Client
	runners  *tbrunnerclient.Client
	backends *http.Client
	outboxMu sync.Mutex
	outboxes map[string]*outbox
	// members is the control group as []tbconsensus.Member.
	members atomic.Value
	// started makes request ids of different incarnations differ.
	started  int64
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
func New(settings tbsettings.Settings, log hclog.Logger) (*Daemon, error) {
	ctx, cancel := context.WithCancel(context.Background())
	traffic := &tbpeer.Traffic{}
	httpClient := tbrunnerclient.NewHTTPClient()
	d := &Daemon{
		settings: settings, log: log,
		codec: tbcodec.New(parseBundle), events: make(chan tbnode.Event, eventQueueSize),
		peers: tbpeer.New(settings.SourceIP, traffic), runners: tbrunnerclient.New(httpClient), backends: httpClient,
		outboxes: map[string]*outbox{}, counters: newCounters(traffic), traffic: traffic,
		stopped: make(chan struct{}), ctx: ctx, cancel: cancel,
	}
	d.target.Store("")
	d.members.Store(settings.Control)
	now := time.Now()
	d.started = now.UnixNano()
	control, err := d.openControl(now)
	if err != nil {
		cancel()
		return nil, err
	}
	entry := tbentry.New(entryConfig(settings, uint64(now.UnixNano())), now)
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
	<-ctx.Done()
	d.stop(server)
	return nil
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
	d.push(tbnode.Event{Entry: tbentry.StopBegun{}})
	select {
	case <-d.stopped:
	case <-time.After(d.settings.Times.StopLimit):
		d.log.Warn("stop limit reached with requests in flight", "limit", d.settings.Times.StopLimit)
	}
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

// handLeadershipOver waits a moment for another replica to lead.
func (d *Daemon) handLeadershipOver() {
	if d.node.Control == nil || !d.leads.Load() {
		return
	}
	d.push(tbnode.Event{Control: tbcontrol.StopBegun{}})
	deadline := time.Now().Add(2 * d.settings.Times.ElectionTimeout)
	for d.leads.Load() && time.Now().Before(deadline) {
		time.Sleep(tickInterval)
	}
}

// push hands an event to the loop; it waits when the loop is far behind.
func (d *Daemon) push(ev tbnode.Event) {
	select {
	case d.events <- ev:
	case <-d.ctx.Done():
	}
}

// loop is the only goroutine that touches the node.
func (d *Daemon) loop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case ev := <-d.events:
			d.perform(d.node.Step(time.Now(), ev))
			d.drain()
		case <-ticker.C:
			d.perform(d.node.Tick(time.Now()))
		}
		now := time.Now()
		d.perform(d.node.EndBatch(now))
		d.publish(now)
	}
}

// drain handles what is already at hand, so that proposals and syncs of the disk are shared.
func (d *Daemon) drain() {
	for range maxDrained {
		select {
		case ev := <-d.events:
			d.perform(d.node.Step(time.Now(), ev))
		default:
			return
		}
	}
}

func (d *Daemon) publish(now time.Time) {
	d.ready.Store(d.node.Entry.Ready(now))
	d.queued.Store(int64(d.node.Entry.QueuedCalls()))
	if target := d.node.Entry.ControlAddress(); target != d.target.Load().(string) {
		d.target.Store(target)
	}
	if d.node.Control != nil {
		d.leads.Store(d.node.Control.Leads(now))
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

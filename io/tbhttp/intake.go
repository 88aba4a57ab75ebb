package tbhttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"tamarackbarrow/core/tbintake"
)

// Names of the counters of an intake.
const (
	counterEvicted         = "intake.evicted"
	counterRefused         = "intake.refused"
	counterRefusedRequests = "intake.refusedRequests"
	counterTooLargeHeads   = "intake.tooLargeHeads"
)

// Bounds of the limits of single requests, in bytes.
const (
	smallestLimit = 1024
	largestHead   = 1 << 20
	// headSlack is what a head may have beyond its limit.
	headSlack = 4096
)

// logInterval is the shortest time between two log lines about evictions and refusals.
const logInterval = 10 * time.Second

// releaseTimeout bounds the time that a read waits for connections that were given up.
const releaseTimeout = time.Second

// ErrNoRoom means that a request was not read to its end, or not admitted, because the process has no room
// for it. It has not been executed.
var ErrNoRoom = errors.New("no room for the request")

// Options configures an intake.
type Options struct {
	Limits tbintake.Limits
	// MaxHeadBytes is the size of the largest request line and header lines together; headSlack is allowed
	// beyond it. MaxBodyBytes is the size of the largest body of a caller. SetRequestLimits overrides
	// both.
	MaxHeadBytes int64
	MaxBodyBytes int64
	// HeadTimeout and BodyTimeout bound the time in which a head and a whole request have to arrive.
	HeadTimeout time.Duration
	BodyTimeout time.Duration
	// AnswerTimeout bounds the time in which a client has to take what was written at once.
	AnswerTimeout time.Duration
	// Count adds 1 to the counter with the given name.
	Count func(name string)
	Log   hclog.Logger
}

// Intake holds the connections of all servers of a process together.
type Intake struct {
	options Options
	// maxHeadBytes and maxBodyBytes are the limits in force.
	maxHeadBytes atomic.Int64
	maxBodyBytes atomic.Int64

	mu     sync.Mutex
	table  *tbintake.Table
	owners map[tbintake.ID]owner
	// released is closed when reads no longer have to wait for connections that were given up; nil if none waits.
	released chan struct{}
	// loggedAt is when a line about evictions and refusals was logged, and evicted and refused count
	// them since.
	loggedAt         time.Time
	evicted, refused int
}

// owner is what an entry of the table stands for.
type owner interface {
	// evict makes the owner's next read fail.
	evict()
}

// New returns an intake without connections.
func New(o Options) *Intake {
	in := &Intake{options: o, table: tbintake.New(o.Limits), owners: map[tbintake.ID]owner{}}
	in.SetRequestLimits(0, 0)
	return in
}

// SetRequestLimits sets the limits of single requests, in bytes. Each 0 stands for the limit in the options, and
// what is below smallestLimit or above the memory of whole requests is replaced by these bounds.
func (in *Intake) SetRequestLimits(maxHeadBytes, maxBodyBytes int64) {
	bounded := func(n, fallback int64) int64 {
		if n <= 0 {
			return fallback
		}
		return max(smallestLimit, min(n, in.options.Limits.RunningBytes))
	}
	in.maxHeadBytes.Store(min(bounded(maxHeadBytes, in.options.MaxHeadBytes), largestHead))
	in.maxBodyBytes.Store(bounded(maxBodyBytes, in.options.MaxBodyBytes))
}

// MaxBodyBytes returns the size in bytes of the largest body of a caller.
func (in *Intake) MaxBodyBytes() int64 { return in.maxBodyBytes.Load() }

// Options returns the options of the intake.
func (in *Intake) Options() Options { return in.options }

// Listen opens a TCP listener whose connections the intake accounts for.
func (in *Intake) Listen(address string) (net.Listener, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, tbintake.ReceiveBuffer)
		})
		return errors.Join(controlErr, err)
	}}
	l, err := cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: l, intake: in}, nil
}

// Bind applies the limits to a server. Its handler and its other hooks must be set before, and its
// listener must be one of the intake.
func (in *Intake) Bind(s *http.Server) {
	s.MaxHeaderBytes = largestHead
	if s.HTTP2 != nil {
		// net/http bounds the heads of HTTP/2 only by this field.
		s.MaxHeaderBytes = int(in.options.MaxHeadBytes)
	}
	s.ReadHeaderTimeout = in.options.HeadTimeout
	s.Handler = in.admit(s.Handler)
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if own, ok := c.(*conn); ok {
			return context.WithValue(ctx, requestKey{}, &request{intake: in, id: own.id})
		}
		return ctx
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if own, ok := c.(*conn); ok {
			own.onState(state)
		}
	}
}

// settle closes what the table evicted. The intake's lock is held. The owners are returned, because they
// have to be closed without the lock.
func (in *Intake) settle(evicted []tbintake.ID, ok bool, now time.Time) []owner {
	var owners []owner
	for _, id := range evicted {
		owners = append(owners, in.owners[id])
		delete(in.owners, id)
		in.options.Count(counterEvicted)
	}
	in.evicted += len(evicted)
	if !ok {
		in.refused++
	}
	if in.evicted+in.refused > 0 && now.Sub(in.loggedAt) >= logInterval {
		in.options.Log.Warn("no room for all clients: incomplete requests were given up or requests refused", "evicted", in.evicted,
			"refused", in.refused, "bytes", in.table.Bytes(), "maxBytes", in.options.Limits.Bytes,
			"connections", in.table.Connections(), "maxConnections", in.options.Limits.Connections)
		in.loggedAt, in.evicted, in.refused = now, 0, 0
	}
	return owners
}

func evictAll(owners []owner) {
	for _, o := range owners {
		o.evict()
	}
}

// receive accounts for a part of a request and reports whether there is room for it.
func (in *Intake) receive(id tbintake.ID, cost int64) bool {
	now := time.Now()
	in.mu.Lock()
	evicted, ok := in.table.Receive(id, cost, now)
	owners := in.settle(evicted, ok, now)
	in.mu.Unlock()
	evictAll(owners)
	if !ok {
		in.options.Count(counterRefused)
	}
	return ok
}

// run marks a request as whole and accounts for the memory to answer it. It reports whether there is room.
func (in *Intake) run(id tbintake.ID, cost int64) bool {
	now := time.Now()
	in.mu.Lock()
	evicted, ok := in.table.Run(id, cost, now)
	owners := in.settle(evicted, ok, now)
	in.mu.Unlock()
	evictAll(owners)
	if !ok {
		in.options.Count(counterRefusedRequests)
	}
	return ok
}

func (in *Intake) close(id tbintake.ID) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.table.Close(id)
	delete(in.owners, id)
	if in.released != nil && !in.table.IsReleasing() {
		close(in.released)
		in.released = nil
	}
}

// waitForRelease waits until connections that were given up have released most of their memory, or gone is closed. Their
// servers may not have run yet, and without a pause readers would get ahead of them.
func (in *Intake) waitForRelease(gone <-chan struct{}) {
	in.mu.Lock()
	if !in.table.IsReleasing() {
		in.mu.Unlock()
		return
	}
	if in.released == nil {
		in.released = make(chan struct{})
	}
	released := in.released
	in.mu.Unlock()
	timeout := time.NewTimer(releaseTimeout)
	defer timeout.Stop()
	select {
	case <-released:
	case <-gone:
	case <-timeout.C:
	}
}

// canFit reports whether there would be room to answer a request if it were the only one.
func (in *Intake) canFit(id tbintake.ID, cost int64) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.table.CanFit(id, cost)
}

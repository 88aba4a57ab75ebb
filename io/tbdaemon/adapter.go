package tbdaemon

import (
	"context"
	"net/http"
	"time"

	"tamarackbarrow/core/tbfleet"
)

// MaxSendingTime is the longest time from a call of a WorkerTransport until no part of the order is sent any more.
const MaxSendingTime = 800 * time.Millisecond

// WorkerTransport sends orders to the workers of an external platform. Each call blocks until the
// worker answers or the order times out. It sends no part of the order later than MaxSendingTime.
// SentBefore in the answers is on the clock of Daemon.Now.
//
// Workers that announce themselves to an entry need no WorkerTransport. They get their orders in the
// answers to their announcements and through WorkerService.
type WorkerTransport interface {
	Start(ctx context.Context, o tbfleet.Start) tbfleet.StartAnswered
	Stop(ctx context.Context, o tbfleet.Stop) tbfleet.StopAnswered
	Poll(ctx context.Context, o tbfleet.Poll) tbfleet.PollAnswered
	SetSpeed(ctx context.Context, o tbfleet.SetSpeed) tbfleet.SpeedAnswered
}

// Adapter serves the callers, workers and operators of an external platform in that platform's protocol.
type Adapter interface {
	WorkerTransport
	// Serve accepts requests until stop is done. It then completes the requests in flight and returns.
	Serve(stop context.Context) error
}

// SetAdapter sets the adapter that Run serves. Run reads the adapter without a lock, so SetAdapter must
// be called before Run.
func (d *Daemon) SetAdapter(a Adapter) { d.adapter = a }

// Metrics returns the handler that serves counters and latency histograms as JSON.
func (d *Daemon) Metrics() http.Handler { return d.counters }

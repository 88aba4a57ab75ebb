package tbdaemon

import (
	"context"
	"net/http"
	"time"

	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbnode"
)

// WorkerTransport sends orders to the workers of an external platform. Each call blocks until the
// worker answers or the order times out.
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

// sendOrder sends an order to a worker through the adapter and queues the worker's answer as an
// event. Without an adapter it does nothing.
func (d *Daemon) sendOrder(order tbcontrol.SendOrder) {
	if d.adapter == nil {
		return
	}
	var ev tbcontrol.Event
	start := time.Now()
	latencyName := latencyWorkerStart
	switch o := order.Order.(type) {
	case tbfleet.Start:
		ev = tbcontrol.StartAnswered{Answer: d.adapter.Start(d.ctx, o), Term: order.Term}
	case tbfleet.Stop:
		latencyName = latencyWorkerStop
		ev = tbcontrol.StopAnswered{Answer: d.adapter.Stop(d.ctx, o), Term: order.Term}
	case tbfleet.Poll:
		sentAt := d.clock.Now()
		a := d.adapter.Poll(d.ctx, o)
		// The answer shows the worker's state at some time after sentAt.
		a.SentAt = sentAt
		ev = tbcontrol.PollAnswered{Answer: a, Term: order.Term}
		latencyName = latencyWorkerPoll
	case tbfleet.SetSpeed:
		ev = tbcontrol.SpeedAnswered{Answer: d.adapter.SetSpeed(d.ctx, o), Term: order.Term}
		latencyName = latencyWorkerSpeed
	}
	d.counters.histograms.observe(latencyName, time.Since(start))
	d.queueEvent(tbnode.Event{Control: ev})
}

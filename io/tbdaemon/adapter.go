package tbdaemon

import (
	"context"
	"net/http"
	"time"

	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbnode"
)

// WorkerTransport carries orders to workers; each call waits for the answer or the order's timeout.
type WorkerTransport interface {
	Start(ctx context.Context, o tbfleet.Start) tbfleet.StartAnswered
	Stop(ctx context.Context, o tbfleet.Stop) tbfleet.StopAnswered
	Look(ctx context.Context, o tbfleet.Poll) tbfleet.PollAnswered
	Pace(ctx context.Context, o tbfleet.SetSpeed) tbfleet.SpeedAnswered
}

// Adapter serves an outside platform's callers, workers and operators in their own protocol.
type Adapter interface {
	WorkerTransport
	// Serve listens until stop ends, finishes what is in flight and returns.
	Serve(stop context.Context) error
}

// Attach makes the daemon serve an adapter; it must come before Run.
func (d *Daemon) Attach(a Adapter) { d.adapter = a }

// Metrics serves counters and latency histograms.
func (d *Daemon) Metrics() http.Handler { return d.counters }

// callWorker sends an order and brings back its answer.
func (d *Daemon) callWorker(order tbcontrol.SendOrder) {
	if d.adapter == nil {
		return
	}
	var ev tbcontrol.Event
	began := time.Now()
	name := latencyWorkerStart
	switch c := order.Order.(type) {
	case tbfleet.Start:
		ev = tbcontrol.StartAnswered{Answer: d.adapter.Start(d.ctx, c), Term: order.Term}
	case tbfleet.Stop:
		name = latencyWorkerStop
		ev = tbcontrol.StopAnswered{Answer: d.adapter.Stop(d.ctx, c), Term: order.Term}
	case tbfleet.Poll:
		sent := d.clock.Now()
		a := d.adapter.Look(d.ctx, c)
		a.SentAt = sent
		ev = tbcontrol.PollAnswered{Answer: a, Term: order.Term}
		name = latencyWorkerLook
	case tbfleet.SetSpeed:
		ev = tbcontrol.SpeedAnswered{Answer: d.adapter.Pace(d.ctx, c), Term: order.Term}
		name = latencyWorkerPace
	}
	d.counters.histograms.observe(name, time.Since(began))
	d.push(tbnode.Event{Control: ev})
}

package tbdaemon

import (
	"time"

	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbrelay"
	"tamarackbarrow/io/tbcodec"
)

// executeOrder sends an order to its worker through the adapter and waits for the result.
func (d *Daemon) executeOrder(order tbfleet.Order) tbcodec.OrderResult {
	start := time.Now()
	var r tbcodec.OrderResult
	var latencyName string
	switch o := order.(type) {
	case tbfleet.Start:
		latencyName = latencyWorkerStart
		a := d.adapter.Start(d.ctx, o)
		r = tbcodec.OrderResult{Outcome: a.Outcome, Cause: a.Cause, SentBefore: a.SentBefore, ClockMs: a.ClockMs}
	case tbfleet.Stop:
		latencyName = latencyWorkerStop
		a := d.adapter.Stop(d.ctx, o)
		r = tbcodec.OrderResult{Outcome: a.Outcome, Cause: a.Cause}
	case tbfleet.Poll:
		latencyName = latencyWorkerPoll
		a := d.adapter.Poll(d.ctx, o)
		r = tbcodec.OrderResult{
			Outcome: a.Outcome, Cause: a.Cause, SentBefore: a.SentBefore, ClockMs: a.ClockMs,
			ActualIncarnation: a.ActualIncarnation, Partial: a.Partial, Running: a.Running, Ended: a.Ended,
		}
		if a.Outcome == tbfleet.Refused && a.Cause == tbfleet.CauseFence {
			d.logFenced(o)
		}
	case tbfleet.SetSpeed:
		latencyName = latencyWorkerSpeed
		a := d.adapter.SetSpeed(d.ctx, o)
		r = tbcodec.OrderResult{Outcome: a.Outcome, SentBefore: a.SentBefore}
	}
	d.counters.histograms.observe(latencyName, time.Since(start))
	d.countOrder(order, r)
	return r
}

func targetOf(order tbfleet.Order) (tbfleet.Target, time.Duration) {
	switch o := order.(type) {
	case tbfleet.Start:
		return o.Target, o.Timeout
	case tbfleet.Stop:
		return o.Target, o.Timeout
	case tbfleet.Poll:
		return o.Target, o.Timeout
	case tbfleet.SetSpeed:
		return o.Target, o.Timeout
	}
	return tbfleet.Target{}, 0
}

// resultEvent returns the event that reports the result of an order.
func resultEvent(o tbrelay.PendingOrder, r tbcodec.OrderResult) tbcontrol.Event {
	sentBefore := r.SentBefore
	if sentBefore.Before(o.IssuedAt) {
		// No order is sent before it is issued, so the clock that measured this is wrong.
		sentBefore = time.Time{}
	}
	switch order := o.Order.(type) {
	case tbfleet.Start:
		return tbcontrol.StartAnswered{Term: o.Term, Answer: tbfleet.StartAnswered{
			Worker: order.Target.ID, Incarnation: order.Target.Incarnation, Ref: order.Ref, Run: order.Run, Outcome: r.Outcome, Cause: r.Cause, ClockMs: r.ClockMs,
			SentBefore: sentBefore,
		}}
	case tbfleet.Stop:
		return tbcontrol.StopAnswered{Term: o.Term, Answer: tbfleet.StopAnswered{
			Worker: order.Target.ID, Incarnation: order.Target.Incarnation, Ref: order.Ref, Run: order.Run, Outcome: r.Outcome,
			Cause: r.Cause,
		}}
	case tbfleet.SetSpeed:
		return tbcontrol.SpeedAnswered{Term: o.Term, Answer: tbfleet.SpeedAnswered{
			Worker: order.Target.ID, Incarnation: order.Target.Incarnation, Ref: order.Ref, Run: order.Run, Percent: order.Percent, Outcome: r.Outcome,
			SentBefore: sentBefore,
		}}
	}
	order := o.Order.(tbfleet.Poll)
	return tbcontrol.PollAnswered{Term: o.Term, Answer: tbfleet.PollAnswered{
		Worker: order.Target.ID, Incarnation: order.Target.Incarnation, LastRecordedEnd: order.LastRecordedEnd, LeaseEndMs: order.LeaseEndMs, Outcome: r.Outcome,
		// The answer shows the worker's state at some time after the order was issued.
		SentAt: o.IssuedAt, SentBefore: sentBefore, ActualIncarnation: r.ActualIncarnation, ClockMs: r.ClockMs,
		Running: r.Running, Ended: r.Ended, Partial: r.Partial, Cause: r.Cause,
	}}
}

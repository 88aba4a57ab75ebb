package tbcodec

import (
	"fmt"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	pb "tamarackbarrow/io/tbproto/v1"
)

// OrderToWire encodes an order of the leader for a relay.
func OrderToWire(id uint64, order tbfleet.Order) *pb.RelayedOrder {
	m := &pb.RelayedOrder{Id: id}
	switch o := order.(type) {
	case tbfleet.Start:
		m.Kind = pb.RelayedOrderKind_RELAYED_ORDER_KIND_START
		setTarget(m, o.Target, o.Timeout)
		m.Task, m.Run, m.Spec, m.Checkpoint, m.LeaseEndMs = positionToWire(o.Ref), o.Run, o.Spec, o.Checkpoint, o.LeaseEndMs
	case tbfleet.Stop:
		m.Kind = pb.RelayedOrderKind_RELAYED_ORDER_KIND_STOP
		setTarget(m, o.Target, o.Timeout)
		m.Task, m.Run = positionToWire(o.Ref), o.Run
	case tbfleet.Poll:
		m.Kind = pb.RelayedOrderKind_RELAYED_ORDER_KIND_POLL
		setTarget(m, o.Target, o.Timeout)
		m.LeaseEndMs, m.LastRecordedEnd, m.WaitMs = o.LeaseEndMs, o.LastRecordedEnd, uint32(o.Wait.Milliseconds())
	case tbfleet.SetSpeed:
		m.Kind = pb.RelayedOrderKind_RELAYED_ORDER_KIND_SET_SPEED
		setTarget(m, o.Target, o.Timeout)
		m.Task, m.Run, m.Percent = positionToWire(o.Ref), o.Run, uint32(o.Percent)
	}
	return m
}

func setTarget(m *pb.RelayedOrder, t tbfleet.Target, timeout time.Duration) {
	m.Worker, m.Address, m.Incarnation, m.Token = t.ID, t.Address, t.Incarnation, t.Token
	m.TimeoutMs = uint32(timeout.Milliseconds())
}

// OrderFromWire decodes an order for a relay.
func OrderFromWire(m *pb.RelayedOrder) (tbfleet.Order, error) {
	target := tbfleet.Target{ID: m.GetWorker(), Address: m.GetAddress(), Incarnation: m.GetIncarnation(), Token: m.GetToken()}
	ref, timeout := positionFromWire(m.GetTask()), milliseconds(m.GetTimeoutMs())
	switch m.GetKind() {
	case pb.RelayedOrderKind_RELAYED_ORDER_KIND_START:
		return tbfleet.Start{
			Target: target, Ref: ref, Run: m.GetRun(), Spec: m.GetSpec(), Checkpoint: m.GetCheckpoint(), LeaseEndMs: m.GetLeaseEndMs(), Timeout: timeout,
		}, nil
	case pb.RelayedOrderKind_RELAYED_ORDER_KIND_STOP:
		return tbfleet.Stop{Target: target, Ref: ref, Run: m.GetRun(), Timeout: timeout}, nil
	case pb.RelayedOrderKind_RELAYED_ORDER_KIND_POLL:
		return tbfleet.Poll{
			Target: target, LeaseEndMs: m.GetLeaseEndMs(), LastRecordedEnd: m.GetLastRecordedEnd(), Wait: milliseconds(m.GetWaitMs()), Timeout: timeout,
		}, nil
	case pb.RelayedOrderKind_RELAYED_ORDER_KIND_SET_SPEED:
		return tbfleet.SetSpeed{Target: target, Ref: ref, Run: m.GetRun(), Percent: int(m.GetPercent()), Timeout: timeout}, nil
	}
	return nil, fmt.Errorf("order of unknown kind %d", m.GetKind())
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func positionToWire(ref tbflow.TaskRef) *pb.TaskPosition {
	return &pb.TaskPosition{Job: ref.Job, Occurrence: uint32(ref.Occurrence), Step: uint32(ref.Step), Index: uint32(ref.Index)}
}

func positionFromWire(m *pb.TaskPosition) tbflow.TaskRef {
	return tbflow.TaskRef{Job: m.GetJob(), Occurrence: int(m.GetOccurrence()), Step: int(m.GetStep()), Index: int(m.GetIndex())}
}

// OrderResult is the result of an order of any kind, without the fields that repeat the order.
type OrderResult struct {
	Outcome tbfleet.Outcome
	Cause   string
	// SentBefore is a time on the clock of the process that holds the result. After it, no part of the
	// order was sent. It is zero if no such time is known.
	SentBefore time.Time
	// The other fields have the meaning that they have in tbfleet.PollAnswered. ClockMs is also set
	// for a start.
	ClockMs           int64
	ActualIncarnation int64
	Partial           bool
	Running           []tbfleet.ListedRun
	Ended             []tbfleet.ListedEnd
}

// ResultToWire encodes the result of the order with the given id. now is the time on the clock of
// r.SentBefore.
func ResultToWire(id uint64, r OrderResult, now time.Time) *pb.RelayedResult {
	m := &pb.RelayedResult{
		Id: id, Outcome: uint32(r.Outcome), Cause: r.Cause, ClockMs: r.ClockMs, ActualIncarnation: r.ActualIncarnation, Partial: r.Partial,
	}
	if !r.SentBefore.IsZero() {
		m.SinceSentNs = max(0, int64(now.Sub(r.SentBefore)))
	}
	for _, run := range r.Running {
		m.Running = append(m.Running, &pb.RelayedRun{
			Task: positionToWire(run.Ref), Run: run.Run, Checkpoint: run.Checkpoint, Progress: uint32(run.Progress), Measurement: run.Measurement,
		})
	}
	for _, e := range r.Ended {
		m.Ended = append(m.Ended, &pb.RelayedEnd{Number: e.Number, Task: positionToWire(e.Ref), Run: e.Run, Kind: uint32(e.Kind), Checkpoint: e.Checkpoint})
	}
	return m
}

// ResultFromWire decodes a result. now is when the result arrived, on the receiver's clock.
// clockRateBound is the largest relative difference between the rates of the clocks of sender and
// receiver. ResultFromWire returns an error if the outcome or the kind of an end is unknown.
func ResultFromWire(m *pb.RelayedResult, now time.Time, clockRateBound float64) (OrderResult, error) {
	r := OrderResult{
		Outcome: tbfleet.Outcome(m.GetOutcome()), Cause: m.GetCause(), ClockMs: m.GetClockMs(), ActualIncarnation: m.GetActualIncarnation(), Partial: m.GetPartial(),
	}
	if m.GetOutcome() > uint32(tbfleet.NotSent) {
		return OrderResult{}, fmt.Errorf("result of an order: unknown outcome %d", m.GetOutcome())
	}
	// SentBefore must not be too early, so the time since the sending must not be too long: the sender's clock
	// may be fast. Time that either clock does not count, and that on the way here, only makes SentBefore later.
	if sinceSent := time.Duration(float64(m.GetSinceSentNs()) * (1 - clockRateBound)); sinceSent > 0 {
		r.SentBefore = now.Add(-sinceSent)
	}
	for _, run := range m.GetRunning() {
		r.Running = append(r.Running, tbfleet.ListedRun{
			Ref: positionFromWire(run.GetTask()), Run: run.GetRun(), Checkpoint: run.GetCheckpoint(), Progress: int(run.GetProgress()), Measurement: run.GetMeasurement(),
		})
	}
	for _, e := range m.GetEnded() {
		if e.GetKind() > uint32(tbflow.EndNeverRan) {
			return OrderResult{}, fmt.Errorf("result of an order: end %d has the unknown kind %d", e.GetNumber(), e.GetKind())
		}
		r.Ended = append(r.Ended, tbfleet.ListedEnd{
			Number: e.GetNumber(), Ref: positionFromWire(e.GetTask()), Run: e.GetRun(), Kind: tbflow.EndKind(e.GetKind()), Checkpoint: e.GetCheckpoint(),
		})
	}
	return r, nil
}

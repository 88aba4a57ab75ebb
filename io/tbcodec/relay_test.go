package tbcodec

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	pb "tamarackbarrow/io/tbproto/v1"
)

var (
	relayTarget = tbfleet.Target{ID: "w", Address: "a:1", Incarnation: 5, Token: 1<<40 | 7}
	relayRef    = tbflow.TaskRef{Job: "j", Occurrence: 1, Step: 2, Index: 3}
	relayOrders = []tbfleet.Order{
		tbfleet.Start{Target: relayTarget, Ref: relayRef, Run: 4, Spec: "spec", Checkpoint: "c", LeaseEndMs: 99, Timeout: time.Second},
		tbfleet.Stop{Target: relayTarget, Ref: relayRef, Run: 4, Timeout: time.Second},
		tbfleet.Poll{Target: relayTarget, LeaseEndMs: 99, LastRecordedEnd: 6, Wait: time.Second, Timeout: 2 * time.Second},
		tbfleet.SetSpeed{Target: relayTarget, Ref: relayRef, Run: 4, Percent: 30, Timeout: time.Second},
	}
	relayResult = OrderResult{
		Outcome: tbfleet.Accepted, Cause: "cause", ClockMs: 12, ActualIncarnation: 5, Partial: true,
		Running: []tbfleet.ListedRun{{Ref: relayRef, Run: 4, Checkpoint: "c", Progress: 55, Measurement: 1200}},
		Ended:   []tbfleet.ListedEnd{{Number: 8, Ref: relayRef, Run: 4, Kind: tbflow.EndFailed, Checkpoint: "c"}},
	}

	// The clocks of the two processes have nothing in common.
	encodedAt = time.Unix(1_000, 0)
	decodedAt = time.Unix(5_000_000, 0)
)

func TestRelayedOrdersAndResultsRoundTrip(t *testing.T) {
	for _, order := range relayOrders {
		decoded, err := OrderFromWire(OrderToWire(3, order))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, decoded, qt.DeepEquals, order)
	}
	decoded, err := ResultFromWire(ResultToWire(3, relayResult, encodedAt), decodedAt, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, decoded, qt.DeepEquals, relayResult)
}

// The time of sending that the receiver computes is never too early, although the clocks of the two processes
// show different times and run at different rates.
func TestTimeOfSendingIsMovedToTheClockOfTheReceiver(t *testing.T) {
	const bound = 0.02
	for _, age := range []time.Duration{time.Nanosecond, time.Microsecond, 999_999, 1_000_001, 3*time.Second + 1} {
		for _, rate := range []float64{1 - bound, 1, 1 + bound} {
			for _, transit := range []time.Duration{0, time.Millisecond} {
				sentAt := decodedAt.Add(-age - transit)
				r := OrderResult{SentBefore: encodedAt.Add(-time.Duration(float64(age) * rate))}
				decoded, err := ResultFromWire(ResultToWire(3, r, encodedAt), decodedAt, bound)
				qt.Assert(t, err, qt.IsNil)
				comment := qt.Commentf("age %v, rate %v, transit %v", age, rate, transit)
				if decoded.SentBefore.IsZero() {
					qt.Check(t, age < time.Microsecond, qt.IsTrue, comment)
					continue
				}
				late := decoded.SentBefore.Sub(sentAt)
				qt.Check(t, late >= 0, qt.IsTrue, comment)
				qt.Check(t, late <= transit+time.Duration(2*bound*float64(age))+time.Nanosecond, qt.IsTrue, comment)
			}
		}
	}
}

// A result without the time since the sending, such as one of an earlier version, says nothing about it.
func TestTimeOfSendingIsUnknownWithoutItsField(t *testing.T) {
	sent := relayResult
	sent.SentBefore = encodedAt.Add(-time.Second)
	for name, m := range map[string]*pb.RelayedResult{
		"unknown to the sender": ResultToWire(3, relayResult, encodedAt), "negative": {SinceSentNs: -1}, "later than the result": ResultToWire(3, sent, encodedAt.Add(-2*time.Second)),
	} {
		r, err := ResultFromWire(m, decodedAt, 0.01)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, r.SentBefore.IsZero(), qt.IsTrue, qt.Commentf("%s", name))
	}
	// The encoding of an earlier version is that of a result without the field.
	data, err := proto.Marshal(ResultToWire(3, relayResult, encodedAt))
	qt.Assert(t, err, qt.IsNil)
	withField, err := proto.Marshal(ResultToWire(3, sent, encodedAt))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, len(data) < len(withField), qt.IsTrue)
}

// An unknown outcome must not be taken for a refusal, nor an unknown end for one that is known.
func TestUnknownKindsInRelayedMessagesAreErrors(t *testing.T) {
	_, err := OrderFromWire(&pb.RelayedOrder{Kind: 77})
	qt.Check(t, err, qt.IsNotNil)
	_, err = ResultFromWire(&pb.RelayedResult{Outcome: 77}, decodedAt, 0)
	qt.Check(t, err, qt.IsNotNil)
	_, err = ResultFromWire(&pb.RelayedResult{Ended: []*pb.RelayedEnd{{Kind: 77}}}, decodedAt, 0)
	qt.Check(t, err, qt.IsNotNil)
}

// Whatever a peer sends is decoded or refused, without a panic.
func FuzzRelayedMessages(f *testing.F) {
	for _, order := range relayOrders {
		data, _ := proto.Marshal(OrderToWire(3, order))
		f.Add(data)
	}
	data, _ := proto.Marshal(ResultToWire(3, relayResult, encodedAt))
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var order pb.RelayedOrder
		if proto.Unmarshal(data, &order) == nil {
			_, _ = OrderFromWire(&order)
		}
		var result pb.RelayedResult
		if proto.Unmarshal(data, &result) == nil {
			_, _ = ResultFromWire(&result, decodedAt, 0.01)
		}
	})
}

func BenchmarkRelayedPollResult(b *testing.B) {
	r := relayResult
	for range 9 {
		r.Running = append(r.Running, r.Running[0])
	}
	b.ReportAllocs()
	for range b.N {
		data, _ := proto.Marshal(ResultToWire(3, r, encodedAt))
		var m pb.RelayedResult
		_ = proto.Unmarshal(data, &m)
		_, _ = ResultFromWire(&m, decodedAt, 0.01)
	}
}

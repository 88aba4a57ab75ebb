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
)

func TestRelayedOrdersAndResultsRoundTrip(t *testing.T) {
	for _, order := range relayOrders {
		decoded, err := OrderFromWire(OrderToWire(3, order))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, decoded, qt.DeepEquals, order)
	}
	decoded, err := ResultFromWire(ResultToWire(3, relayResult))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, decoded, qt.DeepEquals, relayResult)
}

// An unknown outcome must not be taken for a refusal, nor an unknown end for one that is known.
func TestUnknownKindsInRelayedMessagesAreErrors(t *testing.T) {
	_, err := OrderFromWire(&pb.RelayedOrder{Kind: 77})
	qt.Check(t, err, qt.IsNotNil)
	_, err = ResultFromWire(&pb.RelayedResult{Outcome: 77})
	qt.Check(t, err, qt.IsNotNil)
	_, err = ResultFromWire(&pb.RelayedResult{Ended: []*pb.RelayedEnd{{Kind: 77}}})
	qt.Check(t, err, qt.IsNotNil)
}

// Whatever a peer sends is decoded or refused, without a panic.
func FuzzRelayedMessages(f *testing.F) {
	for _, order := range relayOrders {
		data, _ := proto.Marshal(OrderToWire(3, order))
		f.Add(data)
	}
	data, _ := proto.Marshal(ResultToWire(3, relayResult))
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var order pb.RelayedOrder
		if proto.Unmarshal(data, &order) == nil {
			_, _ = OrderFromWire(&order)
		}
		var result pb.RelayedResult
		if proto.Unmarshal(data, &result) == nil {
			_, _ = ResultFromWire(&result)
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
		data, _ := proto.Marshal(ResultToWire(3, r))
		var m pb.RelayedResult
		_ = proto.Unmarshal(data, &m)
		_, _ = ResultFromWire(&m)
	}
}

package tbcontrol_test

import (
	"io"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/io/tbcodec"
	pb "tamarackbarrow/io/tbproto/v1"
)

// leaderMeter measures the time that the leader takes for events, their messages and their log lines.
type leaderMeter struct {
	b      *testing.B
	log    hclog.Logger
	spent  time.Duration
	starts int
	nextID uint64
	// orders holds the orders of the next message to a relay.
	orders []*pb.RelayedOrder
}

// ordersPerRelayMessage is the number of orders that share a message.
const ordersPerRelayMessage = 8

func newLeaderMeter(b *testing.B) *leaderMeter {
	return &leaderMeter{b: b, log: hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: io.Discard, JSONFormat: true})}
}

// step measures a step of the leader. The other replicas are not measured.
func (m *leaderMeter) step(r *loadReplica, now time.Time, ev tbcontrol.Event) []tbcontrol.Effect {
	if r.control.Replica().Role() != tbconsensus.Leader {
		return r.control.Step(now, ev)
	}
	ev, wire := m.encodeInput(ev)
	m.b.StartTimer()
	start := time.Now()
	effects := m.measuredStep(r, now, ev, wire)
	m.spent += time.Since(start)
	m.b.StopTimer()
	return effects
}

// encodeInput encodes what the leader receives as a message.
func (m *leaderMeter) encodeInput(ev tbcontrol.Event) (tbcontrol.Event, []byte) {
	var message proto.Message
	switch ev := ev.(type) {
	case tbcontrol.StartAnswered:
		message = tbcodec.ResultToWire(1, tbcodec.OrderResult{Outcome: ev.Answer.Outcome, Cause: ev.Answer.Cause, ClockMs: ev.Answer.ClockMs}, time.Time{})
	case tbcontrol.PollAnswered:
		message = tbcodec.ResultToWire(1, tbcodec.OrderResult{
			Outcome: ev.Answer.Outcome, ClockMs: ev.Answer.ClockMs, ActualIncarnation: ev.Answer.ActualIncarnation, Running: ev.Answer.Running, Ended: ev.Answer.Ended,
		}, time.Time{})
	case tbcontrol.MessagesArrived:
		wire := &pb.DeliverRequest{}
		for _, message := range ev.Messages {
			wire.Messages = append(wire.Messages, tbcodec.MessageToWire(message))
		}
		message = wire
	default:
		return ev, nil
	}
	data, err := proto.Marshal(message)
	if err != nil {
		m.b.Fatal(err)
	}
	return ev, data
}

//go:noinline
func (m *leaderMeter) measuredStep(r *loadReplica, now time.Time, ev tbcontrol.Event, wire []byte) []tbcontrol.Effect {
	if wire != nil {
		m.decodeInput(ev, wire)
	}
	effects := r.control.Step(now, ev)
	for _, e := range effects {
		switch e := e.(type) {
		case tbcontrol.SendOrder:
			if _, ok := e.Order.(tbfleet.Start); ok {
				m.starts++
			}
			m.nextID++
			m.orders = append(m.orders, tbcodec.OrderToWire(m.nextID, e.Order))
			if len(m.orders) == ordersPerRelayMessage {
				m.encode(&pb.RelayRequest{Orders: m.orders})
				m.orders = nil
			}
		case tbcontrol.SendMessages:
			for _, message := range e.Messages {
				m.encode(&pb.DeliverRequest{Messages: []*pb.ConsensusMessage{tbcodec.MessageToWire(message)}})
			}
		case tbcontrol.Log:
			args := e.Args
			if len(e.Runs) > 0 {
				args = append(args, "runs", e.Runs)
			}
			m.log.Info(e.Message, args...)
		}
	}
	return effects
}

func (m *leaderMeter) decodeInput(ev tbcontrol.Event, wire []byte) {
	var err error
	switch ev.(type) {
	case tbcontrol.MessagesArrived:
		var message pb.DeliverRequest
		if err = proto.Unmarshal(wire, &message); err == nil {
			_, err = tbcodec.MessageFromWire(message.GetMessages()[0])
		}
	default:
		var message pb.RelayedResult
		if err = proto.Unmarshal(wire, &message); err == nil {
			_, err = tbcodec.ResultFromWire(&message, time.Time{}, 0)
		}
	}
	if err != nil {
		m.b.Fatal(err)
	}
}

func (m *leaderMeter) encode(message proto.Message) {
	if _, err := proto.Marshal(message); err != nil {
		m.b.Fatal(err)
	}
}

// BenchmarkLeader measures the processor time of the leader for each run: its events with their messages
// and log lines, on 1,800 workers with long-running tasks, while about 2,500 runs start in a second. The network,
// the disk and garbage collections outside these events are not measured.
func BenchmarkLeader(b *testing.B) {
	s := newLoadSimulation(b, 1, 1800, 1)
	s.startLongRunning(216)
	s.submitLoad(baseRates, 3*time.Second)
	m := newLeaderMeter(b)
	s.observe = m
	b.ReportAllocs()
	b.ResetTimer()
	b.StopTimer()
	for range b.N {
		s.submitLoad(baseRates, time.Second)
	}
	b.ReportMetric(float64(m.spent.Microseconds())/float64(m.starts), "us/run")
	b.ReportMetric(float64(m.starts)/float64(b.N), "runs/op")
}

package tbdaemon

import (
	"time"

	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbnode"
	"tamarackbarrow/io/tbcodec"
	pb "tamarackbarrow/io/tbproto/v1"
)

// Limits of messages between replicas.
const (
	// deliverWithin and deliverBytesPerSecond bound the time of a delivery by its size; a
	// configuration of a thousand queues is one entry of about a megabyte.
	deliverWithin         = 300 * time.Millisecond
	deliverBytesPerSecond = 512 << 10
	outboxSize            = 4096
	// maxDeliverBytes is the size from which a delivery takes no more messages: a larger one
	// would run out of time beside a busy leader, and is lost whole.
	maxDeliverBytes = 192 << 10
)

// outbox sends consensus messages to one address in order; it may lose them.
type outbox struct {
	messages chan *pb.ConsensusMessage
}

func (d *Daemon) addressOf(id tbconsensus.ReplicaID) string {
	for _, m := range d.members.Load().([]tbconsensus.Member) {
		if m.ID == id {
			return m.Address
		}
	}
	// A replica that joins answers the leader before it knows the group from the log.
	address, _ := d.senders.Load(id)
	text, _ := address.(string)
	return text
}

// sendMessages queues messages; the group's protocol sends again what is lost.
func (d *Daemon) sendMessages(messages []tbconsensus.Message) {
	for _, m := range messages {
		address := d.addressOf(m.To)
		if address == "" {
			continue
		}
		select {
		case d.outbox(address).messages <- tbcodec.MessageToWire(m):
		default:
			d.counters.add("peers.messageDropped")
		}
	}
}

func (d *Daemon) outbox(address string) *outbox {
	d.outboxMu.Lock()
	defer d.outboxMu.Unlock()
	o := d.outboxes[address]
	if o == nil {
		o = &outbox{messages: make(chan *pb.ConsensusMessage, outboxSize)}
		d.outboxes[address] = o
		d.goRun(func() { d.deliverLoop(address, o) })
	}
	return o
}

func (d *Daemon) deliverLoop(address string, o *outbox) {
	for {
		select {
		case <-d.ctx.Done():
			return
		case first := <-o.messages:
			batch := gather(first, o.messages)
			err := d.peers.Deliver(d.ctx, address, deliveryTime(batch), &pb.DeliverRequest{Messages: batch, FromAddress: d.settings.PeerAddress})
			if err != nil {
				d.counters.add("peers.deliverFailed")
				d.log.Debug("messages to replica lost", "address", address, "error", err)
				d.noteUndelivered(batch)
			}
		}
	}
}

// deliveryTime bounds a delivery: an entry that is too large for a fixed time would never arrive.
func deliveryTime(batch []*pb.ConsensusMessage) time.Duration {
	size := 0
	for _, m := range batch {
		size += messageBytes(m)
	}
	return deliverWithin + time.Duration(size)*time.Second/deliverBytesPerSecond
}

// noteUndelivered tells the control role whose entries may be lost.
func (d *Daemon) noteUndelivered(batch []*pb.ConsensusMessage) {
	var told uint64
	for _, m := range batch {
		if messageBytes(m) > 0 && m.GetTo() != told {
			told = m.GetTo()
			d.push(tbnode.Event{Control: tbcontrol.DeliveryFailed{To: tbconsensus.ReplicaID(told)}})
		}
	}
}

// gather takes what is at hand, up to a bounded size.
func gather(first *pb.ConsensusMessage, more <-chan *pb.ConsensusMessage) []*pb.ConsensusMessage {
	batch := []*pb.ConsensusMessage{first}
	size := messageBytes(first)
	for size < maxDeliverBytes {
		select {
		case m := <-more:
			batch = append(batch, m)
			size += messageBytes(m)
		default:
			return batch
		}
	}
	return batch
}

func messageBytes(m *pb.ConsensusMessage) int {
	size := len(m.GetChunk())
	for _, e := range m.GetEntries() {
		size += len(e.GetData())
	}
	return size
}

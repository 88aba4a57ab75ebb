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
	// deliverBaseTimeout and deliverBytesPerSecond set the timeout of a delivery by its size;
	// a configuration of a thousand queues is one entry of about a megabyte.
	deliverBaseTimeout    = 300 * time.Millisecond
	deliverBytesPerSecond = 512 << 10
	// outboxSize is how many messages may wait for one address; further ones are dropped.
	outboxSize = 4096
	// maxDeliveryBytes is the size from which a delivery takes no more messages: a larger one
	// delays the heartbeats in it and, if it times out at a busy leader, is lost as a whole.
	maxDeliveryBytes = 192 << 10
)

// outbox queues consensus messages to one address; they are sent in order and may be lost.
type outbox struct {
	messages chan *pb.ConsensusMessage
}

func (d *Daemon) addressOf(id tbconsensus.ReplicaID) string {
	for _, m := range d.groupMembers.Load().([]tbconsensus.Member) {
		if m.ID == id {
			return m.Address
		}
	}
	// A joining replica answers the leader before it has the group's members from the log.
	address, _ := d.senderAddresses.Load(id)
	text, _ := address.(string)
	return text
}

// sendMessages queues messages; the consensus protocol resends lost ones.
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
		d.spawn(func() { d.deliverLoop(address, o) })
	}
	return o
}

func (d *Daemon) deliverLoop(address string, o *outbox) {
	for {
		select {
		case <-d.ctx.Done():
			return
		case first := <-o.messages:
			batch := collectBatch(first, o.messages)
			err := d.peers.Deliver(d.ctx, address, deliveryTimeout(batch), &pb.DeliverRequest{Messages: batch, FromAddress: d.settings.PeerAddress})
			if err != nil {
				d.counters.add("peers.deliverFailed")
				d.log.Debug("cannot deliver messages to replica", "address", address, "error", err)
				d.reportFailedDelivery(batch)
			}
		}
	}
}

// deliveryTimeout returns a timeout that grows with the batch: under a fixed one, an entry that
// is too large would never arrive.
func deliveryTimeout(batch []*pb.ConsensusMessage) time.Duration {
	size := 0
	for _, m := range batch {
		size += messageSize(m)
	}
	return deliverBaseTimeout + time.Duration(size)*time.Second/deliverBytesPerSecond
}

// reportFailedDelivery tells the control role which replicas may have missed entries.
func (d *Daemon) reportFailedDelivery(batch []*pb.ConsensusMessage) {
	var lastReported uint64
	for _, m := range batch {
		if messageSize(m) > 0 && m.GetTo() != lastReported {
			lastReported = m.GetTo()
			d.queueEvent(tbnode.Event{Control: tbcontrol.DeliveryFailed{To: tbconsensus.ReplicaID(lastReported)}})
		}
	}
}

// collectBatch adds queued messages to the first until the batch reaches maxDeliveryBytes.
func collectBatch(first *pb.ConsensusMessage, more <-chan *pb.ConsensusMessage) []*pb.ConsensusMessage {
	batch := []*pb.ConsensusMessage{first}
	size := messageSize(first)
	for size < maxDeliveryBytes {
		select {
		case m := <-more:
			batch = append(batch, m)
			size += messageSize(m)
		default:
			return batch
		}
	}
	return batch
}

// messageSize returns the bytes of entries and snapshot data in a message; it is 0 for messages
// without either.
func messageSize(m *pb.ConsensusMessage) int {
	size := len(m.GetChunk())
	for _, e := range m.GetEntries() {
		size += len(e.GetData())
	}
	return size
}

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
	// The timeout of a delivery is deliverBaseTimeout plus the time for its size at
	// deliverBytesPerSecond. Entries can be large: a configuration of a thousand queues is one entry
	// of about a megabyte.
	deliverBaseTimeout    = 300 * time.Millisecond
	deliverBytesPerSecond = 512 << 10
	// outboxSize is how many messages may wait for one address. Further messages are dropped.
	outboxSize = 4096
	// maxDeliveryBytes is the size from which no more messages are added to a delivery. A very large
	// delivery delays the heartbeats in it. If such a delivery times out at a busy leader, all
	// messages in it are lost.
	maxDeliveryBytes = 192 << 10
)

// outbox queues consensus messages for one address. The messages are sent in order and may be lost.
type outbox struct {
	messages chan *pb.ConsensusMessage
}

func (d *Daemon) addressOf(id tbconsensus.ReplicaID) string {
	for _, m := range d.groupMembers.Load().([]tbconsensus.Member) {
		if m.ID == id {
			return m.Address
		}
	}
	// A joining replica has to answer the leader before the log has told it the members. Such a replica
	// uses the address that the leader sent with its messages.
	stored, _ := d.senderAddresses.Load(id)
	senderAddress, _ := stored.(string)
	return senderAddress
}

// sendMessages queues messages for delivery. It drops messages to unknown addresses and messages that
// do not fit into an outbox, because the consensus protocol resends lost messages.
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

// deliveryTimeout returns a timeout that grows with the size of the batch. With a fixed timeout, an
// entry that takes longer to send would never arrive.
func deliveryTimeout(batch []*pb.ConsensusMessage) time.Duration {
	size := 0
	for _, m := range batch {
		size += messageSize(m)
	}
	return deliverBaseTimeout + time.Duration(size)*time.Second/deliverBytesPerSecond
}

// reportFailedDelivery tells the control role which replicas may have missed entries or parts of a
// snapshot.
func (d *Daemon) reportFailedDelivery(batch []*pb.ConsensusMessage) {
	var lastReported uint64
	for _, m := range batch {
		if messageSize(m) > 0 && m.GetTo() != lastReported {
			lastReported = m.GetTo()
			d.queueEvent(tbnode.Event{Control: tbcontrol.DeliveryFailed{To: tbconsensus.ReplicaID(lastReported)}})
		}
	}
}

// collectBatch returns a batch of the first message and queued ones. It adds messages until the queue
// is empty or the batch has at least maxDeliveryBytes.
func collectBatch(first *pb.ConsensusMessage, queued <-chan *pb.ConsensusMessage) []*pb.ConsensusMessage {
	batch := []*pb.ConsensusMessage{first}
	size := messageSize(first)
	for size < maxDeliveryBytes {
		select {
		case m := <-queued:
			batch = append(batch, m)
			size += messageSize(m)
		default:
			return batch
		}
	}
	return batch
}

// messageSize returns the number of bytes of entries and snapshot data in a message. It returns 0 for
// a message that has neither.
func messageSize(m *pb.ConsensusMessage) int {
	size := len(m.GetChunk())
	for _, e := range m.GetEntries() {
		size += len(e.GetData())
	}
	return size
}

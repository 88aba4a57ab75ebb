package tbdaemon

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "tamarackbarrow/io/tbproto/v1"
)

func message(bytes int) *pb.ConsensusMessage {
	return &pb.ConsensusMessage{Entries: []*pb.LogEntry{{Data: make([]byte, bytes)}}}
}

// Deliveries of up to 3 MB timed out at a busy leader, and the heartbeats in them were lost as well.
func TestDeliveryBatchSizeIsBounded(t *testing.T) {
	more := make(chan *pb.ConsensusMessage, 100)
	for range 40 {
		more <- message(maxAppendBytes)
	}
	batch := collectBatch(message(maxAppendBytes), more)
	size := 0
	for _, m := range batch {
		size += messageSize(m)
	}
	// maxInFlightBytes is maxDeliveryBytes and one more message of maxAppendBytes.
	qt.Check(t, size <= maxInFlightBytes, qt.IsTrue, qt.Commentf("%d bytes in one delivery", size))
	qt.Check(t, len(batch)+len(more), qt.Equals, 41)
}

// A busy leader delivers about a megabyte per second; the timeout allows for half of that. With a
// fixed timeout of 300 ms, every delivery of a configuration of that size failed, and no later
// entry was committed.
func TestDeliveryTimeoutGrowsWithSize(t *testing.T) {
	large := deliveryTimeout([]*pb.ConsensusMessage{message(1 << 20)})
	qt.Check(t, large >= time.Second, qt.IsTrue, qt.Commentf("%s", large))
	qt.Check(t, deliveryTimeout([]*pb.ConsensusMessage{message(0)}), qt.Equals, deliverBaseTimeout)
}

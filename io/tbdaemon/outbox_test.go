package tbdaemon

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "tamarackbarrow/io/tbproto/v1"
)

func messageOfSize(bytes int) *pb.ConsensusMessage {
	return &pb.ConsensusMessage{Entries: []*pb.LogEntry{{Data: make([]byte, bytes)}}}
}

// Deliveries without a size limit grew to 3 MB and timed out at a busy leader. The heartbeats in these
// deliveries were then lost as well.
func TestDeliveryBatchSizeIsBounded(t *testing.T) {
	queued := make(chan *pb.ConsensusMessage, 100)
	for range 40 {
		queued <- messageOfSize(maxAppendBytes)
	}
	batch := collectBatch(messageOfSize(maxAppendBytes), queued)
	size := 0
	for _, m := range batch {
		size += messageSize(m)
	}
	// The last message may exceed maxDeliveryBytes by up to maxAppendBytes. Both limits add up to
	// maxInFlightBytes.
	qt.Check(t, size <= maxInFlightBytes, qt.IsTrue, qt.Commentf("%d bytes in one delivery", size))
	qt.Check(t, len(batch)+len(queued), qt.Equals, 41)
}

// With a fixed timeout of 300 ms, every delivery of a configuration of one megabyte failed, and no
// later entry was committed. A busy leader delivers about a megabyte per second; the timeout assumes
// half of this rate.
func TestDeliveryTimeoutGrowsWithSize(t *testing.T) {
	large := deliveryTimeout([]*pb.ConsensusMessage{messageOfSize(1 << 20)})
	qt.Check(t, large >= time.Second, qt.IsTrue, qt.Commentf("%s", large))
	qt.Check(t, deliveryTimeout([]*pb.ConsensusMessage{messageOfSize(0)}), qt.Equals, deliverBaseTimeout)
}

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

// Deliveries of up to 3 MB ran out of time at a busy leader, and were lost with the heartbeats in them.
func TestBacklogIsDeliveredInSmallParts(t *testing.T) {
	more := make(chan *pb.ConsensusMessage, 100)
	for range 40 {
		more <- message(maxAppendBytes)
	}
	batch := gather(message(maxAppendBytes), more)
	size := 0
	for _, m := range batch {
		size += messageBytes(m)
	}
	qt.Check(t, size <= maxInFlightBytes, qt.IsTrue, qt.Commentf("%d bytes in one delivery", size))
	qt.Check(t, len(batch)+len(more), qt.Equals, 41)
}

// A busy leader delivers about a megabyte a second. A configuration of that size was cut off
// after 300 ms at every try, and nothing was committed behind it.
func TestLargeEntryHasTimeToArrive(t *testing.T) {
	large := deliveryTime([]*pb.ConsensusMessage{message(1 << 20)})
	qt.Check(t, large >= time.Second, qt.IsTrue, qt.Commentf("%s", large))
	qt.Check(t, deliveryTime([]*pb.ConsensusMessage{message(0)}), qt.Equals, deliverWithin)
}

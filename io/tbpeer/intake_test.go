package tbpeer

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"storj.io/drpc/drpcwire"

	pb "tamarackbarrow/io/tbproto/v1"
)

func frame(size int, isDone bool) []byte {
	return drpcwire.AppendFrame(nil, drpcwire.Frame{
		Data: bytes.Repeat([]byte{0xff}, size), ID: drpcwire.ID{Stream: 300, Message: 1 << 40}, Kind: drpcwire.KindMessage, Done: isDone,
	})
}

// The size of a message is the same however its bytes are cut into reads, and nothing that a peer sends stops the meter.
func TestMeterFollowsMessages(t *testing.T) {
	var stream []byte
	largest := 0
	for _, sizes := range [][]int{{0}, {5, 0, 300}, {maxFrameBytes, 1}, {3}} {
		size := 0
		for i, n := range sizes {
			f := frame(n, i == len(sizes)-1)
			size += len(f)
			stream = append(stream, f...)
		}
		largest = max(largest, size)
	}
	open := frame(1000, false)
	stream = append(stream, open...)
	for _, step := range []int{1, 7, 4096, len(stream)} {
		var m packetMeter
		for rest := stream; len(rest) > 0; {
			n := min(step, len(rest))
			m.advance(rest[:n])
			rest = rest[n:]
		}
		qt.Check(t, m.largest, qt.Equals, int64(largest), qt.Commentf("reads of %d bytes", step))
		qt.Check(t, m.size, qt.Equals, int64(len(open)), qt.Commentf("reads of %d bytes", step))
		qt.Check(t, m.isTooLarge, qt.IsFalse)
	}
	var m packetMeter
	m.advance(frame(maxFrameBytes+1, true)[:20])
	qt.Check(t, m.isTooLarge, qt.IsTrue)
}

func FuzzMeter(f *testing.F) {
	f.Add(frame(3, true))
	f.Add(bytes.Repeat([]byte{0xff}, 40))
	f.Fuzz(func(t *testing.T, data []byte) {
		var m packetMeter
		m.advance(data)
		qt.Check(t, m.largest <= int64(len(data)) && m.size <= m.largest, qt.IsTrue)
	})
}

// answering answers queries.
type answering struct {
	pb.DRPCPeerServiceUnimplementedServer
}

func (*answering) Query(context.Context, *pb.QueryRequest) (*pb.QueryResponse, error) {
	return &pb.QueryResponse{}, nil
}

// Load: connections at the port for peers that send a large message but its end, and silent ones. A peer is answered, and
// what the connections hold stays bounded.
func TestPeersAreAnsweredBesideIncompleteMessages(t *testing.T) {
	limits := LimitsOf(80<<20, 200, MaxMessageBytes)
	in := NewIntake(limits, func(string) {}, hclog.NewNullLogger())
	listener, err := Listen("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = Serve(ctx, in.Listener(listener), &answering{}) }()
	address := listener.Addr().String()
	for i := range 300 {
		conn, err := net.Dial("tcp", address)
		qt.Assert(t, err, qt.IsNil)
		defer conn.Close()
		if i%2 == 0 {
			_ = conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
			_, _ = conn.Write(bytes.Repeat(frame(maxFrameBytes, false), 8))
		}
		in.mu.Lock()
		held, connections := in.table.Bytes(), in.table.Connections()
		in.mu.Unlock()
		qt.Assert(t, held <= limits.Bytes && connections <= limits.Connections, qt.IsTrue, qt.Commentf("%d bytes, %d connections", held, connections))
	}
	client := New("127.0.0.2", &Traffic{})
	defer client.Close()
	_, err = client.Query(ctx, address, 10*time.Second, &pb.QueryRequest{})
	qt.Check(t, err, qt.IsNil)
}

// The largest message is received by the smallest process, beside others.
func TestLargestMessageIsReceivedByTheSmallestProcess(t *testing.T) {
	in := NewIntake(LimitsOf(32<<20, 64, MaxMessageBytes), func(string) {}, hclog.NewNullLogger())
	server, client := net.Pipe()
	defer client.Close()
	c := in.open(server)
	others := make([]net.Conn, 20)
	for i := range others {
		raw, _ := net.Pipe()
		others[i] = in.open(raw)
		qt.Assert(t, in.receive(others[i].(*boundConn).id, 64<<10), qt.IsTrue)
	}
	const part = 1 << 20
	go func() { _, _ = client.Write(make([]byte, MaxMessageBytes)) }()
	buffer := make([]byte, part)
	c.(*boundConn).meter = packetMeter{remaining: MaxMessageBytes}
	for read := 0; read < MaxMessageBytes; {
		n, err := c.Read(buffer)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("after %d bytes", read))
		read += n
	}
	qt.Check(t, in.table.Connections(), qt.Equals, 1+len(others))
	for _, o := range others {
		o.Close()
	}
	c.Close()
	qt.Check(t, in.table.Bytes(), qt.Equals, int64(0))
}

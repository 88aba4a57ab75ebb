package tbpeer

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "tamarackbarrow/io/tbproto/v1"
)

// echoServer answers a request to the leader with the request.
type echoServer struct {
	pb.DRPCPeerServiceUnimplementedServer
}

func (*echoServer) Ask(_ context.Context, m *pb.AskRequest) (*pb.AskResponse, error) {
	return &pb.AskResponse{Answer: m.GetQuestion()}, nil
}

// Guards against messages that the receiving peer refuses: it closed the connection on messages above 4 MiB,
// and log entries of this size were sent again and again.
func TestLargeMessagesArriveAndTooLargeOnesAreNotSent(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := Listen("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	go func() { _ = Serve(ctx, l, &echoServer{}) }()
	c := New("", &Traffic{})
	defer c.Close()
	const framing = 100
	question := make([]byte, MaxMessageBytes-framing)
	question[len(question)-1] = 7
	answer, err := c.Ask(ctx, l.Addr().String(), 20*time.Second, &pb.AskRequest{Question: question})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, len(answer.GetAnswer()), qt.Equals, len(question))
	qt.Check(t, answer.GetAnswer()[len(question)-1], qt.Equals, byte(7))
	_, err = c.Ask(ctx, l.Addr().String(), time.Second, &pb.AskRequest{Question: make([]byte, MaxMessageBytes)})
	var tooLarge *TooLargeError
	qt.Check(t, errors.As(err, &tooLarge), qt.IsTrue, qt.Commentf("%v", err))
	// The connection is still usable.
	_, err = c.Ask(ctx, l.Addr().String(), time.Second, &pb.AskRequest{Question: []byte("small")})
	qt.Check(t, err, qt.IsNil)
}

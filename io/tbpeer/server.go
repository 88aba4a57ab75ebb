package tbpeer

import (
	"context"
	"net"
	"time"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	pb "tamarackbarrow/io/tbproto/v1"
)

// inactivityTimeout is the time without a request after which a server closes a connection.
const inactivityTimeout = 10 * time.Second

// MaxMessageBytes is the size in bytes of the largest encoded message between peers. A peer closes the
// connection on which a larger one arrives, so a client refuses to send it.
const MaxMessageBytes = 16 << 20

// maxFrameBytes is the size in bytes of the largest part of a message that is sent and buffered at once. It is the
// default of drpc, which earlier versions have.
const maxFrameBytes = 64 << 10

var managerOptions = drpcmanager.Options{
	Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
	Stream: drpcstream.Options{SplitSize: maxFrameBytes},
}

// Serve answers requests of peers on a listener until ctx is done.
func Serve(ctx context.Context, l net.Listener, handler pb.DRPCPeerServiceServer) error {
	mux := drpcmux.New()
	if err := pb.DRPCRegisterPeerService(mux, handler); err != nil {
		return err
	}
	manager := managerOptions
	manager.InactivityTimeout = inactivityTimeout
	options := drpcserver.Options{Manager: manager}
	return drpcserver.NewWithOptions(mux, options).Serve(ctx, l)
}

// Listen opens a TCP listener. Its connections are closed when two keep-alive probes in a row are not
// answered.
func Listen(address string) (net.Listener, error) {
	cfg := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
	}}
	return cfg.Listen(context.Background(), "tcp", address)
}

package tbpeer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"

	pb "tamarackbarrow/io/tbproto/v1"
)

// Time limits of connections to peers.
const (
	dialTimeout = 500 * time.Millisecond
	// maxIdleTime is how long a connection may have been idle and still be used for another request. It
	// is below the server's inactivityTimeout, so that the server does not close the connection first.
	maxIdleTime = 4 * time.Second
)

// Client sends requests to peers over pooled connections.
type Client struct {
	source  net.Addr
	traffic *Traffic
	mu      sync.Mutex
	idle    map[string][]idleConn
}

type idleConn struct {
	conn      *drpcconn.Conn
	idleSince time.Time
}

// New returns a client that dials from sourceIP, or from any local address if sourceIP is empty.
func New(sourceIP string, traffic *Traffic) *Client {
	c := &Client{traffic: traffic, idle: map[string][]idleConn{}}
	if sourceIP != "" {
		c.source = &net.TCPAddr{IP: net.ParseIP(sourceIP)}
	}
	return c
}

// NotSentError means that no connection was established, so the peer did not receive the request.
// After any other error the peer may have received the request.
type NotSentError struct{ Err error }

// Error returns a message that contains the cause.
func (e *NotSentError) Error() string { return "request not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// TooLargeError means that a request was not sent because it exceeds MaxMessageBytes.
type TooLargeError struct{ Bytes int }

// Error returns the size and the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("request of %d bytes not sent, at most %d are allowed", e.Bytes, MaxMessageBytes)
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address := range c.idle {
		c.closeIdleLocked(address)
	}
}

func (c *Client) acquire(ctx context.Context, address string) (*drpcconn.Conn, error) {
	if conn := c.acquireIdle(address); conn != nil {
		return conn, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: c.source}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &NotSentError{Err: err}
	}
	return drpcconn.NewWithOptions(countedConn{Conn: raw, traffic: c.traffic}, drpcconn.Options{Manager: managerOptions}), nil
}

func (c *Client) acquireIdle(address string) *drpcconn.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		idle := c.idle[address]
		if len(idle) == 0 {
			return nil
		}
		newest := idle[len(idle)-1]
		c.idle[address] = idle[:len(idle)-1]
		if time.Since(newest.idleSince) < maxIdleTime && !isClosed(newest.conn) {
			return newest.conn
		}
		newest.conn.Close()
	}
}

func isClosed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

// release returns a connection to the pool if err is nil. Otherwise the request on the connection
// failed, and release closes this connection and all idle connections to the same address.
func (c *Client) release(address string, conn *drpcconn.Conn, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.idle[address] = append(c.idle[address], idleConn{conn: conn, idleSince: time.Now()})
		return
	}
	conn.Close()
	c.closeIdleLocked(address)
}

func (c *Client) closeIdleLocked(address string) {
	for _, idle := range c.idle[address] {
		idle.conn.Close()
	}
	delete(c.idle, address)
}

// roundTrip sends the request m and waits for its answer. The timeout includes the time to connect.
func roundTrip[A any](c *Client, ctx context.Context, address string, timeout time.Duration, m proto.Message,
	send func(ctx context.Context, peer pb.DRPCPeerServiceClient) (A, error),
) (A, error) {
	if size := proto.Size(m); size > MaxMessageBytes {
		var zero A
		return zero, &TooLargeError{Bytes: size}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := c.acquire(ctx, address)
	if err != nil {
		var zero A
		return zero, err
	}
	answer, err := send(ctx, pb.NewDRPCPeerServiceClient(conn))
	c.release(address, conn, err)
	return answer, err
}

// Deliver sends consensus messages.
func (c *Client) Deliver(ctx context.Context, address string, timeout time.Duration, m *pb.DeliverRequest) error {
	_, err := roundTrip(c, ctx, address, timeout, m, func(ctx context.Context, peer pb.DRPCPeerServiceClient) (*pb.DeliverResponse, error) {
		return peer.Deliver(ctx, m)
	})
	return err
}

// Propose sends commands to a control replica.
func (c *Client) Propose(ctx context.Context, address string, timeout time.Duration, m *pb.ProposeRequest) (*pb.ProposeResponse, error) {
	return roundTrip(c, ctx, address, timeout, m, func(ctx context.Context, peer pb.DRPCPeerServiceClient) (*pb.ProposeResponse, error) {
		return peer.Propose(ctx, m)
	})
}

// Sync sends an entry's report to a control replica.
func (c *Client) Sync(ctx context.Context, address string, timeout time.Duration, m *pb.SyncRequest) (*pb.SyncResponse, error) {
	return roundTrip(c, ctx, address, timeout, m, func(ctx context.Context, peer pb.DRPCPeerServiceClient) (*pb.SyncResponse, error) {
		return peer.Sync(ctx, m)
	})
}

// Handover hands a call over to a peer.
func (c *Client) Handover(ctx context.Context, address string, timeout time.Duration, m *pb.HandoverRequest) (*pb.CallResponse, error) {
	return roundTrip(c, ctx, address, timeout, m, func(ctx context.Context, peer pb.DRPCPeerServiceClient) (*pb.CallResponse, error) {
		return peer.Handover(ctx, m)
	})
}

// Ask sends a control replica a request that only the leader processes. Any other replica answers with
// NotLeader.
func (c *Client) Ask(ctx context.Context, address string, timeout time.Duration, m *pb.AskRequest) (*pb.AskResponse, error) {
	return roundTrip(c, ctx, address, timeout, m, func(ctx context.Context, peer pb.DRPCPeerServiceClient) (*pb.AskResponse, error) {
		return peer.Ask(ctx, m)
	})
}

// Relay passes orders of the leader to a replica, which sends them to workers.
func (c *Client) Relay(ctx context.Context, address string, timeout time.Duration, m *pb.RelayRequest) (*pb.RelayResponse, error) {
	return roundTrip(c, ctx, address, timeout, m, func(ctx context.Context, peer pb.DRPCPeerServiceClient) (*pb.RelayResponse, error) {
		return peer.Relay(ctx, m)
	})
}

// ReturnResults returns the results of relayed orders to the leader.
func (c *Client) ReturnResults(ctx context.Context, address string, timeout time.Duration, m *pb.ReturnResultsRequest) error {
	_, err := roundTrip(c, ctx, address, timeout, m, func(ctx context.Context, peer pb.DRPCPeerServiceClient) (*pb.ReturnResultsResponse, error) {
		return peer.ReturnResults(ctx, m)
	})
	return err
}

// Query sends a query of a caller or operator to a control replica. The query asks for jobs, for the
// status or for a change of the control group. A replica that is not the leader answers with
// NotLeader.
func (c *Client) Query(ctx context.Context, address string, timeout time.Duration, m *pb.QueryRequest) (*pb.QueryResponse, error) {
	return roundTrip(c, ctx, address, timeout, m, func(ctx context.Context, peer pb.DRPCPeerServiceClient) (*pb.QueryResponse, error) {
		return peer.Query(ctx, m)
	})
}

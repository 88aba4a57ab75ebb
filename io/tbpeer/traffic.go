package tbpeer

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes sent to peers and received from peers. The zero value is ready to use.
type Traffic struct {
	Sent     atomic.Int64
	Received atomic.Int64
}

// countedConn is a connection whose sent and received bytes are added to traffic.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(int64(n))
	return n, err
}

// countedListener is a listener that wraps each accepted connection in a countedConn.
type countedListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: conn, traffic: l.traffic}, nil
}

// CountConn wraps a connection so that t counts its bytes.
func (t *Traffic) CountConn(conn net.Conn) net.Conn { return countedConn{Conn: conn, traffic: t} }

// CountListener wraps a listener so that t counts the bytes of its connections.
func (t *Traffic) CountListener(l net.Listener) net.Listener {
	return countedListener{Listener: l, traffic: t}
}

package tbhttp

import (
	"bytes"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"tamarackbarrow/core/tbintake"
)

const (
	// bufferBytes is the size of net/http's read buffer. A larger read goes into a body, so its bytes do
	// not belong to the next request.
	bufferBytes = 4096
	// sharedConnectionCost covers the buffers of an HTTP/2 connection.
	sharedConnectionCost = 128 << 10
	refusalTimeout       = 100 * time.Millisecond
)

// sharedPreface is how each HTTP/2 connection begins. A connection that begins otherwise, if only after a
// part of it, is one of HTTP/1.
const sharedPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// Answers to heads that there is no room for, or that are too large.
var (
	tooLargeHead = []byte("HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	refusal      = []byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + retryAfter + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
)

// listener wraps each accepted connection in a conn.
type listener struct {
	net.Listener
	intake *Intake
}

// Accept implements net.Listener. It closes connections that there is no room for.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.intake.open(raw); c != nil {
			return c, nil
		}
		raw.Close()
	}
}

// open admits a connection. It returns nil if there is no room for it.
func (in *Intake) open(raw net.Conn) *conn {
	c := &conn{Conn: raw, intake: in, source: hostOf(raw.RemoteAddr().String()), preface: sharedPreface, gone: make(chan struct{})}
	now := time.Now()
	in.mu.Lock()
	id, evicted, ok := in.table.Open(c.source, now)
	if ok {
		c.id = id
		in.owners[id] = c
	}
	owners := in.settle(evicted, ok, now)
	in.mu.Unlock()
	evictAll(owners)
	if !ok {
		in.options.Count(counterRefused)
		return nil
	}
	return c
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// conn is a connection whose received bytes are accounted for.
type conn struct {
	net.Conn
	intake *Intake
	id     tbintake.ID
	source string
	// The intake's lock guards the fields below. hasHead is true from the end of a head until the request
	// ends. headBytes is the size of the head so far. bufferedCost bounds the cost of bytes of the next
	// request that net/http may have read already.
	hasHead      bool
	headBytes    int64
	bufferedCost int64
	// preface is the part of sharedPreface that has not arrived yet. It is empty once the connection has
	// begun otherwise. isShared is true once all of it has arrived.
	preface  string
	isShared bool
	// hasFailed is true once a read was refused. Its bytes are lost, so that nothing after them can be read.
	hasFailed atomic.Bool
	// gone is closed when the connection is given up.
	gone chan struct{}
}

// Read implements net.Conn. It fails if there is no room for what it has read.
func (c *conn) Read(p []byte) (int, error) {
	if c.hasFailed.Load() {
		return 0, errNoRoomToRead
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	cost, headBytes := c.costOf(p[:n])
	answer := refusal
	switch {
	case headBytes > c.intake.maxHeadBytes.Load()+headSlack:
		c.intake.options.Count(counterTooLargeHeads)
		answer = tooLargeHead
	case cost == 0:
		return n, err
	case c.intake.receive(c.id, cost):
		c.intake.waitForRelease(c.gone)
		return n, err
	}
	c.hasFailed.Store(true)
	if headBytes > 0 {
		// net/http writes nothing to the connection while it reads a head.
		_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = c.Conn.Write(answer)
	}
	// net/http closes a connection after this error without an answer of its own.
	return 0, errNoRoomToRead
}

// errNoRoomToRead is the error of a read for which there is no room, and of all reads after it.
var errNoRoomToRead = &net.OpError{Op: "read", Net: "tcp", Err: ErrNoRoom}

// Write implements net.Conn. It fails if the client does not read, so that an answer does not hold its
// memory for good.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.intake.options.AnswerTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// costOf returns the cost of received bytes and, if they belong to a head, the size of the head so far.
func (c *conn) costOf(p []byte) (cost, headBytes int64) {
	lines := int64(tbintake.LineCost * bytes.Count(p, []byte("\n")))
	cost = int64(tbintake.BufferFactor * len(p))
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	if c.isShared {
		return 0, 0
	}
	if c.preface != "" {
		n := min(len(p), len(c.preface))
		isSame := string(p[:n]) == c.preface[:n]
		if c.preface = c.preface[n:]; isSame && c.preface == "" {
			c.isShared = true
			return sharedConnectionCost, 0
		}
		if !isSame {
			c.preface = ""
		}
	}
	if len(p) <= bufferBytes {
		c.bufferedCost = max(c.bufferedCost, cost+lines)
	}
	if c.hasHead {
		return cost, 0
	}
	c.headBytes += int64(len(p))
	return cost + lines, c.headBytes
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.intake.close(c.id)
	return c.Conn.Close()
}

func (c *conn) evict() {
	close(c.gone)
	c.Conn.Close()
}

// onState follows the requests of the connection. net/http reports StateActive when it has read a head or
// when the first of several requests begins, and StateIdle when all are answered.
func (c *conn) onState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.intake.mu.Lock()
		c.hasHead = true
		if c.isShared {
			c.intake.table.Carry(c.id, time.Now())
		}
		c.intake.mu.Unlock()
	case http.StateIdle:
		c.intake.mu.Lock()
		cost := c.bufferedCost
		if c.isShared {
			cost = sharedConnectionCost
		}
		c.hasHead, c.bufferedCost, c.headBytes = false, 0, 0
		c.intake.table.Rest(c.id, cost, time.Now())
		c.intake.mu.Unlock()
	}
}

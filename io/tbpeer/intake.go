package tbpeer

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"tamarackbarrow/core/tbintake"
)

// Names of the counters of an intake: connections that were given up because there was no room for all, and connections
// with a frame that no peer sends.
const (
	counterEvicted        = "peers.evicted"
	counterTooLargeFrames = "peers.tooLargeFrames"
)

// Shares of a process's memory and descriptors that connections of peers may have.
const (
	memoryDivisor      = 8
	descriptorsDivisor = 2
)

// logInterval is the shortest time between two log lines about evictions.
const logInterval = 10 * time.Second

// LimitsOf returns the limits for the connections of peers to a process with memory bytes and a number of file
// descriptors. They are apart from those for clients, so that neither can keep the other out. There is always room for
// the largest message that the process gets, in bytes, beside smaller ones.
func LimitsOf(memory int64, descriptors int, largestMessage int64) tbintake.Limits {
	room := largestMessage * tbintake.BufferFactor * 5 / 4
	return tbintake.Limits{Bytes: max(memory/memoryDivisor, room), Connections: descriptors / descriptorsDivisor}
}

// Intake bounds the memory and the number of the connections of peers together.
type Intake struct {
	limits tbintake.Limits
	count  func(name string)
	log    hclog.Logger
	mu     sync.Mutex
	table  *tbintake.Table
	conns  map[tbintake.ID]net.Conn
	// loggedAt is when a line about evictions was logged, and evicted counts them since.
	loggedAt time.Time
	evicted  int
}

// NewIntake returns an intake without connections. count adds 1 to the counter with the given name.
func NewIntake(l tbintake.Limits, count func(name string), log hclog.Logger) *Intake {
	return &Intake{limits: l, count: count, log: log, table: tbintake.New(l), conns: map[tbintake.ID]net.Conn{}}
}

// Listener returns a listener whose connections the intake accounts for.
func (in *Intake) Listener(l net.Listener) net.Listener {
	return &boundListener{Listener: l, intake: in}
}

type boundListener struct {
	net.Listener
	intake *Intake
}

// Accept implements net.Listener. It closes connections that there is no room for.
func (l *boundListener) Accept() (net.Conn, error) {
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
func (in *Intake) open(raw net.Conn) net.Conn {
	source := raw.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(source); err == nil {
		source = host
	}
	now := time.Now()
	in.mu.Lock()
	defer in.mu.Unlock()
	id, evicted, ok := in.table.Open(source, now)
	in.closeLocked(evicted, now)
	if !ok {
		in.count(counterEvicted)
		return nil
	}
	in.conns[id] = raw
	return &boundConn{Conn: raw, intake: in, id: id}
}

func (in *Intake) closeLocked(evicted []tbintake.ID, now time.Time) {
	for _, id := range evicted {
		in.conns[id].Close()
		delete(in.conns, id)
		in.count(counterEvicted)
	}
	if in.evicted += len(evicted); in.evicted > 0 && now.Sub(in.loggedAt) >= logInterval {
		in.log.Warn("no room for all peers: connections were given up", "evicted", in.evicted, "bytes", in.table.Bytes(),
			"maxBytes", in.limits.Bytes, "connections", in.table.Connections(), "maxConnections", in.limits.Connections)
		in.loggedAt, in.evicted = now, 0
	}
}

// receive accounts for bytes of memory that a connection needs more than before. It reports whether there is room.
func (in *Intake) receive(id tbintake.ID, bytes int64) bool {
	now := time.Now()
	in.mu.Lock()
	defer in.mu.Unlock()
	evicted, ok := in.table.Receive(id, bytes, now)
	in.closeLocked(evicted, now)
	return ok
}

// rest marks the end of a message. bytes is the memory of the connection's buffers.
func (in *Intake) rest(id tbintake.ID, bytes int64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.table.Rest(id, bytes, time.Now())
}

func (in *Intake) close(id tbintake.ID) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.table.Close(id)
	delete(in.conns, id)
}

// boundConn is a connection whose buffers are accounted for. They keep the size of its largest message.
type boundConn struct {
	net.Conn
	intake *Intake
	id     tbintake.ID
	meter  packetMeter
}

// Read implements net.Conn. It fails if there is no room for what it has read, or if no peer would send it.
func (c *boundConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	before := c.meter.largest
	hasEnded := c.meter.advance(p[:n])
	if c.meter.isTooLarge {
		c.intake.count(counterTooLargeFrames)
		c.Conn.Close()
		return 0, net.ErrClosed
	}
	if more := c.meter.largest - before; more > 0 && !c.intake.receive(c.id, tbintake.BufferFactor*more) {
		c.Conn.Close()
		return 0, net.ErrClosed
	}
	if hasEnded {
		c.intake.rest(c.id, tbintake.BufferFactor*c.meter.largest)
	}
	return n, err
}

// Close implements net.Conn.
func (c *boundConn) Close() error {
	c.intake.close(c.id)
	return c.Conn.Close()
}

// frameField is a part of a frame's header.
type frameField uint8

const (
	controlByte frameField = iota
	streamID
	messageID
	dataLength
)

const (
	// doneFlag is set in the control byte of the last frame of a message.
	doneFlag = 1
	// varintFlag is set in each byte of a number but its last one, and varintBits is how many bits each holds.
	varintFlag = 0x80
	varintBits = 7
)

// packetMeter follows the messages in a stream of bytes.
type packetMeter struct {
	field  frameField
	isDone bool
	shift  uint
	// remaining is the number of bytes of the frame's data that have not arrived.
	remaining uint64
	// size is the size in bytes of the message so far, and largest that of the largest one.
	size, largest int64
	// isTooLarge is true once a frame was announced that has more than maxFrameBytes of data.
	isTooLarge bool
}

// advance takes the next bytes of the stream and reports whether a message ends in them.
func (m *packetMeter) advance(p []byte) (hasEnded bool) {
	for len(p) > 0 {
		n := 1
		if m.field == controlByte && m.remaining > 0 {
			n = int(min(m.remaining, uint64(len(p))))
			m.remaining -= uint64(n)
		} else {
			m.readHeader(p[0])
		}
		p = p[n:]
		m.size += int64(n)
		m.largest = max(m.largest, m.size)
		if m.field == controlByte && m.remaining == 0 && m.isDone {
			m.size, m.isDone, hasEnded = 0, false, true
		}
	}
	return hasEnded
}

func (m *packetMeter) readHeader(b byte) {
	if m.field == controlByte {
		m.isDone = b&doneFlag != 0
		m.field, m.shift = streamID, 0
		return
	}
	if m.field == dataLength {
		m.remaining |= uint64(b&^varintFlag) << m.shift
	}
	m.shift += varintBits
	if b&varintFlag != 0 {
		return
	}
	m.isTooLarge = m.isTooLarge || m.remaining > maxFrameBytes
	m.shift = 0
	m.field = (m.field + 1) % (dataLength + 1)
}

package tbproxy

import (
	"net"
	"sync"
	"time"
)

// Fault describes how connections from one source are disturbed; the zero value forwards normally.
type Fault struct {
	// DropAll drops all data but keeps connections open.
	DropAll bool
	// DropExisting drops all data of connections that were open when the fault was set, but keeps them
	// open.
	DropExisting bool
	// DropResponses drops only data sent back to the source.
	DropResponses bool
	// Refuse closes new connections at once.
	Refuse bool
	// Delay is added before each chunk of data is forwarded.
	Delay time.Duration
}

// AnySource stands for all sources. The fault set for it applies to each source that has no fault set
// under its own address.
const AnySource = ""

// Proxy forwards connections from its listening address to a target address.
type Proxy struct {
	listener           net.Listener
	targetAddress      string
	mu                 sync.Mutex
	faultsBySource     map[string]Fault
	faultSetAtBySource map[string]time.Time
	openConns          map[*connection]bool
	isClosed           bool
}

// connection is one forwarded connection.
type connection struct {
	sourceIP   string
	openedAt   time.Time
	clientConn net.Conn
	serverConn net.Conn
}

// Listen starts a proxy that listens on address and forwards to target.
func Listen(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		listener: l, targetAddress: target, faultsBySource: map[string]Fault{}, faultSetAtBySource: map[string]time.Time{}, openConns: map[*connection]bool{},
	}
	go p.acceptLoop()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFault sets the fault of one source. If source is AnySource, the fault applies to every source
// that has no fault of its own.
func (p *Proxy) SetFault(source string, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faultsBySource[source] = f
	p.faultSetAtBySource[source] = time.Now()
}

// ClearFaults removes all faults.
func (p *Proxy) ClearFaults() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.faultsBySource)
}

// CloseConnections closes the open connections of a source, or all with AnySource.
func (p *Proxy) CloseConnections(source string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.openConns {
		if source == AnySource || conn.sourceIP == source {
			conn.clientConn.Close()
			conn.serverConn.Close()
		}
	}
}

// ResetConnections closes the open connections of a source, or all with AnySource. It sends a TCP
// reset, as after a crash.
func (p *Proxy) ResetConnections(source string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.openConns {
		if source == AnySource || conn.sourceIP == source {
			for _, c := range []net.Conn{conn.clientConn, conn.serverConn} {
				if tcp, ok := c.(*net.TCPConn); ok {
					// SetLinger fails only if the connection is already closed.
					_ = tcp.SetLinger(0)
				}
				c.Close()
			}
		}
	}
}

// Close stops listening and closes all connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.isClosed = true
	p.mu.Unlock()
	p.listener.Close()
	p.CloseConnections(AnySource)
}

func (p *Proxy) acceptLoop() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

// faultFor returns the current fault of a source and when it was set.
func (p *Proxy) faultFor(source string) (Fault, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f, ok := p.faultsBySource[source]; ok {
		return f, p.faultSetAtBySource[source]
	}
	return p.faultsBySource[AnySource], p.faultSetAtBySource[AnySource]
}

func (p *Proxy) forward(client net.Conn) {
	source, _, _ := net.SplitHostPort(client.RemoteAddr().String())
	if f, _ := p.faultFor(source); f.Refuse {
		client.Close()
		return
	}
	server, err := net.DialTimeout("tcp", p.targetAddress, time.Second)
	if err != nil {
		client.Close()
		return
	}
	conn := &connection{sourceIP: source, openedAt: time.Now(), clientConn: client, serverConn: server}
	p.mu.Lock()
	p.openConns[conn] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); p.relay(conn, server, client, false) }()
	go func() { defer wg.Done(); p.relay(conn, client, server, true) }()
	wg.Wait()
	p.mu.Lock()
	delete(p.openConns, conn)
	p.mu.Unlock()
}

const relayBufferSize = 32 << 10

// relay forwards one direction of a connection until either side closes the connection. Data that a
// fault drops is lost.
func (p *Proxy) relay(conn *connection, dst, src net.Conn, toClient bool) {
	defer dst.Close()
	defer src.Close()
	buffer := make([]byte, relayBufferSize)
	for {
		n, err := src.Read(buffer)
		if n > 0 {
			f, faultSetAt := p.faultFor(conn.sourceIP)
			if f.Delay > 0 {
				time.Sleep(f.Delay)
			}
			if f.dropsData(conn.openedAt.Before(faultSetAt), toClient) {
				// A stream with a gap is unusable, so this direction forwards no more data even after the
				// fault ends.
				p.discardUntilClosed(src)
				return
			}
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// dropsData reports whether the fault drops data of a connection in the given direction.
func (f Fault) dropsData(openedBeforeFault, toClient bool) bool {
	return f.DropAll || f.DropExisting && openedBeforeFault || f.DropResponses && toClient
}

// discardUntilClosed reads and discards data from src until src is closed.
func (p *Proxy) discardUntilClosed(src net.Conn) {
	buffer := make([]byte, relayBufferSize)
	for {
		if _, err := src.Read(buffer); err != nil {
			return
		}
	}
}

package tbproxy

import (
	"net"
	"sync"
	"time"
)

// Fault is what happens to connections of one source.
type Fault struct {
	// Silent keeps open connections open but lets nothing through.
	Silent bool
	// SilentOld does so only for connections that were open when the fault was set.
	SilentOld bool
	// SilentAnswers loses only what flows back to the source.
	SilentAnswers bool
	// Refuse closes new connections at once.
	Refuse bool
	Delay  time.Duration
}

// AnySource names the fault of sources without one of their own.
const AnySource = ""

// Proxy forwards from one address to another.
type Proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	faults   map[string]Fault
	setAt    map[string]time.Time
	links    map[*link]bool
	closed   bool
}

// link is one forwarded connection.
type link struct {
	source string
	opened time.Time
	client net.Conn
	server net.Conn
}

// Listen starts a proxy on address for target.
func Listen(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		listener: l, target: target, faults: map[string]Fault{}, setAt: map[string]time.Time{}, links: map[*link]bool{},
	}
	go p.accept()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set replaces the fault of a source, or of all others with AnySource.
func (p *Proxy) Set(source string, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[source] = f
	p.setAt[source] = time.Now()
}

// Clear removes all faults.
func (p *Proxy) Clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.faults)
}

// Cut closes all connections of a source, or of all with AnySource.
func (p *Proxy) Cut(source string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		if source == AnySource || l.source == source {
			l.client.Close()
			l.server.Close()
		}
	}
}

// Reset closes all connections of a source, or of all with AnySource, as a crashed instance does.
func (p *Proxy) Reset(source string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		if source == AnySource || l.source == source {
			for _, c := range []net.Conn{l.client, l.server} {
				if tcp, ok := c.(*net.TCPConn); ok {
					// A connection that is closed already cannot be reset.
					_ = tcp.SetLinger(0)
				}
				c.Close()
			}
		}
	}
}

// Close ends the proxy and all its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.listener.Close()
	p.Cut(AnySource)
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

// fault returns the present fault of a link's source.
func (p *Proxy) fault(source string) (Fault, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f, ok := p.faults[source]; ok {
		return f, p.setAt[source]
	}
	return p.faults[AnySource], p.setAt[AnySource]
}

func (p *Proxy) forward(client net.Conn) {
	source, _, _ := net.SplitHostPort(client.RemoteAddr().String())
	if f, _ := p.fault(source); f.Refuse {
		client.Close()
		return
	}
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		client.Close()
		return
	}
	l := &link{source: source, opened: time.Now(), client: client, server: server}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); p.copy(l, server, client, false) }()
	go func() { defer both.Done(); p.copy(l, client, server, true) }()
	both.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

const copyBytes = 32 << 10

// copy forwards one direction; data that arrives during silence is lost for good.
func (p *Proxy) copy(l *link, to, from net.Conn, isAnswer bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, copyBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			f, setAt := p.fault(l.source)
			if f.Delay > 0 {
				time.Sleep(f.Delay)
			}
			if f.drops(l.opened.Before(setAt), isAnswer) {
				// A stream with a hole is useless, so it stays silent for good.
				p.holdOpen(from)
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (f Fault) drops(old, isAnswer bool) bool {
	return f.Silent || f.SilentOld && old || f.SilentAnswers && isAnswer
}

// holdOpen reads and drops until the other side closes.
func (p *Proxy) holdOpen(from net.Conn) {
	buffer := make([]byte, copyBytes)
	for {
		if _, err := from.Read(buffer); err != nil {
			return
		}
	}
}

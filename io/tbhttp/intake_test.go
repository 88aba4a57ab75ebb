package tbhttp

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"tamarackbarrow/core/tbintake"
)

// fixture is a server whose handler reads bodies and holds requests until release is closed, if it is set.
type fixture struct {
	t       *testing.T
	intake  *Intake
	address string
	release chan struct{}
	mu      sync.Mutex
	counts  map[string]int
}

func newFixture(t *testing.T, l tbintake.Limits, release chan struct{}) *fixture {
	t.Helper()
	fx := &fixture{t: t, release: release, counts: map[string]int{}}
	fx.intake = New(Options{
		Limits: l, MaxHeadBytes: 16384, HeadTimeout: 30 * time.Second, BodyTimeout: 30 * time.Second,
		AnswerTimeout: 200 * time.Millisecond, Log: hclog.NewNullLogger(),
		Count: func(name string) {
			fx.mu.Lock()
			defer fx.mu.Unlock()
			fx.counts[name]++
		},
	})
	listener, err := fx.intake.Listen("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	fx.address = listener.Addr().String()
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Protocols: &protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r, 1<<20)
		if err != nil || !AdmitDecoding(w, r, body) {
			if err != nil {
				Refuse(w)
			}
			return
		}
		if fx.release != nil {
			<-fx.release
		}
		fmt.Fprintf(w, "%d bytes", len(body))
	})}
	fx.intake.Bind(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	return fx
}

func (fx *fixture) count(name string) int {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	return fx.counts[name]
}

func (fx *fixture) bytes() int64 {
	fx.intake.mu.Lock()
	defer fx.intake.mu.Unlock()
	return fx.intake.table.Bytes()
}

func (fx *fixture) dial() net.Conn {
	conn, err := net.Dial("tcp", fx.address)
	qt.Check(fx.t, err, qt.IsNil)
	fx.t.Cleanup(func() { conn.Close() })
	qt.Check(fx.t, conn.SetDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	return conn
}

// waitFor waits until a condition holds.
func (fx *fixture) waitFor(condition func() bool) {
	fx.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			fx.t.Fatalf("condition not met before the test's deadline; counts %v, %d bytes", fx.counts, fx.bytes())
		}
	}
}

// ask sends a request on a connection of its own and returns the status, or 0 without an answer.
func (fx *fixture) ask(request string) int {
	conn := fx.dial()
	defer conn.Close()
	if _, err := io.WriteString(conn, request); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable {
		qt.Check(fx.t, resp.Header.Get("Retry-After"), qt.Equals, retryAfter)
	}
	return resp.StatusCode
}

func post(size int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
}

// Requests on one connection, with and without bodies, leave nothing behind but the connection, and a
// closed connection leaves nothing.
func TestEndedRequestsLeaveNothingBehind(t *testing.T) {
	fx := newFixture(t, tbintake.LimitsOf(64<<20, 100), nil)
	conn := fx.dial()
	reader := bufio.NewReader(conn)
	for range 50 {
		for _, request := range []string{post(100_000), "GET / HTTP/1.1\r\nHost: a\r\n\r\n", post(10)} {
			_, err := io.WriteString(conn, request)
			qt.Assert(t, err, qt.IsNil)
			resp, err := http.ReadResponse(reader, nil)
			qt.Assert(t, err, qt.IsNil)
			_, err = io.Copy(io.Discard, resp.Body)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
		}
	}
	fx.waitFor(func() bool { return fx.bytes() < tbintake.ConnectionCost+8192 })
	conn.Close()
	fx.waitFor(func() bool { return fx.bytes() == 0 })
	qt.Check(t, fx.count(counterEvicted), qt.Equals, 0)
	qt.Check(t, fx.count(counterRefusedRequests), qt.Equals, 0)
}

// Requests that are being answered are not given up. A request that there is no room for is answered with
// 503 and has not been executed.
func TestWholeRequestIsAnsweredOrRefused(t *testing.T) {
	release := make(chan struct{})
	fx := newFixture(t, tbintake.LimitsOf(8<<20, 100), release)
	// All of them fit while they are read, but not while they are answered.
	const requests = 8
	statuses := make(chan int, requests)
	for range requests {
		go func() { statuses <- fx.ask(post(90_000)) }()
	}
	fx.waitFor(func() bool { return fx.count(counterRefusedRequests) > 0 })
	close(release)
	seen := map[int]int{}
	for range requests {
		seen[<-statuses]++
	}
	qt.Check(t, seen[http.StatusOK] > 0, qt.IsTrue)
	qt.Check(t, seen[http.StatusOK]+seen[http.StatusServiceUnavailable], qt.Equals, requests)
	qt.Check(t, fx.ask(post(10)), qt.Equals, http.StatusOK)
	fx.waitFor(func() bool { return fx.bytes() == 0 })
}

// A document that can never be decoded within the limits is refused for good.
func TestDocumentThatNeverFitsIsTooLarge(t *testing.T) {
	fx := newFixture(t, tbintake.LimitsOf(64<<20, 100), nil)
	body := strings.Repeat("{},", 100_000)
	request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	qt.Check(t, fx.ask(request), qt.Equals, http.StatusRequestEntityTooLarge)
	// Each cost alone is below the limit of the connection and its request together.
	for size := 10_000; size <= 100_000; size += 3_000 {
		document := strings.Repeat("{},", size/3)
		// The request before may not have ended yet when its answer arrives.
		fx.waitFor(func() bool { return fx.bytes() == 0 })
		status := fx.ask(fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(document), document))
		qt.Check(t, status == http.StatusOK || status == http.StatusRequestEntityTooLarge, qt.IsTrue, qt.Commentf("%d bytes: %d", size, status))
	}
}

// A client of the own interface that stopped inside its body was never released, because the time limit of its body was
// lifted before the rest of it was read.
func TestClientThatStopsInsideItsBodyIsReleased(t *testing.T) {
	in := New(Options{
		Limits: tbintake.LimitsOf(64<<20, 100), MaxHeadBytes: 16384, HeadTimeout: 30 * time.Second, BodyTimeout: 300 * time.Millisecond,
		AnswerTimeout: time.Second, Log: hclog.NewNullLogger(), Count: func(string) {},
	})
	listener, err := in.Listen("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := &http.Server{Handler: in.Whole(http.NotFoundHandler(), 1<<20)}
	in.Bind(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	fx := &fixture{t: t, intake: in, address: listener.Addr().String()}
	conn := fx.dial()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nabc")
	qt.Assert(t, err, qt.IsNil)
	fx.waitFor(func() bool { return fx.bytes() > 0 })
	fx.waitFor(func() bool { return fx.bytes() == 0 })
}

// A compressed request of the own interface counted as the largest one. On a shared connection, it was refused for good,
// because the connection counted as another request of its client.
func TestCompressedRequestOnSharedConnectionIsServed(t *testing.T) {
	fx := newFixture(t, tbintake.LimitsOf(184<<20, 4000), nil)
	listener, err := fx.intake.Listen("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Protocols: &protocols, Handler: fx.intake.Whole(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), 4<<20)}
	fx.intake.Bind(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	client := &http.Client{Transport: &http.Transport{Protocols: &protocols}}
	defer client.CloseIdleConnections()
	for range 3 {
		req, err := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String(), strings.NewReader("x"))
		qt.Assert(t, err, qt.IsNil)
		req.Header.Set("Content-Encoding", "gzip")
		resp, err := client.Do(req)
		qt.Assert(t, err, qt.IsNil)
		resp.Body.Close()
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
	}
}

// gzipOf returns size zero bytes in compressed form.
func gzipOf(t *testing.T, size int) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, err := w.Write(make([]byte, size))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, w.Close(), qt.IsNil)
	return b.Bytes()
}

// enveloped returns a message with the prefix of the gRPC and Connect streaming protocols.
func enveloped(message []byte) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{1}, uint32(len(message))), message...)
}

// wholeServer serves a handler behind Whole and returns its URL.
func wholeServer(t *testing.T, fx *fixture, limit int64, handler http.HandlerFunc) string {
	listener, err := fx.intake.Listen("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := &http.Server{Handler: fx.intake.Whole(handler, limit)}
	fx.intake.Bind(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	return "http://" + listener.Addr().String()
}

// Small compressed requests counted as the largest ones, so that 190 of 200 at a time were refused by a process with
// 4,096 MB.
func TestSmallCompressedRequestsAreServedTogether(t *testing.T) {
	const clients, size = 200, 100
	for header, body := range map[string][]byte{
		"Content-Encoding": gzipOf(t, size), "Grpc-Encoding": enveloped(gzipOf(t, size)), "Connect-Content-Encoding": enveloped(gzipOf(t, size)),
	} {
		t.Run(header, func(t *testing.T) {
			fx := newFixture(t, tbintake.LimitsOf(4096<<20, 4096), nil)
			var arrived sync.WaitGroup
			arrived.Add(clients)
			url := wholeServer(t, fx, 4<<20, func(http.ResponseWriter, *http.Request) {
				arrived.Done()
				arrived.Wait()
			})
			statuses := make(chan int, clients)
			for range clients {
				go func() {
					status := postCompressed(t, url, header, body)
					if status != http.StatusOK {
						arrived.Done()
					}
					statuses <- status
				}()
			}
			for range clients {
				qt.Check(t, <-statuses, qt.Equals, http.StatusOK)
			}
		})
	}
}

func postCompressed(t *testing.T, url, header string, body []byte) int {
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	qt.Check(t, err, qt.IsNil)
	req.Header.Set(header, "gzip")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// A compressed request is refused if what it decodes to is larger than the limit, or needs more memory than there is,
// whether it is one message or several.
func TestCompressedRequestsCountByTheirDecodedSize(t *testing.T) {
	const limit = 1 << 20
	large, half := gzipOf(t, limit+1), enveloped(gzipOf(t, limit*2/3))
	for name, c := range map[string]struct {
		header string
		body   []byte
		status int
	}{
		"whole":              {"Content-Encoding", large, http.StatusRequestEntityTooLarge},
		"one message":        {"Grpc-Encoding", enveloped(large), http.StatusRequestEntityTooLarge},
		"two messages":       {"Connect-Content-Encoding", append(slices.Clone(half), half...), http.StatusRequestEntityTooLarge},
		"within the limit":   {"Content-Encoding", gzipOf(t, limit), http.StatusOK},
		"one of two fits":    {"Grpc-Encoding", half, http.StatusOK},
		"not compressed":     {"Content-Encoding", []byte("x"), http.StatusOK},
		"cut short":          {"Grpc-Encoding", half[:len(half)/2], http.StatusOK},
		"length beyond body": {"Grpc-Encoding", []byte{1, 255, 255, 255, 255, 0}, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, tbintake.LimitsOf(4096<<20, 4096), nil)
			url := wholeServer(t, fx, limit, func(http.ResponseWriter, *http.Request) {})
			qt.Check(t, postCompressed(t, url, c.header, c.body), qt.Equals, c.status)
		})
	}
	header := http.Header{"Content-Encoding": {"gzip"}, "Grpc-Encoding": {"gzip"}}
	qt.Check(t, decodedSize(header, enveloped(large), limit) > limit, qt.IsTrue, qt.Commentf("one encoding must not hide the other"))
	qt.Check(t, decodedSize(header, large, limit) > limit, qt.IsTrue)
}

// After a refused read, the next one returned later bytes of the stream as if none were missing.
func TestNothingIsReadAfterARefusedRead(t *testing.T) {
	client, raw := net.Pipe()
	defer client.Close()
	limits := tbintake.LimitsOf(64<<20, 100)
	limits.Bytes = 2*tbintake.ConnectionCost + 10_000
	in := New(Options{Limits: limits, MaxHeadBytes: 16384, Log: hclog.NewNullLogger(), Count: func(string) {}})
	c := in.open(raw)
	qt.Assert(t, c, qt.IsNotNil)
	c.hasHead = true
	_, otherRaw := net.Pipe()
	other := in.open(otherRaw)
	qt.Assert(t, in.run(other.id, 9_000), qt.IsTrue)
	go func() { _, _ = client.Write(make([]byte, 8192)) }()
	buffer := make([]byte, 4096)
	for range 2 {
		n, err := c.Read(buffer)
		qt.Check(t, n, qt.Equals, 0)
		qt.Check(t, err, qt.ErrorIs, ErrNoRoom)
		other.Close()
	}
}

// Load: reads for which another connection is given up, which holds its memory until its server has closed it. A reader
// does not get ahead of that.
func TestReadsWaitUntilGivenUpMemoryIsReleased(t *testing.T) {
	limits := tbintake.LimitsOf(64<<20, 100)
	limits.Bytes = 64 << 10
	in := New(Options{Limits: limits, MaxHeadBytes: 1 << 20, Log: hclog.NewNullLogger(), Count: func(string) {}})
	read := func(c *conn, client net.Conn) chan error {
		done := make(chan error, 1)
		go func() { _, _ = client.Write(make([]byte, 12<<10)) }()
		go func() {
			_, err := c.Read(make([]byte, 12<<10))
			done <- err
		}()
		return done
	}
	firstClient, firstRaw := net.Pipe()
	first := in.open(firstRaw)
	qt.Assert(t, <-read(first, firstClient), qt.IsNil)
	secondClient, secondRaw := net.Pipe()
	second := in.open(secondRaw)
	done := read(second, secondClient)
	_, err := firstClient.Read(make([]byte, 1))
	qt.Assert(t, err, qt.Equals, io.EOF, qt.Commentf("the first connection is given up"))
	select {
	case <-done:
		t.Error("the read does not wait")
	case <-time.After(100 * time.Millisecond):
		first.Close()
		qt.Check(t, <-done, qt.IsNil)
	}
}

// A pipelined request whose head net/http has read with the request before it is accounted for.
func TestBufferedHeadIsAccountedFor(t *testing.T) {
	fx := newFixture(t, tbintake.LimitsOf(64<<20, 100), nil)
	conn := fx.dial()
	const lines = 500
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\r\n", lines))
	qt.Assert(t, err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	fx.waitFor(func() bool { return fx.bytes() >= lines*tbintake.LineCost })
}

// Requests that share a connection are accounted for one by one, and one that does not finish its body
// is given up for others.
func TestRequestsOnSharedConnectionsAreGivenUp(t *testing.T) {
	fx := newFixture(t, tbintake.LimitsOf(8<<20, 100), nil)
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: &protocols}}
	defer client.CloseIdleConnections()
	send := func(body io.Reader) (int, error) {
		resp, err := client.Post("http://"+fx.address, "application/json", body)
		if err != nil {
			return 0, err
		}
		defer resp.Body.Close()
		return resp.StatusCode, nil
	}
	var ended sync.WaitGroup
	var writers []*io.PipeWriter
	for range 40 {
		body, writer := io.Pipe()
		writers = append(writers, writer)
		ended.Go(func() {
			status, err := send(body)
			// What is given up has not been executed, and may be sent again.
			qt.Check(t, err != nil || status == http.StatusOK || status == http.StatusServiceUnavailable, qt.IsTrue, qt.Commentf("%d", status))
		})
		ended.Go(func() { _, _ = writer.Write(make([]byte, 200_000)) })
	}
	fx.waitFor(func() bool { return fx.count(counterEvicted) > 0 })
	status, err := send(strings.NewReader("{}"))
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, status, qt.Equals, http.StatusOK)
	for _, writer := range writers {
		writer.CloseWithError(io.ErrUnexpectedEOF)
	}
	ended.Wait()
	fx.waitFor(func() bool { return fx.bytes() <= sharedConnectionCost+tbintake.ConnectionCost })
}

// A client that sends requests and reads no answer is given up after the time limit.
func TestClientThatDoesNotReadIsGivenUp(t *testing.T) {
	fx := newFixture(t, tbintake.LimitsOf(64<<20, 100), nil)
	conn := fx.dial()
	go func() {
		request := []byte(strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 100))
		for {
			if _, err := conn.Write(request); err != nil {
				return
			}
		}
	}()
	fx.waitFor(func() bool { return fx.bytes() > 0 })
	fx.waitFor(func() bool { return fx.bytes() == 0 })
}

// A head over the limit in force is refused, also if it begins like an HTTP/2 connection or arrives in
// small parts.
func TestLargeHeadsAreRefused(t *testing.T) {
	for name, start := range map[string]string{
		"ordinary":          "GET / HTTP/1.1\r\nHost: a\r\n",
		"begins like HTTP2": "PRI * HTTP/2.0\r\nHost: a\r\n",
		"part of preface":   "PRI * HTTP/2.0\r\n\r\nSX: a\r\n",
	} {
		fx := newFixture(t, tbintake.LimitsOf(64<<20, 100), nil)
		conn := fx.dial()
		for _, part := range []string{start[:5], start[5:]} {
			_, err := io.WriteString(conn, part)
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(5 * time.Millisecond)
		}
		go func() {
			for {
				if _, err := io.WriteString(conn, "X: "+strings.Repeat("y", 500)+"\r\n"); err != nil {
					return
				}
			}
		}()
		fx.waitFor(func() bool { return fx.bytes() == 0 })
		qt.Check(t, fx.count(counterEvicted), qt.Equals, 0, qt.Commentf("%s", name))
	}
}

// The limits of a configuration take effect while the server runs.
func TestRequestLimitsFollowTheConfiguration(t *testing.T) {
	fx := newFixture(t, tbintake.LimitsOf(64<<20, 100), nil)
	large := "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("y", 30_000) + "\r\n\r\n"
	qt.Check(t, fx.ask(large) == http.StatusOK, qt.IsFalse)
	fx.intake.SetRequestLimits(40_000, 300)
	qt.Check(t, fx.ask(large), qt.Equals, http.StatusOK)
	qt.Check(t, fx.intake.MaxBodyBytes(), qt.Equals, int64(smallestLimit))
	fx.intake.SetRequestLimits(0, 0)
	qt.Check(t, fx.ask(large) == http.StatusOK, qt.IsFalse)
	qt.Check(t, fx.count(counterTooLargeHeads), qt.Equals, 2)
}

package tbstandin

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	pb "tamarackbarrow/io/tbproto/v1"
	"tamarackbarrow/io/tbproto/v1/tbprotov1connect"
)

// Result is what a caller saw of one request.
type Result struct {
	// Status is unspecified when the instance could not be reached or the connection ended.
	Status  pb.CallStatus
	Reason  string
	Latency time.Duration
	// Wrong is true when the answer is not the one to this request.
	Wrong bool
}

// Answered reports whether the whole right answer came.
func (r Result) Answered() bool {
	return r.Status == pb.CallStatus_CALL_STATUS_ANSWERED && !r.Wrong
}

// Request is one request of a stand-in caller.
type Request struct {
	Service string
	Method  string
	// Number is the payload, by which runners and callers tell requests apart.
	Number   string
	Member   string
	Key      string
	Deadline time.Duration
}

// Caller sends requests to the system's instances.
type Caller struct {
	clients map[string]tbprotov1connect.CallerServiceClient
	ledger  *Ledger
}

// NewCaller returns a caller of the given caller addresses.
func NewCaller(addresses []string, ledger *Ledger) *Caller {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	h := &http.Client{Transport: &http.Transport{
		Protocols: &protocols,
		HTTP2:     &http.HTTP2Config{SendPingTimeout: time.Second, PingTimeout: time.Second},
	}}
	c := &Caller{clients: map[string]tbprotov1connect.CallerServiceClient{}, ledger: ledger}
	for _, address := range addresses {
		c.clients[address] = tbprotov1connect.NewCallerServiceClient(h, "http://"+address)
	}
	return c
}

// callerMargin is how long a caller waits beyond its deadline for the outcome.
const callerMargin = 500 * time.Millisecond

// Call sends one request to one instance and checks that the answer belongs to it.
func (c *Caller) Call(ctx context.Context, address string, r Request) Result {
	ctx, cancel := context.WithTimeout(ctx, r.Deadline+callerMargin)
	defer cancel()
	began := time.Now()
	answer, err := c.clients[address].Call(ctx, connect.NewRequest(&pb.CallRequest{
		Service: r.Service, Method: r.Method, Payload: []byte(r.Number), Member: r.Member,
		IdempotencyKey: r.Key, DeadlineMs: uint32(r.Deadline.Milliseconds()),
	}))
	result := Result{Latency: time.Since(began)}
	if err != nil {
		result.Reason = connect.CodeOf(err).String()
		return result
	}
	result.Status = answer.Msg.GetStatus()
	result.Reason = answer.Msg.GetReason()
	if result.Status == pb.CallStatus_CALL_STATUS_ANSWERED && !bytes.Equal(answer.Msg.GetPayload(), Answer([]byte(r.Number))) {
		result.Wrong = true
		c.ledger.Violate("request %q got the answer %q", r.Number, answer.Msg.GetPayload())
	}
	return result
}

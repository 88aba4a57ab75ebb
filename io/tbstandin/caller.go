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

// Result is the outcome of one request as its caller saw it.
type Result struct {
	// Status is unspecified if the instance could not be reached or the connection ended.
	Status pb.CallStatus
	// Reason is why the system gave no answer, or the code of the error if Status is unspecified.
	Reason  string
	Latency time.Duration
	// WrongAnswer is true if the answer is not the correct one for the request.
	WrongAnswer bool
}

// Answered reports whether the request was answered correctly.
func (r Result) Answered() bool {
	return r.Status == pb.CallStatus_CALL_STATUS_ANSWERED && !r.WrongAnswer
}

// Request is one request of a fake caller.
type Request struct {
	Service string
	Method  string
	// ID is the payload, which identifies the request to runners and callers.
	ID     string
	Member string
	// IdempotencyKey is empty if the request has no key.
	IdempotencyKey string
	Deadline       time.Duration
}

// Caller is a fake caller that sends requests to the system's instances.
type Caller struct {
	clientsByAddress map[string]tbprotov1connect.CallerServiceClient
	ledger           *Ledger
}

// NewCaller returns a caller for the given caller addresses. The caller reports wrong answers to
// ledger.
func NewCaller(addresses []string, ledger *Ledger) *Caller {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	httpClient := &http.Client{Transport: &http.Transport{
		Protocols: &protocols,
		HTTP2:     &http.HTTP2Config{SendPingTimeout: time.Second, PingTimeout: time.Second},
	}}
	c := &Caller{clientsByAddress: map[string]tbprotov1connect.CallerServiceClient{}, ledger: ledger}
	for _, address := range addresses {
		c.clientsByAddress[address] = tbprotov1connect.NewCallerServiceClient(httpClient, "http://"+address)
	}
	return c
}

// callerGracePeriod is how long a caller still waits for the outcome after the deadline of a request.
const callerGracePeriod = 500 * time.Millisecond

// Call sends a request to the instance at address and checks that the answer belongs to the request.
func (c *Caller) Call(ctx context.Context, address string, r Request) Result {
	ctx, cancel := context.WithTimeout(ctx, r.Deadline+callerGracePeriod)
	defer cancel()
	start := time.Now()
	resp, err := c.clientsByAddress[address].Call(ctx, connect.NewRequest(&pb.CallRequest{
		Service: r.Service, Method: r.Method, Payload: []byte(r.ID), Member: r.Member,
		IdempotencyKey: r.IdempotencyKey, DeadlineMs: uint32(r.Deadline.Milliseconds()),
	}))
	result := Result{Latency: time.Since(start)}
	if err != nil {
		result.Reason = connect.CodeOf(err).String()
		return result
	}
	result.Status = resp.Msg.GetStatus()
	result.Reason = resp.Msg.GetReason()
	if result.Status == pb.CallStatus_CALL_STATUS_ANSWERED && !bytes.Equal(resp.Msg.GetPayload(), Answer([]byte(r.ID))) {
		result.WrongAnswer = true
		c.ledger.RecordViolation("request %q got wrong answer %q", r.ID, resp.Msg.GetPayload())
	}
	return result
}

package tbrunnerclient

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"tamarackbarrow/core/tbentry"
	pb "tamarackbarrow/io/tbproto/v1"
	"tamarackbarrow/io/tbproto/v1/tbprotov1connect"
)

// Time limits that detect broken connections to backend servers.
const (
	pingAfterIdle = 300 * time.Millisecond
	pingTimeout   = 300 * time.Millisecond
	dialTimeout   = 500 * time.Millisecond
)

// maxAnswerBytes is the size in bytes of the largest answer of a runner. Larger answers are errors.
const maxAnswerBytes = 4 << 20

// NewHTTPClient returns a client for unencrypted HTTP/2 that pings idle connections and closes
// those that do not respond.
func NewHTTPClient() *http.Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		Protocols:   &protocols,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingAfterIdle, PingTimeout: pingTimeout},
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}}
}

// Client sends requests to runners.
type Client struct {
	httpClient *http.Client
}

// New returns a client that sends its requests through h.
func New(h *http.Client) *Client { return &Client{httpClient: h} }

// Run carries out one attempt: it sends the request to the runner, waits for the answer for at
// most attempt.AnswerTimeout, and returns how the attempt ended.
func (c *Client) Run(ctx context.Context, requestID string, attempt tbentry.StartAttempt) tbentry.AttemptEnded {
	ctx, cancel := context.WithTimeout(ctx, attempt.AnswerTimeout)
	defer cancel()
	// sendStarted becomes true when the first header is written. From then on, the runner may receive
	// the request.
	var sendStarted atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { sendStarted.Store(true) },
		WroteHeaders:     func() { sendStarted.Store(true) },
	})
	client := tbprotov1connect.NewRunnerServiceClient(c.httpClient, "http://"+attempt.Address, connect.WithReadMaxBytes(maxAnswerBytes))
	resp, err := client.Run(ctx, connect.NewRequest(&pb.RunRequest{
		RequestId: requestID, Service: attempt.Call.Service, Method: attempt.Call.Method, Payload: attempt.Call.Payload,
		DeadlineMs: uint32(attempt.Timeout.Milliseconds()), Incarnation: attempt.Incarnation,
	}))
	ended := tbentry.AttemptEnded{Attempt: attempt.Attempt}
	switch {
	case err != nil && (connect.IsWireError(err) || connect.CodeOf(err) == connect.CodeResourceExhausted):
		// The runner answered with this error, or with more than maxAnswerBytes.
		ended.Result, ended.Detail = tbentry.AttemptError, err.Error()
	case err != nil && !sendStarted.Load():
		ended.Result, ended.Detail = tbentry.AttemptNotSent, err.Error()
	case err != nil:
		// The runner may have executed the request.
		ended.Result, ended.Detail = tbentry.AttemptLost, err.Error()
	default:
		classifyResponse(&ended, requestID, resp.Msg)
	}
	return ended
}

// classifyResponse sets the result of an attempt from the response. An answer is accepted only if it
// belongs to the request, is complete and matches its digest.
func classifyResponse(ended *tbentry.AttemptEnded, requestID string, m *pb.RunResponse) {
	switch {
	case m.GetRequestId() != requestID:
		ended.Result = tbentry.AttemptBadAnswer
		ended.Detail = fmt.Sprintf("answer belongs to request %q", m.GetRequestId())
	case m.GetRefused():
		ended.Result, ended.Detail = tbentry.AttemptRefused, m.GetReason()
	case m.GetLength() != uint64(len(m.GetPayload())):
		ended.Result = tbentry.AttemptBadAnswer
		ended.Detail = fmt.Sprintf("answer has %d bytes, expected %d", len(m.GetPayload()), m.GetLength())
	case m.GetDigest() != xxhash.Sum64(m.GetPayload()):
		ended.Result, ended.Detail = tbentry.AttemptBadAnswer, "answer does not match its digest"
	default:
		ended.Result, ended.Payload = tbentry.AttemptAnswered, m.GetPayload()
	}
}

// settleTimeout bounds each request for the outcome of an attempt.
const settleTimeout = 500 * time.Millisecond

// Settle asks a runner for the outcome of a lost attempt. The State of the result is
// tbentry.SettlementUnanswered, the zero value, if the runner did not answer.
func (c *Client) Settle(ctx context.Context, requestID string, lost tbentry.SettleAttempt) tbentry.AttemptSettled {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	settled := tbentry.AttemptSettled{Attempt: lost.Attempt}
	client := tbprotov1connect.NewRunnerServiceClient(c.httpClient, "http://"+lost.Address, connect.WithReadMaxBytes(maxAnswerBytes))
	resp, err := client.Settle(ctx, connect.NewRequest(&pb.SettleRequest{RequestId: requestID, Incarnation: lost.Incarnation}))
	if err != nil {
		return settled
	}
	switch resp.Msg.GetState() {
	case pb.SettleState_SETTLE_STATE_NOT_RUN:
		settled.State = tbentry.SettledNotExecuted
	case pb.SettleState_SETTLE_STATE_RUNNING:
		settled.State = tbentry.SettledExecuting
	case pb.SettleState_SETTLE_STATE_UNKNOWN:
		settled.State = tbentry.SettledUnknown
	case pb.SettleState_SETTLE_STATE_ENDED:
		settled.State = tbentry.SettledEnded
		var ended tbentry.AttemptEnded
		classifyResponse(&ended, requestID, resp.Msg.GetAnswer())
		settled.Answered, settled.Payload = ended.Result == tbentry.AttemptAnswered, ended.Payload
	}
	return settled
}

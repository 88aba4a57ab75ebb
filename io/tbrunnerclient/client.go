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

// Times after which a connection to a backend server counts as silent.
const (
	pingAfter   = 300 * time.Millisecond
	pingTimeout = 300 * time.Millisecond
	dialTimeout = 500 * time.Millisecond
)

// NewHTTPClient returns a client for unencrypted HTTP/2 that finds silent connections by pings.
func NewHTTPClient() *http.Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		Protocols:   &protocols,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}}
}

// Client sends requests to runners.
type Client struct {
	http *http.Client
}

// New returns a client that uses the given HTTP client.
func New(h *http.Client) *Client { return &Client{http: h} }

// Run sends one request and returns how it ended.
func (c *Client) Run(ctx context.Context, requestID string, run tbentry.StartAttempt) tbentry.AttemptEnded {
	ctx, cancel := context.WithTimeout(ctx, run.AnswerTimeout)
	defer cancel()
	var wrote atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { wrote.Store(true) },
		WroteHeaders:     func() { wrote.Store(true) },
	})
	client := tbprotov1connect.NewRunnerServiceClient(c.http, "http://"+run.Address)
	answer, err := client.Run(ctx, connect.NewRequest(&pb.RunRequest{
		RequestId: requestID, Service: run.Call.Service, Method: run.Call.Method, Payload: run.Call.Payload,
		DeadlineMs: uint32(run.Timeout.Milliseconds()), Incarnation: run.Incarnation,
	}))
	ended := tbentry.AttemptEnded{Attempt: run.Attempt}
	switch {
	case err != nil && connect.IsWireError(err):
		ended.Kind, ended.Detail = tbentry.AttemptError, err.Error()
	case err != nil && !wrote.Load():
		ended.Kind, ended.Detail = tbentry.AttemptNotSent, err.Error()
	case err != nil:
		ended.Kind, ended.Detail = tbentry.AttemptLost, err.Error()
	default:
		check(&ended, requestID, answer.Msg)
	}
	return ended
}

// check accepts only the whole answer to this very request.
func check(ended *tbentry.AttemptEnded, requestID string, m *pb.RunResponse) {
	switch {
	case m.GetRequestId() != requestID:
		ended.Kind = tbentry.AttemptBadAnswer
		ended.Detail = fmt.Sprintf("answer is for request %q", m.GetRequestId())
	case m.GetRefused():
		ended.Kind, ended.Detail = tbentry.AttemptRefused, m.GetReason()
	case m.GetLength() != uint64(len(m.GetPayload())):
		ended.Kind = tbentry.AttemptBadAnswer
		ended.Detail = fmt.Sprintf("answer has %d of %d bytes", len(m.GetPayload()), m.GetLength())
	case m.GetDigest() != xxhash.Sum64(m.GetPayload()):
		ended.Kind, ended.Detail = tbentry.AttemptBadAnswer, "answer does not match its digest"
	default:
		ended.Kind, ended.Payload = tbentry.AttemptAnswered, m.GetPayload()
	}
}

// settleWithin bounds one question about a lost answer.
const settleWithin = 500 * time.Millisecond

// Settle asks a runner what became of a request whose answer was lost.
func (c *Client) Settle(ctx context.Context, requestID string, s tbentry.SettleAttempt) tbentry.AttemptSettled {
	ctx, cancel := context.WithTimeout(ctx, settleWithin)
	defer cancel()
	settled := tbentry.AttemptSettled{Attempt: s.Attempt}
	client := tbprotov1connect.NewRunnerServiceClient(c.http, "http://"+s.Address)
	answer, err := client.Settle(ctx, connect.NewRequest(&pb.SettleRequest{RequestId: requestID, Incarnation: s.Incarnation}))
	if err != nil {
		return settled
	}
	switch answer.Msg.GetState() {
	case pb.SettleState_SETTLE_STATE_NOT_RUN:
		settled.State = tbentry.SettledNotRun
	case pb.SettleState_SETTLE_STATE_RUNNING:
		settled.State = tbentry.SettledExecuting
	case pb.SettleState_SETTLE_STATE_UNKNOWN:
		settled.State = tbentry.SettledUnknown
	case pb.SettleState_SETTLE_STATE_ENDED:
		settled.State = tbentry.SettledEnded
		var ended tbentry.AttemptEnded
		check(&ended, requestID, answer.Msg.GetAnswer())
		settled.Answered, settled.Payload = ended.Kind == tbentry.AttemptAnswered, ended.Payload
	}
	return settled
}

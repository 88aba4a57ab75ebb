package tbdaemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbnode"
	"tamarackbarrow/io/tbflowcodec"
	"tamarackbarrow/io/tbpeer"
	pb "tamarackbarrow/io/tbproto/v1"
)

// Timing of requests to the leader (tbcontrol.LeaderRequest). The adapter and joining replicas send
// them. Commands, reports of entries, and queries are sent by Propose, Sync and Query of
// tbpeer.Client instead.
const (
	// askTryTimeout is the timeout of one try. A commit on slow disks takes a few hundred milliseconds.
	askTryTimeout = 1200 * time.Millisecond
	// askRetryInterval is the delay between two tries.
	askRetryInterval = 60 * time.Millisecond
)

// Errors of a request to the leader that got no conclusive answer.
var (
	// ErrNotAccepted means that no leader accepted the request. The request has changed nothing.
	ErrNotAccepted = errors.New("no leader took the question")
	// ErrUnconfirmed means that the request is unconfirmed. A leader may have processed the request
	// or may still process it.
	ErrUnconfirmed = errors.New("the leader's answer was lost")
)

// directory holds the known peer addresses of the control group, beginning with the seeds. It also
// holds the leader's address, which is empty while the leader is unknown.
type directory struct {
	mu        sync.Mutex
	leader    string
	addresses []string
	nextIndex int
}

// add adds the addresses that the directory does not contain yet.
func (d *directory) add(addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range addresses {
		d.addLocked(a)
	}
}

func (d *directory) addLocked(address string) {
	if address == "" {
		return
	}
	for _, a := range d.addresses {
		if a == address {
			return
		}
	}
	d.addresses = append(d.addresses, address)
}

// pick returns the leader's address or, while the leader is unknown, the next address in rotation.
func (d *directory) pick() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader != "" {
		return d.leader
	}
	if len(d.addresses) == 0 {
		return ""
	}
	d.nextIndex = (d.nextIndex + 1) % len(d.addresses)
	return d.addresses[d.nextIndex]
}

// update stores the leader's address, or an empty string if the leader is unknown. It also adds the
// given replica addresses.
func (d *directory) update(leader string, replicas []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leader = leader
	for _, a := range replicas {
		d.addLocked(a)
	}
}

// clearLeader marks the leader as unknown if the leader has the given address.
func (d *directory) clearLeader(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader == address {
		d.leader = ""
	}
}

// LeaderAddress returns the peer address of the leader, or an empty string if the leader is unknown.
func (d *Daemon) LeaderAddress() string {
	if d.isConfirmedLeader.Load() {
		return d.settings.PeerAddress
	}
	d.directory.mu.Lock()
	defer d.directory.mu.Unlock()
	return d.directory.leader
}

// Replicas returns the peer addresses of all members of the control group.
func (d *Daemon) Replicas() []string {
	var addresses []string
	for _, m := range d.groupMembers.Load().([]tbconsensus.Member) {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// AskLeader sends a request to the leader and retries until a leader answers or ctx is done. While
// the leader is unknown, it tries the replicas of the directory in turn. Without a conclusive
// answer it returns ErrNotAccepted or ErrUnconfirmed.
//
// A request may be sent more than once. If one try was unconfirmed and a later try is refused, the
// leader may nevertheless have processed the earlier try. AskLeader then returns the refusal with
// ErrUnconfirmed.
func (d *Daemon) AskLeader(ctx context.Context, req tbcontrol.LeaderRequest) (tbcontrol.Answer, error) {
	start := time.Now()
	unconfirmed := false
	var encoded []byte
	for ctx.Err() == nil {
		answer, outcome := d.askOnce(ctx, req, &encoded)
		switch {
		case outcome == askAnswered && answer.Code == tbcontrol.Unconfirmed, outcome == askUnconfirmed:
			unconfirmed = true
		case outcome == askAnswered && unconfirmed && isRefusal(answer.Code):
			return answer, ErrUnconfirmed
		case outcome == askAnswered:
			d.lastAnswerAt.Store(time.Now().UnixNano())
			if answer.Code != tbcontrol.NotReady {
				d.intake.SetRequestLimits(answer.Limits.MaxHeadBytes, answer.Limits.MaxBodyBytes)
			}
			d.counters.histograms.observe(latencyAsk, time.Since(start))
			d.counters.add("answers." + answer.Code.String())
			return answer, nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(askRetryInterval):
		}
	}
	if unconfirmed {
		d.counters.add("answers.lost")
		return tbcontrol.Answer{}, ErrUnconfirmed
	}
	d.counters.add("answers.notAsked")
	return tbcontrol.Answer{}, ErrNotAccepted
}

// isRefusal reports whether an answer refuses a request. ReportIgnored is no refusal: after this answer
// to a report, it does not matter whether an earlier try of the same report was processed.
func isRefusal(c tbcontrol.AnswerCode) bool {
	return c != tbcontrol.Done && c != tbcontrol.ReportIgnored
}

type askOutcome uint8

const (
	askAnswered askOutcome = iota
	askNotAccepted
	askUnconfirmed
)

func (d *Daemon) askOnce(ctx context.Context, req tbcontrol.LeaderRequest, encoded *[]byte) (tbcontrol.Answer, askOutcome) {
	ctx, cancel := context.WithTimeout(ctx, askTryTimeout)
	defer cancel()
	if d.isConfirmedLeader.Load() {
		return d.askLocalControl(ctx, req)
	}
	address := d.directory.pick()
	if address == "" || address == d.settings.PeerAddress {
		// After this replica has lost its disk and its leadership, other replicas may still name this
		// replica as the leader. The leader is then marked as unknown, so that later tries use other
		// addresses.
		d.directory.clearLeader(address)
		return tbcontrol.Answer{}, askNotAccepted
	}
	if *encoded == nil {
		*encoded = tbflowcodec.EncodeLeaderRequest(req)
	}
	m, err := d.peers.Ask(ctx, address, askTryTimeout, &pb.AskRequest{Question: *encoded})
	var notSent *tbpeer.NotSentError
	var tooLarge *tbpeer.TooLargeError
	switch {
	case errors.As(err, &tooLarge):
		return tbcontrol.Answer{Code: tbcontrol.TooLarge}, askAnswered
	case errors.As(err, &notSent):
		d.directory.clearLeader(address)
		return tbcontrol.Answer{}, askNotAccepted
	case err != nil:
		d.counters.add("ask.lost")
		d.directory.clearLeader(address)
		return tbcontrol.Answer{}, askUnconfirmed
	}
	d.directory.update(m.GetLeader(), m.GetReplicas())
	if m.GetNotLeader() {
		return tbcontrol.Answer{}, askNotAccepted
	}
	answer, err := tbflowcodec.DecodeAnswer(m.GetAnswer())
	if err != nil {
		d.log.Error("cannot decode the leader's answer", "leader", address, "error", err)
		return tbcontrol.Answer{}, askUnconfirmed
	}
	return answer, askAnswered
}

func (d *Daemon) askLocalControl(ctx context.Context, req tbcontrol.LeaderRequest) (tbcontrol.Answer, askOutcome) {
	a, _, err := queueAndWait[tbcontrol.AnswerLeaderRequest](d, ctx, func(id uint64) tbnode.Event {
		return tbnode.Event{Control: tbcontrol.LeaderRequestArrived{Request: id, LeaderRequest: req}}
	})
	switch {
	case err != nil:
		return tbcontrol.Answer{}, askUnconfirmed
	case a.NotLeader:
		return tbcontrol.Answer{}, askNotAccepted
	}
	return a.Answer, askAnswered
}

// Ask answers a request to the leader. A replica that is not the leader sets NotLeader and returns
// the leader's address, or an empty string if the leader is unknown.
func (h *peerHandler) Ask(ctx context.Context, m *pb.AskRequest) (*pb.AskResponse, error) {
	if h.d.node.Control == nil {
		return nil, errNoControl
	}
	req, err := tbflowcodec.DecodeLeaderRequest(m.GetQuestion())
	if err != nil {
		return nil, merry.Prepend(err, "cannot decode a peer's request to the leader")
	}
	a, _, err := queueAndWait[tbcontrol.AnswerLeaderRequest](h.d, ctx, func(id uint64) tbnode.Event {
		return tbnode.Event{Control: tbcontrol.LeaderRequestArrived{Request: id, LeaderRequest: req}}
	})
	if err != nil {
		return nil, err
	}
	r := &pb.AskResponse{NotLeader: a.NotLeader, Leader: h.d.addressOf(a.Leader), Replicas: h.d.Replicas()}
	if !a.NotLeader {
		r.Answer = tbflowcodec.EncodeAnswer(a.Answer)
	}
	return r, nil
}

// Timing of the check whether the leader is reachable.
const (
	// maxAnswerAge is the age below which the last answer proves that the leader is reachable.
	maxAnswerAge = time.Second
	// reachableTimeout is the timeout of the request that is sent if the last answer is older.
	reachableTimeout = 600 * time.Millisecond
)

// IsLeaderReachable reports whether a leader answers requests. It sends a request only if the last
// answer is at least maxAnswerAge old.
func (d *Daemon) IsLeaderReachable() bool {
	if time.Now().UnixNano()-d.lastAnswerAt.Load() < int64(maxAnswerAge) {
		return true
	}
	ctx, cancel := context.WithTimeout(d.ctx, reachableTimeout)
	defer cancel()
	// QueueLengthRequested changes nothing; any other request without changes would do as well.
	_, err := d.AskLeader(ctx, tbcontrol.QueueLengthRequested{})
	return err == nil
}

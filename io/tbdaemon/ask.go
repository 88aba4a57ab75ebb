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

// Times of questions to the leader of the control group.
const (
	// askTryWithin bounds one try; a commit on slow disks takes a few hundred milliseconds.
	askTryWithin = 1200 * time.Millisecond
	// askPause is the pause after each round of tries without a leader.
	askPause = 60 * time.Millisecond
)

// Errors of a question that got no answer.
var (
	// ErrNotAsked means that no leader took the question; it has no effect.
	ErrNotAsked = errors.New("no leader took the question")
	// ErrUnsure means that the question may take effect.
	ErrUnsure = errors.New("the leader's answer was lost")
)

// directory remembers the control instances and which of them leads.
type directory struct {
	mu     sync.Mutex
	leader string
	known  []string
	next   int
}

// seed adds addresses; those known before are kept.
func (d *directory) seed(addresses []string) {
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
	for _, known := range d.known {
		if known == address {
			return
		}
	}
	d.known = append(d.known, address)
}

// pick returns the leader, or else the next known address.
func (d *directory) pick() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader != "" {
		return d.leader
	}
	if len(d.known) == 0 {
		return ""
	}
	d.next = (d.next + 1) % len(d.known)
	return d.known[d.next]
}

// learn takes what an instance said of the group.
func (d *directory) learn(leader string, replicas []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leader = leader
	for _, a := range replicas {
		d.addLocked(a)
	}
}

// forget drops an address as leader that did not answer.
func (d *directory) forget(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader == address {
		d.leader = ""
	}
}

// LeaderAddress returns the peer address of the known leader, or empty.
func (d *Daemon) LeaderAddress() string {
	if d.leads.Load() {
		return d.settings.PeerAddress
	}
	d.directory.mu.Lock()
	defer d.directory.mu.Unlock()
	return d.directory.leader
}

// Replicas returns the peer addresses of all members of the control group.
func (d *Daemon) Replicas() []string {
	var addresses []string
	for _, m := range d.members.Load().([]tbconsensus.Member) {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// Ask asks the leader and goes on asking others until one answers or ctx ends.
//
// All questions may be asked twice. Once a try may have reached a leader without an
// answer, only a positive answer counts: a later refusal says nothing of that try.
func (d *Daemon) Ask(ctx context.Context, q tbcontrol.Question) (tbcontrol.Answer, error) {
	began := time.Now()
	unsure := false
	var encoded []byte
	for ctx.Err() == nil {
		answer, outcome := d.askOnce(ctx, q, &encoded)
		switch {
		case outcome == askAnswered && answer.Code == tbcontrol.Unconfirmed, outcome == askLost:
			unsure = true
		case outcome == askAnswered && unsure && refuses(answer.Code):
			return answer, ErrUnsure
		case outcome == askAnswered:
			d.lastAnswer.Store(time.Now().UnixNano())
			d.counters.histograms.observe(latencyAsk, time.Since(began))
			d.counters.add("answers." + answer.Code.String())
			return answer, nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(askPause):
		}
	}
	if unsure {
		d.counters.add("answers.lost")
		return tbcontrol.Answer{}, ErrUnsure
	}
	d.counters.add("answers.notAsked")
	return tbcontrol.Answer{}, ErrNotAsked
}

func refuses(c tbcontrol.Code) bool { return c != tbcontrol.Done && c != tbcontrol.Outdated }

type askOutcome uint8

const (
	askAnswered askOutcome = iota
	askNotTaken
	askLost
)

func (d *Daemon) askOnce(ctx context.Context, q tbcontrol.Question, encoded *[]byte) (tbcontrol.Answer, askOutcome) {
	ctx, cancel := context.WithTimeout(ctx, askTryWithin)
	defer cancel()
	if d.leads.Load() {
		return d.askSelf(ctx, q)
	}
	address := d.directory.pick()
	if address == "" || address == d.settings.PeerAddress {
		// A replica that lost its disk may be told that it leads, as it did before.
		d.directory.forget(address)
		return tbcontrol.Answer{}, askNotTaken
	}
	if *encoded == nil {
		*encoded = tbflowcodec.EncodeQuestion(q)
	}
	m, err := d.peers.Ask(ctx, address, askTryWithin, &pb.AskRequest{Question: *encoded})
	var notSent *tbpeer.NotSentError
	switch {
	case errors.As(err, &notSent):
		d.directory.forget(address)
		return tbcontrol.Answer{}, askNotTaken
	case err != nil:
		d.counters.add("ask.lost")
		d.directory.forget(address)
		return tbcontrol.Answer{}, askLost
	}
	d.directory.learn(m.GetLeader(), m.GetReplicas())
	if m.GetNotLeader() {
		return tbcontrol.Answer{}, askNotTaken
	}
	answer, err := tbflowcodec.DecodeAnswer(m.GetAnswer())
	if err != nil {
		d.log.Error("answer of the leader cannot be read", "leader", address, "error", err)
		return tbcontrol.Answer{}, askLost
	}
	return answer, askAnswered
}

func (d *Daemon) askSelf(ctx context.Context, q tbcontrol.Question) (tbcontrol.Answer, askOutcome) {
	a, _, err := ask[tbcontrol.AnswerQuestion](d, ctx, func(id uint64) tbnode.Event {
		return tbnode.Event{Control: tbcontrol.QuestionArrived{Request: id, Question: q}}
	})
	switch {
	case err != nil:
		return tbcontrol.Answer{}, askLost
	case a.NotLeader:
		return tbcontrol.Answer{}, askNotTaken
	}
	return a.Answer, askAnswered
}

// Ask answers another process, if this replica leads.
func (h *peerHandler) Ask(ctx context.Context, m *pb.AskRequest) (*pb.AskResponse, error) {
	if h.d.node.Control == nil {
		return nil, errNoControl
	}
	q, err := tbflowcodec.DecodeQuestion(m.GetQuestion())
	if err != nil {
		return nil, merry.Prepend(err, "question of a peer")
	}
	a, _, err := ask[tbcontrol.AnswerQuestion](h.d, ctx, func(id uint64) tbnode.Event {
		return tbnode.Event{Control: tbcontrol.QuestionArrived{Request: id, Question: q}}
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

// Times of the check whether the leader can be reached.
const (
	// answerFresh is the age up to which the last answer proves that the leader can be reached.
	answerFresh = time.Second
	// reachWithin bounds the question asked otherwise.
	reachWithin = 600 * time.Millisecond
)

// Reachable reports whether a leader answers; it asks where none did lately.
func (d *Daemon) Reachable() bool {
	if time.Now().UnixNano()-d.lastAnswer.Load() < int64(answerFresh) {
		return true
	}
	ctx, cancel := context.WithTimeout(d.ctx, reachWithin)
	defer cancel()
	_, err := d.Ask(ctx, tbcontrol.QueueLengthRequested{})
	return err == nil
}

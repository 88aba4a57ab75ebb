package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"tamarackbarrow/io/tblaunch"
	pb "tamarackbarrow/io/tbproto/v1"
)

// jobInput submits a content under an id, or asks for the id when content is 0.
type jobInput struct {
	id      int
	content int
}

// jobOutput is what was answered; undecided operations may have taken effect at any later time.
type jobOutput struct {
	undecided bool
	accepted  bool
	known     bool
}

// jobModel is one register for each id that is written once; its state is the content, 0 for none.
var jobModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byID := map[int][]porcupine.Operation{}
		for _, op := range history {
			id := op.Input.(jobInput).id
			byID[id] = append(byID[id], op)
		}
		var parts [][]porcupine.Operation
		for _, ops := range byID {
			parts = append(parts, ops)
		}
		return parts
	},
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		have, in, out := state.(int), input.(jobInput), output.(jobOutput)
		if in.content == 0 {
			return out.undecided || out.known == (have != 0), have
		}
		accepts := have == 0 || have == in.content
		if have == 0 {
			have = in.content
		}
		return out.undecided || out.accepted == accepts, have
	},
}

const (
	historyClients = 6
	historyLength  = 12 * time.Second
	historyIDs     = 40
)

// history records operations of many clients at all instances.
type history struct {
	mu    sync.Mutex
	began time.Time
	ops   []porcupine.Operation
}

func (h *history) add(client int, in jobInput, call time.Duration, out jobOutput) {
	end := time.Since(h.began)
	if out.undecided && in.content != 0 {
		end = time.Hour
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client, Input: in, Call: int64(call), Output: out, Return: int64(end),
	})
}

func (h *history) run(ctx context.Context, client int, instances []*tblaunch.Instance) {
	rng := rand.New(rand.NewPCG(20261204, uint64(client)))
	for k := 0; time.Since(h.began) < historyLength; k++ {
		// Ids move on with time, so that first submissions meet every fault.
		window := int(time.Since(h.began) / (historyLength / historyIDs))
		in := jobInput{id: window + rng.IntN(3), content: rng.IntN(3)}
		call := time.Since(h.began)
		h.add(client, in, call, perform(ctx, instances[rng.IntN(len(instances))], in))
	}
}

func perform(ctx context.Context, at *tblaunch.Instance, in jobInput) jobOutput {
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	id := fmt.Sprint("job-", in.id)
	if in.content == 0 {
		answer, err := jobsAt(at).Status(ctx, connect.NewRequest(&pb.JobStatusRequest{Ids: []string{id}}))
		if err != nil {
			return jobOutput{undecided: true}
		}
		return jobOutput{known: answer.Msg.GetJobs()[0].GetPhase() != "unknown"}
	}
	spec := &pb.JobSpec{Id: id, Kind: "plan", Team: "team", Payload: fmt.Append(nil, in.content)}
	answer, err := jobsAt(at).Submit(ctx, connect.NewRequest(&pb.SubmitRequest{Jobs: []*pb.JobSpec{spec}}))
	if err != nil {
		return jobOutput{undecided: true}
	}
	return jobOutput{accepted: answer.Msg.GetResults()[0].GetReason() == ""}
}

func TestHistoryIsLinearizableUnderKillsAndPartitions(t *testing.T) {
	c, ctx := startCluster(t, 5, "snapshotEvery = 60", true)
	h := &history{began: time.Now()}
	var group sync.WaitGroup
	for client := range historyClients {
		group.Add(1)
		go func() {
			defer group.Done()
			h.run(ctx, client, c.Instances)
		}()
	}
	for i := range 3 {
		victim, cut := c.Instances[i], c.Instances[(i+1)%3]
		part(c, cut, true)
		time.Sleep(historyLength / 12)
		part(c, cut, false)
		qt.Check(t, victim.Kill(), qt.IsNil)
		time.Sleep(historyLength / 12)
		qt.Check(t, victim.Start(), qt.IsNil)
		time.Sleep(historyLength / 12)
	}
	group.Wait()
	decided := 0
	for _, op := range h.ops {
		if !op.Output.(jobOutput).undecided {
			decided++
		}
	}
	t.Logf("%d operations, %d decided", len(h.ops), decided)
	qt.Assert(t, decided > 200, qt.IsTrue)
	qt.Check(t, porcupine.CheckOperationsTimeout(jobModel, h.ops, time.Minute), qt.Equals, porcupine.Ok)
}

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

// jobRequest is a submission of a content under an id, or a query of the id if content is 0.
type jobRequest struct {
	id      int
	content int
}

// jobResult is the answer to a jobRequest.
type jobResult struct {
	// unconfirmed is true if the request had no answer. An unconfirmed submission may be executed at
	// any later time.
	unconfirmed bool
	// accepted is true if a submission was accepted.
	accepted bool
	// known is true if a query found the job.
	known bool
}

// jobModel models each id as a register that can be written once. The state of a register is the
// content, or 0 if none was submitted.
var jobModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byID := map[int][]porcupine.Operation{}
		for _, op := range history {
			id := op.Input.(jobRequest).id
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
		stored, in, out := state.(int), input.(jobRequest), output.(jobResult)
		if in.content == 0 {
			return out.unconfirmed || out.known == (stored != 0), stored
		}
		accepts := stored == 0 || stored == in.content
		if stored == 0 {
			stored = in.content
		}
		return out.unconfirmed || out.accepted == accepts, stored
	},
}

const (
	historyClientCount = 6
	historyDuration    = 12 * time.Second
	historyIDCount     = 40
)

// history records the operations of all clients.
type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

func (h *history) record(client int, in jobRequest, sentAt time.Duration, out jobResult) {
	end := time.Since(h.start)
	if out.unconfirmed && in.content != 0 {
		// The submission may still be executed, so the operation ends after the whole history.
		end = time.Hour
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client, Input: in, Call: int64(sentAt), Output: out, Return: int64(end),
	})
}

func (h *history) runClient(ctx context.Context, client int, instances []*tblaunch.Instance) {
	rng := rand.New(rand.NewPCG(20261204, uint64(client)))
	for n := 0; time.Since(h.start) < historyDuration; n++ {
		// Clients choose among three ids. The lowest of them grows with time, so that during every
		// fault some ids are submitted for the first time.
		lowestID := int(time.Since(h.start) / (historyDuration / historyIDCount))
		in := jobRequest{id: lowestID + rng.IntN(3), content: rng.IntN(3)}
		sentAt := time.Since(h.start)
		h.record(client, in, sentAt, executeRequest(ctx, instances[rng.IntN(len(instances))], in))
	}
}

func executeRequest(ctx context.Context, at *tblaunch.Instance, in jobRequest) jobResult {
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	id := fmt.Sprint("job-", in.id)
	if in.content == 0 {
		answer, err := jobClient(at).Status(ctx, connect.NewRequest(&pb.JobStatusRequest{Ids: []string{id}}))
		if err != nil {
			return jobResult{unconfirmed: true}
		}
		return jobResult{known: answer.Msg.GetJobs()[0].GetPhase() != "unknown"}
	}
	spec := &pb.JobSpec{Id: id, Kind: "plan", Team: "team", Payload: fmt.Append(nil, in.content)}
	answer, err := jobClient(at).Submit(ctx, connect.NewRequest(&pb.SubmitRequest{Jobs: []*pb.JobSpec{spec}}))
	if err != nil {
		return jobResult{unconfirmed: true}
	}
	return jobResult{accepted: answer.Msg.GetResults()[0].GetReason() == ""}
}

func TestHistoryIsLinearizableUnderKillsAndPartitions(t *testing.T) {
	c, ctx := startCluster(t, 5, "snapshotEvery = 60", true)
	h := &history{start: time.Now()}
	var wg sync.WaitGroup
	for client := range historyClientCount {
		wg.Add(1)
		go func() {
			defer wg.Done()
			h.runClient(ctx, client, c.Instances)
		}()
	}
	for i := range 3 {
		killed, isolated := c.Instances[i], c.Instances[(i+1)%3]
		setPartition(c, isolated, true)
		time.Sleep(historyDuration / 12)
		setPartition(c, isolated, false)
		qt.Check(t, killed.Kill(), qt.IsNil)
		time.Sleep(historyDuration / 12)
		qt.Check(t, killed.Start(), qt.IsNil)
		time.Sleep(historyDuration / 12)
	}
	wg.Wait()
	confirmedCount := 0
	for _, op := range h.ops {
		if !op.Output.(jobResult).unconfirmed {
			confirmedCount++
		}
	}
	t.Logf("%d operations, %d confirmed", len(h.ops), confirmedCount)
	qt.Assert(t, confirmedCount > 200, qt.IsTrue)
	qt.Check(t, porcupine.CheckOperationsTimeout(jobModel, h.ops, time.Minute), qt.Equals, porcupine.Ok)
}

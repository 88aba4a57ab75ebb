package tbcontrol_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbflow"
)

// askAll sends requests to the leader at the same moment and returns its answers after a while.
func (g *simulatedGroup) askAll(requests []tbcontrol.LeaderRequest, wait time.Duration) []tbcontrol.AnswerLeaderRequest {
	r := g.leader()
	qt.Assert(g.t, r, qt.IsNotNil)
	first := g.lastRequest + 1
	events := make([]tbcontrol.Event, len(requests))
	for i, q := range requests {
		g.lastRequest++
		events[i] = tbcontrol.LeaderRequestArrived{Request: g.lastRequest, LeaderRequest: q}
	}
	g.stepAll(r, events)
	g.advance(wait)
	var answers []tbcontrol.AnswerLeaderRequest
	for i := range requests {
		a, ok := r.answerByRequest[first+uint64(i)]
		qt.Check(g.t, ok, qt.IsTrue, qt.Commentf("request %d of %d has no answer", i, len(requests)))
		answers = append(answers, a)
	}
	return answers
}

func largeConfig(version uint64, size int) tbcontrol.ConfigPutRequested {
	return tbcontrol.ConfigPutRequested{Config: tbflow.Config{
		Version: version, Source: bytes.Repeat([]byte("x"), size), Queues: []tbflow.Queue{testQueue}, Classes: []tbflow.WorkerClass{{Name: "c"}},
	}}
}

func largeJob(id string, size int) tbcontrol.SubmitRequested {
	job := tbflow.Job{ID: id}
	for range 20 {
		job.Steps = append(job.Steps, tbflow.Step{Count: 1, Estimate: time.Second, Image: strings.Repeat("x", size/20)})
	}
	return tbcontrol.SubmitRequested{Submit: tbflow.Submit{Host: "h", Path: "/q/" + id, Job: job}}
}

// Guards against log entries that no replica can receive: several large changes became one entry, which was
// sent again and again, and nothing else was committed any more.
func TestLargeCommandsAtTheSameMomentAreCommitted(t *testing.T) {
	jobs, configs := make([]tbcontrol.LeaderRequest, 20), make([]tbcontrol.LeaderRequest, 8)
	for i := range jobs {
		jobs[i] = largeJob(fmt.Sprintf("j%d", i), 250_000)
	}
	for i := range configs {
		configs[i] = largeConfig(uint64(i+3), 2_400_000)
	}
	for name, requests := range map[string][]tbcontrol.LeaderRequest{"jobs": jobs, "configurations": configs} {
		t.Run(name, func(t *testing.T) {
			g := newFullGroup(t)
			qt.Assert(t, g.ask(largeConfig(2, 10)).Answer.Code, qt.Equals, tbcontrol.Done)
			for _, a := range g.askAll(requests, 5*time.Second) {
				qt.Check(t, a.Answer.Code, qt.Equals, tbcontrol.Done)
			}
			qt.Check(t, g.ask(largeJob("last", 1000)).Answer.Code, qt.Equals, tbcontrol.Done)
		})
	}
}

// Guards against a command that is accepted although no replica can receive it.
func TestCommandLargerThanAMessageIsRefused(t *testing.T) {
	g := newFullGroup(t)
	qt.Check(t, g.ask(largeConfig(2, maxMessageBytes)).Answer.Code, qt.Equals, tbcontrol.TooLarge)
	qt.Check(t, g.ask(largeConfig(2, 10)).Answer.Code, qt.Equals, tbcontrol.Done)
	qt.Check(t, g.ask(largeJob("j", 4*maxMessageBytes)).Answer.Code, qt.Equals, tbcontrol.Overloaded)
	qt.Check(t, g.ask(largeJob("j", 1000)).Answer.Code, qt.Equals, tbcontrol.Done)
}

// Guards against commands that wait in an unlimited number of bytes: a leader that has too many refuses
// further ones.
func TestWaitingCommandsAreBoundedInBytes(t *testing.T) {
	g := newFullGroup(t)
	requests := make([]tbcontrol.LeaderRequest, 40)
	for i := range requests {
		requests[i] = largeConfig(uint64(i+2), 2_000_000)
	}
	refused := 0
	for i, a := range g.askAll(requests, 5*time.Second) {
		if a.Answer.Code == tbcontrol.NotReady {
			refused++
			continue
		}
		qt.Check(t, a.Answer.Code, qt.Equals, tbcontrol.Done, qt.Commentf("request %d", i))
	}
	qt.Check(t, refused > 0 && refused < len(requests), qt.IsTrue, qt.Commentf("%d of %d refused", refused, len(requests)))
}

// Guards against disks that fill up because the log was compacted by the number of entries alone.
func TestLogIsCompactedByBytes(t *testing.T) {
	g := newFullGroup(t)
	const configBytes = 600_000
	for version := uint64(2); version < 30; version++ {
		qt.Assert(t, g.ask(largeConfig(version, configBytes)).Answer.Code, qt.Equals, tbcontrol.Done)
		for _, r := range g.replicas {
			size := 0
			for _, e := range r.disk.persisted.Entries {
				size += len(e.Data)
			}
			qt.Assert(t, size <= snapshotBytes+2*configBytes, qt.IsTrue, qt.Commentf("replica %d has %d bytes of log", r.id, size))
		}
	}
	g.advance(time.Second)
	for _, r := range g.replicas {
		g.start(r.id, r.address, r.disk)
	}
	g.advance(3 * time.Second)
	qt.Check(t, g.leader().control.State().Flow.Config.Version, qt.Equals, uint64(29))
}

// Guards against states that no snapshot can hold. The refusal ends when ended jobs have expired, also if
// nothing else is committed in the meantime.
func TestStoredJobsAreBoundedInBytes(t *testing.T) {
	g := newFullGroup(t)
	qt.Assert(t, g.ask(largeConfig(2, 10)).Answer.Code, qt.Equals, tbcontrol.Done)
	n := 0
	var refusal tbcontrol.Answer
	for ; refusal.Code == tbcontrol.Done && n < 100; n++ {
		refusal = g.ask(largeJob(fmt.Sprintf("j%d", n), 250_000)).Answer
	}
	qt.Check(t, refusal.Code, qt.Equals, tbcontrol.Overloaded)
	qt.Check(t, (n+1)*250_000 > maxJobBytes, qt.IsTrue, qt.Commentf("job %d is refused", n))
	// A repeated submission of a stored job is no further job.
	qt.Check(t, g.ask(largeJob("j0", 250_000)).Answer.Code, qt.Equals, tbcontrol.Done)
	for i := range n {
		id := fmt.Sprintf("j%d", i)
		g.ask(tbcontrol.CancelRequested{Cancel: tbflow.Cancel{ID: id, Host: "h", Path: "/q/" + id}})
	}
	refusal = g.ask(largeJob("next", 250_000)).Answer
	qt.Check(t, refusal.Code, qt.Equals, tbcontrol.Overloaded)
	qt.Check(t, refusal.RetryAfter > 0 && refusal.RetryAfter <= tbflow.EndedRetention, qt.IsTrue, qt.Commentf("%v", refusal.RetryAfter))
	g.advance(refusal.RetryAfter + 10*time.Second)
	qt.Check(t, g.ask(largeJob("next", 250_000)).Answer.Code, qt.Equals, tbcontrol.Done)
}

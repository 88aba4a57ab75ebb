package tbcontrol_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbflow"
)

// Right after a configuration and a job are acknowledged, two of the three replicas that hold them lose their
// disks, and all others lose power at the same moment. Two of these had not received the last entries. What
// was acknowledged is on a single disk, and must be there once the group is back.
func TestAcknowledgedChangesSurviveLostDisksWithPowerLostEverywhere(t *testing.T) {
	for lagging := range groupSize {
		g := newFullGroup(t)
		leader := g.leader()
		var behind, holders []*replica
		for i := range g.replicas {
			r := g.replicas[(i+lagging)%groupSize]
			switch {
			case r == leader:
			case len(behind) < 2:
				r.isolated = true
				behind = append(behind, r)
			default:
				holders = append(holders, r)
			}
		}
		queue := tbflow.Queue{Name: "q", Key: tbflow.QueueKey{Host: "h", Prefix: "/q/"}, WorkerClass: "c", MaxFailures: 2}
		config := tbflow.Config{Version: 2, Source: []byte("second"), Queues: []tbflow.Queue{queue}}
		qt.Assert(t, g.ask(tbcontrol.ConfigPutRequested{Config: config}).Answer.Code, qt.Equals, tbcontrol.Done)
		job := tbflow.Job{ID: "j", Steps: []tbflow.Step{{Count: 1}}}
		submit := tbflow.Submit{Host: "h", Path: "/q/j", Job: job}
		qt.Assert(t, g.ask(tbcontrol.SubmitRequested{Submit: submit}).Answer.Code, qt.Equals, tbcontrol.Done)

		wiped := []*replica{leader, holders[0]}
		g.undeliveredMessages = nil
		for _, r := range append(behind, holders[1]) {
			g.start(r.id, r.address, r.disk)
		}
		for i, r := range wiped {
			g.start(tbconsensus.ReplicaID(200+i), r.address, &disk{joinsGroup: true})
		}
		g.advance(5 * time.Second)
		for i, r := range wiped {
			g.ask(tbcontrol.JoinRequested{Replica: tbconsensus.ReplicaID(200 + i), Address: r.address})
		}
		g.advance(3 * time.Second)
		qt.Check(t, string(g.ask(tbcontrol.ConfigReadRequested{}).Answer.Source), qt.Equals, "second")
		state := g.ask(tbcontrol.JobStateRequested{ID: "j", Host: "h", Path: "/q/j"})
		qt.Check(t, state.Answer.Code, qt.Equals, tbcontrol.Done)
		qt.Check(t, g.voterCount(), qt.Equals, groupSize)
	}
}

// What is known of crashes is as durable as jobs are: it survives the loss of two disks with power lost
// everywhere.
func TestCrashesSurviveLostDisksWithPowerLostEverywhere(t *testing.T) {
	sim := newCrashSimulation(t, 7, 12)
	ref := sim.submitDeadly("deadly", tbflow.Step{Count: 1, Estimate: time.Second})
	for len(sim.flow().Crashes[ref]) < 2 {
		sim.run(100 * time.Millisecond)
	}
	leader := sim.leader()
	wiped := map[*replica]bool{leader: true}
	for _, r := range sim.replicas {
		if len(wiped) < 2 {
			wiped[r] = true
		}
	}
	sim.undeliveredMessages = nil
	nextID := tbconsensus.ReplicaID(300)
	for _, r := range append([]*replica(nil), sim.replicas...) {
		if wiped[r] {
			nextID++
			sim.simulatedGroup.start(nextID, r.address, &disk{joinsGroup: true})
			continue
		}
		sim.simulatedGroup.start(r.id, r.address, r.disk)
	}
	sim.run(3 * time.Second)
	qt.Check(t, len(sim.flow().Crashes[ref]) >= 2, qt.IsTrue)
	for n := 0; n < 20 && !sim.flow().Jobs["deadly"].Phase.Ended(); n++ {
		sim.run(time.Second)
	}
	h := sim.history(ref)
	qt.Check(t, sim.flow().Jobs["deadly"].Phase, qt.Equals, tbflow.Failed)
	qt.Check(t, h.startsAfterThirdCrash <= maxStartsAfterThirdCrash, qt.IsTrue, qt.Commentf("%d starts after the third crash", h.startsAfterThirdCrash))
}

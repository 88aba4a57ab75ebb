package tbcontrol_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbbundle"
	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbstate"
	"tamarackbarrow/io/tbbundlefile"
	"tamarackbarrow/io/tbcodec"
)

// newRestartedGroup returns a group whose replicas restart with a log in which each entry stores a
// configuration.
func newRestartedGroup(t *testing.T, entryCount int) *simulatedGroup {
	codec := tbcodec.New(func(source []byte) (tbbundle.Bundle, error) { return tbbundlefile.Parse("bundle", source) })
	persisted := tbconsensus.PersistedState{HardState: tbconsensus.HardState{Term: 1}}
	for i := range 3 {
		id := tbconsensus.ReplicaID(i + 1)
		persisted.Initial.Members = append(persisted.Initial.Members, tbconsensus.Member{ID: id, Address: fmt.Sprintf("a%d", id)})
	}
	for i := range entryCount {
		put := tbflow.PutConfig{Config: tbflow.Config{Version: uint64(i + 1), Source: []byte("source")}}
		persisted.Entries = append(persisted.Entries, tbconsensus.Entry{
			Term: 1, Index: uint64(i + 1),
			Data: codec.EncodeBatch(tbstate.Batch{NowMs: int64(i), Commands: []tbstate.Command{tbstate.FlowChange{Command: put}}}),
		})
	}
	g := &simulatedGroup{t: t, now: time.UnixMilli(1_700_000_000_000)}
	for _, m := range persisted.Initial.Members {
		g.start(m.ID, m.Address, &disk{persisted: persisted})
	}
	return g
}

// After a power failure of all replicas, no replica knows how much of the log is committed. The first
// entry of the new term commits the whole log at once. A leader that applied 5,000 entries in one
// step was busy for longer than its election timeout. It then stepped down for lack of replies from a
// quorum, although the replies were waiting to be handled.
func TestLeaderKeepsLeadingWhileItAppliesTheWholeLog(t *testing.T) {
	const entryCount = 5000
	g := newRestartedGroup(t, entryCount)
	g.applyCost = 250 * time.Microsecond
	timeToLeader := time.Duration(0)
	for elapsed := time.Duration(0); elapsed < 6*time.Second; elapsed += 10 * time.Millisecond {
		g.advance(10 * time.Millisecond)
		if timeToLeader == 0 && g.leader() != nil {
			timeToLeader = elapsed
		}
	}
	electionCount := 0
	for _, r := range g.replicas {
		for _, line := range r.logLines {
			if line.Message == "role changes" && line.Args[3] == tbconsensus.Leader.String() {
				electionCount++
			}
		}
	}
	qt.Check(t, electionCount, qt.Equals, 1)
	qt.Check(t, g.leader(), qt.IsNotNil)
	qt.Check(t, g.leader().control.State().Applied, qt.Equals, uint64(entryCount))
	// In the time steps of the test, the election takes up to 1.2 s, and applying the entries takes 2.1 s.
	qt.Check(t, timeToLeader < 4*time.Second, qt.IsTrue, qt.Commentf("first leader after %v", timeToLeader))
}

// After a restart of all replicas, the first leader wrote log lines about every decision in the whole
// replicated log again. One such restart dropped 18,541 lines, some of them about current events.
func TestNewLeaderLogsOnlyTheNewestEarlierEntries(t *testing.T) {
	const entryCount = 1000
	g := newRestartedGroup(t, entryCount)
	g.advance(4 * time.Second)
	leader := g.leader()
	qt.Assert(t, leader, qt.IsNotNil)
	var loggedVersions []any
	for _, line := range leader.logLines {
		if line.Message == "configuration stored" {
			loggedVersions = append(loggedVersions, line.Args[1])
		}
	}
	// 64 is maxReloggedEntries.
	qt.Assert(t, len(loggedVersions) > 0 && len(loggedVersions) <= 64, qt.IsTrue, qt.Commentf("%d decisions logged again", len(loggedVersions)))
	// The last entries may have been in flight when the earlier leader stopped.
	qt.Check(t, loggedVersions[len(loggedVersions)-1], qt.Equals, uint64(entryCount))
}

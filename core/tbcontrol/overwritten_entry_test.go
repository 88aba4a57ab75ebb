package tbcontrol_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbflow"
)

// A leader proposes a change, and a leader of a later term overwrites the entry before it is committed. If the
// deposed leader learns of the new term and of the commit in one message, it must not answer the request with
// the outcome of the other entry.
func TestOverwrittenChangeIsNotAcknowledged(t *testing.T) {
	g := newFullGroup(t)
	leader := g.leader()
	var other *replica
	for _, r := range g.replicas {
		if r != leader {
			other = r
		}
	}
	committed := leader.control.State().Applied
	leader.isolated = true
	g.lastRequest++
	request := g.lastRequest
	g.step(leader, tbcontrol.LeaderRequestArrived{Request: request, LeaderRequest: tbcontrol.ConfigPutRequested{
		Config: tbflow.Config{Version: 2, Source: []byte("lost")},
	}})
	term := leader.control.Replica().Term()
	entries := leader.disk.persisted.Entries
	last := entries[len(entries)-1]
	qt.Assert(t, last.Index > committed, qt.IsTrue)
	lost := last.Data
	overwriting := tbconsensus.Entry{Term: term + 1, Index: last.Index, Data: lost[:0]}
	g.step(leader, tbcontrol.MessagesArrived{Messages: []tbconsensus.Message{{
		Kind: tbconsensus.MsgAppend, From: other.id, To: leader.id, Term: term + 1, LogIndex: last.Index - 1, LogTerm: entries[len(entries)-2].Term,
		Entries: []tbconsensus.Entry{overwriting}, Commit: last.Index,
	}}})
	qt.Assert(t, leader.control.State().Applied, qt.Equals, last.Index)
	qt.Check(t, leader.answerByRequest[request].Answer.Code, qt.Equals, tbcontrol.Unconfirmed)
	qt.Check(t, string(leader.control.State().Flow.Config.Source), qt.Equals, "source")
}

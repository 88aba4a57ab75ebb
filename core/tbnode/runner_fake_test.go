package tbnode_test

import (
	"slices"
	"time"

	"tamarackbarrow/core/tbentry"
	"tamarackbarrow/core/tbnode"
	"tamarackbarrow/core/tbstate"
)

// fakeRunner counts what it runs at once.
type fakeRunner struct {
	id          string
	incarnation uint64
	running     int
	// states holds requests by id: false while one runs, true once it ended or was barred.
	states  map[string]bool
	answers map[string]bool
}

func (w *world) runner(id string) *fakeRunner {
	i := slices.IndexFunc(w.runners, func(r *fakeRunner) bool { return r.id == id })
	return w.runners[i]
}

func (w *world) startRun(e tbentry.StartRun, requestID string, back func(tbentry.Event)) {
	r := w.runner(e.Runner)
	incarnation := r.incarnation
	ended := tbentry.RunEnded{Attempt: e.Attempt, Kind: tbentry.RunLost}
	if w.lost() {
		// The connection is found silent after a while; the request may still arrive.
		w.after(600*time.Millisecond, func() { back(ended) })
		if w.rng.IntN(2) == 0 {
			return
		}
	}
	w.after(w.delay(), func() {
		switch {
		case e.Incarnation != r.incarnation || incarnation != r.incarnation:
			ended.Kind = tbentry.RunNotSent
		case hasKey(r.states, requestID):
			ended.Kind = tbentry.RunRefused
		default:
			w.runOn(r, e, requestID, back)
			return
		}
		w.after(w.delay(), func() { back(ended) })
	})
}

func hasKey(m map[string]bool, key string) bool {
	_, ok := m[key]
	return ok
}

func (w *world) runOn(r *fakeRunner, e tbentry.StartRun, requestID string, back func(tbentry.Event)) {
	incarnation := r.incarnation
	r.states[requestID] = false
	r.running++
	if r.running > runnerSlots {
		w.fail("runner %s runs %d requests in %d slots", r.id, r.running, runnerSlots)
	}
	payload := string(e.Call.Payload)
	w.runs[payload]++
	if e.Call.Key != "" && w.runs[payload] > 1 {
		w.fail("order %q runs %d times", payload, w.runs[payload])
	}
	take := min(e.Within, time.Duration(w.rng.Int64N(int64(300*time.Millisecond))))
	w.after(take, func() {
		if r.incarnation != incarnation {
			return
		}
		r.running--
		r.states[requestID] = true
		r.answers[requestID] = true
		ended := tbentry.RunEnded{Attempt: e.Attempt, Kind: tbentry.RunAnswered}
		if w.lost() {
			ended.Kind = tbentry.RunLost
		}
		w.after(w.delay(), func() { back(ended) })
	})
}

func (w *world) settleRun(e tbentry.SettleRun, requestID string, back func(tbentry.Event)) {
	w.after(e.After+w.delay(), func() {
		settled := tbentry.RunSettled{Attempt: e.Attempt}
		for _, r := range w.runners {
			if r.id == e.Address {
				settled.State, settled.Answered = r.settle(e.Incarnation, requestID)
			}
		}
		if w.lost() {
			settled = tbentry.RunSettled{Attempt: e.Attempt}
		}
		w.after(w.delay(), func() { back(settled) })
	})
}

func (r *fakeRunner) settle(incarnation uint64, requestID string) (tbentry.SettleState, bool) {
	ended, seen := r.states[requestID]
	switch {
	case incarnation != r.incarnation:
		return tbentry.SettledUnknown, false
	case !seen:
		r.states[requestID] = true
		return tbentry.SettledNotRun, false
	case !ended:
		return tbentry.SettledRunning, false
	case r.answers[requestID]:
		return tbentry.SettledEnded, true
	}
	return tbentry.SettledNotRun, false
}

func (w *world) restartRunner(r *fakeRunner) {
	r.incarnation++
	r.running = 0
	r.states, r.answers = map[string]bool{}, map[string]bool{}
}

func (w *world) announceRunner(r *fakeRunner) {
	n := w.nodes[w.rng.IntN(nodeCount)]
	if n.up && !n.isolated {
		n.step(n.generation, tbnode.Event{Entry: tbentry.RunnerAnnounced{Runner: tbstate.Runner{
			ID: r.id, Incarnation: r.incarnation, Address: r.id, Service: "quotes", Slots: runnerSlots, Phase: tbstate.RunnerPresent,
		}}})
	}
	w.after(300*time.Millisecond, func() { w.announceRunner(r) })
}

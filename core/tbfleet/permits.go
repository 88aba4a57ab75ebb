package tbfleet

import "time"

// maxUnheardLooks bounds the looks under way at workers that this leader does not hear.
//
// A new leader hears none of them: 3,000 looks at once, each on a new connection, kept a
// replica busy until all had timed out, and it sent them again. A worker that does not
// answer takes a place for the timeout of a look.
const maxUnheardLooks = 256

// lookID names the life that a look is for.
type lookID struct {
	worker string
	born   int64
}

// unheard reports whether the worker has answered no look yet, or not the last one.
func (w *Worker) unheard() bool { return !w.adopted || w.Silent }

// takePlace reports whether a look may be sent now; half of the places are kept for workers
// that run something, whose leases end.
func (f *Fleet) takePlace(w *Worker) bool {
	if !w.unheard() {
		return true
	}
	if len(f.unheard) >= w.places() {
		return false
	}
	f.unheard[lookID{w.ID, w.Born}] = true
	return true
}

// places is how many of the places the worker may have a part in.
func (w *Worker) places() int {
	if len(w.runs) == 0 {
		return maxUnheardLooks / 2
	}
	return maxUnheardLooks
}

// freePlace ends a look and gives its place to the next workers in turn.
func (f *Fleet) freePlace(now time.Time, a LookAnswered) {
	id := lookID{a.Worker, a.Born}
	if !f.unheard[id] {
		return
	}
	delete(f.unheard, id)
	for i, from := 1, f.turn; i <= len(f.ordered) && len(f.unheard) < maxUnheardLooks; i++ {
		at := (from + i) % len(f.ordered)
		w, before := f.ordered[at], len(f.unheard)
		if !w.unheard() || w.looking || before >= w.places() {
			continue
		}
		if f.tend(now, w); len(f.unheard) > before {
			f.turn = at
		}
	}
}

package tbflow

import "time"

// No run starts in a data centre that operators have evacuated, until they take it back. Runs that execute there
// go on.
//
// An order to start or to stop an evacuation names no version, so a late copy of it looks like a new order. An
// operator sends an order again, to any replica, until it is acknowledged, and the next order of a data centre only
// after that. A copy can therefore come after the next order was obeyed:
//
//	start  -> obeyed, its acknowledgement is lost
//	start  (sent again) -> acknowledged
//	stop   -> acknowledged
//	start  (a copy, delayed on its way)
//
// An order that would undo the last one may be such a copy for as long as orders of its kind are sent again. Until
// then it is in doubt: it has no effect, and gets no acknowledgement. The sender of a copy gives up, and that of a new
// order sends it again until it is obeyed.

// OrderResendTime is the time after the last obeyed order to start or to stop an evacuation in which copies of the
// order may arrive. Operators send an order again for at most that long.
const OrderResendTime = 5 * time.Second

// maxDataCentres bounds the data centres that the state remembers.
const maxDataCentres = 256

// Evacuation is what the state keeps of the orders to start and to stop the evacuations of a data centre.
type Evacuation struct {
	// Active is true from the start of an evacuation to its stop.
	Active bool
	// SinceMs is the state's time at which Active changed last.
	SinceMs int64
	// StartedMs and StoppedMs are the state's times of the last obeyed orders of each kind, repeated ones included, or
	// 0 if there was none.
	StartedMs int64
	StoppedMs int64
}

// SetEvacuation starts the evacuation of a data centre if Active is true, and stops it if not. It can be repeated.
type SetEvacuation struct {
	DataCentre string
	Active     bool
}

func (SetEvacuation) isCommand() {}

// IsEvacuated reports whether runs must not start in a data centre.
func (s *State) IsEvacuated(dataCentre string) bool { return s.Evacuations[dataCentre].Active }

// EvacuationsChangedMs returns the state's time of the newest start or stop of an evacuation, or 0 if there was none.
func (s *State) EvacuationsChangedMs() int64 {
	changedMs := int64(0)
	for _, e := range s.Evacuations {
		changedMs = max(changedMs, e.SinceMs)
	}
	return changedMs
}

// KnowsDataCentre reports whether a worker was ever recorded in a data centre.
func (s *State) KnowsDataCentre(name string) bool { return s.DataCentres[name] }

func (s *State) addDataCentre(name string) {
	if name != "" && len(s.DataCentres) < maxDataCentres {
		s.DataCentres[name] = true
	}
}

func (s *State) setEvacuation(c SetEvacuation) Reason {
	e := s.Evacuations[c.DataCentre]
	lastMs := &e.StoppedMs
	if c.Active {
		lastMs = &e.StartedMs
	}
	if e.Active != c.Active {
		if *lastMs > 0 && s.NowMs-*lastMs < OrderResendTime.Milliseconds() {
			return OrderInDoubt
		}
		e.Active, e.SinceMs = c.Active, s.NowMs
	}
	*lastMs = s.NowMs
	s.Evacuations[c.DataCentre] = e
	return OK
}

// gangKey identifies the step of an occurrence.
type gangKey struct {
	job              string
	occurrence, step int
}

func gangKeyOf(ref TaskRef) gangKey { return gangKey{ref.Job, ref.Occurrence, ref.Step} }

// evacuatedGangs returns the gangs of which a member would be assigned to a worker in an evacuated data centre. None of
// their members is assigned, because the others could not work without it.
func (s *State) evacuatedGangs(assignments []Assignment) map[gangKey]bool {
	if len(s.Evacuations) == 0 {
		return nil
	}
	var gangs map[gangKey]bool
	for _, a := range assignments {
		if step := s.StepOf(a.Ref); step == nil || !step.Gang || !s.isInEvacuated(a) {
			continue
		}
		if gangs == nil {
			gangs = map[gangKey]bool{}
		}
		gangs[gangKeyOf(a.Ref)] = true
	}
	return gangs
}

// isInEvacuated reports whether the worker of an assignment is recorded in an evacuated data centre.
func (s *State) isInEvacuated(a Assignment) bool {
	w := s.Workers[a.Worker]
	return w != nil && s.IsEvacuated(w.DataCentre)
}

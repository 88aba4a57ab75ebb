package tbflow

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against replicas that differ: which ended jobs are removed depended on the order in which they
// ended, and a replica that has read a snapshot does not know the order within a batch. A job with an
// assigned run kept the others.
func TestEndedJobsAreRemovedInAnyOrder(t *testing.T) {
	s := New()
	s.Apply(1, PutConfig{Config: Config{Version: 1, Queues: []Queue{{Key: QueueKey{Host: "h", Prefix: "/p/"}, MaxFailures: 2}}}})
	for _, id := range []string{"a", "b"} {
		s.Apply(2, Submit{Job: Job{ID: id, Steps: []Step{{Count: 1}}}, Host: "h", Path: "/p/" + id})
	}
	s.Apply(3, Assign{Assignments: []Assignment{{Ref: TaskRef{Job: "a"}, Run: 1, Worker: "w", Incarnation: 9}}})
	s.Apply(4, Cancel{ID: "b", Host: "h", Path: "/p/b"})
	s.Apply(4, Cancel{ID: "a", Host: "h", Path: "/p/a"})
	restored := New()
	restored.NowMs, restored.Config, restored.NextSeq, restored.Workers = s.NowMs, s.Config, s.NextSeq, map[string]*WorkerRecord{"w": {Incarnation: 9}}
	for id, j := range s.Jobs {
		copied := *j
		copied.Tasks = [][][]Task{{{j.Tasks[0][0][0]}}}
		restored.Jobs[id] = &copied
	}
	restored.Rebuild()
	for _, replica := range []*State{s, restored} {
		replica.Apply(5+EndedRetention.Milliseconds(), PutConfig{})
		qt.Check(t, replica.Jobs["a"], qt.IsNotNil)
		qt.Check(t, replica.Jobs["b"], qt.IsNil)
		replica.Apply(6+EndedRetention.Milliseconds(), RecordEnds{Worker: "w", Incarnation: 9, Ends: []End{{Run: 1, Ref: TaskRef{Job: "a"}, Kind: EndStopped}}})
		replica.Apply(7+EndedRetention.Milliseconds(), PutConfig{})
		qt.Check(t, replica.Jobs, qt.HasLen, 0)
	}
}

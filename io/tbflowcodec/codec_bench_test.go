package tbflowcodec

import (
	"fmt"
	"testing"

	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// largeState returns a state of the size that 350 workers reach near the end of a day: 960 jobs with
// 25,000 tasks.
func largeState() *tbflow.State {
	s := tbflow.New()
	s.Config.Version = 1
	for i := range 350 {
		id := fmt.Sprintf("i-%010x", i)
		s.Workers[id] = &tbflow.WorkerRecord{Incarnation: 1764835200123, LastRecordedEnd: 90, Address: "10.128.0.9:8080", Class: "c", Rack: "r1-3", Labels: []string{"a", "r1-3"}}
	}
	for i := range 960 {
		j := &tbflow.Job{
			ID: fmt.Sprintf("%016x", i), Queue: tbflow.QueueKey{Host: "fifi43.example", Prefix: "/wude211/"}, WorkerClass: "c", MaxFailures: 4,
			Spec: "spec", Phase: tbflow.Completed, HasRun: true, SubmittedMs: 1764835200123, EndedMs: 1764835210123, Seq: uint64(i),
		}
		j.Tasks = make([][][]tbflow.Task, 1)
		for k := range 2 {
			j.Steps = append(j.Steps, tbflow.Step{Count: 13, Need: tbresource.Amount{MilliProcessors: 3500, MemoryMB: 512}, Image: "image"})
			tasks := make([]tbflow.Task, 13)
			for n := range tasks {
				tasks[n] = tbflow.Task{Phase: tbflow.TaskDone, Run: 1, Checkpoint: "00000bb87a21d94b", AssignedMs: 1764835200123, WaitingSinceMs: 1764835200100 + int64(k)}
			}
			j.Tasks[0] = append(j.Tasks[0], tasks)
		}
		s.Jobs[j.ID] = j
	}
	s.Rebuild()
	return s
}

func BenchmarkEncodeState(b *testing.B) {
	s := largeState()
	b.ReportAllocs()
	for b.Loop() {
		b.SetBytes(int64(len(EncodeState(s))))
	}
}

// Each iteration encodes and decodes as many commands as a log entry has under high load: one command
// with 25 assignments, and 25 commands that each record one end.
func BenchmarkCommands(b *testing.B) {
	assign := tbflow.Assign{}
	var commands []tbflow.Command
	for i := range 25 {
		ref := tbflow.TaskRef{Job: "5c0e7a21d94b36f8", Step: 1, Index: i}
		assign.Assignments = append(assign.Assignments, tbflow.Assignment{Ref: ref, Run: 1, Worker: "i-44debfbafe", Incarnation: 1764835200123})
		commands = append(commands, tbflow.RecordEnds{Worker: "i-44debfbafe", Incarnation: 1764835200123, LastEnd: 9, Ends: []tbflow.End{{Ref: ref, Run: 1, Kind: tbflow.EndDone}}})
	}
	commands = append(commands, assign)
	b.ReportAllocs()
	for b.Loop() {
		for _, c := range commands {
			if _, err := DecodeCommand(EncodeCommand(c)); err != nil {
				b.Fatal(err)
			}
		}
	}
}

package tbcodec_test

import (
	"testing"

	"tamarackbarrow/core/tbbundle"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
	"tamarackbarrow/core/tbstate"
	"tamarackbarrow/io/tbbundlefile"
	"tamarackbarrow/io/tbcodec"
)

// A committed batch is decoded and applied by each replica, and again after each restart. Whatever its bytes
// are, it must not end the process.
func FuzzBatch(f *testing.F) {
	codec := tbcodec.New(func(source []byte) (tbbundle.Bundle, error) { return tbbundlefile.Parse("bundle", source) })
	amount := tbresource.Amount{MilliProcessors: 1000, MemoryMB: 100}
	key := tbflow.QueueKey{Host: "h", Prefix: "/q/"}
	ref := tbflow.TaskRef{Job: "j"}
	runs := []tbflow.CrashedRun{{Ref: ref, Run: 1, RanMs: 5, AgeMs: 7}}
	flow := []tbflow.Command{
		tbflow.PutConfig{Config: tbflow.Config{Version: 1, Queues: []tbflow.Queue{{Key: key, WorkerClass: "c", MaxFailures: 2}}}},
		tbflow.Submit{Host: "h", Path: "/q/j", Job: tbflow.Job{ID: "j", Steps: []tbflow.Step{{Count: 2, Need: amount}}}},
		tbflow.Assign{Assignments: []tbflow.Assignment{{Ref: ref, Run: 1, Worker: "w", Incarnation: 1}}},
		tbflow.RecordCrash{Worker: "w", Incarnation: 1, Address: "a", Runs: runs},
		tbflow.RecordLost{Worker: "w", Incarnation: 1, Runs: runs},
		tbflow.RecordProven{Runs: []tbflow.RunRef{{Ref: ref, Run: 1}}},
		tbflow.RecordEnds{Worker: "w", Incarnation: 1, LastEnd: 1, Ends: []tbflow.End{{Ref: ref, Run: 1, Kind: tbflow.EndFailed}}},
	}
	var commands []tbstate.Command
	for _, c := range flow {
		commands = append(commands, tbstate.FlowChange{Command: c})
	}
	commands = append(commands,
		tbstate.AnnounceWorker{Worker: tbstate.Worker{ID: "w", Incarnation: 1, Phase: tbstate.WorkerPresent, Capacity: amount}},
		tbstate.SubmitJob{Job: tbstate.Job{ID: "j", Kind: "k", Team: "t"}},
		tbstate.StartTask{Job: "j", Worker: "w", Run: 1},
	)
	f.Add(codec.EncodeBatch(tbstate.Batch{NowMs: 1000, Commands: commands}))
	for _, c := range commands {
		f.Add(codec.EncodeBatch(tbstate.Batch{NowMs: 1000, Commands: []tbstate.Command{c}}))
	}
	state := tbstate.New()
	state.Apply(1, tbstate.Batch{NowMs: 1000, Commands: commands})
	f.Add(codec.EncodeState(state))
	f.Fuzz(func(_ *testing.T, data []byte) {
		if batch, err := codec.DecodeBatch(data); err == nil {
			s := tbstate.New()
			s.Apply(1, tbstate.Batch{NowMs: 1000, Commands: commands})
			s.Apply(2, batch)
			s.Apply(3, batch)
		}
		_, _ = codec.DecodeState(data)
	})
}

package tbflowcodec

import (
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

var testJob = tbflow.Job{
	ID: "a", Spec: "spec", Repeat: 2, StartAtMs: 5, IntervalMs: 6,
	Steps:            []tbflow.Step{{Count: 2, Need: tbresource.Amount{MilliProcessors: 1}, Estimate: time.Second, DependsOn: []int{0}, Image: "i"}},
	CallerDataCentre: "dc",
}

func TestCommandsRoundTrip(t *testing.T) {
	ref := tbflow.TaskRef{Job: "a", Occurrence: 1, Step: 2, Index: 3}
	for _, c := range []tbflow.Command{
		tbflow.PutConfig{Config: tbflow.Config{Version: 3, Source: []byte("{}"), Limits: tbflow.RequestLimits{MaxHeadBytes: 1, MaxBodyBytes: 2}, Queues: []tbflow.Queue{{Name: "q", Slack: 1.5}}}},
		tbflow.Submit{Job: testJob, Host: "h", Path: "/p/a"},
		tbflow.Cancel{ID: "a", Host: "h", Path: "/p/a"},
		tbflow.Assign{Assignments: []tbflow.Assignment{{Ref: ref, Run: 4, Worker: "w", Incarnation: 5}}},
		tbflow.RecordEnds{Worker: "w", Incarnation: 5, LastEnd: 6, Ends: []tbflow.End{{Ref: ref, Run: 4, Kind: tbflow.EndFailed, Checkpoint: "c"}}},
		tbflow.RecordDraining{Worker: "w", Incarnation: 5},
		tbflow.RecordSignedOff{Worker: "w", Incarnation: 5},
		tbflow.SetEvacuation{DataCentre: "z", Active: true},
		tbflow.RecordWorker{Worker: "w", Incarnation: 5, Address: "a:1", Labels: []string{"x"}},
		tbflow.RemoveWorker{Worker: "w", Incarnation: 5},
		tbflow.RecordInterference{Interference: []tbflow.Interference{{LongRunningImage: "l", BestEffortImage: "f", Slope: -1.5}}},
		tbflow.RecordListed{Worker: "w", Incarnation: 5, Runs: []tbflow.RunRef{{Ref: ref, Run: 4}}},
		tbflow.RecordCrash{Worker: "w", Incarnation: 5, Address: "a:1", Runs: []tbflow.CrashedRun{{Ref: ref, Run: 4, RanMs: 7}}},
		tbflow.RecordLost{Worker: "w", Incarnation: 5, Runs: []tbflow.CrashedRun{{Ref: ref, Run: 4}}},
		tbflow.RecordProven{Runs: []tbflow.RunRef{{Ref: ref, Run: 4}}},
		tbflow.RecordUnanswered{Worker: "w", Incarnation: 5, Address: "a:1", Runs: []tbflow.RunRef{{Ref: ref, Run: 4}}},
		tbflow.RecordSettled{Starts: []tbflow.SettledStart{{Ref: ref, Start: tbflow.OutstandingStart{Run: 4, Worker: "w", Incarnation: 5, Address: "a:1"}}}},
		tbflow.AssignCopies{Assignments: []tbflow.Assignment{{Ref: ref, Run: 4, Worker: "w", Incarnation: 5}}},
		tbflow.RecordSilent{Worker: "w"}, tbflow.RecordSilenceEnded{Worker: "w"},
		tbflow.FailExhausted{Jobs: []string{"a", "b"}},
	} {
		decoded, err := DecodeCommand(EncodeCommand(c))
		qt.Assert(t, err, qt.IsNil)
		// qt.DeepEquals cannot compare the unexported fields of a job.
		qt.Check(t, reflect.DeepEqual(decoded, c), qt.IsTrue, qt.Commentf("%v, not %v", decoded, c))
	}
	qt.Check(t, len(commandTypes), qt.Equals, 21, qt.Commentf("add a case for each new command type"))
}

// For the requests, only the types are compared, because all fields of leaderRequestTypes are zero.
func TestLeaderRequestTypesAndAnswersRoundTrip(t *testing.T) {
	for _, req := range leaderRequestTypes {
		decoded, err := DecodeLeaderRequest(EncodeLeaderRequest(req.(tbcontrol.LeaderRequest)))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, reflect.TypeOf(decoded), qt.Equals, reflect.TypeOf(req))
	}
	a := tbcontrol.Answer{Code: tbcontrol.Overloaded, RetryAfter: time.Second}
	decoded, err := DecodeAnswer(EncodeAnswer(a))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, decoded, qt.DeepEquals, a)
}

func TestStateRoundTrip(t *testing.T) {
	s := tbflow.New()
	s.Apply(1, tbflow.PutConfig{Config: tbflow.Config{Version: 1, Queues: []tbflow.Queue{{Key: tbflow.QueueKey{Host: "h", Prefix: "/p/"}, MaxFailures: 2}}}})
	singleStepJob := testJob
	singleStepJob.Repeat, singleStepJob.Steps = 0, []tbflow.Step{{Count: 2, Need: tbresource.Amount{MilliProcessors: 7}}}
	s.Apply(2, tbflow.Submit{Job: singleStepJob, Host: "h", Path: "/p/a"})
	s.Apply(3, tbflow.Assign{Assignments: []tbflow.Assignment{{Ref: tbflow.TaskRef{Job: "a", Index: 1}, Run: 1, Worker: "w", Incarnation: 9}}})
	s.Apply(4, tbflow.RecordListed{Worker: "w", Incarnation: 9, Runs: []tbflow.RunRef{{Ref: tbflow.TaskRef{Job: "a", Index: 1}, Run: 1}}})
	crashedRun := tbflow.CrashedRun{Ref: tbflow.TaskRef{Job: "a", Index: 1}, Run: 1, RanMs: 7}
	s.Apply(5, tbflow.RecordCrash{Worker: "w", Incarnation: 9, Address: "a:1", Runs: []tbflow.CrashedRun{crashedRun}})
	s.Apply(6, tbflow.RecordLost{Worker: "x", Incarnation: 3, Runs: []tbflow.CrashedRun{crashedRun}})
	s.Apply(7, tbflow.Assign{Assignments: []tbflow.Assignment{{Ref: tbflow.TaskRef{Job: "a"}, Run: 1, Worker: "w", Incarnation: 9}}})
	s.Apply(8, tbflow.RecordUnanswered{Worker: "w", Incarnation: 9, Address: "a:1", Runs: []tbflow.RunRef{{Ref: tbflow.TaskRef{Job: "a"}, Run: 1}}})
	s.Apply(9, tbflow.RecordWorker{Worker: "y", Incarnation: 1, DataCentre: "z"})
	s.Apply(10, tbflow.SetEvacuation{DataCentre: "z", Active: true})
	s.Apply(11, tbflow.SetEvacuation{DataCentre: "z"})
	s.Apply(12, tbflow.Submit{Job: tbflow.Job{ID: "c", Steps: []tbflow.Step{{Count: 1, Speculative: true, Need: tbresource.Amount{MilliProcessors: 5}}}}, Host: "h", Path: "/p/c"})
	s.Apply(13, tbflow.Assign{Assignments: []tbflow.Assignment{{Ref: tbflow.TaskRef{Job: "c"}, Run: 1, Worker: "w", Incarnation: 9}}})
	s.Apply(14, tbflow.AssignCopies{Assignments: []tbflow.Assignment{{Ref: tbflow.TaskRef{Job: "c"}, Run: 2, Worker: "x", Incarnation: 4}}})
	s.Apply(15, tbflow.RecordSilent{Worker: "x"})
	decoded, err := DecodeState(EncodeState(s))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, decoded.Silent, qt.DeepEquals, map[string]bool{"x": true})
	qt.Check(t, decoded.Evacuations, qt.DeepEquals, map[string]tbflow.Evacuation{"z": {SinceMs: 11, StartedMs: 10, StoppedMs: 11}})
	qt.Check(t, decoded.DataCentres, qt.DeepEquals, map[string]bool{"z": true})
	qt.Check(t, decoded.Outstanding, qt.DeepEquals, map[tbflow.TaskRef][]tbflow.OutstandingStart{
		{Job: "a"}: {{Run: 1, Worker: "w", Incarnation: 9, Address: "a:1"}},
	})
	qt.Check(t, decoded.Crashes, qt.DeepEquals, map[tbflow.TaskRef][]tbflow.Crash{
		{Job: "a", Index: 1}: {{Worker: "w", Incarnation: 9, Address: "a:1", Run: 1, AtMs: 5, RanMs: 7, Suspects: 1, SuspicionPermille: 656}},
	})
	qt.Check(t, decoded.Lost, qt.DeepEquals, s.Lost)
	qt.Check(t, decoded.IsListed(tbflow.TaskRef{Job: "a", Index: 1}, 1), qt.IsTrue)
	// qt.DeepEquals cannot compare unexported fields.
	qt.Check(t, reflect.DeepEqual(decoded.Jobs, s.Jobs), qt.IsTrue)
	qt.Check(t, decoded.Workers, qt.DeepEquals, s.Workers)
	qt.Check(t, decoded.Usage("w"), qt.Equals, s.Usage("w"))
	qt.Check(t, decoded.RunCount("w"), qt.Equals, 2)
	qt.Check(t, decoded.Active(), qt.HasLen, 2)
	qt.Check(t, decoded.Copies, qt.DeepEquals, map[tbflow.TaskRef]tbflow.CopyRun{
		{Job: "c"}: {Run: 2, Worker: "x", Incarnation: 4, AssignedMs: 14},
	})
	qt.Check(t, decoded.Usage("x"), qt.Equals, s.Usage("x"))
	qt.Check(t, decoded.AssignedRun("x", tbflow.TaskRef{Job: "c"}), qt.DeepEquals, s.AssignedRun("x", tbflow.TaskRef{Job: "c"}))
}

// Snapshots of earlier versions lack the last fields of storedState.
func TestStateOfEarlierVersionIsDecoded(t *testing.T) {
	earlier := struct {
		NowMs        int64
		Config       tbflow.Config
		Jobs         []*tbflow.Job
		Workers      map[string]*tbflow.WorkerRecord
		NextSeq      uint64
		Interference []tbflow.Interference
	}{NowMs: 7, NextSeq: 3, Workers: map[string]*tbflow.WorkerRecord{"w": {Incarnation: 9, DataCentre: "d"}}}
	decoded, err := DecodeState(encode(earlier))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, decoded.NowMs, qt.Equals, int64(7))
	qt.Check(t, decoded.NextSeq, qt.Equals, uint64(3))
	qt.Check(t, decoded.Workers["w"].Incarnation, qt.Equals, int64(9))
	qt.Check(t, decoded.Listed, qt.HasLen, 0)
	qt.Check(t, decoded.Crashes, qt.HasLen, 0)
	qt.Check(t, decoded.Lost, qt.HasLen, 0)
	qt.Check(t, decoded.Outstanding, qt.HasLen, 0)
	qt.Check(t, decoded.Evacuations, qt.HasLen, 0)
	qt.Check(t, decoded.DataCentres, qt.DeepEquals, map[string]bool{"d": true})
	qt.Check(t, decoded.Copies, qt.HasLen, 0)
	qt.Check(t, decoded.Silent, qt.HasLen, 0)
}

// Snapshots and commands of earlier versions have jobs without the data centre of the caller, configurations without
// limits, and records of workers that do not say whether they have signed off.
func TestStructsOfEarlierVersionsAreDecoded(t *testing.T) {
	now := reflect.TypeOf(tbflow.Job{})
	var fields []reflect.StructField
	for i := range now.NumField() {
		if f := now.Field(i); f.IsExported() && f.Name != "CallerDataCentre" {
			fields = append(fields, f)
		}
	}
	earlier := reflect.New(reflect.StructOf(fields)).Elem()
	earlier.FieldByName("ID").SetString("a")
	earlier.FieldByName("Seq").SetUint(7)
	var j tbflow.Job
	qt.Assert(t, msgpack.Unmarshal(encode(earlier.Interface()), &j), qt.IsNil)
	qt.Check(t, j.ID, qt.Equals, "a")
	qt.Check(t, j.Seq, qt.Equals, uint64(7))
	qt.Check(t, j.CallerDataCentre, qt.Equals, "")

	var cfg tbflow.Config
	earlierConfig := struct {
		Version uint64
		Source  []byte
		Queues  []tbflow.Queue
		Classes []tbflow.WorkerClass
	}{Version: 3, Queues: []tbflow.Queue{{Name: "q"}}}
	qt.Assert(t, msgpack.Unmarshal(encode(earlierConfig), &cfg), qt.IsNil)
	qt.Check(t, cfg, qt.DeepEquals, tbflow.Config{Version: 3, Queues: []tbflow.Queue{{Name: "q"}}})

	var w tbflow.WorkerRecord
	earlierRecord := struct {
		Incarnation     int64
		LastRecordedEnd uint64
	}{9, 3}
	qt.Assert(t, msgpack.Unmarshal(encode(earlierRecord), &w), qt.IsNil)
	qt.Check(t, w, qt.DeepEquals, tbflow.WorkerRecord{Incarnation: 9, LastRecordedEnd: 3})
}

// Whatever a peer sends or a damaged file contains is decoded or refused, without a panic.
func FuzzDecode(f *testing.F) {
	f.Add(EncodeCommand(tbflow.Submit{Job: testJob, Host: "h", Path: "/p/a"}))
	f.Add(EncodeCommand(tbflow.RecordListed{Worker: "w", Incarnation: 5, Runs: []tbflow.RunRef{{Run: 4}}}))
	f.Add(EncodeLeaderRequest(tbcontrol.SubmitRequested{Submit: tbflow.Submit{Job: testJob}}))
	f.Add(EncodeAnswer(tbcontrol.Answer{Code: 200}))
	f.Add(EncodeState(tbflow.New()))
	f.Fuzz(func(_ *testing.T, data []byte) {
		if c, err := DecodeCommand(data); err == nil {
			if submit, ok := c.(tbflow.Submit); ok {
				s := tbflow.New()
				s.Apply(1, tbflow.PutConfig{Config: tbflow.Config{Version: 1, Queues: []tbflow.Queue{{Key: tbflow.QueueKey{Host: submit.Host}}}}})
				s.Apply(2, submit)
			}
		}
		_, _ = DecodeLeaderRequest(data)
		if a, err := DecodeAnswer(data); err == nil {
			_, _ = a.Code.String(), a.Phase.String()
		}
		_, _ = DecodeState(data)
	})
}

func TestInvalidBytesReturnErrors(t *testing.T) {
	// 0xc1 is not used in msgpack. 0x91 starts an array of one element, and the element is missing.
	for _, data := range [][]byte{nil, {200}, {0, 0xc1}, {1, 0x91}} {
		_, err := DecodeCommand(data)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%v", data))
		_, err = DecodeLeaderRequest(data)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%v", data))
	}
	_, err := DecodeState([]byte{0xc1})
	qt.Check(t, err, qt.IsNotNil)
}

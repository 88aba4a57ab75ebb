package tbflowcodec

import (
	"bytes"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbflow"
)

// commandTypes and leaderRequestTypes list the types that can be encoded. The index of a type is its
// type number on the wire and, for commands, in the log. New types must be appended at the end;
// otherwise stored commands and messages of other versions would be decoded as the wrong type.
var (
	commandTypes = []any{
		tbflow.PutConfig{}, tbflow.Submit{}, tbflow.Cancel{}, tbflow.Assign{},
		tbflow.RecordEnds{}, tbflow.RecordDraining{},
		tbflow.RecordWorker{}, tbflow.RemoveWorker{}, tbflow.RecordInterference{},
		tbflow.RecordListed{}, tbflow.RecordCrash{}, tbflow.RecordLost{}, tbflow.RecordProven{},
		tbflow.RecordUnanswered{}, tbflow.RecordSettled{}, tbflow.RecordSignedOff{},
		tbflow.SetEvacuation{},
		tbflow.AssignCopies{},
		tbflow.RecordSilent{}, tbflow.RecordSilenceEnded{},
		tbflow.FailExhausted{},
	}
	leaderRequestTypes = []any{
		tbcontrol.SubmitRequested{}, tbcontrol.CancelRequested{}, tbcontrol.JobStateRequested{}, tbcontrol.QueueLengthRequested{},
		tbcontrol.ConfigPutRequested{}, tbcontrol.ConfigReadRequested{}, tbcontrol.WorkerReported{}, tbcontrol.WorkerSignedOff{},
		tbcontrol.JoinRequested{}, tbcontrol.WorkersReported{},
		tbcontrol.EvacuationRequested{},
	}
)

// EncodeCommand encodes a command on multi-step jobs.
func EncodeCommand(c tbflow.Command) []byte { return encodeTyped(commandTypes, c) }

// DecodeCommand decodes what EncodeCommand returned.
func DecodeCommand(data []byte) (tbflow.Command, error) {
	v, err := decodeTyped(commandTypes, data)
	if err != nil {
		return nil, fmt.Errorf("command on multi-step jobs: %w", err)
	}
	return v.(tbflow.Command), nil
}

// EncodeLeaderRequest encodes a request to the leader.
func EncodeLeaderRequest(req tbcontrol.LeaderRequest) []byte {
	return encodeTyped(leaderRequestTypes, req)
}

// DecodeLeaderRequest decodes what EncodeLeaderRequest returned.
func DecodeLeaderRequest(data []byte) (tbcontrol.LeaderRequest, error) {
	v, err := decodeTyped(leaderRequestTypes, data)
	if err != nil {
		return nil, fmt.Errorf("request to the leader: %w", err)
	}
	return v.(tbcontrol.LeaderRequest), nil
}

// EncodeAnswer encodes the leader's answer to a request.
func EncodeAnswer(a tbcontrol.Answer) []byte { return encode(a) }

// DecodeAnswer decodes what EncodeAnswer returned.
func DecodeAnswer(data []byte) (tbcontrol.Answer, error) {
	var a tbcontrol.Answer
	err := msgpack.Unmarshal(data, &a)
	return a, err
}

// storedState is the part of the state that is stored in a snapshot. The rest of the state is derived
// from it by Rebuild. New fields must be appended at the end, because snapshots of earlier versions
// have fewer fields.
type storedState struct {
	NowMs        int64
	Config       tbflow.Config
	Jobs         []*tbflow.Job
	Workers      map[string]*tbflow.WorkerRecord
	NextSeq      uint64
	Interference []tbflow.Interference
	Listed       []tbflow.RunRef
	Crashes      []taskCrashes
	Lost         map[string]tbflow.LostRuns
	Outstanding  []taskStarts
	Evacuations  map[string]tbflow.Evacuation
	DataCentres  []string
	Copies       []taskCopy
	Silent       []string
}

// taskCopy holds the second run of one task.
type taskCopy struct {
	Ref  tbflow.TaskRef
	Copy tbflow.CopyRun
}

// taskStarts holds the outstanding starts of one task.
type taskStarts struct {
	Ref    tbflow.TaskRef
	Starts []tbflow.OutstandingStart
}

// taskCrashes holds the recorded crashes of one task.
type taskCrashes struct {
	Ref     tbflow.TaskRef
	Crashes []tbflow.Crash
}

// DecodeMsgpack decodes the fields in order, as far as the encoding contains them.
func (st *storedState) DecodeMsgpack(d *msgpack.Decoder) error {
	fields := []any{
		&st.NowMs, &st.Config, &st.Jobs, &st.Workers, &st.NextSeq, &st.Interference, &st.Listed, &st.Crashes, &st.Lost, &st.Outstanding,
		&st.Evacuations, &st.DataCentres, &st.Copies, &st.Silent,
	}
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n > len(fields) {
		return fmt.Errorf("%d fields, at most %d are known", n, len(fields))
	}
	for _, field := range fields[:max(0, n)] {
		if err := d.Decode(field); err != nil {
			return err
		}
	}
	return nil
}

// EncodeState encodes the state of multi-step jobs for a snapshot.
func EncodeState(s *tbflow.State) []byte {
	st := storedState{NowMs: s.NowMs, Config: s.Config, Workers: s.Workers, NextSeq: s.NextSeq, Interference: s.Interference, Lost: s.Lost, Evacuations: s.Evacuations, DataCentres: slices.Sorted(maps.Keys(s.DataCentres)), Silent: slices.Sorted(maps.Keys(s.Silent))}
	for _, j := range s.Jobs {
		st.Jobs = append(st.Jobs, j)
	}
	for ref, run := range s.Listed {
		st.Listed = append(st.Listed, tbflow.RunRef{Ref: ref, Run: run})
	}
	for ref, crashes := range s.Crashes {
		st.Crashes = append(st.Crashes, taskCrashes{Ref: ref, Crashes: crashes})
	}
	for ref, starts := range s.Outstanding {
		st.Outstanding = append(st.Outstanding, taskStarts{Ref: ref, Starts: starts})
	}
	for ref, c := range s.Copies {
		st.Copies = append(st.Copies, taskCopy{Ref: ref, Copy: c})
	}
	return encode(st)
}

// DecodeState decodes what EncodeState returned. For empty data it returns an empty state.
func DecodeState(data []byte) (*tbflow.State, error) {
	s := tbflow.New()
	if len(data) == 0 {
		return s, nil
	}
	var st storedState
	if err := msgpack.Unmarshal(data, &st); err != nil {
		return nil, fmt.Errorf("state of multi-step jobs: %w", err)
	}
	s.NowMs, s.Config, s.NextSeq, s.Interference = st.NowMs, st.Config, st.NextSeq, st.Interference
	for _, j := range st.Jobs {
		s.Jobs[j.ID] = j
	}
	for id, w := range st.Workers {
		s.Workers[id] = w
	}
	for _, r := range st.Listed {
		s.Listed[r.Ref] = r.Run
	}
	for _, c := range st.Crashes {
		s.Crashes[c.Ref] = c.Crashes
	}
	for id, l := range st.Lost {
		s.Lost[id] = l
	}
	for _, o := range st.Outstanding {
		s.Outstanding[o.Ref] = o.Starts
	}
	for name, e := range st.Evacuations {
		s.Evacuations[name] = e
	}
	for _, name := range st.DataCentres {
		s.DataCentres[name] = true
	}
	for _, c := range st.Copies {
		s.Copies[c.Ref] = c.Copy
	}
	for _, id := range st.Silent {
		s.Silent[id] = true
	}
	s.Rebuild()
	return s, nil
}

func encodeTyped(types []any, v any) []byte {
	for i, t := range types {
		if reflect.TypeOf(t) == reflect.TypeOf(v) {
			return append([]byte{byte(i)}, encode(v)...)
		}
	}
	panic(fmt.Sprintf("type %T has no type number", v))
}

func decodeTyped(types []any, data []byte) (any, error) {
	if len(data) == 0 || int(data[0]) >= len(types) {
		return nil, fmt.Errorf("data does not start with a known type number")
	}
	v := reflect.New(reflect.TypeOf(types[data[0]]))
	if err := msgpack.Unmarshal(data[1:], v.Interface()); err != nil {
		return nil, err
	}
	return v.Elem().Interface(), nil
}

// encode returns the msgpack encoding of v. It panics if v cannot be encoded, which would be a bug.
func encode(v any) []byte {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	if err := e.Encode(v); err != nil {
		panic(fmt.Sprintf("cannot encode %T: %v", v, err))
	}
	return b.Bytes()
}

package tbflowcodec

import (
	"bytes"
	"fmt"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"

	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbflow"
)

// commands and questions list the types by the number under which they are encoded.
var (
	commands = []any{
		tbflow.PutConfig{}, tbflow.Submit{}, tbflow.Cancel{}, tbflow.Assign{},
		tbflow.RecordEnds{}, tbflow.RecordDraining{},
		tbflow.RecordWorker{}, tbflow.RemoveWorker{}, tbflow.RecordInterference{},
	}
	questions = []any{
		tbcontrol.SubmitRequested{}, tbcontrol.CancelRequested{}, tbcontrol.JobStateRequested{}, tbcontrol.QueueLengthRequested{},
		tbcontrol.ConfigPut{}, tbcontrol.ConfigRequested{}, tbcontrol.WorkerReported{}, tbcontrol.WorkerLeft{},
		tbcontrol.JoinRequested{}, tbcontrol.WorkersReported{},
	}
)

// EncodeCommand returns the bytes of a command.
func EncodeCommand(c tbflow.Command) []byte { return encodeOneOf(commands, c) }

// DecodeCommand reads the bytes of a command.
func DecodeCommand(data []byte) (tbflow.Command, error) {
	v, err := decodeOneOf(commands, data)
	if err != nil {
		return nil, fmt.Errorf("flow command: %w", err)
	}
	return v.(tbflow.Command), nil
}

// EncodeQuestion returns the bytes of a question.
func EncodeQuestion(q tbcontrol.Question) []byte { return encodeOneOf(questions, q) }

// DecodeQuestion reads the bytes of a question.
func DecodeQuestion(data []byte) (tbcontrol.Question, error) {
	v, err := decodeOneOf(questions, data)
	if err != nil {
		return nil, fmt.Errorf("question: %w", err)
	}
	return v.(tbcontrol.Question), nil
}

// EncodeAnswer returns the bytes of an answer.
func EncodeAnswer(a tbcontrol.Answer) []byte { return encode(a) }

// DecodeAnswer reads the bytes of an answer.
func DecodeAnswer(data []byte) (tbcontrol.Answer, error) {
	var a tbcontrol.Answer
	err := msgpack.Unmarshal(data, &a)
	return a, err
}

// stored is the part of the state that is not derived.
type stored struct {
	NowMs   int64
	Config  tbflow.Config
	Jobs    []*tbflow.Job
	Workers map[string]*tbflow.WorkerRecord
	NextSeq uint64
	Slopes  []tbflow.Interference
}

// EncodeState returns the bytes of a snapshot's part.
func EncodeState(s *tbflow.State) []byte {
	st := stored{NowMs: s.NowMs, Config: s.Config, Workers: s.Workers, NextSeq: s.NextSeq, Slopes: s.Interference}
	for _, j := range s.Jobs {
		st.Jobs = append(st.Jobs, j)
	}
	return encode(st)
}

// DecodeState reads the bytes of a snapshot's part; none stand for an empty state.
func DecodeState(data []byte) (*tbflow.State, error) {
	s := tbflow.New()
	if len(data) == 0 {
		return s, nil
	}
	var st stored
	if err := msgpack.Unmarshal(data, &st); err != nil {
		return nil, fmt.Errorf("jobs of steps: %w", err)
	}
	s.NowMs, s.Config, s.NextSeq, s.Interference = st.NowMs, st.Config, st.NextSeq, st.Slopes
	for _, j := range st.Jobs {
		s.Jobs[j.ID] = j
	}
	for id, w := range st.Workers {
		s.Workers[id] = w
	}
	s.Rebuild()
	return s, nil
}

func encodeOneOf(types []any, v any) []byte {
	for i, t := range types {
		if reflect.TypeOf(t) == reflect.TypeOf(v) {
			return append([]byte{byte(i)}, encode(v)...)
		}
	}
	panic(fmt.Sprintf("type %T has no number", v))
}

func decodeOneOf(types []any, data []byte) (any, error) {
	if len(data) == 0 || int(data[0]) >= len(types) {
		return nil, fmt.Errorf("bytes start with no known number")
	}
	v := reflect.New(reflect.TypeOf(types[data[0]]))
	if err := msgpack.Unmarshal(data[1:], v.Interface()); err != nil {
		return nil, err
	}
	return v.Elem().Interface(), nil
}

// encode returns the msgpack of a value of our own making, which cannot fail.
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

package tbcodec

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"tamarackbarrow/core/tbbundle"
	"tamarackbarrow/core/tbresource"
	"tamarackbarrow/core/tbstate"
	"tamarackbarrow/io/tbflowcodec"
	pb "tamarackbarrow/io/tbproto/v1"
)

// ParseBundle parses the source of a bundle that was validated when it was signed off.
type ParseBundle func(source []byte) (tbbundle.Bundle, error)

// Codec encodes batches and states for the log and for snapshots.
type Codec struct{ parse ParseBundle }

// New returns a codec that parses bundle sources with parse.
func New(parse ParseBundle) *Codec { return &Codec{parse: parse} }

// EncodeBatch encodes a batch as the data of a log entry.
func (c *Codec) EncodeBatch(b tbstate.Batch) []byte {
	return marshal(&pb.CommandBatch{NowMs: b.NowMs, Commands: CommandsToWire(b.Commands)})
}

// EncodeCommands encodes commands as a part of a batch, see JoinBatch.
func (c *Codec) EncodeCommands(commands []tbstate.Command) []byte {
	return marshal(&pb.CommandBatch{Commands: CommandsToWire(commands)})
}

// JoinBatch joins encoded commands to the data of a log entry. Encoded protobuf messages are joined by
// appending one to the other.
func (c *Codec) JoinBatch(nowMs int64, parts [][]byte) []byte {
	return append(marshal(&pb.CommandBatch{NowMs: nowMs}), slices.Concat(parts...)...)
}

// DecodeBatch decodes the data of a log entry.
func (c *Codec) DecodeBatch(data []byte) (tbstate.Batch, error) {
	var m pb.CommandBatch
	if err := proto.Unmarshal(data, &m); err != nil {
		return tbstate.Batch{}, err
	}
	commands, err := c.CommandsFromWire(m.GetCommands())
	return tbstate.Batch{NowMs: m.GetNowMs(), Commands: commands}, err
}

// marshal encodes a message that this package built. It panics if the message cannot be encoded, which
// would be a bug.
func marshal(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("cannot encode %T: %v", m, err))
	}
	return data
}

// CommandsToWire converts commands to protobuf.
func CommandsToWire(commands []tbstate.Command) []*pb.Command {
	wire := make([]*pb.Command, len(commands))
	for i, c := range commands {
		wire[i] = commandToWire(c)
	}
	return wire
}

// CommandsFromWire converts commands from protobuf. If a command is invalid, it returns an error for
// the first invalid command and no commands.
func (c *Codec) CommandsFromWire(wire []*pb.Command) ([]tbstate.Command, error) {
	commands := make([]tbstate.Command, len(wire))
	for i, m := range wire {
		command, err := c.commandFromWire(m)
		if err != nil {
			return nil, fmt.Errorf("command %d: %w", i, err)
		}
		commands[i] = command
	}
	return commands, nil
}

// commandToWire converts a command to protobuf. FenceWorker and MarkWorkerGone share the message
// WorkerFenceCommand. RemoveRunner also uses WorkerFenceCommand, although it concerns no worker.
func commandToWire(c tbstate.Command) *pb.Command {
	switch c := c.(type) {
	case tbstate.SignOff:
		return &pb.Command{Command: &pb.Command_SignOff{SignOff: BundleToWire(c.Bundle)}}
	case tbstate.RollOut:
		return &pb.Command{Command: &pb.Command_RollOut{RollOut: &pb.RollOutCommand{Version: c.Version}}}
	case tbstate.OpenSession:
		return &pb.Command{Command: &pb.Command_OpenSession{OpenSession: SessionToWire(c.Session)}}
	case tbstate.CloseSession:
		return &pb.Command{Command: &pb.Command_CloseSession{CloseSession: c.Key}}
	case tbstate.AnnounceRunner:
		return &pb.Command{Command: &pb.Command_AnnounceRunner{AnnounceRunner: RunnerToWire(c.Runner)}}
	case tbstate.MarkRunnerAbsent:
		return &pb.Command{Command: &pb.Command_RunnerAbsent{RunnerAbsent: &pb.RunnerAbsentCommand{Id: c.ID, Incarnation: c.Incarnation}}}
	case tbstate.RemoveRunner:
		return &pb.Command{Command: &pb.Command_RunnerForget{RunnerForget: &pb.WorkerFenceCommand{Id: c.ID, Incarnation: c.Incarnation}}}
	case tbstate.SetGrants:
		return &pb.Command{Command: &pb.Command_SetGrants{SetGrants: &pb.SetGrantsCommand{Grants: grantChangesToWire(c.Changes)}}}
	case tbstate.ReleaseSlots:
		return &pb.Command{Command: &pb.Command_Surrender{Surrender: &pb.SurrenderCommand{Grants: grantChangesToWire(c.Changes)}}}
	case tbstate.AnnounceWorker:
		return &pb.Command{Command: &pb.Command_AnnounceWorker{AnnounceWorker: WorkerToWire(c.Worker)}}
	case tbstate.FenceWorker:
		return &pb.Command{Command: &pb.Command_FenceWorker{FenceWorker: &pb.WorkerFenceCommand{Id: c.ID, Incarnation: c.Incarnation}}}
	case tbstate.MarkWorkerGone:
		return &pb.Command{Command: &pb.Command_LoseWorker{LoseWorker: &pb.WorkerFenceCommand{Id: c.ID, Incarnation: c.Incarnation, FencedAt: c.FencedAt}}}
	case tbstate.DrainWorker:
		return &pb.Command{Command: &pb.Command_DrainWorker{DrainWorker: c.ID}}
	case tbstate.FlowChange:
		return &pb.Command{Command: &pb.Command_Flow{Flow: tbflowcodec.EncodeCommand(c.Command)}}
	}
	return jobCommandToWire(c)
}

func jobCommandToWire(c tbstate.Command) *pb.Command {
	switch c := c.(type) {
	case tbstate.SubmitJob:
		return &pb.Command{Command: &pb.Command_SubmitJob{SubmitJob: JobToWire(c.Job)}}
	case tbstate.CancelJob:
		return &pb.Command{Command: &pb.Command_CancelJob{CancelJob: c.ID}}
	case tbstate.StartTask:
		return &pb.Command{Command: &pb.Command_StartTask{StartTask: &pb.StartTaskCommand{Job: c.Job, Worker: c.Worker, Epoch: c.Run}}}
	case tbstate.EvictTask:
		return &pb.Command{Command: &pb.Command_EvictTask{EvictTask: &pb.EvictTaskCommand{Job: c.Job, Epoch: c.Run, Reason: string(c.Reason)}}}
	case tbstate.ReportTask:
		// RanMs has 32 bits in the message and wraps around after 49 days.
		return &pb.Command{Command: &pb.Command_ReportTask{ReportTask: &pb.TaskReportCommand{
			Job: c.Job, Worker: c.Worker, Epoch: c.Run, Phase: string(c.Phase), Checkpoint: c.Checkpoint, RanMs: uint32(c.RanMs),
		}}}
	case tbstate.AcquireClaim:
		return &pb.Command{Command: &pb.Command_Claim{Claim: &pb.ClaimCommand{Key: claimKeyToWire(c.Key), Session: c.Session, Attempt: c.CallID}}}
	case tbstate.FinishClaim:
		return &pb.Command{Command: &pb.Command_ClaimDone{ClaimDone: &pb.ClaimDoneCommand{
			Key: claimKeyToWire(c.Key), Session: c.Session, Attempt: c.CallID,
			Status: uint32(c.Status), Answer: c.Answer, Reason: c.Reason,
		}}}
	}
	panic(fmt.Sprintf("command of unknown type %T", c))
}

func (c *Codec) commandFromWire(m *pb.Command) (tbstate.Command, error) {
	switch m := m.GetCommand().(type) {
	case *pb.Command_SignOff:
		b, err := c.BundleFromWire(m.SignOff)
		return tbstate.SignOff{Bundle: b}, err
	case *pb.Command_RollOut:
		return tbstate.RollOut{Version: m.RollOut.GetVersion()}, nil
	case *pb.Command_OpenSession:
		return tbstate.OpenSession{Session: SessionFromWire(m.OpenSession)}, nil
	case *pb.Command_CloseSession:
		return tbstate.CloseSession{Key: m.CloseSession}, nil
	case *pb.Command_AnnounceRunner:
		return tbstate.AnnounceRunner{Runner: RunnerFromWire(m.AnnounceRunner)}, nil
	case *pb.Command_RunnerAbsent:
		return tbstate.MarkRunnerAbsent{ID: m.RunnerAbsent.GetId(), Incarnation: m.RunnerAbsent.GetIncarnation()}, nil
	case *pb.Command_RunnerForget:
		return tbstate.RemoveRunner{ID: m.RunnerForget.GetId(), Incarnation: m.RunnerForget.GetIncarnation()}, nil
	case *pb.Command_SetGrants:
		return tbstate.SetGrants{Changes: grantChangesFromWire(m.SetGrants.GetGrants())}, nil
	case *pb.Command_Surrender:
		return tbstate.ReleaseSlots{Changes: grantChangesFromWire(m.Surrender.GetGrants())}, nil
	case *pb.Command_AnnounceWorker:
		return tbstate.AnnounceWorker{Worker: WorkerFromWire(m.AnnounceWorker)}, nil
	case *pb.Command_FenceWorker:
		return tbstate.FenceWorker{ID: m.FenceWorker.GetId(), Incarnation: m.FenceWorker.GetIncarnation()}, nil
	case *pb.Command_LoseWorker:
		return tbstate.MarkWorkerGone{ID: m.LoseWorker.GetId(), Incarnation: m.LoseWorker.GetIncarnation(), FencedAt: m.LoseWorker.GetFencedAt()}, nil
	case *pb.Command_DrainWorker:
		return tbstate.DrainWorker{ID: m.DrainWorker}, nil
	case *pb.Command_Flow:
		command, err := tbflowcodec.DecodeCommand(m.Flow)
		return tbstate.FlowChange{Command: command}, err
	}
	return jobCommandFromWire(m)
}

func jobCommandFromWire(m *pb.Command) (tbstate.Command, error) {
	switch m := m.GetCommand().(type) {
	case *pb.Command_SubmitJob:
		return tbstate.SubmitJob{Job: JobFromWire(m.SubmitJob)}, nil
	case *pb.Command_CancelJob:
		return tbstate.CancelJob{ID: m.CancelJob}, nil
	case *pb.Command_StartTask:
		return tbstate.StartTask{Job: m.StartTask.GetJob(), Worker: m.StartTask.GetWorker(), Run: m.StartTask.GetEpoch()}, nil
	case *pb.Command_EvictTask:
		return tbstate.EvictTask{Job: m.EvictTask.GetJob(), Run: m.EvictTask.GetEpoch(), Reason: tbstate.Reason(m.EvictTask.GetReason())}, nil
	case *pb.Command_ReportTask:
		r := m.ReportTask
		return tbstate.ReportTask{
			Job: r.GetJob(), Worker: r.GetWorker(), Run: r.GetEpoch(), Phase: tbstate.TaskPhase(r.GetPhase()),
			Checkpoint: r.GetCheckpoint(), RanMs: int64(r.GetRanMs()),
		}, nil
	case *pb.Command_Claim:
		return tbstate.AcquireClaim{Key: claimKeyFromWire(m.Claim.GetKey()), Session: m.Claim.GetSession(), CallID: m.Claim.GetAttempt()}, nil
	case *pb.Command_ClaimDone:
		d := m.ClaimDone
		return tbstate.FinishClaim{
			Key: claimKeyFromWire(d.GetKey()), Session: d.GetSession(), CallID: d.GetAttempt(),
			Status: tbstate.ClaimStatus(d.GetStatus()), Answer: d.GetAnswer(), Reason: d.GetReason(),
		}, nil
	}
	return nil, fmt.Errorf("command of unknown kind %T", m.GetCommand())
}

func grantChangesToWire(changes []tbstate.GrantChange) []*pb.GrantChange {
	wire := make([]*pb.GrantChange, len(changes))
	for i, c := range changes {
		wire[i] = &pb.GrantChange{Runner: c.Runner, Session: c.Session, Slots: uint32(c.Slots), BasedOn: c.BasedOn}
	}
	return wire
}

func grantChangesFromWire(wire []*pb.GrantChange) []tbstate.GrantChange {
	changes := make([]tbstate.GrantChange, len(wire))
	for i, m := range wire {
		changes[i] = tbstate.GrantChange{Runner: m.GetRunner(), Session: m.GetSession(), Slots: int(m.GetSlots()), BasedOn: m.GetBasedOn()}
	}
	return changes
}

func claimKeyToWire(k tbstate.ClaimKey) *pb.ClaimKey {
	return &pb.ClaimKey{Member: k.Member, Service: k.Service, Key: k.Key}
}

func claimKeyFromWire(m *pb.ClaimKey) tbstate.ClaimKey {
	return tbstate.ClaimKey{Member: m.GetMember(), Service: m.GetService(), Key: m.GetKey()}
}

// AmountToWire converts an amount of resources to protobuf. Negative values become 0.
func AmountToWire(a tbresource.Amount) *pb.Resources {
	return &pb.Resources{
		MilliProcessors: uint32(max(0, a.MilliProcessors)),
		MemoryMb:        uint32(max(0, a.MemoryMB)),
		Accelerators:    uint32(max(0, a.Accelerators)),
	}
}

// AmountFromWire converts an amount of resources from protobuf.
func AmountFromWire(m *pb.Resources) tbresource.Amount {
	return tbresource.Amount{
		MilliProcessors: int64(m.GetMilliProcessors()), MemoryMB: int64(m.GetMemoryMb()), Accelerators: int64(m.GetAccelerators()),
	}
}

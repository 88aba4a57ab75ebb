package tbdaemon

import (
	"time"

	"tamarackbarrow/core/tbentry"
	"tamarackbarrow/core/tbstate"
	"tamarackbarrow/io/tbcodec"
	pb "tamarackbarrow/io/tbproto/v1"
)

func callToWire(c tbentry.Call) *pb.CallRequest {
	return &pb.CallRequest{
		Service: c.Service, Method: c.Method, Payload: c.Payload, Member: c.Member,
		IdempotencyKey: c.Key, DeadlineMs: uint32(c.Timeout.Milliseconds()),
	}
}

func callFromWire(m *pb.CallRequest) tbentry.Call {
	return tbentry.Call{
		Service: m.GetService(), Method: m.GetMethod(), Payload: m.GetPayload(), Member: m.GetMember(),
		Key: m.GetIdempotencyKey(), Timeout: time.Duration(m.GetDeadlineMs()) * time.Millisecond,
	}
}

func outcomeToWire(o tbentry.Outcome) *pb.CallResponse {
	statuses := map[tbentry.Status]pb.CallStatus{
		tbentry.Answered:    pb.CallStatus_CALL_STATUS_ANSWERED,
		tbentry.NotExecuted: pb.CallStatus_CALL_STATUS_NOT_RUN,
		tbentry.Unknown:     pb.CallStatus_CALL_STATUS_UNKNOWN,
	}
	return &pb.CallResponse{Status: statuses[o.Status], Payload: o.Payload, Reason: string(o.Reason), Detail: o.Detail}
}

func outcomeFromWire(m *pb.CallResponse) tbentry.Outcome {
	o := tbentry.Outcome{Status: tbentry.Unknown, Payload: m.GetPayload(), Reason: tbentry.Reason(m.GetReason()), Detail: m.GetDetail()}
	switch m.GetStatus() {
	case pb.CallStatus_CALL_STATUS_ANSWERED:
		o.Status = tbentry.Answered
	case pb.CallStatus_CALL_STATUS_NOT_RUN:
		o.Status = tbentry.NotExecuted
	}
	return o
}

// ordersToWire converts the orders for a worker. Each job of JobService has a single task, whose id is
// the job's id.
func ordersToWire(o tbentry.Orders) *pb.WorkerOrders {
	m := &pb.WorkerOrders{
		Incarnation: o.Incarnation, LeaseBaseMs: o.LeaseStartMs, LeaseMs: uint32(o.Lease.Milliseconds()),
	}
	for _, t := range o.Tasks {
		m.Tasks = append(m.Tasks, &pb.TaskOrder{
			Job: t.Task.ID, Epoch: t.Task.Run, Stop: t.Stop, Kind: t.Task.Kind, Payload: t.Task.Payload,
			ThrottlePercent: uint32(t.ThrottlePercent),
			ResumeFrom:      t.Task.Checkpoint, Resources: tbcodec.AmountToWire(t.Task.Resources),
		})
	}
	for _, ack := range o.Acknowledged {
		m.Acknowledged = append(m.Acknowledged, &pb.TaskAck{Job: ack.Job, Epoch: ack.Run, Accepted: ack.Accepted})
	}
	return m
}

func runnerFromAnnouncement(m *pb.AnnounceRunnerRequest) tbstate.Runner {
	r := tbstate.Runner{
		ID: m.GetId(), Incarnation: m.GetIncarnation(), Address: m.GetAddress(), DataCentre: m.GetDataCentre(),
		Service: m.GetService(), Slots: int(m.GetSlots()), Phase: tbstate.RunnerPresent, Worker: m.GetWorker(),
	}
	if m.GetLeaving() {
		r.Phase = tbstate.RunnerDraining
	}
	return r
}

func workerFromAnnouncement(m *pb.AnnounceWorkerRequest) tbstate.Worker {
	w := tbstate.Worker{
		ID: m.GetId(), Incarnation: m.GetIncarnation(), Address: m.GetAddress(), DataCentre: m.GetDataCentre(),
		Rack: m.GetRack(), Capacity: tbcodec.AmountFromWire(m.GetCapacity()), Phase: tbstate.WorkerPresent,
	}
	if m.GetLeaving() {
		w.Phase = tbstate.WorkerDraining
	}
	return w
}

func reportFromWire(m *pb.TaskReport) tbentry.TaskReport {
	return tbentry.TaskReport{
		Job: m.GetJob(), Run: m.GetEpoch(), Phase: tbstate.TaskPhase(m.GetPhase()), Checkpoint: m.GetCheckpoint(),
		RanMs: int64(m.GetRanMs()), Usage: tbcodec.AmountFromWire(m.GetUsage()),
		UsageAge: time.Duration(m.GetUsageAgeMs()) * time.Millisecond,
	}
}

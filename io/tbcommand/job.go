package tbcommand

import (
	"errors"
	"fmt"
	"text/tabwriter"

	"connectrpc.com/connect"
	"github.com/alecthomas/kingpin/v2"

	pb "tamarackbarrow/io/tbproto/v1"
)

func (t *tool) addJobCommands(app *kingpin.Application) {
	job := app.Command("job", "Batch jobs.")
	spec := &pb.JobSpec{}
	var payload string
	submit := job.Command("submit", "Submit a job; submitting the same id again does not create another one.")
	submit.Arg("id", "Job id, chosen by the caller.").Required().StringVar(&spec.Id)
	submit.Flag("kind", "Job kind defined in the bundle.").Required().StringVar(&spec.Kind)
	submit.Flag("team", "Team defined in the bundle.").Required().StringVar(&spec.Team)
	submit.Flag("payload", "Payload passed to the task.").StringVar(&payload)
	submit.Flag("urgent", "Start within seconds, before jobs that are not urgent.").BoolVar(&spec.Urgent)
	submit.Action(func(*kingpin.ParseContext) error {
		spec.Payload = []byte(payload)
		return t.submitJob(spec)
	})
	var cancelIDs []string
	cancel := job.Command("cancel", "Cancel jobs.")
	cancel.Arg("id", "Job ids.").Required().StringsVar(&cancelIDs)
	cancel.Action(func(*kingpin.ParseContext) error { return t.cancelJobs(cancelIDs) })
	var statusIDs []string
	status := job.Command("status", "Show the state of jobs and why they wait.")
	status.Arg("id", "Job ids.").Required().StringsVar(&statusIDs)
	status.Action(func(*kingpin.ParseContext) error { return t.printJobStatus(statusIDs) })
}

func (t *tool) submitJob(spec *pb.JobSpec) error {
	ctx, cancel := newRequestContext()
	defer cancel()
	resp, err := t.newJobClient().Submit(ctx, connect.NewRequest(&pb.SubmitRequest{Jobs: []*pb.JobSpec{spec}}))
	if err != nil {
		return err
	}
	if err := resultError(resp.Msg.GetResults()[0]); err != nil {
		return err
	}
	fmt.Fprintf(t.stdout, "job %q accepted\n", spec.GetId())
	return nil
}

func (t *tool) cancelJobs(ids []string) error {
	ctx, cancel := newRequestContext()
	defer cancel()
	resp, err := t.newJobClient().Cancel(ctx, connect.NewRequest(&pb.CancelRequest{Ids: ids}))
	if err != nil {
		return err
	}
	var refusals error
	for i, r := range resp.Msg.GetResults() {
		if err := resultError(r); err != nil {
			refusals = errors.Join(refusals, &refusedError{message: fmt.Sprintf("job %q: %s", ids[i], err)})
			continue
		}
		fmt.Fprintf(t.stdout, "job %q will be cancelled once its task has stopped\n", ids[i])
	}
	return refusals
}

func (t *tool) printJobStatus(ids []string) error {
	ctx, cancel := newRequestContext()
	defer cancel()
	resp, err := t.newJobClient().Status(ctx, connect.NewRequest(&pb.JobStatusRequest{Ids: ids}))
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(t.stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "JOB\tKIND\tPHASE\tREASON\tWORKER\tSTARTS\tEVICTIONS")
	for _, j := range resp.Msg.GetJobs() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\n",
			j.GetId(), j.GetKind(), j.GetPhase(), j.GetReason(), j.GetWorker(), j.GetEpoch(), j.GetEvictions())
	}
	return w.Flush()
}

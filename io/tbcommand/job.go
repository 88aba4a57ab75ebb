package tbcommand

import (
	"errors"
	"fmt"
	"text/tabwriter"

	"connectrpc.com/connect"
	"github.com/alecthomas/kingpin/v2"

	pb "tamarackbarrow/io/tbproto/v1"
)

func (t *tool) addJob(app *kingpin.Application) {
	job := app.Command("job", "Batch jobs.")
	spec := &pb.JobSpec{}
	var payload string
	submit := job.Command("submit", "Submit a job; the same id again is the same job.")
	submit.Arg("id", "Job id chosen by the caller.").Required().StringVar(&spec.Id)
	submit.Flag("kind", "Job kind of the bundle.").Required().StringVar(&spec.Kind)
	submit.Flag("team", "Team of the bundle.").Required().StringVar(&spec.Team)
	submit.Flag("payload", "Text for the task.").StringVar(&payload)
	submit.Flag("urgent", "Start within seconds, ahead of other work.").BoolVar(&spec.Urgent)
	submit.Action(func(*kingpin.ParseContext) error {
		spec.Payload = []byte(payload)
		return t.jobSubmit(spec)
	})
	var cancelled []string
	cancel := job.Command("cancel", "Cancel jobs.")
	cancel.Arg("id", "Job ids.").Required().StringsVar(&cancelled)
	cancel.Action(func(*kingpin.ParseContext) error { return t.jobCancel(cancelled) })
	var asked []string
	status := job.Command("status", "Show jobs and why they wait.")
	status.Arg("id", "Job ids.").Required().StringsVar(&asked)
	status.Action(func(*kingpin.ParseContext) error { return t.jobStatus(asked) })
}

func (t *tool) jobSubmit(spec *pb.JobSpec) error {
	ctx, cancel := requestContext()
	defer cancel()
	answer, err := t.jobs().Submit(ctx, connect.NewRequest(&pb.SubmitRequest{Jobs: []*pb.JobSpec{spec}}))
	if err != nil {
		return err
	}
	if err := refusal(answer.Msg.GetResults()[0]); err != nil {
		return err
	}
	fmt.Fprintf(t.stdout, "job %q is accepted\n", spec.GetId())
	return nil
}

func (t *tool) jobCancel(ids []string) error {
	ctx, cancel := requestContext()
	defer cancel()
	answer, err := t.jobs().Cancel(ctx, connect.NewRequest(&pb.CancelRequest{Ids: ids}))
	if err != nil {
		return err
	}
	var refused error
	for i, r := range answer.Msg.GetResults() {
		if err := refusal(r); err != nil {
			refused = errors.Join(refused, &refusedError{text: fmt.Sprintf("job %q: %s", ids[i], err)})
			continue
		}
		fmt.Fprintf(t.stdout, "job %q is cancelled as soon as its task has stopped\n", ids[i])
	}
	return refused
}

func (t *tool) jobStatus(ids []string) error {
	ctx, cancel := requestContext()
	defer cancel()
	answer, err := t.jobs().Status(ctx, connect.NewRequest(&pb.JobStatusRequest{Ids: ids}))
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(t.stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "JOB\tKIND\tPHASE\tREASON\tWORKER\tSTARTS\tEVICTIONS")
	for _, j := range answer.Msg.GetJobs() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\n",
			j.GetId(), j.GetKind(), j.GetPhase(), j.GetReason(), j.GetWorker(), j.GetEpoch(), j.GetEvictions())
	}
	return w.Flush()
}

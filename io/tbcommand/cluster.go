package tbcommand

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/alecthomas/kingpin/v2"
	"google.golang.org/protobuf/encoding/protojson"

	pb "tamarackbarrow/io/tbproto/v1"
)

// watchInterval is the time between two pictures of status --watch.
const watchInterval = 2 * time.Second

func (t *tool) addCluster(app *kingpin.Application) {
	var watch bool
	status := app.Command("status", "Show entries, leader, runners, workers, jobs and reasons of refusals.")
	status.Flag("watch", "Show again every two seconds until interrupted.").BoolVar(&watch)
	status.Flag("json", "Print JSON for programs.").BoolVar(&t.json)
	status.Action(func(*kingpin.ParseContext) error {
		if watch {
			return t.watchStatus()
		}
		return t.showStatus()
	})
	var worker string
	drain := app.Command("drain", "Evict a worker's tasks and keep new ones away.")
	drain.Arg("worker", "Worker id.").Required().StringVar(&worker)
	drain.Action(func(*kingpin.ParseContext) error { return t.drain(worker) })
	t.addMember(app)
}

func (t *tool) fetchStatus() (*pb.StatusResponse, error) {
	ctx, cancel := requestContext()
	defer cancel()
	answer, err := t.operator().Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

func (t *tool) showStatus() error {
	st, err := t.fetchStatus()
	if err != nil {
		return err
	}
	if t.json {
		fmt.Fprintln(t.stdout, protojson.Format(st))
		return nil
	}
	w := tabwriter.NewWriter(t.stdout, 0, 4, 2, ' ', 0)
	printStatus(w, st)
	return w.Flush()
}

func (t *tool) watchStatus() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	for {
		if err := t.showStatus(); err != nil {
			fmt.Fprintln(t.stderr, err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(watchInterval):
			fmt.Fprintln(t.stdout)
		}
	}
}

func (t *tool) drain(worker string) error {
	ctx, cancel := requestContext()
	defer cancel()
	answer, err := t.operator().Drain(ctx, connect.NewRequest(&pb.DrainRequest{Worker: worker}))
	if err != nil {
		return err
	}
	if err := refusal(answer.Msg.GetResult()); err != nil {
		return err
	}
	fmt.Fprintf(t.stdout, "worker %q gets no new tasks and its tasks are being evicted\n", worker)
	return nil
}

func (t *tool) addMember(app *kingpin.Application) {
	member := app.Command("member", "Replicas of the control group.")
	t.addMemberChange(member, "add", "Add a replica that receives the log without a vote.", true, t.memberAdd)
	t.addMemberChange(member, "promote", "Give a caught-up replica its vote.", false, t.memberPromote)
	t.addMemberChange(member, "remove", "Remove a replica; its id is never used again.", false, t.memberRemove)
	var old, replacement uint64
	var address string
	replace := member.Command("replace", "Add a replica, wait until it has synced, give it a vote and remove the old one.")
	replace.Arg("old", "Replica id to remove.").Required().Uint64Var(&old)
	replace.Arg("new", "New replica id.").Required().Uint64Var(&replacement)
	replace.Arg("address", "Peer address of the new replica.").Required().StringVar(&address)
	replace.Action(func(*kingpin.ParseContext) error { return t.memberReplace(old, replacement, address) })
}

func (t *tool) addMemberChange(parent *kingpin.CmdClause, name, help string, needsAddress bool, act func(id uint64, address string) error) {
	var id uint64
	var address string
	c := parent.Command(name, help)
	c.Arg("replica", "Replica id.").Required().Uint64Var(&id)
	if needsAddress {
		c.Arg("address", "Peer address of the replica.").Required().StringVar(&address)
	}
	c.Action(func(*kingpin.ParseContext) error { return act(id, address) })
}

func (t *tool) changeMember(change pb.MemberChange, id uint64, address string) error {
	ctx, cancel := requestContext()
	defer cancel()
	answer, err := t.operator().ChangeMember(ctx, connect.NewRequest(&pb.ChangeMemberRequest{
		Change: change, Replica: id, Address: address,
	}))
	if err != nil {
		return err
	}
	return refusal(answer.Msg.GetResult())
}

func (t *tool) memberAdd(id uint64, address string) error {
	if err := t.changeMember(pb.MemberChange_MEMBER_CHANGE_ADD_LEARNER, id, address); err != nil {
		return err
	}
	fmt.Fprintf(t.stdout, "replica %d receives the log; promote it when it has caught up\n", id)
	return nil
}

func (t *tool) memberPromote(id uint64, _ string) error {
	if err := t.changeMember(pb.MemberChange_MEMBER_CHANGE_PROMOTE, id, ""); err != nil {
		return err
	}
	fmt.Fprintf(t.stdout, "replica %d has a vote\n", id)
	return nil
}

func (t *tool) memberRemove(id uint64, _ string) error {
	if err := t.changeMember(pb.MemberChange_MEMBER_CHANGE_REMOVE, id, ""); err != nil {
		return err
	}
	fmt.Fprintf(t.stdout, "replica %d is removed\n", id)
	return nil
}

// Times of a replacement.
const (
	replaceWithin = 2 * time.Minute
	replacePause  = 200 * time.Millisecond
)

// memberReplace goes step by step, so that the group can lose one more instance at each moment.
func (t *tool) memberReplace(old, replacement uint64, address string) error {
	if err := t.memberAdd(replacement, address); err != nil {
		return err
	}
	if err := t.retryMember(func() error { return t.memberPromote(replacement, "") }); err != nil {
		return err
	}
	return t.retryMember(func() error { return t.memberRemove(old, "") })
}

// retryMember repeats a step while the group is not ready for it.
func (t *tool) retryMember(step func() error) error {
	deadline := time.Now().Add(replaceWithin)
	for {
		err := step()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(replacePause)
	}
}

func printStatus(w io.Writer, st *pb.StatusResponse) {
	fmt.Fprintf(w, "leader: replica %d, term %d, commit index %d\n\n", st.GetLeader(), st.GetTerm(), st.GetCommitIndex())
	fmt.Fprintln(w, "REPLICA\tADDRESS\tROLE\tSYNCED")
	for _, r := range st.GetReplicas() {
		fmt.Fprintf(w, "%d\t%s\t%s\t%d\n", r.GetId(), r.GetAddress(), r.GetRole(), r.GetMatch())
	}
	fmt.Fprintln(w)
	printBundles(w, st)
	fmt.Fprintln(w)
	printEntries(w, st)
	printBackends(w, st)
	fmt.Fprintln(w, "\nJOBS\tCOUNT")
	for _, p := range st.GetJobs() {
		fmt.Fprintf(w, "%s\t%d\n", p.GetPhase(), p.GetCount())
	}
	fmt.Fprintf(w, "\nkept claims: %d\ncalls queued at %s: %d\n", st.GetClaims(), st.GetEntry(), st.GetQueuedCalls())
	fmt.Fprintf(w, "\nCOUNTER OF %s\tCOUNT\n", st.GetEntry())
	for _, r := range st.GetReasons() {
		fmt.Fprintf(w, "%s\t%d\n", r.GetReason(), r.GetCount())
	}
}

func printBundles(w io.Writer, st *pb.StatusResponse) {
	fmt.Fprintln(w, "BUNDLE\tIN FORCE\tDIGEST")
	for _, b := range st.GetBundles() {
		fmt.Fprintf(w, "%d\t%t\t%s\n", b.GetVersion(), b.GetInForce(), b.GetDigest())
	}
}

func printEntries(w io.Writer, st *pb.StatusResponse) {
	fmt.Fprintln(w, "ENTRY\tDATA CENTRE\tADDRESS\tCONFIRMED VERSION\tLEASE LEFT")
	for _, e := range st.GetEntries() {
		left := time.Duration(e.GetLeaseLeftMs()) * time.Millisecond
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", e.GetId(), e.GetDataCentre(), e.GetAddress(), e.GetConfirmedVersion(), left)
	}
}

func printBackends(w io.Writer, st *pb.StatusResponse) {
	fmt.Fprintln(w, "\nRUNNER\tDATA CENTRE\tSERVICE\tPHASE\tSLOTS\tGRANTED")
	for _, r := range st.GetRunners() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\n",
			r.GetId(), r.GetDataCentre(), r.GetService(), r.GetPhase(), r.GetSlots(), r.GetGranted())
	}
	fmt.Fprintln(w, "\nWORKER\tDATA CENTRE\tRACK\tPHASE\tTASKS\tPROCESSORS\tMEMORY MB\tACCELERATORS")
	for _, wk := range st.GetWorkers() {
		held, all := wk.GetReserved(), wk.GetCapacity()
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%.1f/%.1f\t%d/%d\t%d/%d\n",
			wk.GetId(), wk.GetDataCentre(), wk.GetRack(), wk.GetPhase(), wk.GetTasks(),
			float64(held.GetMilliProcessors())/1000, float64(all.GetMilliProcessors())/1000,
			held.GetMemoryMb(), all.GetMemoryMb(), held.GetAccelerators(), all.GetAccelerators())
	}
}

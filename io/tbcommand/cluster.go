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

// watchInterval is the time between two outputs of status --watch.
const watchInterval = 2 * time.Second

func (t *tool) addClusterCommands(app *kingpin.Application) {
	var watch bool
	status := app.Command("status", "Show the leader, entries, runners, workers, jobs and counters of refusals.")
	status.Flag("watch", "Repeat every two seconds until interrupted.").BoolVar(&watch)
	status.Flag("json", "Print JSON.").BoolVar(&t.printsJSON)
	status.Action(func(*kingpin.ParseContext) error {
		if watch {
			return t.watchStatus()
		}
		return t.showStatus()
	})
	var worker string
	drain := app.Command("drain", "Evict the tasks of a worker and place no new ones on it.")
	drain.Arg("worker", "Worker id.").Required().StringVar(&worker)
	drain.Action(func(*kingpin.ParseContext) error { return t.drainWorker(worker) })
	t.addMemberCommands(app)
}

func (t *tool) fetchStatus() (*pb.StatusResponse, error) {
	ctx, cancel := newRequestContext()
	defer cancel()
	resp, err := t.newOperatorClient().Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

func (t *tool) showStatus() error {
	st, err := t.fetchStatus()
	if err != nil {
		return err
	}
	if t.printsJSON {
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

func (t *tool) drainWorker(worker string) error {
	ctx, cancel := newRequestContext()
	defer cancel()
	resp, err := t.newOperatorClient().Drain(ctx, connect.NewRequest(&pb.DrainRequest{Worker: worker}))
	if err != nil {
		return err
	}
	if err := resultError(resp.Msg.GetResult()); err != nil {
		return err
	}
	fmt.Fprintf(t.stdout, "draining worker %q: its tasks are being evicted and no new ones are placed on it\n", worker)
	return nil
}

func (t *tool) addMemberCommands(app *kingpin.Application) {
	member := app.Command("member", "Membership of the control group.")
	t.addMemberChangeCommand(member, "add", "Add a replica that receives the log but has no vote.", true, t.addMember)
	t.addMemberChangeCommand(member, "promote", "Give a vote to a replica that has caught up.", false, t.promoteMember)
	t.addMemberChangeCommand(member, "remove", "Remove a replica; its id cannot be used again.", false, t.removeMember)
	var oldID, replacementID uint64
	var address string
	replace := member.Command("replace", "Add a replica, promote it once it has caught up, then remove the old one.")
	replace.Arg("old", "Replica id to remove.").Required().Uint64Var(&oldID)
	replace.Arg("new", "New replica id.").Required().Uint64Var(&replacementID)
	replace.Arg("address", "Peer address of the new replica.").Required().StringVar(&address)
	replace.Action(func(*kingpin.ParseContext) error { return t.replaceMember(oldID, replacementID, address) })
}

func (t *tool) addMemberChangeCommand(parent *kingpin.CmdClause, name, help string, needsAddress bool, action func(id uint64, address string) error) {
	var id uint64
	var address string
	cmd := parent.Command(name, help)
	cmd.Arg("replica", "Replica id.").Required().Uint64Var(&id)
	if needsAddress {
		cmd.Arg("address", "Peer address of the replica.").Required().StringVar(&address)
	}
	cmd.Action(func(*kingpin.ParseContext) error { return action(id, address) })
}

func (t *tool) changeMember(change pb.MemberChange, id uint64, address string) error {
	ctx, cancel := newRequestContext()
	defer cancel()
	resp, err := t.newOperatorClient().ChangeMember(ctx, connect.NewRequest(&pb.ChangeMemberRequest{
		Change: change, Replica: id, Address: address,
	}))
	if err != nil {
		return err
	}
	return resultError(resp.Msg.GetResult())
}

func (t *tool) addMember(id uint64, address string) error {
	if err := t.changeMember(pb.MemberChange_MEMBER_CHANGE_ADD_LEARNER, id, address); err != nil {
		return err
	}
	fmt.Fprintf(t.stdout, "replica %d added without a vote; promote it once it has caught up\n", id)
	return nil
}

func (t *tool) promoteMember(id uint64, _ string) error {
	if err := t.changeMember(pb.MemberChange_MEMBER_CHANGE_PROMOTE, id, ""); err != nil {
		return err
	}
	fmt.Fprintf(t.stdout, "replica %d promoted\n", id)
	return nil
}

func (t *tool) removeMember(id uint64, _ string) error {
	if err := t.changeMember(pb.MemberChange_MEMBER_CHANGE_REMOVE, id, ""); err != nil {
		return err
	}
	fmt.Fprintf(t.stdout, "replica %d removed\n", id)
	return nil
}

// Time limits of the command "member replace".
const (
	// replaceStepTimeout bounds the retries of one step.
	replaceStepTimeout   = 2 * time.Minute
	replaceRetryInterval = 200 * time.Millisecond
)

// replaceMember adds and promotes the new replica before it removes the old one, so that the
// group never has fewer voters than before the replacement.
func (t *tool) replaceMember(oldID, replacementID uint64, address string) error {
	if err := t.addMember(replacementID, address); err != nil {
		return err
	}
	if err := t.retryMemberChange(func() error { return t.promoteMember(replacementID, "") }); err != nil {
		return err
	}
	return t.retryMemberChange(func() error { return t.removeMember(oldID, "") })
}

// retryMemberChange retries a step until the group accepts it or replaceStepTimeout has passed.
func (t *tool) retryMemberChange(step func() error) error {
	deadline := time.Now().Add(replaceStepTimeout)
	for {
		err := step()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(replaceRetryInterval)
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
	if len(st.GetEvacuations()) > 0 {
		fmt.Fprintln(w)
		printEvacuations(w, st, "")
	}
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
		leaseLeft := time.Duration(e.GetLeaseLeftMs()) * time.Millisecond
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", e.GetId(), e.GetDataCentre(), e.GetAddress(), e.GetConfirmedVersion(), leaseLeft)
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
		reserved, capacity := wk.GetReserved(), wk.GetCapacity()
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%.1f/%.1f\t%d/%d\t%d/%d\n",
			wk.GetId(), wk.GetDataCentre(), wk.GetRack(), wk.GetPhase(), wk.GetTasks(),
			float64(reserved.GetMilliProcessors())/1000, float64(capacity.GetMilliProcessors())/1000,
			reserved.GetMemoryMb(), capacity.GetMemoryMb(), reserved.GetAccelerators(), capacity.GetAccelerators())
	}
}

package tbcommand

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/alecthomas/kingpin/v2"

	pb "tamarackbarrow/io/tbproto/v1"
)

func (t *tool) addEvacuationCommands(app *kingpin.Application) {
	evacuation := app.Command("evacuation", "Data centres to which no requests and tasks are sent.")
	t.addEvacuationCommand(evacuation, "start", "Send no more requests and tasks to a data centre; what runs there goes on.", true)
	t.addEvacuationCommand(evacuation, "stop", "Use a data centre again.", false)
	status := evacuation.Command("status", "Show the data centres that are or were evacuated, and how many tasks run there.")
	var dataCentre string
	status.Arg("data-centre", "Data centre; all if left out.").StringVar(&dataCentre)
	status.Action(func(*kingpin.ParseContext) error { return t.printEvacuationStatus(dataCentre) })
}

func (t *tool) addEvacuationCommand(parent *kingpin.CmdClause, name, help string, active bool) {
	var dataCentre string
	cmd := parent.Command(name, help)
	cmd.Arg("data-centre", "Data centre.").Required().StringVar(&dataCentre)
	cmd.Action(func(*kingpin.ParseContext) error { return t.setEvacuation(dataCentre, active) })
}

func (t *tool) setEvacuation(dataCentre string, active bool) error {
	ctx, cancel := newRequestContext()
	defer cancel()
	resp, err := t.newOperatorClient().Evacuate(ctx, connect.NewRequest(&pb.EvacuateRequest{DataCentre: dataCentre, Active: active}))
	if err != nil {
		return err
	}
	if err := resultError(resp.Msg.GetResult()); err != nil {
		return err
	}
	if active {
		fmt.Fprintf(t.stdout, "data centre %q is being evacuated; see evacuation status for the tasks that still run there\n", dataCentre)
		return nil
	}
	fmt.Fprintf(t.stdout, "data centre %q is used again\n", dataCentre)
	return nil
}

func (t *tool) printEvacuationStatus(dataCentre string) error {
	st, err := t.fetchStatus()
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(t.stdout, 0, 4, 2, ' ', 0)
	printEvacuations(w, st, dataCentre)
	return w.Flush()
}

// printEvacuations prints the evacuations of one data centre, or of all if dataCentre is empty.
func printEvacuations(w io.Writer, st *pb.StatusResponse, dataCentre string) {
	fmt.Fprintln(w, "DATA CENTRE\tEVACUATED\tSINCE\tTASKS")
	for _, e := range st.GetEvacuations() {
		if dataCentre == "" || e.GetDataCentre() == dataCentre {
			fmt.Fprintf(w, "%s\t%t\t%s\t%d\n", e.GetDataCentre(), e.GetActive(), time.UnixMilli(e.GetSinceMs()).UTC().Format(time.RFC3339), e.GetRuns())
		}
	}
}

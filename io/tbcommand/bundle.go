package tbcommand

import (
	"fmt"
	"text/tabwriter"

	"connectrpc.com/connect"
	"github.com/alecthomas/kingpin/v2"

	"tamarackbarrow/io/tbbundlefile"
	pb "tamarackbarrow/io/tbproto/v1"
)

func (t *tool) addBundle(app *kingpin.Application) {
	bundle := app.Command("bundle", "Versioned bundles.")
	t.addBundleFile(bundle, "check", "Report every fault of a bundle file.", t.bundleCheck)
	t.addBundleFile(bundle, "sign-off", "Store a bundle under its version number.", t.bundleSignOff)
	var version uint64
	rollOut := bundle.Command("roll-out", "Put a signed-off version in force everywhere.")
	rollOut.Arg("version", "Version number.").Required().Uint64Var(&version)
	rollOut.Action(func(*kingpin.ParseContext) error { return t.bundleRollOut(version) })
	status := bundle.Command("status", "Show versions and which entries confirmed the one in force.")
	status.Action(func(*kingpin.ParseContext) error { return t.bundleStatus() })
}

func (t *tool) addBundleFile(parent *kingpin.CmdClause, name, help string, act func(file string) error) {
	var file string
	c := parent.Command(name, help)
	c.Arg("file", "Bundle file.").Required().StringVar(&file)
	c.Action(func(*kingpin.ParseContext) error { return act(file) })
}

func (t *tool) bundleCheck(file string) error {
	source, err := readFile(file)
	if err != nil {
		return err
	}
	b, err := tbbundlefile.Parse(file, source)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.stdout, "%s: version %d is without fault, digest %s\n", file, b.Version, b.Digest)
	return nil
}

func (t *tool) bundleSignOff(file string) error {
	source, err := readFile(file)
	if err != nil {
		return err
	}
	if _, err := tbbundlefile.Parse(file, source); err != nil {
		return err
	}
	ctx, cancel := requestContext()
	defer cancel()
	answer, err := t.operator().SignOff(ctx, connect.NewRequest(&pb.SignOffRequest{Source: source}))
	if err != nil {
		return err
	}
	if err := refusal(answer.Msg.GetResult()); err != nil {
		return err
	}
	fmt.Fprintf(t.stdout, "version %d is signed off, digest %s\n", answer.Msg.GetVersion(), answer.Msg.GetDigest())
	return nil
}

// refusal returns the error for a result that is not success.
func refusal(r *pb.CommandResult) error {
	switch {
	case r.GetReason() == "":
		return nil
	case r.GetDetail() == "":
		return &refusedError{text: r.GetReason()}
	}
	return &refusedError{text: r.GetReason() + ": " + r.GetDetail()}
}

func (t *tool) bundleRollOut(version uint64) error {
	ctx, cancel := requestContext()
	defer cancel()
	answer, err := t.operator().RollOut(ctx, connect.NewRequest(&pb.RollOutRequest{Version: version}))
	if err != nil {
		return err
	}
	if err := refusal(answer.Msg.GetResult()); err != nil {
		return err
	}
	fmt.Fprintf(t.stdout, "version %d is accepted; bundle status shows where it is in force\n", version)
	return nil
}

func (t *tool) bundleStatus() error {
	st, err := t.fetchStatus()
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(t.stdout, 0, 4, 2, ' ', 0)
	printBundles(w, st)
	fmt.Fprintln(w)
	printEntries(w, st)
	return w.Flush()
}

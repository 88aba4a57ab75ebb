package tbcommand

import (
	"fmt"
	"text/tabwriter"

	"connectrpc.com/connect"
	"github.com/alecthomas/kingpin/v2"

	"tamarackbarrow/io/tbbundlefile"
	pb "tamarackbarrow/io/tbproto/v1"
)

func (t *tool) addBundleCommands(app *kingpin.Application) {
	bundle := app.Command("bundle", "Versioned bundles of services, job kinds and teams.")
	t.addBundleFileCommand(bundle, "check", "Report every error in a bundle file.", t.checkBundle)
	t.addBundleFileCommand(bundle, "sign-off", "Store a bundle under its version number.", t.signOffBundle)
	var version uint64
	rollOut := bundle.Command("roll-out", "Put a signed-off version in force everywhere.")
	rollOut.Arg("version", "Version number.").Required().Uint64Var(&version)
	rollOut.Action(func(*kingpin.ParseContext) error { return t.rollOutBundle(version) })
	status := bundle.Command("status", "Show all versions and the version that each entry has confirmed.")
	status.Action(func(*kingpin.ParseContext) error { return t.printBundleStatus() })
}

func (t *tool) addBundleFileCommand(parent *kingpin.CmdClause, name, help string, action func(file string) error) {
	var file string
	cmd := parent.Command(name, help)
	cmd.Arg("file", "Bundle file.").Required().StringVar(&file)
	cmd.Action(func(*kingpin.ParseContext) error { return action(file) })
}

func (t *tool) checkBundle(file string) error {
	source, err := readFile(file)
	if err != nil {
		return err
	}
	b, err := tbbundlefile.Parse(file, source)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.stdout, "%s: version %d is valid, digest %s\n", file, b.Version, b.Digest)
	return nil
}

func (t *tool) signOffBundle(file string) error {
	source, err := readFile(file)
	if err != nil {
		return err
	}
	if _, err := tbbundlefile.Parse(file, source); err != nil {
		return err
	}
	ctx, cancel := newRequestContext()
	defer cancel()
	resp, err := t.newOperatorClient().SignOff(ctx, connect.NewRequest(&pb.SignOffRequest{Source: source}))
	if err != nil {
		return err
	}
	if err := resultError(resp.Msg.GetResult()); err != nil {
		return err
	}
	fmt.Fprintf(t.stdout, "version %d is signed off, digest %s\n", resp.Msg.GetVersion(), resp.Msg.GetDigest())
	return nil
}

// resultError returns a refusedError unless the command succeeded.
func resultError(r *pb.CommandResult) error {
	switch {
	case r.GetReason() == "":
		return nil
	case r.GetDetail() == "":
		return &refusedError{message: r.GetReason()}
	}
	return &refusedError{message: r.GetReason() + ": " + r.GetDetail()}
}

func (t *tool) rollOutBundle(version uint64) error {
	ctx, cancel := newRequestContext()
	defer cancel()
	resp, err := t.newOperatorClient().RollOut(ctx, connect.NewRequest(&pb.RollOutRequest{Version: version}))
	if err != nil {
		return err
	}
	if err := resultError(resp.Msg.GetResult()); err != nil {
		return err
	}
	fmt.Fprintf(t.stdout, "version %d is being rolled out; see bundle status for the entries that have confirmed it\n", version)
	return nil
}

func (t *tool) printBundleStatus() error {
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

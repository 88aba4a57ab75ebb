// Command tbbench measures deployments of tamarackbarrow with simulated callers and backend
// servers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"tamarackbarrow/io/tbscenario"
)

// Exit statuses of the command.
const (
	// exitBoundMissed means that a figure missed its bound.
	exitBoundMissed = 1
	// exitFailed means that a scenario could not be run or its report could not be written.
	exitFailed = 2
)

// gcPercent is the garbage collection percentage of this process. Garbage collection in the load
// generator disturbs the measurements, and a larger heap makes it less frequent.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	app := kingpin.New("tbbench", "Measures deployments of tamarackbarrow with simulated callers and backend servers.")
	app.HelpFlag.Short('h')
	list := app.Command("list", "List the scenarios.")
	run := app.Command("run", "Run scenarios; exit status 1 when a bound is missed.")
	names := run.Arg("scenario", "Scenario names.").Required().Strings()
	seed := run.Flag("seed", "Seed of all random choices.").Default("1").Uint64()
	asJSON := run.Flag("json", "Print JSON.").Bool()
	binary := run.Flag("binary", "Path of the tamarackbarrow program.").Default(siblingPath("tamarackbarrow")).String()
	keepFolder := run.Flag("keep", "Folder in which settings, data and logs are kept; by default they are deleted.").String()
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case list.FullCommand():
		for _, s := range tbscenario.All() {
			fmt.Printf("%-12s %s\n", s.Name, s.Description)
		}
	case run.FullCommand():
		os.Exit(runAll(*names, tbscenario.Env{Binary: *binary, Folder: *keepFolder, Seed: *seed}, *asJSON))
	}
}

// siblingPath returns the path of a program in this program's folder. If this folder is unknown, it
// returns the name.
func siblingPath(name string) string {
	self, err := os.Executable()
	if err != nil {
		return name
	}
	return filepath.Join(filepath.Dir(self), name)
}

func runAll(names []string, env tbscenario.Env, asJSON bool) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	status := 0
	for _, name := range names {
		status = max(status, runOne(ctx, name, env, asJSON))
	}
	return status
}

func runOne(ctx context.Context, name string, env tbscenario.Env, asJSON bool) int {
	if env.Folder == "" {
		folder, err := os.MkdirTemp("", "tbbench-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailed
		}
		defer os.RemoveAll(folder)
		env.Folder = folder
	}
	report, err := tbscenario.Run(ctx, name, env)
	if err != nil {
		fmt.Fprintf(os.Stderr, "scenario %s failed: %v\n", name, err)
		return exitFailed
	}
	write := report.WriteTable
	if asJSON {
		write = report.WriteJSON
	}
	if err := write(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if !report.Met() {
		return exitBoundMissed
	}
	return 0
}

package tbcommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"

	"tamarackbarrow/io/tbdaemon"
	"tamarackbarrow/io/tblog"
	"tamarackbarrow/io/tbmachine"
	"tamarackbarrow/io/tbproto/v1/tbprotov1connect"
	"tamarackbarrow/io/tbsettings"
	"tamarackbarrow/io/tbtoml"
)

// Exit statuses.
const (
	exitOK = 0
	// exitRefused means that the system refused the request or could not be reached, or that the
	// explain command found no line about the job.
	exitRefused = 1
	// exitFailed means wrong usage, an invalid file or argument, or a failure of this process.
	exitFailed = 2
)

// requestTimeout bounds each request that a command sends.
const requestTimeout = 10 * time.Second

// NewAdapter is a function that creates the adapter between a daemon and an outside platform. The
// serve command calls it only if the settings configure an adapter.
type NewAdapter func(settings tbsettings.Settings, d *tbdaemon.Daemon, log hclog.Logger) tbdaemon.Adapter

// tool holds the outputs and options of a command. Only the status command sets
// printsJSON.
type tool struct {
	stdout        io.Writer
	stderr        io.Writer
	serverAddress string
	printsJSON    bool
	newAdapter    NewAdapter
	configFormat  ConfigFormat
}

// refusedError means that the system answered a request with a refusal, or that the explain
// command found no line about the job.
type refusedError struct{ message string }

// Error returns the message as it is printed for the operator.
func (e *refusedError) Error() string { return e.message }

// Run executes the command given by args and returns the exit status of the process.
func Run(args []string, stdout, stderr io.Writer, newAdapter NewAdapter, format ConfigFormat) int {
	t := &tool{stdout: stdout, stderr: stderr, newAdapter: newAdapter, configFormat: format}
	app := kingpin.New("tamarackbarrow", "Scheduler for latency-critical and batch work on shared instances.")
	app.UsageWriter(stderr).ErrorWriter(stderr)
	app.HelpFlag.Short('h')
	app.Flag("server", "Caller address of any instance.").Envar("TAMARACKBARROW_SERVER").Default("127.0.0.1:7000").StringVar(&t.serverAddress)
	t.addServeCommand(app)
	t.addSettingsCommands(app)
	t.addConfigCommands(app)
	t.addBundleCommands(app)
	t.addJobCommands(app)
	t.addClusterCommands(app)
	t.addEvacuationCommands(app)
	t.addExplainCommand(app)
	_, err := app.Parse(args)
	return t.printError(err)
}

// printError prints err, unless it is nil, and returns the exit status for it.
func (t *tool) printError(err error) int {
	var refused *refusedError
	var connectErr *connect.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &refused):
		fmt.Fprintln(t.stderr, "refused:", refused.message)
		return exitRefused
	case errors.As(err, &connectErr):
		fmt.Fprintf(t.stderr, "%s: %s\n", connectErr.Code(), connectErr.Message())
		if connectErr.Code() == connect.CodeInvalidArgument {
			return exitFailed
		}
		return exitRefused
	}
	fmt.Fprintln(t.stderr, err)
	return exitFailed
}

func (t *tool) addServeCommand(app *kingpin.Application) {
	var file, logLevel string
	cmd := app.Command("serve", "Run a daemon until SIGTERM or SIGINT.")
	cmd.Flag("settings", "Settings file.").Required().StringVar(&file)
	cmd.Flag("log-level", "trace, debug, info, warn or error.").Default("info").
		EnumVar(&logLevel, "trace", "debug", "info", "warn", "error")
	cmd.Action(func(*kingpin.ParseContext) error { return t.serve(file, logLevel) })
}

func (t *tool) serve(file, logLevel string) error {
	// SIGHUP would terminate the process before a handler is registered, so register one first.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	settings, err := tbsettings.Load(file)
	if err != nil {
		return err
	}
	machine := tbmachine.Read()
	settings.Limits = settings.Limits.Within(machine)
	tuneGarbageCollector(settings, machine)
	logOutput := tblog.New(os.Stdout, time.Now())
	defer logOutput.Close()
	newLogger := func(logOutput io.Writer) hclog.Logger {
		return hclog.New(&hclog.LoggerOptions{
			Name: "tamarackbarrow", Level: hclog.LevelFromString(logLevel), Output: logOutput, JSONFormat: true,
		})
	}
	log := newLogger(logOutput)
	log.Info("limits in force", "memoryMB", settings.Limits.MemoryMB, "memorySource", settings.Limits.MemorySource,
		"descriptors", settings.Limits.Descriptors, "descriptorsSource", settings.Limits.DescriptorsSource)
	for _, warning := range settings.Limits.Excess(machine) {
		log.Warn("limit is more than the process may use", "problem", warning)
	}
	d, err := tbdaemon.New(settings, log, newLogger(logOutput.Runs()), newLogger(logOutput.Routine()))
	if err != nil {
		return err
	}
	// An adapter is configured if any of its addresses is set.
	if a := settings.Adapter; a != (tbsettings.Adapter{StopTimeout: a.StopTimeout}) {
		d.SetAdapter(t.newAdapter(settings, d, log))
	}
	d.WatchSettings(file, hangups)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return d.Run(ctx)
}

func (t *tool) addSettingsCommands(app *kingpin.Application) {
	var file string
	settings := app.Command("settings", "Settings files of daemons.")
	check := settings.Command("check", "Report every error in a settings file, and the limits that it has on this machine.")
	check.Arg("file", "Settings file.").Required().StringVar(&file)
	check.Action(func(*kingpin.ParseContext) error {
		s, err := tbsettings.Load(file)
		if err != nil {
			return err
		}
		fmt.Fprintf(t.stdout, "%s: settings of instance %q are valid\n", file, s.ID)
		t.printLimits(s.Limits, tbmachine.Read())
		return nil
	})
}

// printLimits prints the limits that a daemon with the settings has on this machine.
func (t *tool) printLimits(l tbsettings.Limits, machine tbmachine.Resources) {
	l = l.Within(machine)
	fmt.Fprintf(t.stdout, "limits in force here: %s\n", l)
	for _, warning := range l.Excess(machine) {
		fmt.Fprintln(t.stdout, "warning:", warning)
	}
}

// readFile reads a file and reports a failure in the same form as errors in its content.
func readFile(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, tbtoml.Errors{{File: file, Message: err.Error()}}
	}
	return data, nil
}

func (t *tool) newOperatorClient() tbprotov1connect.OperatorServiceClient {
	return tbprotov1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+t.serverAddress)
}

func (t *tool) newJobClient() tbprotov1connect.JobServiceClient {
	return tbprotov1connect.NewJobServiceClient(http.DefaultClient, "http://"+t.serverAddress)
}

func newRequestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), requestTimeout)
}

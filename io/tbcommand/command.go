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
	"tamarackbarrow/io/tbproto/v1/tbprotov1connect"
	"tamarackbarrow/io/tbsettings"
	"tamarackbarrow/io/tbtoml"
)

// Exit statuses.
const (
	exitDone    = 0
	exitRefused = 1
	exitUsage   = 2
)

// requestTimeout bounds one request of the command line.
const requestTimeout = 10 * time.Second

// NewAdapter makes the adapter to an outside platform for a daemon whose settings ask for one.
type NewAdapter func(settings tbsettings.Settings, d *tbdaemon.Daemon, log hclog.Logger) tbdaemon.Adapter

// tool holds what all commands share.
type tool struct {
	stdout io.Writer
	stderr io.Writer
	server string
	json   bool
	adapt  NewAdapter
}

// refusedError is an answer that the system gave and that is not success.
type refusedError struct{ text string }

// Error returns the refusal as the operator reads it.
func (e *refusedError) Error() string { return e.text }

// Run carries out one command line and returns the exit status.
func Run(args []string, stdout, stderr io.Writer, adapt NewAdapter) int {
	t := &tool{stdout: stdout, stderr: stderr, adapt: adapt}
	app := kingpin.New("tamarackbarrow", "Schedules latency-critical and batch work on the same instances.")
	app.UsageWriter(stderr).ErrorWriter(stderr)
	app.HelpFlag.Short('h')
	app.Flag("server", "Caller address of any instance.").Envar("TAMARACKBARROW_SERVER").Default("127.0.0.1:7000").StringVar(&t.server)
	t.addServe(app)
	t.addSettings(app)
	t.addBundle(app)
	t.addJob(app)
	t.addCluster(app)
	t.addExplain(app)
	_, err := app.Parse(args)
	return t.report(err)
}

// report prints an error and chooses the exit status.
func (t *tool) report(err error) int {
	var refused *refusedError
	var connectError *connect.Error
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &refused):
		fmt.Fprintln(t.stderr, "refused:", refused.text)
		return exitRefused
	case errors.As(err, &connectError):
		fmt.Fprintf(t.stderr, "%s: %s\n", connectError.Code(), connectError.Message())
		if connectError.Code() == connect.CodeInvalidArgument {
			return exitUsage
		}
		return exitRefused
	}
	fmt.Fprintln(t.stderr, err)
	return exitUsage
}

func (t *tool) addServe(app *kingpin.Application) {
	var file, level string
	c := app.Command("serve", "Run a daemon until SIGTERM or SIGINT.")
	c.Flag("settings", "Settings file.").Required().StringVar(&file)
	c.Flag("log-level", "trace, debug, info, warn or error.").Default("info").
		EnumVar(&level, "trace", "debug", "info", "warn", "error")
	c.Action(func(*kingpin.ParseContext) error { return t.serve(file, level) })
}

func (t *tool) serve(file, level string) error {
	// Before anything else: until then the signal ends the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	settings, err := tbsettings.Load(file)
	if err != nil {
		return err
	}
	if settings.DataFolder != "" {
		tradeMemory()
	}
	out := tblog.New(os.Stdout, time.Now())
	defer out.Close()
	newLog := func(out io.Writer) hclog.Logger {
		return hclog.New(&hclog.LoggerOptions{
			Name: "tamarackbarrow", Level: hclog.LevelFromString(level), Output: out, JSONFormat: true,
		})
	}
	log := newLog(out)
	d, err := tbdaemon.New(settings, log, newLog(out.Routine()))
	if err != nil {
		return err
	}
	if a := settings.Adapter; a != (tbsettings.Adapter{StopTimeout: a.StopTimeout}) {
		d.Attach(t.adapt(settings, d, log))
	}
	d.WatchSettings(file, hup)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return d.Run(ctx)
}

func (t *tool) addSettings(app *kingpin.Application) {
	var file string
	settings := app.Command("settings", "Settings of daemons.")
	check := settings.Command("check", "Report every fault of a settings file.")
	check.Arg("file", "Settings file.").Required().StringVar(&file)
	check.Action(func(*kingpin.ParseContext) error {
		s, err := tbsettings.Load(file)
		if err != nil {
			return err
		}
		fmt.Fprintf(t.stdout, "%s: settings of instance %q are without fault\n", file, s.ID)
		return nil
	})
}

// readFile reads a file; a failure names it as all other faults of files do.
func readFile(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, tbtoml.Faults{{File: file, Problem: err.Error()}}
	}
	return data, nil
}

func (t *tool) operator() tbprotov1connect.OperatorServiceClient {
	return tbprotov1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+t.server)
}

func (t *tool) jobs() tbprotov1connect.JobServiceClient {
	return tbprotov1connect.NewJobServiceClient(http.DefaultClient, "http://"+t.server)
}

func requestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), requestTimeout)
}

package tbcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"tamarackbarrow/core/tbconfigcheck"
	"tamarackbarrow/core/tbflow"
)

// ConfigFormat reads configurations in the format of the operators of an outside platform.
type ConfigFormat interface {
	// Decode returns the entries of a configuration that can be stored, and all errors in it.
	Decode(data []byte) (tbflow.Config, []error)
	// Fetch returns the configuration in force from the control address of an instance.
	Fetch(ctx context.Context, address string) ([]byte, error)
}

// configReport is the result of a check. An empty list of errors means that the configuration can be sent.
type configReport struct {
	errors   []string
	warnings []tbconfigcheck.Finding
	changes  []tbconfigcheck.Change
}

func (t *tool) addConfigCommands(app *kingpin.Application) {
	var file, against string
	config := app.Command("config", "Configurations of queues and worker classes.")
	cmd := config.Command("check", "Print errors, entries that can never match, contradictions, and what differs from the configuration in force. Exit status: 0 without errors, 1 with errors, 2 if the check is not possible.")
	cmd.Arg("file", "Configuration file.").Required().StringVar(&file)
	cmd.Flag("against", "Configuration in force: a file, or the control address of an instance.").StringVar(&against)
	cmd.Flag("json", "Print JSON.").BoolVar(&t.printsJSON)
	cmd.Action(func(*kingpin.ParseContext) error { return t.checkConfig(file, against) })
}

func (t *tool) checkConfig(file, against string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	cfg, errs := t.configFormat.Decode(data)
	var report configReport
	for _, err := range errs {
		report.errors = append(report.errors, err.Error())
	}
	report.warnings = tbconfigcheck.Check(&cfg)
	if against != "" {
		inForce, err := t.readConfigInForce(against)
		if err != nil {
			return err
		}
		report.changes = tbconfigcheck.Diff(&inForce, &cfg)
		if len(errs) == 0 && cfg.Version <= inForce.Version {
			report.errors = append(report.errors, fmt.Sprintf("version %d is not higher than version %d in force, so that it would change nothing", cfg.Version, inForce.Version))
		}
	}
	if err := t.printConfigReport(report); err != nil {
		return err
	}
	if len(report.errors) > 0 {
		return &refusedError{message: fmt.Sprintf("%s has %d errors", file, len(report.errors))}
	}
	return nil
}

// readConfigInForce reads a configuration from a file or, if there is no such file, from an instance.
func (t *tool) readConfigInForce(source string) (tbflow.Config, error) {
	data, err := os.ReadFile(source)
	if os.IsNotExist(err) {
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		defer cancel()
		data, err = t.configFormat.Fetch(ctx, source)
	}
	if err != nil {
		return tbflow.Config{}, err
	}
	cfg, errs := t.configFormat.Decode(data)
	if len(errs) > 0 {
		return cfg, fmt.Errorf("configuration in force (%s): %w", source, errs[0])
	}
	return cfg, nil
}

func (t *tool) printConfigReport(r configReport) error {
	if t.printsJSON {
		type line map[string]string
		out := struct {
			Errors   []string `json:"errors"`
			Warnings []line   `json:"warnings"`
			Changes  []line   `json:"changes"`
		}{Errors: append([]string{}, r.errors...), Warnings: []line{}, Changes: []line{}}
		for _, f := range r.warnings {
			out.Warnings = append(out.Warnings, line{"entry": f.Entry, "problem": f.Problem})
		}
		for _, c := range r.changes {
			out.Changes = append(out.Changes, line{"entry": c.Entry, "field": c.Field, "before": c.Before, "after": c.After})
		}
		return json.NewEncoder(t.stdout).Encode(out)
	}
	for _, problem := range r.errors {
		fmt.Fprintln(t.stdout, "error:", problem)
	}
	for _, f := range r.warnings {
		fmt.Fprintf(t.stdout, "warning: %s: %s\n", f.Entry, f.Problem)
	}
	for _, c := range r.changes {
		switch {
		case c.Field == "":
			fmt.Fprintf(t.stdout, "change: %s: %s%s\n", c.Entry, c.Before, c.After)
		default:
			fmt.Fprintf(t.stdout, "change: %s: %s: %s -> %s\n", c.Entry, c.Field, c.Before, c.After)
		}
	}
	return nil
}

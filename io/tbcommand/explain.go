package tbcommand

import (
	"bufio"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

// maxLogLineBytes bounds the length of a log line.
const maxLogLineBytes = 4 << 20

// logLine is one JSON line of a daemon's log.
type logLine struct {
	// file is the base name of the log.
	file   string
	time   string
	fields map[string]any
}

func (t *tool) addExplainCommand(app *kingpin.Application) {
	var id string
	var files []string
	cmd := app.Command("explain", "Print the lines about one job from the logs of several daemons, ordered by time.")
	cmd.Arg("id", "Job id.").Required().StringVar(&id)
	cmd.Arg("file", "Log files of daemons.").Required().StringsVar(&files)
	cmd.Action(func(*kingpin.ParseContext) error {
		lines, err := readLogs(files)
		if err != nil {
			return err
		}
		matched := explain(id, lines)
		if len(matched) == 0 {
			return &refusedError{message: fmt.Sprintf("the given logs have no line about job %q", id)}
		}
		for _, l := range matched {
			fmt.Fprintln(t.stdout, l.text())
		}
		return nil
	})
}

// readLogs returns all JSON lines of the given files. It skips other lines, such as those of a panic.
func readLogs(files []string) ([]logLine, error) {
	var all []logLine
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		s := bufio.NewScanner(f)
		s.Buffer(nil, maxLogLineBytes)
		for s.Scan() {
			l := logLine{file: filepath.Base(name)}
			if json.Unmarshal(s.Bytes(), &l.fields) != nil {
				continue
			}
			l.time, _ = l.fields["@timestamp"].(string)
			all = append(all, l.splitRuns()...)
		}
		if err := s.Err(); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		if err := f.Close(); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// splitRuns returns one line for each run in the field runs, or the line itself if it has no such
// field.
func (l logLine) splitRuns() []logLine {
	runs, ok := l.fields["runs"].([]any)
	if !ok {
		return []logLine{l}
	}
	var all []logLine
	for _, run := range runs {
		text, _ := run.(string)
		single := logLine{file: l.file, time: l.time, fields: maps.Clone(l.fields)}
		delete(single.fields, "runs")
		for _, field := range strings.Fields(text) {
			if key, value, ok := strings.Cut(field, "="); ok {
				single.fields[key] = value
			}
		}
		all = append(all, single)
	}
	return all
}

// explain returns the lines about a job, ordered by time. Between the first and the last of them, it
// also returns lines about the job's workers, changes of the leader, and starts and stops of daemons.
//
// Each instance takes the time of its lines from its own clock, and the clocks may disagree. The log
// index in a line gives the actual order of decisions.
func explain(id string, lines []logLine) []logLine {
	var matched []logLine
	workers := map[string]bool{}
	for _, l := range lines {
		if l.fields["job"] != id {
			continue
		}
		matched = append(matched, l)
		if w, ok := l.fields["worker"].(string); ok {
			workers[w] = true
		}
	}
	if len(matched) == 0 {
		return nil
	}
	slices.SortStableFunc(matched, byTime)
	first, last := matched[0].time, matched[len(matched)-1].time
	for _, l := range lines {
		worker, _ := l.fields["worker"].(string)
		relevant := worker != "" && workers[worker] || isLeaderOrProcessChange(l)
		if l.fields["job"] == nil && relevant && l.time >= first && l.time <= last {
			matched = append(matched, l)
		}
	}
	slices.SortStableFunc(matched, byTime)
	return matched
}

func isLeaderOrProcessChange(l logLine) bool {
	switch l.fields["@message"] {
	case "leads", "no longer leads", "serving", "stopping":
		return true
	}
	return false
}

func byTime(a, b logLine) int { return strings.Compare(a.time, b.time) }

// text formats the line with its fields sorted by name.
func (l logLine) text() string {
	var keys []string
	for k := range l.fields {
		if !strings.HasPrefix(k, "@") {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	text := fmt.Sprintf("%s %s %v", l.time, l.file, l.fields["@message"])
	for _, k := range keys {
		text += fmt.Sprintf(" %s=%v", k, l.fields[k])
	}
	return text
}

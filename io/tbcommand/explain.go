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

// maxLogLine bounds one line of a log.
const maxLogLine = 4 << 20

// logLine is one line of a daemon's log.
type logLine struct {
	file   string
	time   string
	fields map[string]any
}

func (t *tool) addExplain(app *kingpin.Application) {
	var id string
	var files []string
	c := app.Command("explain", "Collect what several logs say of one job, in order of time.")
	c.Arg("id", "Id of the job.").Required().StringVar(&id)
	c.Arg("file", "Logs of daemons.").Required().StringsVar(&files)
	c.Action(func(*kingpin.ParseContext) error {
		lines, err := readLogs(files)
		if err != nil {
			return err
		}
		found := explain(id, lines)
		if len(found) == 0 {
			return &refusedError{text: fmt.Sprintf("no line of the given logs names job %q", id)}
		}
		for _, l := range found {
			fmt.Fprintln(t.stdout, l.text())
		}
		return nil
	})
}

// readLogs reads all lines that are JSON; other text, such as that of a crash, is left out.
func readLogs(files []string) ([]logLine, error) {
	var all []logLine
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		s := bufio.NewScanner(f)
		s.Buffer(nil, maxLogLine)
		for s.Scan() {
			l := logLine{file: filepath.Base(name)}
			if json.Unmarshal(s.Bytes(), &l.fields) != nil {
				continue
			}
			l.time, _ = l.fields["@timestamp"].(string)
			all = append(all, l.singleRuns()...)
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

// singleRuns returns a line for each run of a line about several, or the line itself.
func (l logLine) singleRuns() []logLine {
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

// explain returns the lines of a job, of what happened to the workers of its runs
// meanwhile, and of every change of the leader and of a process, in order of time.
//
// Lines of different instances are ordered by their own clocks, which may disagree;
// the log index in a line tells the true order of decisions.
func explain(id string, lines []logLine) []logLine {
	var own []logLine
	workers := map[string]bool{}
	for _, l := range lines {
		if l.fields["job"] != id {
			continue
		}
		own = append(own, l)
		if w, ok := l.fields["worker"].(string); ok {
			workers[w] = true
		}
	}
	if len(own) == 0 {
		return nil
	}
	slices.SortStableFunc(own, byTime)
	first, last := own[0].time, own[len(own)-1].time
	for _, l := range lines {
		worker, _ := l.fields["worker"].(string)
		about := worker != "" && workers[worker] || changesLeader(l)
		if l.fields["job"] == nil && about && l.time >= first && l.time <= last {
			own = append(own, l)
		}
	}
	slices.SortStableFunc(own, byTime)
	return own
}

func changesLeader(l logLine) bool {
	switch l.fields["@message"] {
	case "leads", "no longer leads", "serving", "stopping":
		return true
	}
	return false
}

func byTime(a, b logLine) int { return strings.Compare(a.time, b.time) }

// text returns the line with its fields in order of their names.
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

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
	// fileName is the base name of the log.
	fileName  string
	timestamp string
	fields    map[string]any
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
		matchedLines := linesAboutJob(id, lines)
		if len(matchedLines) == 0 {
			return &refusedError{message: fmt.Sprintf("the given logs have no line about job %q", id)}
		}
		for _, l := range matchedLines {
			fmt.Fprintln(t.stdout, l.format())
		}
		return nil
	})
}

// readLogs returns all JSON lines of the given files. It skips other lines, such as those of a panic.
func readLogs(files []string) ([]logLine, error) {
	var allLines []logLine
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		s := bufio.NewScanner(f)
		s.Buffer(nil, maxLogLineBytes)
		for s.Scan() {
			l := logLine{fileName: filepath.Base(name)}
			if json.Unmarshal(s.Bytes(), &l.fields) != nil {
				continue
			}
			l.timestamp, _ = l.fields["@timestamp"].(string)
			allLines = append(allLines, l.splitRuns()...)
		}
		if err := s.Err(); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		if err := f.Close(); err != nil {
			return nil, err
		}
	}
	return allLines, nil
}

// splitRuns returns one line for each run in the field runs, or the line itself if that field is
// missing.
func (l logLine) splitRuns() []logLine {
	runs, ok := l.fields["runs"].([]any)
	if !ok {
		return []logLine{l}
	}
	var allLines []logLine
	for _, run := range runs {
		text, _ := run.(string)
		runLine := logLine{fileName: l.fileName, timestamp: l.timestamp, fields: maps.Clone(l.fields)}
		delete(runLine.fields, "runs")
		for _, field := range strings.Fields(text) {
			if key, value, ok := strings.Cut(field, "="); ok {
				runLine.fields[key] = value
			}
		}
		allLines = append(allLines, runLine)
	}
	return allLines
}

// linesAboutJob returns the lines about a job, ordered by time. Between the first and the last of
// these lines, the result also holds lines about the job's workers, changes of the leader, starts
// and stops of daemons, and evacuations. Before them, it holds the starts of evacuations in force.
//
// Each instance takes the time of its lines from its own clock, and the clocks may disagree. The log
// index in a line gives the actual order of decisions.
func linesAboutJob(id string, lines []logLine) []logLine {
	var matchedLines []logLine
	jobWorkers := map[string]bool{}
	for _, l := range lines {
		if l.fields["job"] != id {
			continue
		}
		matchedLines = append(matchedLines, l)
		if w, ok := l.fields["worker"].(string); ok {
			jobWorkers[w] = true
		}
	}
	if len(matchedLines) == 0 {
		return nil
	}
	slices.SortStableFunc(matchedLines, compareTimestamps)
	firstTimestamp, lastTimestamp := matchedLines[0].timestamp, matchedLines[len(matchedLines)-1].timestamp
	for _, l := range lines {
		worker, _ := l.fields["worker"].(string)
		relevant := worker != "" && jobWorkers[worker] || affectsAllJobs(l)
		if l.fields["job"] == nil && relevant && l.timestamp >= firstTimestamp && l.timestamp <= lastTimestamp {
			matchedLines = append(matchedLines, l)
		}
	}
	matchedLines = append(matchedLines, evacuationsAt(firstTimestamp, lines)...)
	slices.SortStableFunc(matchedLines, compareTimestamps)
	return matchedLines
}

// evacuationsAt returns the lines about the starts of the evacuations that were in force at a time.
func evacuationsAt(timestamp string, lines []logLine) []logLine {
	last := map[any]logLine{}
	for _, l := range lines {
		message := l.fields["@message"]
		if message != "evacuation started" && message != "evacuation ended" || l.timestamp >= timestamp {
			continue
		}
		if dataCentre := l.fields["dataCentre"]; l.timestamp >= last[dataCentre].timestamp {
			last[dataCentre] = l
		}
	}
	var started []logLine
	for _, l := range last {
		if l.fields["@message"] == "evacuation started" {
			started = append(started, l)
		}
	}
	return started
}

// affectsAllJobs reports whether a line is about the leader, a process or a data centre.
func affectsAllJobs(l logLine) bool {
	switch l.fields["@message"] {
	case "leads", "no longer leads", "serving", "stopping", "evacuation started", "evacuation ended":
		return true
	}
	return false
}

func compareTimestamps(a, b logLine) int { return strings.Compare(a.timestamp, b.timestamp) }

// format formats the line with its fields sorted by name.
func (l logLine) format() string {
	var keys []string
	for k := range l.fields {
		if !strings.HasPrefix(k, "@") {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	text := fmt.Sprintf("%s %s %v", l.timestamp, l.fileName, l.fields["@message"])
	for _, k := range keys {
		text += fmt.Sprintf(" %s=%v", k, l.fields[k])
	}
	return text
}

package tbtoml

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Fault is one thing wrong with a file.
type Fault struct {
	File string
	// Line is 0 when the fault has no place of its own, such as a missing key.
	Line    int
	Key     string
	Problem string
}

// String returns the fault as "file:line: key: problem".
func (f Fault) String() string {
	place := f.File
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Key == "" {
		return fmt.Sprintf("%s: %s", place, f.Problem)
	}
	return fmt.Sprintf("%s: %s: %s", place, f.Key, f.Problem)
}

// Faults is every fault of a file in order of its lines.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// document collects faults and knows the line of each key.
type document struct {
	file   string
	lines  map[string]int
	faults Faults
}

// Parse reads a file; a syntax error is the only fault that hides others.
func Parse(file string, data []byte) (*Table, error) {
	d := &document{file: file, lines: map[string]int{}}
	tree := map[string]any{}
	if err := toml.Unmarshal(data, &tree); err != nil {
		return nil, syntaxFault(file, err)
	}
	d.findLines(data)
	return newTable(d, "", tree), nil
}

func syntaxFault(file string, err error) error {
	fault := Fault{File: file, Problem: err.Error()}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		fault.Line, _ = decode.Position()
		fault.Key = strings.Join(decode.Key(), ".")
	}
	return Faults{fault}
}

// findLines walks the syntax tree, since decoded values carry no positions.
func (d *document) findLines(data []byte) {
	var p unstable.Parser
	p.Reset(data)
	counts := map[string]int{}
	prefix := ""
	for p.NextExpression() {
		node := p.Expression()
		key, line := keyOf(&p, node)
		switch node.Kind {
		case unstable.Table:
			prefix = key
			d.lines[prefix] = line
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s[%d]", key, counts[key])
			counts[key]++
			d.lines[prefix] = line
		case unstable.KeyValue:
			d.lines[join(prefix, key)] = line
		}
	}
}

// keyOf returns the dotted key of an expression and the line where it stands.
func keyOf(p *unstable.Parser, node *unstable.Node) (string, int) {
	var parts []string
	line := 0
	for it := node.Key(); it.Next(); {
		part := it.Node()
		parts = append(parts, string(part.Data))
		if line == 0 {
			line = p.Shape(part.Raw).Start.Line
		}
	}
	return strings.Join(parts, "."), line
}

func join(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

// line returns the line of a key, or of the nearest table around it.
func (d *document) line(key string) int {
	for key != "" {
		if line, ok := d.lines[key]; ok {
			return line
		}
		dot := strings.LastIndexByte(key, '.')
		if dot < 0 {
			return 0
		}
		key = key[:dot]
	}
	return 0
}

func (d *document) add(key, format string, args ...any) {
	d.faults = append(d.faults, Fault{
		File: d.file, Line: d.line(key), Key: key, Problem: fmt.Sprintf(format, args...),
	})
}

func (d *document) sorted() Faults {
	faults := slices.Clone(d.faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return a.Line - b.Line })
	return faults
}

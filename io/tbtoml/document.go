package tbtoml

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Error is one error in a file.
type Error struct {
	File string
	// Line is 0 if the error has no position, such as a missing key of the root table.
	Line    int
	Key     string
	Message string
}

// String formats the error as "file:line: key: message"; a line of 0 and an empty key are omitted.
func (e Error) String() string {
	location := e.File
	if e.Line > 0 {
		location = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key == "" {
		return fmt.Sprintf("%s: %s", location, e.Message)
	}
	return fmt.Sprintf("%s: %s: %s", location, e.Key, e.Message)
}

// Errors lists the errors in a file, ordered by line.
type Errors []Error

// Error returns one line of text for each error.
func (errs Errors) Error() string {
	lines := make([]string, len(errs))
	for i, e := range errs {
		lines[i] = e.String()
	}
	return strings.Join(lines, "\n")
}

// document holds the line of each key of a file and the errors found so far.
type document struct {
	file      string
	lineByKey map[string]int
	errs      Errors
}

// Parse decodes the content of a file and returns the root table. Its error is
// an Errors that holds only syntax errors; Table.Finish returns all other errors.
func Parse(file string, data []byte) (*Table, error) {
	d := &document{file: file, lineByKey: map[string]int{}}
	values := map[string]any{}
	if err := toml.Unmarshal(data, &values); err != nil {
		return nil, newSyntaxError(file, err)
	}
	d.indexLines(data)
	return newTable(d, "", values), nil
}

func newSyntaxError(file string, err error) error {
	e := Error{File: file, Message: err.Error()}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		e.Line, _ = decodeErr.Position()
		e.Key = strings.Join(decodeErr.Key(), ".")
	}
	return Errors{e}
}

// indexLines records the line of each key from the syntax tree, since decoded values have no positions.
func (d *document) indexLines(data []byte) {
	var p unstable.Parser
	p.Reset(data)
	arrayTableCounts := map[string]int{}
	prefix := ""
	for p.NextExpression() {
		node := p.Expression()
		key, line := expressionKey(&p, node)
		switch node.Kind {
		case unstable.Table:
			prefix = key
			d.lineByKey[prefix] = line
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s[%d]", key, arrayTableCounts[key])
			arrayTableCounts[key]++
			d.lineByKey[prefix] = line
		case unstable.KeyValue:
			d.lineByKey[joinKey(prefix, key)] = line
		}
	}
}

// expressionKey returns the dotted key of an expression and its line.
func expressionKey(p *unstable.Parser, node *unstable.Node) (string, int) {
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

func joinKey(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

// lineOf returns the line of a key. A key without a line gets the line of the innermost enclosing
// table that has a line, or 0 if there is no such table.
func (d *document) lineOf(key string) int {
	for key != "" {
		if line, ok := d.lineByKey[key]; ok {
			return line
		}
		dotIndex := strings.LastIndexByte(key, '.')
		if dotIndex < 0 {
			return 0
		}
		key = key[:dotIndex]
	}
	return 0
}

func (d *document) addErrorf(key, format string, args ...any) {
	d.errs = append(d.errs, Error{
		File: d.file, Line: d.lineOf(key), Key: key, Message: fmt.Sprintf(format, args...),
	})
}

func (d *document) sortedErrors() Errors {
	errs := slices.Clone(d.errs)
	slices.SortStableFunc(errs, func(a, b Error) int { return a.Line - b.Line })
	return errs
}

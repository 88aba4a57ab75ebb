package tbtoml

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Table is one table of a file. Finish records the error "unknown key" for each key that was not read.
type Table struct {
	doc        *document
	keyPrefix  string
	valueByKey map[string]any
	readKeys   map[string]bool
	subtables  []*Table
}

func newTable(doc *document, keyPrefix string, valueByKey map[string]any) *Table {
	return &Table{doc: doc, keyPrefix: keyPrefix, valueByKey: valueByKey, readKeys: map[string]bool{}}
}

// Has reports whether the key is present.
func (t *Table) Has(key string) bool {
	_, ok := t.valueByKey[key]
	return ok
}

// IsString reports whether the key holds a string.
func (t *Table) IsString(key string) bool {
	_, ok := t.valueByKey[key].(string)
	return ok
}

// Errorf records an error for a key of this table.
func (t *Table) Errorf(key, format string, args ...any) {
	t.doc.addErrorf(joinKey(t.keyPrefix, key), format, args...)
}

// Finish adds an error for each key of this table and its subtables that was not read, and
// returns all errors of the file as Errors, or nil if there are none.
func (t *Table) Finish() error {
	t.addUnknownKeyErrors()
	if len(t.doc.errs) == 0 {
		return nil
	}
	return t.doc.sortedErrors()
}

func (t *Table) addUnknownKeyErrors() {
	var unknownKeys []string
	for key := range t.valueByKey {
		if !t.readKeys[key] {
			unknownKeys = append(unknownKeys, key)
		}
	}
	slices.Sort(unknownKeys)
	for _, key := range unknownKeys {
		t.Errorf(key, "unknown key")
	}
	for _, child := range t.subtables {
		child.addUnknownKeyErrors()
	}
}

// get returns the value of a key, or false if the key is absent or its value is not of type T. It
// records an error if a required key is absent or the type is wrong; wantType names the expected type.
func get[T any](t *Table, key, wantType string, isRequired bool) (T, bool) {
	t.readKeys[key] = true
	var zero T
	raw, ok := t.valueByKey[key]
	if !ok {
		if isRequired {
			t.Errorf(key, "is missing")
		}
		return zero, false
	}
	value, ok := raw.(T)
	if !ok {
		t.Errorf(key, "must be %s, is %v", wantType, raw)
		return zero, false
	}
	return value, true
}

// String returns a required string, or "" after recording an error.
func (t *Table) String(key string) string {
	v, _ := get[string](t, key, "a string", true)
	return v
}

// StringOr returns an optional string, or defaultValue if it is absent or invalid.
func (t *Table) StringOr(key, defaultValue string) string {
	if v, ok := get[string](t, key, "a string", false); ok {
		return v
	}
	return defaultValue
}

// Int returns a required integer, or 0 after recording an error.
func (t *Table) Int(key string) int64 {
	v, _ := get[int64](t, key, "a whole number", true)
	return v
}

// IntOr returns an optional integer, or defaultValue if it is absent or invalid.
func (t *Table) IntOr(key string, defaultValue int64) int64 {
	if v, ok := get[int64](t, key, "a whole number", false); ok {
		return v
	}
	return defaultValue
}

// Number returns a required integer or finite floating-point number, or 0 after recording an error.
func (t *Table) Number(key string) float64 {
	raw, ok := get[any](t, key, "a number", true)
	if !ok {
		return 0
	}
	switch v := raw.(type) {
	case int64:
		return float64(v)
	case float64:
		if !math.IsNaN(v) && !math.IsInf(v, 0) {
			return v
		}
	}
	t.Errorf(key, "must be a number, is %v", raw)
	return 0
}

// BoolOr returns an optional boolean, or defaultValue if it is absent or invalid.
func (t *Table) BoolOr(key string, defaultValue bool) bool {
	if v, ok := get[bool](t, key, "true or false", false); ok {
		return v
	}
	return defaultValue
}

// Duration returns a required duration such as "250ms", or 0 after recording an error.
func (t *Table) Duration(key string) time.Duration {
	if !t.Has(key) {
		// Records that the key is missing.
		get[string](t, key, "", true)
		return 0
	}
	return t.DurationOr(key, 0)
}

// DurationOr returns an optional duration, or defaultValue if it is absent or invalid.
func (t *Table) DurationOr(key string, defaultValue time.Duration) time.Duration {
	text, ok := get[string](t, key, `a duration such as "250ms"`, false)
	if !ok {
		return defaultValue
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Errorf(key, `must be a duration such as "250ms", is %q`, text)
		return defaultValue
	}
	return d
}

// Strings returns an optional list of strings. It omits each element of another type and records an
// error for it.
func (t *Table) Strings(key string) []string {
	raw, ok := get[[]any](t, key, "a list of strings", false)
	if !ok {
		return nil
	}
	var elements []string
	for _, item := range raw {
		text, ok := item.(string)
		if !ok {
			t.Errorf(key, "must be a list of strings, contains %v", item)
			continue
		}
		elements = append(elements, text)
	}
	return elements
}

// Tables returns an optional list of tables. It omits each element of another type and records an
// error for it.
func (t *Table) Tables(key string) []*Table {
	raw, ok := get[[]any](t, key, "a list of tables", false)
	if !ok {
		return nil
	}
	var elements []*Table
	for i, item := range raw {
		valueByKey, ok := item.(map[string]any)
		if !ok {
			t.Errorf(key, "must be a list of tables, contains %v", item)
			continue
		}
		child := newTable(t.doc, fmt.Sprintf("%s[%d]", joinKey(t.keyPrefix, key), i), valueByKey)
		t.subtables = append(t.subtables, child)
		elements = append(elements, child)
	}
	return elements
}

// Table returns an optional table, or an empty one if it is absent or invalid.
func (t *Table) Table(key string) *Table {
	valueByKey, ok := get[map[string]any](t, key, "a table", false)
	if !ok {
		valueByKey = nil
	}
	child := newTable(t.doc, joinKey(t.keyPrefix, key), valueByKey)
	t.subtables = append(t.subtables, child)
	return child
}

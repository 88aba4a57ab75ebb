package tbscenario

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Figure is one measured value.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Bound limits the value; Compare is "<=", ">=" or empty for no bound.
	Bound   float64 `json:"bound,omitempty"`
	Compare string  `json:"compare,omitempty"`
	// Met is true for a figure without a bound.
	Met bool `json:"met"`
}

// Report is the result of one scenario.
type Report struct {
	Scenario string   `json:"scenario"`
	Seed     uint64   `json:"seed"`
	Figures  []Figure `json:"figures"`
	Notes    []string `json:"notes,omitempty"`
}

// Add adds a figure without a bound.
func (r *Report) Add(name string, value float64, unit string) {
	r.Figures = append(r.Figures, Figure{Name: name, Value: round(value), Unit: unit, Met: true})
}

// AtMost adds a figure that must not exceed bound.
func (r *Report) AtMost(name string, value, bound float64, unit string) {
	r.Figures = append(r.Figures, Figure{Name: name, Value: round(value), Unit: unit, Bound: bound, Compare: "<=", Met: value <= bound})
}

// AtLeast adds a figure that must not be below bound.
func (r *Report) AtLeast(name string, value, bound float64, unit string) {
	r.Figures = append(r.Figures, Figure{Name: name, Value: round(value), Unit: unit, Bound: bound, Compare: ">=", Met: value >= bound})
}

// Note adds a formatted line of text.
func (r *Report) Note(format string, args ...any) {
	r.Notes = append(r.Notes, fmt.Sprintf(format, args...))
}

// Met reports whether every bound is met.
func (r *Report) Met() bool {
	for _, f := range r.Figures {
		if !f.Met {
			return false
		}
	}
	return true
}

// round rounds to four decimals; NaN and infinities, which JSON cannot hold, become 0.
func round(v float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return math.Round(v*10000) / 10000
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the report as a text table.
func (r *Report) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "scenario %s, seed %d\n", r.Scenario, r.Seed)
	for _, f := range r.Figures {
		bound, verdict := "", ""
		if f.Compare != "" {
			bound = fmt.Sprintf("%s %g", f.Compare, f.Bound)
			verdict = "met"
			if !f.Met {
				verdict = "MISSED"
			}
		}
		fmt.Fprintf(w, "  %s\t%g %s\t%s\t%s\n", f.Name, f.Value, f.Unit, bound, verdict)
	}
	for _, note := range r.Notes {
		fmt.Fprintf(w, "  note: %s\n", note)
	}
	return w.Flush()
}

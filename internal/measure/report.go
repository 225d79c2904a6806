package measure

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strconv"
	"text/tabwriter"
)

// Report is the result of a measurement: a table for people and named values for comparison.
type Report struct {
	Name    string             `json:"name"`
	Columns []string           `json:"columns"`
	Rows    [][]string         `json:"rows"`
	Values  map[string]float64 `json:"values"`
	Targets map[string]string  `json:"aims,omitempty"` // by name of the value; they are called aims in the output
}

func newReport(name string, columns ...string) *Report {
	return &Report{Name: name, Columns: columns, Values: map[string]float64{}, Targets: map[string]string{}}
}

// addRow adds a row to the table. Floating-point cells are printed with one decimal place.
func (r *Report) addRow(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		switch v := c.(type) {
		case float64:
			row[i] = strconv.FormatFloat(v, 'f', 1, 64)
		default:
			row[i] = fmt.Sprint(v)
		}
	}
	r.Rows = append(r.Rows, row)
}

// setValue sets a value and its target, which may be empty.
func (r *Report) setValue(name string, value float64, target string) {
	r.Values[name] = value
	if target != "" {
		r.Targets[name] = target
	}
}

// Write writes the table, then a line `name: value` for each value, in the order of names, with its target if it
// has one.
func (r *Report) Write(w io.Writer) error {
	var text bytes.Buffer
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{r.Columns}, r.Rows...) {
		var line bytes.Buffer
		for _, cell := range row {
			fmt.Fprint(&line, cell, "\t")
		}
		fmt.Fprintln(&line)
		if _, err := table.Write(line.Bytes()); err != nil {
			return err
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(&text)
	names := make([]string, 0, len(r.Values))
	for name := range r.Values {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		value := strconv.FormatFloat(r.Values[name], 'g', 5, 64)
		if target := r.Targets[name]; target != "" {
			value += "   (aim: " + target + ")"
		}
		fmt.Fprintf(&text, "%s: %s\n", name, value)
	}
	_, err := w.Write(text.Bytes())
	return err
}

// WriteJSON writes the whole report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

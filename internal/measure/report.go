package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strconv"
	"text/tabwriter"
)

// Report is what a measurement found: a table to read and values to compare.
type Report struct {
	Name    string             `json:"name"`
	Columns []string           `json:"columns"`
	Rows    [][]string         `json:"rows"`
	Values  map[string]float64 `json:"values"`
	Targets map[string]string  `json:"aims,omitempty"`
}

func newReport(name string, columns ...string) *Report {
	return &Report{Name: name, Columns: columns, Values: map[string]float64{}, Targets: map[string]string{}}
}

func (r *Report) addRow(cells ...any) {
	out := make([]string, len(cells))
	for i, c := range cells {
		switch v := c.(type) {
		case float64:
			out[i] = strconv.FormatFloat(v, 'f', 1, 64)
		default:
			out[i] = fmt.Sprint(v)
		}
	}
	r.Rows = append(r.Rows, out)
}

func (r *Report) setValue(name string, value float64, aim string) {
	r.Values[name] = value
	if aim != "" {
		r.Targets[name] = aim
	}
}

// Write writes the table, then a line `name: value` for each value, the aim behind it.
func (r *Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(cells []string) {
		for _, c := range cells {
			fmt.Fprint(t, c, "\t")
		}
		fmt.Fprintln(t)
	}
	line(r.Columns)
	for _, row := range r.Rows {
		line(row)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	names := make([]string, 0, len(r.Values))
	for name := range r.Values {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		text := strconv.FormatFloat(r.Values[name], 'g', 5, 64)
		if aim := r.Targets[name]; aim != "" {
			text += "   (aim: " + aim + ")"
		}
		if _, err := fmt.Fprintf(w, "%s: %s\n", name, text); err != nil {
			return err
		}
	}
	return nil
}

// WriteJSON writes the whole report as one object.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

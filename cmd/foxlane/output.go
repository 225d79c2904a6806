package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
)

// printer writes a command's output. It keeps the first error and stops writing, so one check at the end is enough.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

// printTable writes a table with aligned columns. Each cell that write prints must end with a tab.
func printTable(w io.Writer, flags uint, write func(*printer)) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', flags)
	p := &printer{w: t}
	write(p)
	return errors.Join(p.err, t.Flush())
}

// printJSON writes a value as indented JSON.
func printJSON(w io.Writer, value any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

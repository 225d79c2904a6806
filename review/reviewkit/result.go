package main

import (
	"fmt"
	"strings"

	"foxlane/internal/standin"
)

// pageBytes is the size up to which an engine fills a page.
const pageBytes = 6000

// resultRows returns the rows of a result. Each names its owner and its table, so that a row in another client's
// answer is recognized.
func resultRows(table string, bytes int) (rows []string) {
	note := strings.Repeat("n", 90)
	for size := 0; size < bytes; {
		row := fmt.Sprintf("%s\t%d\t%s", table, len(rows), note)
		rows = append(rows, row)
		size += len(row) + 1
	}
	return rows
}

// resultPages returns the pages of rows, as an engine sends them.
func resultPages(rows []string) (pages []string) {
	var page strings.Builder
	for _, row := range rows {
		if page.Len()+len(row)+1 > pageBytes {
			pages = append(pages, page.String())
			page.Reset()
		}
		page.WriteString(row + "\n")
	}
	return append(pages, page.String())
}

// serveTables returns the handler of an engine whose tables all have results of the same size.
func serveTables(bytes int) func(standin.Request) standin.Reply {
	return func(request standin.Request) standin.Reply {
		table := request.Statement[strings.LastIndexByte(request.Statement, '.')+1:]
		return standin.Reply{Status: "served", Pages: resultPages(resultRows(table, bytes))}
	}
}

// firstDifference describes the first row of got that is not the row of want, or returns "".
func firstDifference(got, want []string) string {
	for i := range max(len(got), len(want)) {
		switch {
		case i >= len(got):
			return fmt.Sprintf("row %d is missing: %.40q", i, want[i])
		case i >= len(want):
			return fmt.Sprintf("row %d is too much: %.40q", i, got[i])
		case got[i] != want[i]:
			return fmt.Sprintf("row %d is %.40q, not %.40q", i, got[i], want[i])
		}
	}
	return ""
}

// rowsDiffer returns an error that describes the first row of got that is not the row of want, or nil.
func rowsDiffer(got, want []string) error {
	if difference := firstDifference(got, want); difference != "" {
		return fmt.Errorf("wrong rows: %s", difference)
	}
	return nil
}

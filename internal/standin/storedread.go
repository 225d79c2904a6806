package standin

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// StoredRead is what a client reads of a result of ServeTable, from the engine or from a gateway's result store.
type StoredRead struct {
	Count     int    // rows of the result
	Handle    string // from the row #handle
	Rows      int    // rows that have come; a read by handle that begins with a later chunk is given its first row
	Chunks    int    // complete chunks
	ChunkRows int    // Rows when the last chunk was complete
	Wrong     string // describes the first row that is not the next one; empty: none
	Err       error  // how the answer ended; nil: with its last row
}

// Read sends a statement and reads its answer within the timeout. afterRow is called with Rows after each row.
func (r *StoredRead) Read(client *Client, statement string, timeout time.Duration, afterRow func(rows int)) {
	r.Err = client.QueryRows(statement, timeout, func(packet []byte) {
		switch columns := textColumns(packet); {
		case columns[0] == "#handle":
			r.Handle = columns[1]
			return
		case columns[0] == "#page":
			r.Chunks, r.ChunkRows = r.Chunks+1, r.Rows
			return
		case r.Wrong == "" && strings.Join(columns, "\t") != TableRow(r.Rows):
			r.Wrong = fmt.Sprintf("row %d is %q", r.Rows, columns)
		}
		r.Rows++
		afterRow(r.Rows)
	})
}

// Whole reports whether the whole result has come.
func (r *StoredRead) Whole() bool { return r.Err == nil && r.Wrong == "" && r.Rows == r.Count }

// EndedBy reports whether the answer ended with an error of the gateway that has the code, after right rows, and before its
// last row.
func (r *StoredRead) EndedBy(code uint16) bool {
	var serverErr *ServerError
	return errors.As(r.Err, &serverErr) && serverErr.Code == code && r.Wrong == ""
}

// String describes how far the read has come.
func (r *StoredRead) String() string {
	return fmt.Sprintf("%d of %d rows, error %v, wrong: %q", r.Rows, r.Count, r.Err, r.Wrong)
}

// textColumns decodes a row of text columns, each shorter than 251 bytes. There are three at least.
func textColumns(packet []byte) (row []string) {
	for len(packet) > 0 && int(packet[0]) < len(packet) {
		end := 1 + int(packet[0])
		row = append(row, string(packet[1:end]))
		packet = packet[end:]
	}
	return append(row, make([]string, max(0, 3-len(row)))...)
}

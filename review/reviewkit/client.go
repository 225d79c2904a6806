package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"foxlane/internal/standin"
)

// answer is a result as a client has read it.
type answer struct {
	handle string   // from the row #handle, if there was one
	rows   []string // the rows of the result, with a tab between columns
}

// connectTimeout is how long a client waits until it has logged in.
const connectTimeout = 5 * time.Second

// connect logs in to a gateway.
func (g *gateway) connect() (*standin.Client, error) {
	return standin.Connect(g.listen, netip.Addr{}, connectTimeout)
}

// requestID returns a new request id.
func requestID() string {
	var id [8]byte
	_, _ = rand.Read(id[:]) // never fails, by its documentation
	return hex.EncodeToString(id[:])
}

// reportQuery returns a query of the class report. With store, its client asks for a handle to the stored result.
func reportQuery(owner, table string, timeout time.Duration, store bool) string {
	stored := ""
	if store {
		stored = ",spool=1"
	}
	return fmt.Sprintf("/* kind=report,req=%s,timeout=%d,owner=%s%s */ SELECT owner, line, note FROM sales_17.%s", requestID(), timeout.Milliseconds(),
		owner, stored, table)
}

// resumeQuery returns the command that reads a stored result again.
func resumeQuery(owner, handle string) string {
	return fmt.Sprintf("/* resume=%s,owner=%s */ FETCH", handle, owner)
}

// read sends a statement and reads its whole answer, and writes both to the record. onRow, if it is not nil, is called
// after each row.
func (r *run) read(client *standin.Client, statement string, timeout time.Duration, onRow func()) (a answer, err error) {
	r.trace("session %d sent: %s", client.ConnectionID, statement)
	defer func() { r.trace("session %d got %d rows, error %v", client.ConnectionID, len(a.rows), err) }()
	err = client.QueryRows(statement, timeout, func(packet []byte) {
		a.add(columns(packet))
		if onRow != nil {
			onRow()
		}
	})
	return a, err
}

// add adds a row. The rows #handle and #page are not part of the result.
func (a *answer) add(row []string) {
	switch row[0] {
	case "#handle":
		a.handle = row[1]
	case "#page":
	default:
		a.rows = append(a.rows, strings.Join(row, "\t"))
	}
}

// columns decodes a row of text columns, each shorter than 251 bytes.
func columns(packet []byte) (row []string) {
	for len(packet) > 0 && int(packet[0]) < len(packet) {
		end := 1 + int(packet[0])
		row = append(row, string(packet[1:end]))
		packet = packet[end:]
	}
	return append(row, make([]string, max(0, 3-len(row)))...)
}

// ask connects to the gateway, sends a statement and reads its whole answer.
func (g *gateway) ask(statement string, timeout time.Duration) (answer, error) {
	return g.run.askAt(g.listen, statement, timeout)
}

// askAt connects to an address, sends a statement and reads its whole answer.
func (r *run) askAt(address, statement string, timeout time.Duration) (answer, error) {
	client, err := standin.Connect(address, netip.Addr{}, connectTimeout)
	if err != nil {
		return answer{}, err
	}
	defer client.Close()
	return r.read(client, statement, timeout, nil)
}

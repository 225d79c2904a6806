// Package engine owns the line protocol that is spoken with engines: commands
// are appended to a buffer, answers are cut from a stream. It must never do
// I/O or decide anything; an answer that breaks the form ends the stream with
// a typed error.
package engine

import (
	"bytes"
	"errors"
	"strconv"

	"foxlane/internal/framebuf"
)

// Errors of a stream of answers.
var (
	ErrLineTooLong = errors.New("engine: line is too long")
	ErrBodyTooLong = errors.New("engine: body is too long")
	ErrMalformed   = errors.New("engine: malformed answer")
	ErrUnknownKind = errors.New("engine: unknown word")
	ErrBadField    = errors.New("engine: unusable field")
)

// Kind is what an answer says.
type Kind int

// Words.
const (
	Served Kind = iota + 1
	Overloaded
	Errored
	NotExecuted
	FurtherPage
	Healthy
	Unhealthy
	Progress // how a request that runs gets on; no end of it
)

var kindOf = map[string]Kind{
	"served": Served, "overload": Overloaded, "crashed": Errored, "nobody": NotExecuted, "rows": FurtherPage, "green": Healthy, "red": Unhealthy, "update": Progress,
}

// Answer is one answer. Its bytes are valid until the next Feed.
type Answer struct {
	ID        []byte
	Kind      Kind
	PageCount int     // pages of the result, with Served
	Page      int     // number of the page, with Rows
	WorkMS    float64 // work in milliseconds; 0: not told
	MemoryMB  float64 // memory in MB; 0: not told
	Report    []byte  // load report, as it came; nil: none
	Body      []byte
}

// Decoder cuts an engine's stream into answers.
type Decoder struct {
	MaxLineBytes int
	MaxBodyBytes int
	in           framebuf.Buffer
}

// Feed adds bytes that have come; they are copied.
func (d *Decoder) Feed(p []byte) { d.in.Add(p) }

// Buffered is how many bytes wait for the rest of their answer.
func (d *Decoder) Buffered() int { return d.in.Len() }

var crlf = []byte("\r\n")

// Next returns the next whole answer, or ok false if there is none yet.
// After an error the stream can't be read on.
func (d *Decoder) Next() (a Answer, ok bool, err error) {
	b := d.in.Bytes()
	end := bytes.Index(b[:min(len(b), d.MaxLineBytes)], crlf)
	if end < 0 {
		if len(b) >= d.MaxLineBytes {
			return a, false, ErrLineTooLong
		}
		if !printable(bytes.TrimSuffix(b, crlf[:1])) {
			return a, false, ErrMalformed // it need not wait for an end that noise may never have
		}
		return a, false, nil
	}
	a, size, err := parse(b[:end])
	if err != nil {
		return a, false, err
	}
	if size > d.MaxBodyBytes {
		return a, false, ErrBodyTooLong
	}
	whole := end + len(crlf) + size + len(crlf)
	if len(b) < whole {
		return a, false, nil
	}
	if !bytes.Equal(b[whole-len(crlf):whole], crlf) {
		return a, false, ErrMalformed
	}
	a.Body = b[end+len(crlf) : whole-len(crlf) : whole-len(crlf)]
	d.in.Skip(whole)
	return a, true, nil
}

func printable(b []byte) bool {
	for _, c := range b {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return true
}

func parse(line []byte) (a Answer, size int, err error) {
	id, rest, ok1 := bytes.Cut(line, []byte{' '})
	word, rest, ok2 := bytes.Cut(rest, []byte{' '})
	fields, length, ok3 := bytes.Cut(rest, []byte{' '})
	if !ok1 || !ok2 || !ok3 || len(id) == 0 {
		return a, 0, ErrMalformed
	}
	size, ok := number(length)
	if !ok {
		return a, 0, ErrMalformed
	}
	a.ID = id
	if a.Kind = kindOf[string(word)]; a.Kind == 0 {
		return a, 0, ErrUnknownKind
	}
	return a, size, a.fields(fields)
}

// number reads decimal digits.
func number(b []byte) (int, bool) {
	n := 0
	for _, c := range b {
		if c < '0' || c > '9' || n > 1<<30 {
			return 0, false
		}
		n = 10*n + int(c-'0')
	}
	return n, len(b) > 0
}

// fields reads those that are known; others are let pass.
func (a *Answer) fields(b []byte) error {
	if string(b) == "-" {
		return nil
	}
	for len(b) > 0 {
		var field []byte
		field, b, _ = bytes.Cut(b, []byte{','})
		name, value, ok := bytes.Cut(field, []byte{'='})
		if !ok {
			return ErrBadField
		}
		switch string(name) {
		case "total":
			a.PageCount, ok = number(value)
		case "index":
			a.Page, ok = number(value)
		case "elapsed":
			a.WorkMS, ok = decimal(value)
		case "rss":
			a.MemoryMB, ok = decimal(value)
		case "rep":
			a.Report = value
		}
		if !ok {
			return ErrBadField
		}
	}
	return nil
}

// maxFigure is over all that milliseconds, megabytes or a report can be.
const maxFigure = 1e9

// decimal reads a figure that is not negative and within bounds.
func decimal(b []byte) (float64, bool) {
	f, err := strconv.ParseFloat(string(b), 64)
	return f, err == nil && f >= 0 && f < maxFigure
}

// ParseReport reads a load report such as inflight:7;util:0.61. What can't be read is left out.
func ParseReport(b []byte) map[string]float64 {
	if len(b) == 0 {
		return nil
	}
	out := map[string]float64{}
	for len(b) > 0 {
		var part []byte
		part, b, _ = bytes.Cut(b, []byte{';'})
		if name, value, ok := bytes.Cut(part, []byte{':'}); ok {
			if f, ok := decimal(value); ok {
				out[string(name)] = f
			}
		}
	}
	return out
}

// Request is a request.
type Request struct {
	ID             string
	Class          string
	TimeoutMS      int64 // milliseconds
	MemoryMB       int64 // 0: the engine chooses
	Priority       int
	IdempotencyKey string // the key by which engines drop repeats, as the client sent it; empty: none
	Statement      []byte
}

// DefaultPriority is that of a request that names none.
const DefaultPriority = 1

// AppendRequest appends a request.
func AppendRequest(dst []byte, a Request) []byte {
	dst = append(append(dst, "ASK "...), a.ID...)
	dst = append(append(dst, " lane="...), a.Class...)
	dst = strconv.AppendInt(append(dst, ",ttl="...), a.TimeoutMS, 10)
	if a.MemoryMB > 0 {
		dst = strconv.AppendInt(append(dst, ",pool="...), a.MemoryMB, 10)
	}
	if a.Priority != DefaultPriority {
		dst = strconv.AppendInt(append(dst, ",band="...), int64(a.Priority), 10)
	}
	if a.IdempotencyKey != "" {
		dst = append(append(dst, ",dedupe="...), a.IdempotencyKey...)
	}
	dst = strconv.AppendInt(append(dst, ' '), int64(len(a.Statement)), 10)
	dst = append(append(dst, crlf...), a.Statement...)
	return append(dst, crlf...)
}

func appendCommand(dst []byte, verb, id string) []byte {
	return append(append(append(dst, verb...), ' '), id...)
}

func appendNumbered(dst []byte, verb, id string, n int) []byte {
	dst = append(appendCommand(dst, verb, id), ' ')
	return append(strconv.AppendInt(dst, int64(n), 10), crlf...)
}

// AppendCancel gives a request up.
func AppendCancel(dst []byte, id string) []byte {
	return append(appendCommand(dst, "QUIT", id), crlf...)
}

// AppendRelease says that no more pages are wanted.
func AppendRelease(dst []byte, id string) []byte {
	return append(appendCommand(dst, "FREE", id), crlf...)
}

// AppendPriority names a new priority.
func AppendPriority(dst []byte, id string, n int) []byte { return appendNumbered(dst, "PRIO", id, n) }

// AppendFetchPage asks for a page.
func AppendFetchPage(dst []byte, id string, n int) []byte { return appendNumbered(dst, "NEXT", id, n) }

// AppendProbe asks for health and load.
func AppendProbe(dst []byte, tag string) []byte {
	return append(appendCommand(dst, "INFO", tag), crlf...)
}

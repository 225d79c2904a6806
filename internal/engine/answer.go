// Package engine owns the line protocol of engines: it encodes commands and
// decodes answers. It must never do I/O or decide anything; an answer that
// violates the protocol ends the stream with a typed error.
//
// answer.go has answers, command.go commands.
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

// Kind is the type of an answer.
type Kind int

// Kinds of answers, each with the protocol's word for it.
const (
	Served      Kind = iota + 1 // "served": the first page of the result
	Overloaded                  // "overload": not executed, the engine is full
	Errored                     // "crashed": an error, the request may have been executed
	NotExecuted                 // "nobody": not executed, the request was over already
	FurtherPage                 // "rows": a page that was fetched
	Healthy                     // "green": result of a health check
	Unhealthy                   // "red": result of a health check
	Progress                    // "update": the request is running; a further answer follows
)

var kindOf = map[string]Kind{
	"served": Served, "overload": Overloaded, "crashed": Errored, "nobody": NotExecuted, "rows": FurtherPage,
	"green": Healthy, "red": Unhealthy, "update": Progress,
}

// Answer is one answer. Its bytes are valid until the next Feed.
type Answer struct {
	ID        []byte
	Kind      Kind
	PageCount int     // pages of the result, with Served
	Page      int     // number of the page, with FurtherPage
	WorkMS    float64 // work in milliseconds; 0: not reported
	MemoryMB  float64 // memory in MB; 0: not reported
	Report    []byte  // load report, for ParseReport; nil: none
	Body      []byte
}

// Decoder splits an engine's stream into answers.
type Decoder struct {
	MaxLineBytes int
	MaxBodyBytes int
	in           framebuf.Buffer
}

// Feed adds received bytes. They are copied.
func (d *Decoder) Feed(p []byte) { d.in.Add(p) }

// Buffered is the number of bytes of an incomplete answer.
func (d *Decoder) Buffered() int { return d.in.Len() }

var crlf = []byte("\r\n")

// Next returns the next complete answer, or ok false if there is none yet.
// After an error the stream can't be decoded any further.
func (d *Decoder) Next() (a Answer, ok bool, err error) {
	b := d.in.Bytes()
	end := bytes.Index(b[:min(len(b), d.MaxLineBytes)], crlf)
	if end < 0 {
		if len(b) >= d.MaxLineBytes {
			return a, false, ErrLineTooLong
		}
		if !printable(bytes.TrimSuffix(b, crlf[:1])) {
			return a, false, ErrMalformed // noise may never contain an end of line
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

// fields reads the known fields and ignores others.
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

// maxFigure is more than any plausible number of milliseconds or megabytes, or value of a report.
const maxFigure = 1e9

// decimal reads a number that is not negative and at most maxFigure.
func decimal(b []byte) (float64, bool) {
	f, err := strconv.ParseFloat(string(b), 64)
	return f, err == nil && f >= 0 && f < maxFigure
}

// ParseReport reads a load report such as inflight:7;util:0.61. Malformed parts are left out.
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

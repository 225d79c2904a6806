// Package engine implements the line protocol of engines: it encodes commands (command.go) and decodes answers
// (answer.go). It must not do I/O or make decisions. An answer that violates the protocol ends the stream with one of
// the errors declared here.
package engine

import (
	"bytes"
	"errors"
	"strconv"

	"foxlane/internal/framebuf"
)

// Errors of Decoder.Next.
var (
	ErrLineTooLong = errors.New("engine: line too long")
	ErrBodyTooLong = errors.New("engine: body too long")
	ErrMalformed   = errors.New("engine: malformed answer")
	ErrUnknownKind = errors.New("engine: unknown kind of answer")
	ErrBadField    = errors.New("engine: invalid field")
)

// Kind is the type of an answer.
type Kind int

// Kinds of answers, each with its keyword in the protocol.
const (
	Served      Kind = iota + 1 // "served": the first page of the result
	Overloaded                  // "overload": not executed, since the engine is at capacity
	Errored                     // "crashed": failed; the request may have been executed
	NotExecuted                 // "nobody": not executed, since the request had already ended
	FurtherPage                 // "rows": a fetched page of the result
	Healthy                     // "green": result of a health check
	Unhealthy                   // "red": result of a health check
	Progress                    // "update": the request is running; another answer follows
)

var kindByKeyword = map[string]Kind{
	"served": Served, "overload": Overloaded, "crashed": Errored, "nobody": NotExecuted, "rows": FurtherPage,
	"green": Healthy, "red": Unhealthy, "update": Progress,
}

// Answer is one decoded answer. Its byte slices are valid until the next Feed.
type Answer struct {
	ID        []byte // of the request, or the tag of a health check
	Kind      Kind
	PageCount int     // number of pages of the result; for Served
	Page      int     // number of the page; for FurtherPage
	WorkMS    float64 // work in milliseconds; 0: not reported
	MemoryMB  float64 // memory used in MB; 0: not reported
	Report    []byte  // load report, to be parsed by ParseReport; nil: none
	Body      []byte
}

// Decoder decodes the byte stream of an engine into answers. Its limits must be set.
type Decoder struct {
	MaxLineBytes int
	MaxBodyBytes int
	buffer       framebuf.Buffer // bytes received and not decoded yet
}

// Feed adds received bytes, which it copies.
func (d *Decoder) Feed(p []byte) { d.buffer.Add(p) }

// Buffered returns the number of bytes that are received but not decoded.
func (d *Decoder) Buffered() int { return d.buffer.Len() }

// Capacity returns the number of bytes that the decoder's buffer occupies.
func (d *Decoder) Capacity() int { return d.buffer.Capacity() }

var crlf = []byte("\r\n")

// Next returns the next complete answer; ok is false if there is none yet. After an error the rest of the stream
// can't be decoded.
func (d *Decoder) Next() (a Answer, ok bool, err error) {
	b := d.buffer.Bytes()
	end := bytes.Index(b[:min(len(b), d.MaxLineBytes)], crlf)
	if end < 0 {
		if len(b) >= d.MaxLineBytes {
			return a, false, ErrLineTooLong
		}
		if !isPrintable(bytes.TrimSuffix(b, crlf[:1])) {
			return a, false, ErrMalformed // reported now, since garbage may never contain an end of line
		}
		return a, false, nil
	}
	a, size, err := parseHeader(b[:end])
	if err != nil {
		return a, false, err
	}
	if size > d.MaxBodyBytes {
		return a, false, ErrBodyTooLong
	}
	answerLen := end + len(crlf) + size + len(crlf)
	if len(b) < answerLen {
		return a, false, nil
	}
	if !bytes.Equal(b[answerLen-len(crlf):answerLen], crlf) {
		return a, false, ErrMalformed
	}
	a.Body = b[end+len(crlf) : answerLen-len(crlf) : answerLen-len(crlf)]
	d.buffer.Skip(answerLen)
	return a, true, nil
}

func isPrintable(b []byte) bool {
	for _, c := range b {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return true
}

func parseHeader(line []byte) (a Answer, size int, err error) {
	id, rest, ok1 := bytes.Cut(line, []byte{' '})
	keyword, rest, ok2 := bytes.Cut(rest, []byte{' '})
	fields, length, ok3 := bytes.Cut(rest, []byte{' '})
	if !ok1 || !ok2 || !ok3 || len(id) == 0 {
		return a, 0, ErrMalformed
	}
	size, ok := parseNumber(length)
	if !ok {
		return a, 0, ErrMalformed
	}
	a.ID = id
	if a.Kind = kindByKeyword[string(keyword)]; a.Kind == 0 {
		return a, 0, ErrUnknownKind
	}
	return a, size, a.parseFields(fields)
}

// parseNumber parses a non-negative decimal integer.
func parseNumber(b []byte) (int, bool) {
	n := 0
	for _, c := range b {
		if c < '0' || c > '9' || n > 1<<30 {
			return 0, false
		}
		n = 10*n + int(c-'0')
	}
	return n, len(b) > 0
}

// parseFields sets the fields of the answer from a comma-separated list ("-": none). It ignores unknown fields.
func (a *Answer) parseFields(b []byte) error {
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
			a.PageCount, ok = parseNumber(value)
		case "index":
			a.Page, ok = parseNumber(value)
		case "elapsed":
			a.WorkMS, ok = parseDecimal(value)
		case "rss":
			a.MemoryMB, ok = parseDecimal(value)
		case "rep":
			a.Report = value
		}
		if !ok {
			return ErrBadField
		}
	}
	return nil
}

// maxDecimal bounds the numbers of an answer: no plausible number of milliseconds or megabytes and no value of a load
// report reaches it.
const maxDecimal = 1e9

// parseDecimal parses a non-negative number less than maxDecimal.
func parseDecimal(b []byte) (float64, bool) {
	value, err := strconv.ParseFloat(string(b), 64)
	return value, err == nil && value >= 0 && value < maxDecimal
}

// ParseReport parses a load report such as "inflight:7;util:0.61". It skips malformed parts.
func ParseReport(b []byte) map[string]float64 {
	if len(b) == 0 {
		return nil
	}
	out := map[string]float64{}
	for len(b) > 0 {
		var part []byte
		part, b, _ = bytes.Cut(b, []byte{';'})
		if name, value, ok := bytes.Cut(part, []byte{':'}); ok {
			if f, ok := parseDecimal(value); ok {
				out[string(name)] = f
			}
		}
	}
	return out
}

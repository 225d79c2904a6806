package mysql

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode"
)

// This file parses the fields in the comment before a statement.

// Query is a parsed query: its fields and its statement.
type Query struct {
	Fields     Fields
	Statement  []byte // without the leading comment
	TableGroup int    // number in the schema name, see scanTables; 0: none found
	Write      bool   // the statement writes
}

// Fields holds the values of the fields in the leading comment of a query.
type Fields struct {
	Class          string
	ID             string // 16 hexadecimal digits
	TimeoutMS      int64
	WorkMS         float64 // 0: not given
	MemoryMB       float64 // 0: not given
	IsRetry        bool
	Tenant         string // empty: none
	OrderKey       string // requests of an ordered class with the same key run one at a time; empty: none
	IdempotencyKey string // key by which engines deduplicate retries; empty: none
	WantsHandle    bool   // the client requests a handle to the stored result

	commentBytes int // size of the string that the fields are parts of; 0: they have their own memory
}

// maxSharedComment is the size up to which a comment is kept as a whole, rather than copied field by field.
const maxSharedComment = 512

// KeptBytes returns the size of the memory that the fields keep.
func (f *Fields) KeptBytes() int {
	if f.commentBytes > 0 {
		return f.commentBytes
	}
	return len(f.Class) + len(f.ID) + len(f.Tenant) + len(f.OrderKey) + len(f.IdempotencyKey)
}

// detach gives the fields memory of their own. As parts of a long comment they would keep all of it.
func (f *Fields) detach() {
	for _, field := range []*string{&f.Class, &f.ID, &f.Tenant, &f.OrderKey, &f.IdempotencyKey} {
		*field = strings.Clone(*field)
	}
	f.commentBytes = 0
}

// maxOrderKeyBytes is the size from which an order key is replaced by its digest: keys outlive their requests.
const maxOrderKeyBytes = 128

// orderKey returns the key of a size that is bounded, and the same for equal values only.
func orderKey(value string) string {
	if len(value) <= maxOrderKeyBytes {
		return value
	}
	digest := sha256.Sum256([]byte(value))
	return string(digest[:])
}

const (
	idDigits     = 16
	maxTimeoutMS = 1 << 40 // ms, longer than any client waits
	maxAmount    = 1e9     // ms or MB
)

// whitespace is what may stand around the fields.
const whitespace = " \t\r\n"

// HasFields reports whether a statement begins with a comment, where its fields are expected.
func HasFields(text []byte) bool {
	return bytes.HasPrefix(bytes.TrimLeft(text, whitespace), []byte("/*"))
}

// ParseQuery parses a statement and the fields in its leading comment. Its errors are of type *Error, with CodeParse.
func ParseQuery(text []byte) (q Query, err error) {
	parseError := func(format string, args ...any) (Query, error) {
		return Query{}, &Error{CodeParse, fmt.Sprintf(format, args...)}
	}
	text = bytes.TrimLeft(text, whitespace)
	if !bytes.HasPrefix(text, []byte("/*")) {
		return parseError("no comment with fields ahead of the statement")
	}
	comment, statement, ok := bytes.Cut(text[2:], []byte("*/"))
	if !ok {
		return parseError("the comment with the fields never ends")
	}
	if err := q.Fields.parse(string(bytes.TrimSpace(comment))); err != nil {
		return parseError("%v", err)
	}
	q.Statement = bytes.TrimLeft(statement, whitespace)
	if len(q.Statement) == 0 {
		return parseError("no statement behind the fields")
	}
	q.TableGroup, q.Write = scanTables(q.Statement)
	return q, nil
}

// parse parses the text of a comment.
func (f *Fields) parse(text string) error {
	f.commentBytes = len(text)
	if err := f.parseList(text); err != nil {
		return err
	}
	if f.commentBytes > maxSharedComment {
		f.detach()
	}
	return nil
}

func (f *Fields) parseList(text string) error {
	var seen fieldNames
	for text != "" {
		var field string
		field, text, _ = strings.Cut(text, ",")
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || name == "" {
			return fmt.Errorf("field %.40q has no value", field)
		}
		if err := seen.add(name); err != nil {
			return err
		}
		if !f.set(name, value) {
			return fmt.Errorf("field %s has the unusable value %.40q", name, value)
		}
	}
	for _, name := range []string{"kind", "req", "timeout"} {
		if !seen.contain(name) {
			return fmt.Errorf("field %s is missing", name)
		}
	}
	return nil
}

// maxFields is the number of fields of a comment, known or not. A packet has room for thousands, and each costs memory and
// time.
const maxFields = 64

// fieldNames are the names of the fields of a comment.
type fieldNames struct {
	names [maxFields]string
	count int
}

func (n *fieldNames) contain(name string) bool { return slices.Contains(n.names[:n.count], name) }

// add adds a name. It returns an error if the name comes twice, or there are more than maxFields.
func (n *fieldNames) add(name string) error {
	switch {
	case n.contain(name):
		return fmt.Errorf("field %.40q comes twice", name)
	case n.count == maxFields:
		return fmt.Errorf("more than %d fields", maxFields)
	}
	n.names[n.count] = name
	n.count++
	return nil
}

func (f *Fields) set(name, value string) (ok bool) {
	switch name {
	case "kind":
		f.Class, ok = value, value != ""
	case "req":
		f.ID, ok = value, isID(value)
	case "timeout":
		n, err := strconv.ParseInt(value, 10, 64)
		f.TimeoutMS, ok = n, err == nil && n > 0 && n < maxTimeoutMS
	case "ms":
		f.WorkMS, ok = parseAmount(value)
	case "need_mb":
		f.MemoryMB, ok = parseAmount(value)
	case "owner":
		f.Tenant, ok = value, true
	case "subject":
		f.OrderKey, ok = orderKey(value), true
	case "opkey":
		f.IdempotencyKey, ok = value, isForwardable(value)
	case "spool":
		f.WantsHandle, ok = value == "1", value == "0" || value == "1"
	case "resent":
		f.IsRetry, ok = value != "0", true
	default:
		ok = true // unknown fields are ignored
	}
	return ok
}

// maxTokenBytes bounds a forwarded value; it is longer than any key or name in use.
const maxTokenBytes = 128

// isForwardable reports whether a value can be sent to an engine unchanged in a list of fields.
func isForwardable(value string) bool {
	for _, c := range []byte(value) {
		if c <= ' ' || c >= 0x7f || c == ',' || c == '=' {
			return false
		}
	}
	return value != "" && len(value) <= maxTokenBytes
}

// Resume is a client's request to read a stored result again, or to release it.
type Resume struct {
	Handle    string
	FromChunk int    // index of the first chunk to send; 0: the whole result
	Release   bool   // the client no longer needs the result
	Tenant    string // empty: none
}

// maxChunk bounds a chunk index; no result has that many chunks.
const maxChunk = 1 << 30

// ParseResume parses a comment that begins with resume=HANDLE or release=HANDLE, and ignores unknown fields and
// the text after the comment. It returns ok false for any other text.
func ParseResume(text []byte) (r Resume, ok bool, err error) {
	text = bytes.TrimLeftFunc(bytes.TrimPrefix(bytes.TrimLeft(text, whitespace), []byte("/*")), unicode.IsSpace)
	if !bytes.HasPrefix(text, []byte("resume")) && !bytes.HasPrefix(text, []byte("release")) {
		return r, false, nil // nearly all queries: the rest is not looked at
	}
	comment, _, closed := bytes.Cut(text, []byte("*/"))
	first, _, _ := bytes.Cut(comment, []byte(","))
	name, _, _ := bytes.Cut(first, []byte("="))
	if !closed || string(name) != "resume" && string(name) != "release" {
		return r, false, nil
	}
	var seen fieldNames
	for field := range strings.SplitSeq(strings.TrimSpace(string(comment)), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if err := seen.add(name); err != nil {
			return r, true, &Error{CodeParse, err.Error()}
		}
		switch name {
		case "resume", "release":
			if r.Handle != "" {
				return r, true, &Error{CodeParse, "resume and release in one"}
			}
			r.Handle, r.Release = strings.Clone(value), name == "release"
		case "page":
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil || n > maxChunk {
				return r, true, &Error{CodeParse, fmt.Sprintf("field page has the unusable value %.40q", value)}
			}
			r.FromChunk = int(n)
		case "owner":
			r.Tenant = strings.Clone(value)
		}
	}
	return r, true, nil
}

// isID reports whether s is a valid request ID.
func isID(s string) bool {
	if len(s) != idDigits {
		return false
	}
	for _, c := range []byte(s) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// parseAmount parses a number of milliseconds or megabytes from 0 to below maxAmount.
func parseAmount(s string) (float64, bool) {
	f, err := strconv.ParseFloat(s, 64)
	return f, err == nil && f >= 0 && f < maxAmount
}

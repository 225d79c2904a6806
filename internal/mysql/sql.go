package mysql

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// This file finds in a statement what the decisions need: the fields in the
// comment ahead of it and the group of the tables it names. It never changes
// the statement.

// Query is a statement with what was found in it.
type Query struct {
	Fields     Fields
	Statement  []byte // without the comment that holds the fields
	TableGroup int    // number of the group of tables
	Write      bool
}

// Fields are those of the leading comment.
type Fields struct {
	Class          string
	ID             string
	TimeoutMS      int64
	WorkMS         float64 // 0: not told
	MemoryMB       float64 // 0: not told
	IsRetry        bool
	Tenant         string // empty: none
	OrderKey       string // of a class that keeps its order; empty: none
	IdempotencyKey string // by which engines drop repeats; empty: none
	WantsHandle    bool   // a handle to the result is asked for
}

const (
	idDigits     = 16
	maxTimeoutMS = 1 << 40 // ms; more can't be a client's patience
	maxAmount    = 1e9     // ms or MB
)

// HasFields answers whether a statement opens with a comment.
func HasFields(text []byte) bool {
	return bytes.HasPrefix(bytes.TrimLeft(text, " \t\r\n"), []byte("/*"))
}

// ParseQuery reads a statement that opens with its fields.
func ParseQuery(text []byte) (q Query, err error) {
	bad := func(format string, args ...any) (Query, error) {
		return Query{}, &Error{CodeParse, fmt.Sprintf(format, args...)}
	}
	text = bytes.TrimLeft(text, " \t\r\n")
	if !bytes.HasPrefix(text, []byte("/*")) {
		return bad("no comment with fields ahead of the statement")
	}
	comment, statement, ok := bytes.Cut(text[2:], []byte("*/"))
	if !ok {
		return bad("the comment with the fields never ends")
	}
	if err := q.Fields.parse(string(bytes.TrimSpace(comment))); err != nil {
		return bad("%v", err)
	}
	q.Statement = bytes.TrimLeft(statement, " \t\r\n")
	if len(q.Statement) == 0 {
		return bad("no statement behind the fields")
	}
	q.TableGroup, q.Write = scanTables(q.Statement)
	return q, nil
}

func (f *Fields) parse(text string) error {
	seen := map[string]bool{}
	for text != "" {
		var field string
		field, text, _ = strings.Cut(text, ",")
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || name == "" {
			return fmt.Errorf("field %.40q has no value", field)
		}
		if seen[name] {
			return fmt.Errorf("field %.40q comes twice", name)
		}
		seen[name] = true
		if !f.set(name, value) {
			return fmt.Errorf("field %s has the unusable value %.40q", name, value)
		}
	}
	for _, name := range []string{"kind", "req", "timeout"} {
		if !seen[name] {
			return fmt.Errorf("field %s is missing", name)
		}
	}
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
		f.OrderKey, ok = value, true
	case "opkey":
		f.IdempotencyKey, ok = value, isForwardable(value)
	case "spool":
		f.WantsHandle, ok = value == "1", value == "0" || value == "1"
	case "resent":
		f.IsRetry, ok = value != "0", true
	default:
		ok = true // other fields are let pass
	}
	return ok
}

// maxTokenBytes is more than any key or name has.
const maxTokenBytes = 128

// isForwardable answers whether a value can go on to an engine as it is: a word of its own, in a list of fields.
func isForwardable(value string) bool {
	for _, c := range []byte(value) {
		if c <= ' ' || c >= 0x7f || c == ',' || c == '=' {
			return false
		}
	}
	return value != "" && len(value) <= maxTokenBytes
}

// Resume is a client's wish to read a spooled result again.
type Resume struct {
	Handle    string
	FromChunk int    // from here on; 0: all
	Release   bool   // it is done with the result
	Tenant    string // empty: none
}

// maxChunk is more than any result has.
const maxChunk = 1 << 30

// ParseResume reads a comment that opens with resume=HANDLE or release=HANDLE; what stands behind the comment
// is let pass. It answers false if the comment is of another sort.
func ParseResume(text []byte) (r Resume, ok bool, err error) {
	text = bytes.TrimLeft(text, " \t\r\n")
	comment, _, closed := bytes.Cut(bytes.TrimPrefix(text, []byte("/*")), []byte("*/"))
	fields := strings.Split(strings.TrimSpace(string(comment)), ",")
	name, _, _ := strings.Cut(fields[0], "=")
	if !closed || name != "resume" && name != "release" {
		return r, false, nil
	}
	seen := map[string]bool{}
	for _, field := range fields {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seen[name] {
			return r, true, &Error{CodeParse, fmt.Sprintf("field %.40q comes twice", name)}
		}
		seen[name] = true
		switch name {
		case "resume", "release":
			if r.Handle != "" {
				return r, true, &Error{CodeParse, "resume and release in one"}
			}
			r.Handle, r.Release = value, name == "release"
		case "page":
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil || n > maxChunk {
				return r, true, &Error{CodeParse, fmt.Sprintf("field page has the unusable value %.40q", value)}
			}
			r.FromChunk = int(n)
		case "owner":
			r.Tenant = value
		}
	}
	return r, true, nil
}

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

func parseAmount(s string) (float64, bool) {
	f, err := strconv.ParseFloat(s, 64)
	return f, err == nil && f >= 0 && f < maxAmount
}

// tokenKind is what a token of a statement is.
type tokenKind int

const (
	tokenEnd tokenKind = iota
	tokenWord
	tokenQuoted // an identifier in backticks
	tokenOther
)

type token struct {
	kind tokenKind
	text []byte
}

// scanner cuts a statement into tokens. Strings and comments are passed over.
type scanner struct{ rest []byte }

func isWord(c byte) bool {
	return c == '_' || c == '$' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

func (s *scanner) next() token {
	for len(s.rest) > 0 {
		b := s.rest
		switch c := b[0]; {
		case c == ' ' || c >= '\t' && c <= '\r':
			s.rest = b[1:]
		case c == '#', bytes.HasPrefix(b, []byte("--")) && (len(b) == 2 || b[2] <= ' '):
			s.skipTo("\n")
		case bytes.HasPrefix(b, []byte("/*")):
			s.rest = b[2:]
			s.skipTo("*/")
		case c == '\'' || c == '"':
			s.quoted(c, true)
			return token{kind: tokenOther}
		case c == '`':
			return token{tokenQuoted, s.quoted(c, false)}
		case isWord(c):
			n := 1
			for n < len(b) && isWord(b[n]) {
				n++
			}
			s.rest = b[n:]
			return token{tokenWord, b[:n]}
		default:
			s.rest = b[1:]
			return token{tokenOther, b[:1]}
		}
	}
	return token{}
}

func (s *scanner) skipTo(mark string) {
	if i := bytes.Index(s.rest, []byte(mark)); i >= 0 {
		s.rest = s.rest[i+len(mark):]
	} else {
		s.rest = nil
	}
}

// quoted passes over what stands in quotes and returns it. A doubled quote
// stands for one, and in strings a backslash escapes what follows.
func (s *scanner) quoted(quote byte, backslash bool) []byte {
	b := s.rest
	for i := 1; i < len(b); i++ {
		switch {
		case b[i] == '\\' && backslash:
			i++
		case b[i] == quote && i+1 < len(b) && b[i+1] == quote:
			i++
		case b[i] == quote:
			s.rest = b[i+1:]
			return b[1:i]
		}
	}
	s.rest = nil
	return b[1:]
}

func (t token) is(word string) bool {
	return t.kind == tokenWord && bytes.EqualFold(t.text, []byte(word))
}
func (t token) isPunctuation(c byte) bool {
	return t.kind == tokenOther && len(t.text) == 1 && t.text[0] == c
}
func (t token) isName() bool { return t.kind == tokenWord || t.kind == tokenQuoted }

var tableKeywords = []string{"FROM", "JOIN", "INTO", "UPDATE", "TABLE"}
var writeKeywords = []string{"INSERT", "UPDATE", "DELETE", "REPLACE", "LOAD", "COPY", "MERGE", "TRUNCATE", "CREATE", "ALTER", "DROP"}

func (t token) isAnyOf(words []string) bool {
	for _, w := range words {
		if t.is(w) {
			return true
		}
	}
	return false
}

// scanTables finds the number of the group of tables: that in the name of a schema
// behind FROM, JOIN, INTO, UPDATE or TABLE, or a comma in their list; failing
// that, of any qualified name. It also tells whether the statement writes.
func scanTables(statement []byte) (group int, write bool) {
	s := scanner{statement}
	any, found := 0, false
	list, place := false, false // in a list of tables; a table comes next
	t := s.next()
	write = t.isAnyOf(writeKeywords)
	for t.kind != tokenEnd {
		next := s.next()
		switch {
		case t.isName() && next.isPunctuation('.'):
			n, ok := tableGroup(t.text)
			if ok && place {
				return n, write
			}
			if ok && !found {
				any, found = n, true
			}
			for next.isPunctuation('.') { // the rest of the qualified name
				s.next()
				next = s.next()
			}
			place = false
		case t.isAnyOf(tableKeywords):
			list, place = true, true
		case t.isPunctuation(','):
			place = list
		case t.isPunctuation('('), t.isPunctuation(')'), t.is("WHERE"), t.is("SELECT"), t.is("SET"), t.is("ON"), t.is("GROUP"), t.is("ORDER"), t.is("VALUES"):
			list, place = false, false
		case t.isName():
			place = place && t.is("ONLY")
		}
		t = next
	}
	return any, write
}

// tableGroup is the number behind the last underscore of a schema's name.
func tableGroup(schema []byte) (int, bool) {
	i := bytes.LastIndexByte(schema, '_')
	if i < 0 || bytes.EqualFold(schema, []byte("staging")) {
		return 0, false
	}
	n, err := strconv.ParseUint(string(schema[i+1:]), 10, 31)
	return int(n), err == nil
}

// ParseKill reads KILL [QUERY | CONNECTION] n.
func ParseKill(text []byte) (session uint32, query, ok bool) {
	s := scanner{text}
	if !s.next().is("KILL") {
		return 0, false, false
	}
	t := s.next()
	if query = t.is("QUERY"); query || t.is("CONNECTION") {
		t = s.next()
	}
	n, err := strconv.ParseUint(string(t.text), 10, 32)
	end := s.next()
	if end.isPunctuation(';') {
		end = s.next()
	}
	return uint32(n), query, t.kind == tokenWord && err == nil && end.kind == tokenEnd
}

// FirstWord is the word that a statement opens with, in capitals.
func FirstWord(text []byte) string {
	s := scanner{text}
	return strings.ToUpper(string(s.next().text))
}

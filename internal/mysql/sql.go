package mysql

import (
	"bytes"
	"strconv"
	"strings"
)

// This file reads statements: the group of the tables that they name, and KILL.
// It never changes a statement.

// tokenKind is the type of a token of a statement.
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

// scanner splits a statement into tokens. The contents of strings and comments are skipped.
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

// quoted skips a quoted text and returns what is between the quotes. A doubled
// quote does not end it, and in strings a backslash escapes the next byte.
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

// is says whether a token is this keyword.
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

// scanTables returns the number of the group of tables: that in the name of the
// first schema after FROM, JOIN, INTO, UPDATE or TABLE, or after a comma in
// their list; if there is none, that of the first qualified name. It also says
// whether the statement writes.
func scanTables(statement []byte) (group int, write bool) {
	s := scanner{statement}
	fallback, found := 0, false
	inTables, tableNext := false, false // within a list of tables; the next name is a table
	t := s.next()
	write = t.isAnyOf(writeKeywords)
	for t.kind != tokenEnd {
		next := s.next()
		switch {
		case t.isName() && next.isPunctuation('.'):
			n, ok := tableGroup(t.text)
			if ok && tableNext {
				return n, write
			}
			if ok && !found {
				fallback, found = n, true
			}
			for next.isPunctuation('.') { // the rest of the qualified name
				s.next()
				next = s.next()
			}
			tableNext = false
		case t.isAnyOf(tableKeywords):
			inTables, tableNext = true, true
		case t.isPunctuation(','):
			tableNext = inTables
		case t.isPunctuation('('), t.isPunctuation(')'), t.is("WHERE"), t.is("SELECT"), t.is("SET"), t.is("ON"), t.is("GROUP"), t.is("ORDER"), t.is("VALUES"):
			inTables, tableNext = false, false
		case t.isName():
			tableNext = tableNext && t.is("ONLY")
		}
		t = next
	}
	return fallback, write
}

// tableGroup is the number after the last underscore of a schema's name.
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

// FirstWord is the first word of a statement, in capitals.
func FirstWord(text []byte) string {
	s := scanner{text}
	return strings.ToUpper(string(s.next().text))
}

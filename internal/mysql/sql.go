package mysql

import (
	"bytes"
	"strconv"
	"strings"
)

// This file scans statements for the group of their tables, and parses KILL. It never changes a statement.

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

// scanner splits a statement into tokens. It skips comments and the contents of strings.
type scanner struct{ rest []byte }

// isWordByte reports whether c can be part of an unquoted identifier or keyword.
func isWordByte(c byte) bool {
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
			s.readQuoted(c, true)
			return token{kind: tokenOther}
		case c == '`':
			return token{tokenQuoted, s.readQuoted(c, false)}
		case isWordByte(c):
			n := 1
			for n < len(b) && isWordByte(b[n]) {
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

// skipTo skips input up to and including terminator, or to the end of the input if there is none.
func (s *scanner) skipTo(terminator string) {
	if i := bytes.Index(s.rest, []byte(terminator)); i >= 0 {
		s.rest = s.rest[i+len(terminator):]
	} else {
		s.rest = nil
	}
}

// readQuoted skips a quoted string or identifier and returns the text between the quotes. A doubled quote does not end
// it. With backslash set, a backslash escapes the next byte.
func (s *scanner) readQuoted(quote byte, backslash bool) []byte {
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

// isKeyword reports whether the token is the keyword word, in any case.
func (t token) isKeyword(word string) bool {
	return t.kind == tokenWord && bytes.EqualFold(t.text, []byte(word))
}

func (t token) isPunctuation(c byte) bool {
	return t.kind == tokenOther && len(t.text) == 1 && t.text[0] == c
}

func (t token) isName() bool { return t.kind == tokenWord || t.kind == tokenQuoted }

// keywordUse is what a keyword means for the search for tables.
type keywordUse uint8

const (
	tableKeyword  keywordUse = 1 << iota // a table list follows
	clauseKeyword                        // ends a table list
	writeKeyword                         // begins a statement that writes
	skipKeyword                          // may stand ahead of a table's name
)

var keywords = map[string]keywordUse{
	"FROM": tableKeyword, "JOIN": tableKeyword, "INTO": tableKeyword, "TABLE": tableKeyword, "UPDATE": tableKeyword | writeKeyword,
	"WHERE": clauseKeyword, "SELECT": clauseKeyword, "SET": clauseKeyword, "ON": clauseKeyword, "GROUP": clauseKeyword,
	"ORDER": clauseKeyword, "VALUES": clauseKeyword, "ONLY": skipKeyword,
	"INSERT": writeKeyword, "DELETE": writeKeyword, "REPLACE": writeKeyword, "LOAD": writeKeyword, "COPY": writeKeyword,
	"MERGE": writeKeyword, "TRUNCATE": writeKeyword, "CREATE": writeKeyword, "ALTER": writeKeyword, "DROP": writeKeyword,
}

// maxKeywordBytes is the length of the longest keyword.
const maxKeywordBytes = 8

// keywordUse looks a token up among the keywords. It takes the same time for all tokens: a statement may have as many as
// a packet holds.
func (t token) keywordUse() keywordUse {
	if t.kind != tokenWord || len(t.text) > maxKeywordBytes {
		return 0
	}
	var upper [maxKeywordBytes]byte
	for i, c := range t.text {
		if c >= 'a' && c <= 'z' {
			c -= 'a' - 'A'
		}
		upper[i] = c
	}
	return keywords[string(upper[:len(t.text)])]
}

// scanTables returns the table group of a statement and whether the statement writes. The group is the number in the
// first numbered schema name in a table list, which begins at FROM, JOIN, INTO, UPDATE or TABLE and separates its
// tables by commas. If there is none, it is the number of the first numbered schema in any qualified name, else 0.
func scanTables(statement []byte) (group int, write bool) {
	s := scanner{statement}
	fallback, hasFallback := 0, false
	inTableList, expectTable := false, false // within a table list; the next name is a table
	t := s.next()
	write = t.keywordUse()&writeKeyword != 0
	for t.kind != tokenEnd {
		next, use := s.next(), t.keywordUse()
		switch {
		case t.isName() && next.isPunctuation('.'):
			n, ok := tableGroup(t.text)
			if ok && expectTable {
				return n, write
			}
			if ok && !hasFallback {
				fallback, hasFallback = n, true
			}
			for next.isPunctuation('.') { // the rest of the qualified name
				s.next()
				next = s.next()
			}
			expectTable = false
		case use&tableKeyword != 0:
			inTableList, expectTable = true, true
		case t.isPunctuation(','):
			expectTable = inTableList
		case t.isPunctuation('('), t.isPunctuation(')'), use&clauseKeyword != 0:
			inTableList, expectTable = false, false
		case t.isName():
			expectTable = expectTable && use&skipKeyword != 0
		}
		t = next
	}
	return fallback, write
}

// tableGroup returns the number after the last underscore of a schema name. The schema staging has none.
func tableGroup(schema []byte) (int, bool) {
	i := bytes.LastIndexByte(schema, '_')
	if i < 0 || bytes.EqualFold(schema, []byte("staging")) {
		return 0, false
	}
	n, err := strconv.ParseUint(string(schema[i+1:]), 10, 31)
	return int(n), err == nil
}

// ParseKill parses KILL [QUERY | CONNECTION] n. query reports whether only the query is to be killed.
func ParseKill(text []byte) (session uint32, query, ok bool) {
	s := scanner{text}
	if !s.next().isKeyword("KILL") {
		return 0, false, false
	}
	t := s.next()
	if query = t.isKeyword("QUERY"); query || t.isKeyword("CONNECTION") {
		t = s.next()
	}
	n, err := strconv.ParseUint(string(t.text), 10, 32)
	end := s.next()
	if end.isPunctuation(';') {
		end = s.next()
	}
	return uint32(n), query, t.kind == tokenWord && err == nil && end.kind == tokenEnd
}

// FirstWord returns the first word of a statement in upper case.
func FirstWord(text []byte) string {
	s := scanner{text}
	return strings.ToUpper(string(s.next().text))
}

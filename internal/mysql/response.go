package mysql

import (
	"bytes"
	"encoding/binary"
)

// AppendOK appends the packet that reports success.
func AppendOK(dst []byte, seq byte) []byte {
	dst, at := openPacket(dst, seq)
	dst = append(dst, packetOK, 0, 0, statusAutocommit, 0, 0, 0)
	return closePacket(dst, at)
}

// AppendErr appends the packet that reports an error.
func AppendErr(dst []byte, seq byte, code uint16, text string) []byte {
	state := sqlStates[code]
	if state == "" {
		state = "HY000"
	}
	dst, at := openPacket(dst, seq)
	dst = append(dst, packetErr)
	dst = binary.LittleEndian.AppendUint16(dst, code)
	dst = append(append(append(dst, '#'), state...), text...)
	return closePacket(dst, at)
}

func appendLenencInt(dst []byte, n int) []byte {
	switch {
	case n <= lenencOneByteMax:
		return append(dst, byte(n))
	case n < 1<<16:
		return append(dst, lenencTwo, byte(n), byte(n>>8))
	default:
		return append(dst, lenencThree, byte(n), byte(n>>8), byte(n>>16))
	}
}

func appendLenenc[T []byte | string](dst []byte, s T) []byte {
	return append(appendLenencInt(dst, len(s)), s...)
}

func appendEOF(dst []byte, seq byte) []byte {
	dst, at := openPacket(dst, seq)
	dst = append(dst, packetEOF, 0, 0, statusAutocommit, 0)
	return closePacket(dst, at)
}

// AppendColumns appends the head of a result set of text columns. It returns the next sequence number.
func AppendColumns(dst []byte, seq byte, names []string) ([]byte, byte) {
	dst, at := openPacket(dst, seq)
	dst = closePacket(appendLenencInt(dst, len(names)), at)
	for _, name := range names {
		seq++
		dst, at = openPacket(dst, seq)
		dst = appendLenenc(dst, "def")
		dst = appendLenenc(appendLenenc(appendLenenc(dst, ""), ""), "")
		dst = appendLenenc(appendLenenc(dst, name), name)
		dst = append(dst, 0x0c, charsetUTF8MB4, 0)
		dst = binary.LittleEndian.AppendUint32(dst, columnLength)
		dst = append(dst, typeVarString, 0, 0, 0, 0, 0)
		dst = closePacket(dst, at)
	}
	seq++
	return appendEOF(dst, seq), seq + 1
}

// AppendRow appends one row, given as a line of text with tabs between the
// columns. It returns the next sequence number, and ok false if the line does
// not have that many columns.
func AppendRow(dst []byte, seq byte, line []byte, columns int) (out []byte, next byte, ok bool) {
	dst, at := openPacket(dst, seq)
	for i := range columns {
		cell, rest, more := bytes.Cut(line, []byte{'\t'})
		if more != (i < columns-1) {
			return dst, seq, false
		}
		dst = appendLenenc(dst, cell)
		line = rest
	}
	return closePacket(dst, at), seq + 1, true
}

// AppendEnd appends the packet that ends a result set.
func AppendEnd(dst []byte, seq byte) []byte { return appendEOF(dst, seq) }

package mysql

import (
	"bytes"
	"encoding/binary"
)

// AppendOK appends an OK packet.
func AppendOK(dst []byte, seq byte) []byte {
	dst, start := beginPacket(dst, seq)
	dst = append(dst, packetOK, 0, 0, statusAutocommit, 0, 0, 0)
	return endPacket(dst, start)
}

// AppendErr appends an ERR packet with the SQL state of the code, HY000 if the code has none of its own.
func AppendErr(dst []byte, seq byte, code uint16, text string) []byte {
	state := sqlStates[code]
	if state == "" {
		state = "HY000"
	}
	dst, start := beginPacket(dst, seq)
	dst = append(dst, packetErr)
	dst = binary.LittleEndian.AppendUint16(dst, code)
	dst = append(append(append(dst, '#'), state...), text...)
	return endPacket(dst, start)
}

// appendLenencInt appends a length-encoded integer of at most 24 bits.
func appendLenencInt(dst []byte, n int) []byte {
	switch {
	case n <= maxOneByteLenenc:
		return append(dst, byte(n))
	case n < 1<<16:
		return append(dst, lenencTwoBytes, byte(n), byte(n>>8))
	default:
		return append(dst, lenencThreeBytes, byte(n), byte(n>>8), byte(n>>16))
	}
}

// appendLenenc appends a length-encoded string.
func appendLenenc[T []byte | string](dst []byte, s T) []byte {
	return append(appendLenencInt(dst, len(s)), s...)
}

func appendEOF(dst []byte, seq byte) []byte {
	dst, start := beginPacket(dst, seq)
	dst = append(dst, packetEOF, 0, 0, statusAutocommit, 0)
	return endPacket(dst, start)
}

// AppendColumns appends the column definitions that start a result set of text columns, and returns the next sequence
// number.
func AppendColumns(dst []byte, seq byte, names []string) ([]byte, byte) {
	dst, start := beginPacket(dst, seq)
	dst = endPacket(appendLenencInt(dst, len(names)), start)
	for _, name := range names {
		seq++
		dst, start = beginPacket(dst, seq)
		dst = appendLenenc(dst, "def")
		dst = appendLenenc(appendLenenc(appendLenenc(dst, ""), ""), "")
		dst = appendLenenc(appendLenenc(dst, name), name)
		dst = append(dst, 0x0c, charsetUTF8MB4, 0)
		dst = binary.LittleEndian.AppendUint32(dst, columnLength)
		dst = append(dst, typeVarString, 0, 0, 0, 0, 0)
		dst = endPacket(dst, start)
	}
	seq++
	return appendEOF(dst, seq), seq + 1
}

// AppendRow appends a row, given as a line of tab-separated values, and returns the next sequence number. It returns ok
// false if the line does not have exactly that many columns.
func AppendRow(dst []byte, seq byte, line []byte, columns int) (out []byte, next byte, ok bool) {
	dst, start := beginPacket(dst, seq)
	for i := range columns {
		cell, rest, more := bytes.Cut(line, []byte{'\t'})
		if more != (i < columns-1) {
			return dst, seq, false
		}
		dst = appendLenenc(dst, cell)
		line = rest
	}
	return endPacket(dst, start), seq + 1, true
}

// AppendEnd appends the EOF packet that ends a result set.
func AppendEnd(dst []byte, seq byte) []byte { return appendEOF(dst, seq) }

// Package mysql implements the server side of the MySQL client protocol 4.1: it decodes clients' packets and commands,
// and encodes response packets. It does no I/O, reads no clock and makes no decisions; an Error describes malformed
// input.
//
// packet.go contains packets and the login, response.go the response packets, fields.go the comment before a statement,
// and sql.go the statement itself.
package mysql

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"foxlane/internal/framebuf"
)

// Error describes input that violates the protocol, with the MySQL error code to send to the client.
type Error struct {
	Code uint16
	Text string
}

// Error returns the text that is sent to the client.
func (e *Error) Error() string { return e.Text }

// MySQL error codes.
const (
	CodeBadHandshake       = 1043 // malformed login
	CodeAccessDenied       = 1045
	CodeUnknownDatabase    = 1049
	CodeUnknownCommand     = 1047
	CodeServerShutdown     = 1053
	CodeParse              = 1064
	CodeNoSuchThread       = 1094 // KILL of an unknown session
	CodeUnknownError       = 1105
	CodePacketTooLarge     = 1153
	CodePacketsOutOfOrder  = 1156
	CodeTooManyConnections = 1040
	CodeUserLimitReached   = 1226
)

var sqlStates = map[uint16]string{
	CodeBadHandshake: "08S01", CodeAccessDenied: "28000", CodeUnknownDatabase: "42000", CodeUnknownCommand: "08S01", CodeServerShutdown: "08S01", CodeParse: "42000",
	CodePacketTooLarge: "08S01", CodePacketsOutOfOrder: "08S01", CodeTooManyConnections: "08004", CodeUserLimitReached: "42000",
}

const (
	headerSize     = 4
	maxPacketBytes = 1<<24 - 1
)

// Decoder splits a client's byte stream into packets.
type Decoder struct {
	MaxPayload int // bytes; a larger packet is an error
	buffer     framebuf.Buffer
}

// Feed appends received bytes. It copies p.
func (d *Decoder) Feed(p []byte) { d.buffer.Add(p) }

// Buffered returns the number of received bytes that Next has not returned yet.
func (d *Decoder) Buffered() int { return d.buffer.Len() }

// Capacity returns the number of bytes that the decoder's buffer occupies.
func (d *Decoder) Capacity() int { return d.buffer.Capacity() }

// Next returns the payload and sequence number of the next complete packet, or ok false if there is none yet. The
// payload is valid until the next Feed. A packet larger than MaxPayload is an Error with CodePacketTooLarge.
func (d *Decoder) Next() (payload []byte, seq byte, ok bool, err error) {
	b := d.buffer.Bytes()
	if len(b) < headerSize {
		return nil, 0, false, nil
	}
	n := int(b[0]) | int(b[1])<<8 | int(b[2])<<16
	if n > d.MaxPayload || n == maxPacketBytes {
		return nil, 0, false, &Error{CodePacketTooLarge, fmt.Sprintf("packet of %d bytes, %d at most", n, d.MaxPayload)}
	}
	if len(b) < headerSize+n {
		return nil, 0, false, nil
	}
	d.buffer.Skip(headerSize + n)
	return b[headerSize : headerSize+n : headerSize+n], b[3], true, nil
}

// Capability flags and other constants of the protocol.
const (
	capLongPassword  = 1 << 0
	capConnectWithDB = 1 << 3
	capProtocol41    = 1 << 9
	capTransactions  = 1 << 13
	capSecureConn    = 1 << 15
	capSSL           = 1 << 11
	capPluginAuth    = 1 << 19
	capConnectAttrs  = 1 << 20
	capLenencAuth    = 1 << 21
	serverCaps       = capLongPassword | capConnectWithDB | capProtocol41 | capTransactions | capSecureConn | capPluginAuth
	statusAutocommit = 2
	charsetUTF8MB4   = 45
	authPlugin       = "mysql_native_password"
	scrambleSize     = 20
	protocolVersion  = 10
	typeVarString    = 253
	columnLength     = 1024
	loginFixedBytes  = 32
	packetOK         = 0x00
	packetEOF        = 0xfe
	packetErr        = 0xff
	lenencTwoBytes   = 0xfc
	lenencThreeBytes = 0xfd
	lenencEightBytes = 0xfe
	maxOneByteLenenc = 250
)

// beginPacket appends a packet header and returns its offset, with which endPacket fills in the length.
func beginPacket(dst []byte, seq byte) ([]byte, int) {
	start := len(dst)
	return append(dst, 0, 0, 0, seq), start
}

func endPacket(dst []byte, start int) []byte {
	n := len(dst) - start - headerSize
	dst[start], dst[start+1], dst[start+2] = byte(n), byte(n>>8), byte(n>>16)
	return dst
}

// AppendGreeting appends the initial handshake packet of a session.
func AppendGreeting(dst []byte, session uint32, scramble [scrambleSize]byte, version string) []byte {
	dst, start := beginPacket(dst, 0)
	dst = append(dst, protocolVersion)
	dst = append(append(dst, version...), 0)
	dst = binary.LittleEndian.AppendUint32(dst, session)
	dst = append(append(dst, scramble[:8]...), 0)
	dst = binary.LittleEndian.AppendUint16(dst, uint16(serverCaps&0xffff))
	dst = append(dst, charsetUTF8MB4)
	dst = binary.LittleEndian.AppendUint16(dst, statusAutocommit)
	dst = binary.LittleEndian.AppendUint16(dst, uint16(serverCaps>>16))
	dst = append(dst, scrambleSize+1)
	dst = append(dst, make([]byte, 10)...)
	dst = append(append(dst, scramble[8:]...), 0)
	dst = append(append(dst, authPlugin...), 0)
	return endPacket(dst, start)
}

// Login is the content of a client's login packet.
type Login struct {
	User     string
	Database string
	Password bool // whether a password was sent
}

// ParseLogin parses a HandshakeResponse41 packet.
func ParseLogin(p []byte) (l Login, err error) {
	malformed := func(what string) (Login, error) { return Login{}, &Error{CodeBadHandshake, "login: " + what} }
	if len(p) < loginFixedBytes {
		return malformed("too short")
	}
	caps := binary.LittleEndian.Uint32(p)
	if caps&capSSL != 0 {
		return malformed("encryption is not offered")
	}
	if caps&capProtocol41 == 0 {
		return malformed("protocol 4.1 is needed")
	}
	p = p[loginFixedBytes:]
	user, p, ok := cutNul(p)
	if !ok {
		return malformed("user does not end")
	}
	l.User = string(user)
	var auth []byte
	switch {
	case caps&capLenencAuth != 0:
		auth, p, ok = cutLenenc(p)
	case caps&capSecureConn != 0:
		if ok = len(p) > 0 && len(p) > int(p[0]); ok {
			auth, p = p[1:1+int(p[0])], p[1+int(p[0]):]
		}
	default:
		auth, p, ok = cutNul(p)
	}
	if !ok {
		return malformed("password does not end")
	}
	l.Password = len(auth) > 0
	if caps&capConnectWithDB != 0 {
		db, _, ok := cutNul(p)
		if !ok {
			return malformed("database does not end")
		}
		l.Database = string(db)
	}
	return l, nil
}

// cutNul splits off a null-terminated string.
func cutNul(p []byte) (head, rest []byte, ok bool) { return bytes.Cut(p, []byte{0}) }

// cutLenenc splits off a length-encoded string.
func cutLenenc(p []byte) (s, rest []byte, ok bool) {
	if len(p) == 0 {
		return nil, nil, false
	}
	n, width := uint64(p[0]), 1
	switch p[0] {
	case lenencTwoBytes:
		width = 3
	case lenencThreeBytes:
		width = 4
	case lenencEightBytes:
		width = 9
	}
	if len(p) < width || p[0] > maxOneByteLenenc && width == 1 {
		return nil, nil, false
	}
	if width > 1 {
		n = 0
		for i := width - 1; i > 0; i-- {
			n = n<<8 | uint64(p[i])
		}
	}
	p = p[width:]
	if n > uint64(len(p)) {
		return nil, nil, false
	}
	return p[:n], p[n:], true
}

// Command is the type of a client's command, the first byte of its packet.
type Command byte

// Commands that the gateway handles.
const (
	ComQuit   Command = 0x01
	ComInitDB Command = 0x02
	ComQuery  Command = 0x03
	ComPing   Command = 0x0e
	ComReset  Command = 0x1f
)

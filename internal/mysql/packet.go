// Package mysql owns the server's side of the MySQL client protocol 4.1: it
// decodes packets and commands of clients and encodes the packets of responses.
// It must never do I/O, read a clock or decide anything; input that it can't
// read is described by an Error.
//
// packet.go has packets and the login, response.go the packets of responses,
// fields.go the comment ahead of a statement, sql.go the statement.
package mysql

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"foxlane/internal/framebuf"
)

// Error describes input that violates the protocol, with the code to answer it with.
type Error struct {
	Code uint16
	Text string
}

// Error returns the text for the client.
func (e *Error) Error() string { return e.Text }

// Error codes of MySQL.
const (
	CodeBadHandshake       = 1043 // malformed login
	CodeAccessDenied       = 1045
	CodeUnknownDatabase    = 1049
	CodeUnknownCommand     = 1047
	CodeParse              = 1064
	CodeNoSuchThread       = 1094 // KILL of an unknown session
	CodeUnknownError       = 1105
	CodePacketTooLarge     = 1153
	CodePacketsOutOfOrder  = 1156
	CodeTooManyConnections = 1040
	CodeUserLimitReached   = 1226
)

var sqlStates = map[uint16]string{
	CodeBadHandshake: "08S01", CodeAccessDenied: "28000", CodeUnknownDatabase: "42000", CodeUnknownCommand: "08S01", CodeParse: "42000",
	CodePacketTooLarge: "08S01", CodePacketsOutOfOrder: "08S01", CodeTooManyConnections: "08004", CodeUserLimitReached: "42000",
}

const (
	headerSize = 4
	maxPacket  = 1<<24 - 1
)

// Decoder splits a client's stream into packets.
type Decoder struct {
	MaxPayload int
	in         framebuf.Buffer
}

// Feed adds received bytes. They are copied.
func (d *Decoder) Feed(p []byte) { d.in.Add(p) }

// Buffered is the number of bytes of an incomplete packet.
func (d *Decoder) Buffered() int { return d.in.Len() }

// Next returns the next complete packet, or ok false if there is none yet. The
// payload is valid until the next Feed.
func (d *Decoder) Next() (payload []byte, seq byte, ok bool, err error) {
	b := d.in.Bytes()
	if len(b) < headerSize {
		return nil, 0, false, nil
	}
	n := int(b[0]) | int(b[1])<<8 | int(b[2])<<16
	if n > d.MaxPayload || n == maxPacket {
		return nil, 0, false, &Error{CodePacketTooLarge, fmt.Sprintf("packet of %d bytes, %d at most", n, d.MaxPayload)}
	}
	if len(b) < headerSize+n {
		return nil, 0, false, nil
	}
	d.in.Skip(headerSize + n)
	return b[headerSize : headerSize+n : headerSize+n], b[3], true, nil
}

// Capabilities.
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
	loginFixed       = 32
	packetOK         = 0x00
	packetEOF        = 0xfe
	packetErr        = 0xff
	lenencTwo        = 0xfc
	lenencThree      = 0xfd
	lenencEight      = 0xfe
	lenencOneByteMax = 250
)

// openPacket appends a packet header. closePacket fills in its length.
func openPacket(dst []byte, seq byte) ([]byte, int) {
	at := len(dst)
	return append(dst, 0, 0, 0, seq), at
}

func closePacket(dst []byte, at int) []byte {
	n := len(dst) - at - headerSize
	dst[at], dst[at+1], dst[at+2] = byte(n), byte(n>>8), byte(n>>16)
	return dst
}

// AppendGreeting appends the packet that opens a session.
func AppendGreeting(dst []byte, session uint32, scramble [scrambleSize]byte, version string) []byte {
	dst, at := openPacket(dst, 0)
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
	return closePacket(dst, at)
}

// Login is what a client sends to log in.
type Login struct {
	User     string
	Database string
	Password bool // a password was sent
}

// ParseLogin reads a HandshakeResponse41.
func ParseLogin(p []byte) (l Login, err error) {
	bad := func(what string) (Login, error) { return Login{}, &Error{CodeBadHandshake, "login: " + what} }
	if len(p) < loginFixed {
		return bad("too short")
	}
	caps := binary.LittleEndian.Uint32(p)
	if caps&capSSL != 0 {
		return bad("encryption is not offered")
	}
	if caps&capProtocol41 == 0 {
		return bad("protocol 4.1 is needed")
	}
	p = p[loginFixed:]
	user, p, ok := cutNul(p)
	if !ok {
		return bad("user does not end")
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
		return bad("password does not end")
	}
	l.Password = len(auth) > 0
	if caps&capConnectWithDB != 0 {
		db, _, ok := cutNul(p)
		if !ok {
			return bad("database does not end")
		}
		l.Database = string(db)
	}
	return l, nil
}

func cutNul(p []byte) (head, rest []byte, ok bool) { return bytes.Cut(p, []byte{0}) }

// cutLenenc splits off a length-encoded string.
func cutLenenc(p []byte) (s, rest []byte, ok bool) {
	if len(p) == 0 {
		return nil, nil, false
	}
	n, width := uint64(p[0]), 1
	switch p[0] {
	case lenencTwo:
		width = 3
	case lenencThree:
		width = 4
	case lenencEight:
		width = 9
	}
	if len(p) < width || p[0] > lenencOneByteMax && width == 1 {
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

// Commands.
const (
	ComQuit   Command = 0x01
	ComInitDB Command = 0x02
	ComQuery  Command = 0x03
	ComPing   Command = 0x0e
	ComReset  Command = 0x1f
)

package standin

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Client is a client of the MySQL protocol 4.1, as far as a session with text queries needs it. It is not safe for
// concurrent use, but for Close.
type Client struct {
	conn         net.Conn
	in           *bufio.Reader
	ConnectionID uint32 // of the server's greeting
	packet       []byte
}

// ServerError is an error that a gateway answered with.
type ServerError struct {
	Code       uint16
	Message    string
	RetryAfter time.Duration // 0: the message names none
}

func (r *ServerError) Error() string { return fmt.Sprintf("%d: %s", r.Code, r.Message) }

// Retryable reports whether the error promises that the request may be sent again safely.
func (r *ServerError) Retryable() bool { return r.Code == 1040 || r.Code == 1203 || r.Code == 1226 }

// Connect logs in to a gateway, from an address of this machine if one is given.
func Connect(addr string, from netip.Addr, within time.Duration) (*Client, error) {
	d := net.Dialer{Timeout: within}
	if from.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(from, 0))
	}
	conn, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, in: bufio.NewReaderSize(conn, 4096)}
	_ = conn.SetDeadline(time.Now().Add(within))
	if err := c.login(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// Close closes the connection at once.
func (c *Client) Close() { _ = c.conn.Close() }

// The handshake response, protocol 4.1.
const (
	clientConnectWithDB    = 1 << 3
	clientProtocol41       = 1 << 9
	clientSecureConnection = 1 << 15
	clientPluginAuth       = 1 << 19

	maxPacketBytes = 1 << 24
	charsetUTF8MB4 = 45
	reservedBytes  = 23
)

// The first byte of a packet.
const (
	comQuery    = 3 // of a command
	okHeader    = 0x00
	eofHeader   = 0xfe
	errorHeader = 0xff
	eofBytes    = 5 // of an EOF packet, which tells it from a row
)

func (c *Client) login() error {
	greeting, err := c.read()
	if err != nil {
		return err
	}
	version := strings.IndexByte(string(greeting), 0)
	if len(greeting) < version+5 || version < 1 {
		return fmt.Errorf("standin: greeting of %d bytes is malformed", len(greeting))
	}
	c.ConnectionID = binary.LittleEndian.Uint32(greeting[version+1:])
	p := binary.LittleEndian.AppendUint32(nil, clientProtocol41|clientSecureConnection|clientConnectWithDB|clientPluginAuth)
	p = binary.LittleEndian.AppendUint32(p, maxPacketBytes)
	p = append(append(p, charsetUTF8MB4), make([]byte, reservedBytes)...)
	p = append(p, "app\x00\x00main\x00mysql_native_password\x00"...) // user, no password, database, method
	if err := c.write(1, p); err != nil {
		return err
	}
	_, err = c.read()
	return err
}

func (c *Client) write(seq byte, payload []byte) error {
	n := len(payload)
	_, err := c.conn.Write(append([]byte{byte(n), byte(n >> 8), byte(n >> 16), seq}, payload...))
	return err
}

// read reads a packet, which is valid until the next call. An error packet is returned as a *ServerError.
func (c *Client) read() ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(c.in, head[:]); err != nil {
		return nil, err
	}
	n := int(head[0]) | int(head[1])<<8 | int(head[2])<<16
	if cap(c.packet) < n {
		c.packet = make([]byte, n)
	}
	p := c.packet[:n]
	if _, err := io.ReadFull(c.in, p); err != nil {
		return nil, err
	}
	if len(p) >= 3 && p[0] == errorHeader {
		return nil, parseServerError(p)
	}
	return p, nil
}

// parseServerError decodes an error packet. Behind its code it may have a SQL state, and in its text a Retry-After.
func parseServerError(p []byte) *ServerError {
	r := &ServerError{Code: binary.LittleEndian.Uint16(p[1:]), Message: string(p[3:])}
	if len(r.Message) > 6 && r.Message[0] == '#' {
		r.Message = r.Message[6:]
	}
	if _, after, ok := strings.Cut(r.Message, "holdoff="); ok {
		end := strings.IndexFunc(after, func(c rune) bool { return c < '0' || c > '9' })
		if end < 0 {
			end = len(after)
		}
		if ms, err := strconv.Atoi(after[:end]); err == nil {
			r.RetryAfter = time.Duration(ms) * time.Millisecond
		}
	}
	return r
}

// Query sends a statement, reads its whole result and returns the number of rows.
func (c *Client) Query(text string, within time.Duration) (rows int, err error) {
	err = c.QueryRows(text, within, func([]byte) { rows++ })
	return rows, err
}

// QueryRows sends a statement and calls row with each row of the result: its columns, each after its length. The row is
// valid during the call.
func (c *Client) QueryRows(text string, within time.Duration, row func([]byte)) error {
	_ = c.conn.SetDeadline(time.Now().Add(within))
	if err := c.write(0, append([]byte{comQuery}, text...)); err != nil {
		return err
	}
	for ends := 0; ends < 2; {
		p, err := c.read()
		if err != nil {
			return err
		}
		switch {
		case len(p) == eofBytes && p[0] == eofHeader:
			ends++
		case ends == 0 && len(p) > 0 && p[0] == okHeader:
			return nil // OK, without rows
		case ends == 1:
			row(p)
		}
	}
	return nil
}

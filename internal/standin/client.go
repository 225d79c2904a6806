package standin

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Client is a stand-in for a client: the MySQL protocol 4.1 as far as a
// session with text queries needs it.
type Client struct {
	conn         net.Conn
	in           *bufio.Reader
	ConnectionID uint32 // as the greeting names it
	packet       []byte
}

// ServerError is an error that a gateway answered.
type ServerError struct {
	Code       uint16
	Message    string
	RetryAfter time.Duration // 0: none was named
}

func (r *ServerError) Error() string { return fmt.Sprintf("%d: %s", r.Code, r.Message) }

// Retryable answers whether the answer promises that asking again is harmless.
func (r *ServerError) Retryable() bool { return r.Code == 1040 || r.Code == 1203 || r.Code == 1226 }

// Connect logs in at a gateway, from an address of this machine if one is given.
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
		conn.Close()
		return nil, err
	}
	return c, nil
}

// Close ends the session at once.
func (c *Client) Close() { c.conn.Close() }

func (c *Client) login() error {
	greeting, err := c.read()
	if err != nil {
		return err
	}
	version := strings.IndexByte(string(greeting), 0)
	if len(greeting) < version+5 || version < 1 {
		return errors.New("standin: a greeting that is none")
	}
	c.ConnectionID = binary.LittleEndian.Uint32(greeting[version+1:])
	p := binary.LittleEndian.AppendUint32(nil, 1<<9|1<<15|1<<3|1<<19)
	p = binary.LittleEndian.AppendUint32(p, 1<<24)
	p = append(append(p, 45), make([]byte, 23)...)
	p = append(p, "app\x00\x00main\x00mysql_native_password\x00"...)
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

// read reads a packet; an error packet is a Refusal.
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
	if len(p) >= 3 && p[0] == 0xff {
		return nil, parseServerError(p)
	}
	return p, nil
}

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

// Query sends a statement and reads its whole result, row by row.
func (c *Client) Query(text string, within time.Duration) (rows int, err error) {
	err = c.QueryRows(text, within, func([]byte) { rows++ })
	return rows, err
}

// QueryRows sends a statement and hands over each row as it comes: its columns, each with its length ahead. The
// row is valid during the call only.
func (c *Client) QueryRows(text string, within time.Duration, row func([]byte)) error {
	_ = c.conn.SetDeadline(time.Now().Add(within))
	if err := c.write(0, append([]byte{3}, text...)); err != nil {
		return err
	}
	for ends := 0; ends < 2; {
		p, err := c.read()
		if err != nil {
			return err
		}
		switch {
		case len(p) == 5 && p[0] == 0xfe:
			ends++
		case ends == 0 && len(p) > 0 && p[0] == 0:
			return nil // OK, without rows
		case ends == 1:
			row(p)
		}
	}
	return nil
}

package casekit

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// Client is a client of MySQL protocol 4.1. Sending and reading are separate, so that a case chooses when each happens.
type Client struct {
	conn         net.Conn
	reader       *bufio.Reader
	ConnectionID uint32 // from the greeting
}

// Answer is the final answer to a query.
type Answer struct {
	Kind string // served, refused, failed, or none
	Text string // of an error, or why there is none
	Rows []string
	At   time.Time // when the last byte was read, or the connection ended
}

// Kinds of answers.
const (
	Served  = "served"  // a result set that ends in EOF
	Refused = "refused" // error 1040, 1203 or 1226 before any row
	Failed  = "failed"  // any other error
	None    = "none"    // the connection ended, or the time did, without a whole answer
)

// First bytes of packets, and commands.
const (
	okHeader  = 0x00
	eofHeader = 0xfe
	errHeader = 0xff
	comQuery  = 3
	comPing   = 14
)

// dialTimeout is how long a connection may take to be accepted by the machine.
const dialTimeout = time.Second

// Dial connects and logs in.
func Dial(addr string) (*Client, error) {
	client, err := Connect(addr)
	if err != nil {
		return nil, err
	}
	if err := client.Write(LoginPacket()); err != nil {
		return nil, err
	}
	if err := client.ReadLogin(time.Now().Add(5 * time.Second)); err != nil {
		client.Close()
		return nil, err
	}
	return client, nil
}

// Connect connects without reading or writing.
func Connect(addr string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &Client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Close closes the connection.
func (c *Client) Close() { _ = c.conn.Close() }

// Write writes bytes as they are.
func (c *Client) Write(data []byte) error {
	_, err := c.conn.Write(data)
	return err
}

// LoginPacket returns the reply to a greeting: user app, no password, database main.
func LoginPacket() []byte {
	const capabilities = 1<<3 | 1<<9 | 1<<15 | 1<<19 // with a database, protocol 4.1, secure connection, plugin names
	login := binary.LittleEndian.AppendUint32(nil, capabilities)
	login = binary.LittleEndian.AppendUint32(login, 1<<24)
	login = append(append(login, 45), make([]byte, 23)...)
	return packet(1, append(login, "app\x00\x00main\x00mysql_native_password\x00"...))
}

// QueryPacket returns a COM_QUERY.
func QueryPacket(statement string) []byte { return packet(0, append([]byte{comQuery}, statement...)) }

// PingPacket returns a COM_PING.
func PingPacket() []byte { return packet(0, []byte{comPing}) }

func packet(seq byte, payload []byte) []byte {
	n := len(payload)
	return append([]byte{byte(n), byte(n >> 8), byte(n >> 16), seq}, payload...)
}

// NewID returns a request id.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Statement returns a statement with its fields. More fields may follow those that each request has.
func Statement(class, id string, timeout time.Duration, more string) string {
	return StatementOf(1, class, id, timeout, more)
}

// StatementOf is like Statement, for a given group of tables.
func StatementOf(tables int, class, id string, timeout time.Duration, more string) string {
	return fmt.Sprintf("/* kind=%s,req=%s,timeout=%d%s */ SELECT day, note, tag FROM sales_%d.orders WHERE tag = '%s'",
		class, id, timeout.Milliseconds(), more, tables, id)
}

// ReadLogin reads the greeting and the answer to the login.
func (c *Client) ReadLogin(deadline time.Time) error {
	greeting, err := c.readPacket(deadline)
	if err != nil {
		return err
	}
	version := strings.IndexByte(string(greeting), 0)
	if len(greeting) == 0 || greeting[0] == errHeader || version < 1 || len(greeting) < version+5 {
		return fmt.Errorf("no greeting but %q", greeting)
	}
	c.ConnectionID = binary.LittleEndian.Uint32(greeting[version+1:])
	return c.readOK(deadline)
}

// Ping sends a COM_PING and reads its answer.
func (c *Client) Ping() error {
	if err := c.Write(PingPacket()); err != nil {
		return err
	}
	return c.readOK(time.Now().Add(time.Second))
}

func (c *Client) readOK(deadline time.Time) error {
	payload, err := c.readPacket(deadline)
	if err != nil {
		return err
	}
	if len(payload) == 0 || payload[0] != okHeader {
		return fmt.Errorf("no OK but %q", payload)
	}
	return nil
}

// ReadAnswer reads the answer to a query.
func (c *Client) ReadAnswer(deadline time.Time) (answer Answer) {
	defer func() { answer.At = time.Now() }()
	ends := 0
	for {
		payload, err := c.readPacket(deadline)
		switch {
		case err != nil:
			return Answer{Kind: None, Text: describe(err)}
		case len(payload) >= 3 && payload[0] == errHeader:
			return errorAnswer(payload, ends)
		case len(payload) == 5 && payload[0] == eofHeader:
			if ends++; ends == 2 {
				answer.Kind = Served
				return answer
			}
		case ends == 1:
			answer.Rows = append(answer.Rows, decodeRow(payload))
		}
	}
}

// errorAnswer classifies an error packet. After the first EOF, rows may have been read.
func errorAnswer(payload []byte, ends int) Answer {
	code := binary.LittleEndian.Uint16(payload[1:])
	answer := Answer{Kind: Failed, Text: fmt.Sprintf("%d %s", code, payload[3:])}
	if ends == 0 && (code == 1040 || code == 1203 || code == 1226) {
		answer.Kind = Refused
	}
	return answer
}

// decodeRow returns the columns of a row, separated by tabs. Columns are shorter than 251 bytes here.
func decodeRow(payload []byte) string {
	var columns []string
	for len(payload) > 0 && int(payload[0]) < len(payload) {
		n := int(payload[0])
		columns = append(columns, string(payload[1:1+n]))
		payload = payload[1+n:]
	}
	return strings.Join(columns, "\t")
}

func describe(err error) string {
	var netErr net.Error
	switch {
	case errors.As(err, &netErr) && netErr.Timeout():
		return "nothing came in time"
	case errors.Is(err, io.EOF):
		return "the connection was closed"
	default:
		return "the connection broke: " + err.Error()
	}
}

func (c *Client) readPacket(deadline time.Time) ([]byte, error) {
	if err := c.conn.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	var header [4]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		return nil, err
	}
	payload := make([]byte, int(header[0])|int(header[1])<<8|int(header[2])<<16)
	_, err := io.ReadFull(c.reader, payload)
	return payload, err
}

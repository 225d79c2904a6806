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

// Client is a client of MySQL protocol 4.1 with the parts that a session of text queries needs. Except for Close,
// it is not safe for concurrent use.
type Client struct {
	conn         net.Conn
	reader       *bufio.Reader
	ConnectionID uint32 // from the server's greeting
	packet       []byte
}

// ServerError is the content of an error packet.
type ServerError struct {
	Code       uint16
	Message    string
	RetryAfter time.Duration // 0: the message contains none
}

func (e *ServerError) Error() string { return fmt.Sprintf("%d: %s", e.Code, e.Message) }

// Retryable reports whether the error guarantees that the request can be retried safely. These are the errors for too
// many connections (1040), too many connections of a user (1203) and a user's exhausted resource limit (1226).
func (e *ServerError) Retryable() bool { return e.Code == 1040 || e.Code == 1203 || e.Code == 1226 }

// Connect connects and logs in to a gateway. The connection comes from the source address if that is valid. The
// timeout applies to the dial and again to the login.
func Connect(addr string, source netip.Addr, timeout time.Duration) (*Client, error) {
	dialer := net.Dialer{Timeout: timeout}
	if source.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, reader: bufio.NewReaderSize(conn, 4096)}
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if err := c.login(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// Close closes the connection without sending a quit command.
func (c *Client) Close() { _ = c.conn.Close() }

// Fields of the handshake response of protocol 4.1.
const (
	clientConnectWithDB    = 1 << 3
	clientProtocol41       = 1 << 9
	clientSecureConnection = 1 << 15
	clientPluginAuth       = 1 << 19

	maxPacketBytes = 1 << 24
	charsetUTF8MB4 = 45
	reservedBytes  = 23
)

// Values of the first byte of a packet, and the length of an EOF packet.
const (
	comQuery    = 3 // of a command packet
	okHeader    = 0x00
	eofHeader   = 0xfe
	errorHeader = 0xff
	eofBytes    = 5 // length of an EOF packet's payload, which distinguishes it from a row
)

func (c *Client) login() error {
	greeting, err := c.readPacket()
	if err != nil {
		return err
	}
	versionEnd := strings.IndexByte(string(greeting), 0)
	if len(greeting) < versionEnd+5 || versionEnd < 1 {
		return fmt.Errorf("standin: greeting of %d bytes is malformed", len(greeting))
	}
	c.ConnectionID = binary.LittleEndian.Uint32(greeting[versionEnd+1:])
	response := binary.LittleEndian.AppendUint32(nil, clientProtocol41|clientSecureConnection|clientConnectWithDB|clientPluginAuth)
	response = binary.LittleEndian.AppendUint32(response, maxPacketBytes)
	response = append(append(response, charsetUTF8MB4), make([]byte, reservedBytes)...)
	response = append(response, "app\x00\x00main\x00mysql_native_password\x00"...) // user, no password, database, plugin
	if err := c.writePacket(1, response); err != nil {
		return err
	}
	_, err = c.readPacket()
	return err
}

func (c *Client) writePacket(seq byte, payload []byte) error {
	length := len(payload)
	_, err := c.conn.Write(append([]byte{byte(length), byte(length >> 8), byte(length >> 16), seq}, payload...))
	return err
}

// readPacket reads a packet and returns its payload, which is valid until the next call. An error packet is
// returned as a *ServerError.
func (c *Client) readPacket() ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		return nil, err
	}
	length := int(header[0]) | int(header[1])<<8 | int(header[2])<<16
	if cap(c.packet) < length {
		c.packet = make([]byte, length)
	}
	payload := c.packet[:length]
	if _, err := io.ReadFull(c.reader, payload); err != nil {
		return nil, err
	}
	if len(payload) >= 3 && payload[0] == errorHeader {
		return nil, parseServerError(payload)
	}
	return payload, nil
}

// parseServerError decodes an error packet. The SQL state after its code is optional, and so is the Retry-After in
// its message, in milliseconds.
func parseServerError(packet []byte) *ServerError {
	serverError := &ServerError{Code: binary.LittleEndian.Uint16(packet[1:]), Message: string(packet[3:])}
	if len(serverError.Message) > 6 && serverError.Message[0] == '#' {
		serverError.Message = serverError.Message[6:]
	}
	if _, after, ok := strings.Cut(serverError.Message, "holdoff="); ok {
		end := strings.IndexFunc(after, func(c rune) bool { return c < '0' || c > '9' })
		if end < 0 {
			end = len(after)
		}
		if ms, err := strconv.Atoi(after[:end]); err == nil {
			serverError.RetryAfter = time.Duration(ms) * time.Millisecond
		}
	}
	return serverError
}

// Query sends a statement, reads its whole result within the timeout, and returns the number of rows.
func (c *Client) Query(statement string, timeout time.Duration) (rows int, err error) {
	err = c.QueryRows(statement, timeout, func([]byte) { rows++ })
	return rows, err
}

// QueryRows sends a statement and calls row with each row of the result, encoded as length-prefixed columns. The
// row is valid only during the call. The timeout applies to the whole exchange.
func (c *Client) QueryRows(statement string, timeout time.Duration, row func([]byte)) error {
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	if err := c.writePacket(0, append([]byte{comQuery}, statement...)); err != nil {
		return err
	}
	for eofPackets := 0; eofPackets < 2; {
		packet, err := c.readPacket()
		if err != nil {
			return err
		}
		switch {
		case len(packet) == eofBytes && packet[0] == eofHeader:
			eofPackets++
		case eofPackets == 0 && len(packet) > 0 && packet[0] == okHeader:
			return nil // an OK packet: the statement has no result rows
		case eofPackets == 1:
			row(packet)
		}
	}
	return nil
}

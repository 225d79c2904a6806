// Package crowd has clients that use much of a gateway's memory: they send large, incomplete or malformed input, or do not
// read the answers. They run on loopback for as long as a context lasts. The gateway must not import this package.
package crowd

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	statementBytes  = 60_000
	ioTimeout       = 3 * time.Second
	incompletePause = 1500 * time.Millisecond // shorter than the gateway's timeout of an incomplete packet
	workMS          = 5                       // declared work of a query, in milliseconds
)

// Crowd is a number of clients of one gateway.
type Crowd struct {
	Addr       string
	Clients    int
	Timeout    time.Duration // of their queries
	Behaviours []Behaviour   // the clients have them in turn
	NextID     func() string // returns the id of a new request; it may be called concurrently
}

// Client is one client of a crowd. It has at most one connection at a time.
type Client struct {
	crowd *Crowd
	rng   *rand.Rand
	conn  net.Conn
}

// Behaviour is what a client does on a new connection that is logged in. The client connects again after it returns.
type Behaviour func(ctx context.Context, c *Client) error

// Run runs the clients until the context ends.
func (crowd *Crowd) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range crowd.Clients {
		c := &Client{crowd: crowd, rng: rand.New(rand.NewPCG(uint64(i), 0xc70d))}
		wg.Go(func() { c.run(ctx, crowd.Behaviours[i%len(crowd.Behaviours)]) })
	}
}

func (c *Client) run(ctx context.Context, behave Behaviour) {
	for pause(ctx, time.Duration(c.rng.IntN(20))*time.Millisecond) {
		conn, err := net.DialTimeout("tcp", c.crowd.Addr, ioTimeout)
		if err != nil {
			continue
		}
		c.conn = conn
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // ends a blocked read or write
		_ = conn.SetDeadline(time.Now().Add(ioTimeout))
		if _, err := conn.Write(loginPacket()); err == nil {
			_ = behave(ctx, c) // any error means that the gateway closed the connection, or the end of the scene
		}
		stop()
		_ = conn.Close()
	}
}

// loginPacket returns a login packet, which is sent without waiting for the greeting.
func loginPacket() []byte {
	p := binary.LittleEndian.AppendUint32(nil, 1<<9|1<<15|1<<3|1<<19)
	p = binary.LittleEndian.AppendUint32(p, 1<<24)
	p = append(append(p, 45), make([]byte, 23)...)
	return packet(1, append(p, "app\x00\x00main\x00mysql_native_password\x00"...))
}

func packet(seq byte, payload []byte) []byte {
	n := len(payload)
	return append([]byte{byte(n), byte(n >> 8), byte(n >> 16), seq}, payload...)
}

// query returns the packet of a valid query whose statement has about the given size.
func (c *Client) query(size int) []byte { return c.queryWith("", size) }

// queryWith returns the packet of a valid query with further fields, which begin with a comma, and a statement of about
// the given size.
func (c *Client) queryWith(fields string, size int) []byte {
	return c.queryOf("sales_17", fields, size)
}

// queryOf is like queryWith, for a table of the given schema.
func (c *Client) queryOf(schema, fields string, size int) []byte {
	text := fmt.Sprintf("/* kind=point,req=%s,timeout=%d,ms=%d%s */ SELECT day FROM %s.orders WHERE tag = '%s'", c.crowd.NextID(),
		c.crowd.Timeout.Milliseconds(), workMS, fields, schema, strings.Repeat("x", size))
	return commandPacket(comQuery, text)
}

// write writes p within ioTimeout.
func (c *Client) write(p []byte) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(ioTimeout))
	_, err := c.conn.Write(p)
	return err
}

// read reads what arrives within d, at most limit bytes. A timeout is no error.
func (c *Client) read(d time.Duration, limit int64) error {
	_ = c.conn.SetReadDeadline(time.Now().Add(d))
	_, err := io.CopyN(io.Discard, c.conn, limit)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}

// SendIncomplete sends large statements without their last byte, and completes them after a pause.
func SendIncomplete(ctx context.Context, c *Client) error {
	for ctx.Err() == nil {
		statement := c.query(statementBytes)
		if err := c.write(statement[:len(statement)-1]); err != nil {
			return err
		}
		if !pause(ctx, incompletePause) {
			return nil
		}
		if err := c.write(statement[len(statement)-1:]); err != nil {
			return err
		}
		if err := c.read(200*time.Millisecond, 1<<20); err != nil {
			return err
		}
	}
	return nil
}

// SendWithoutReading sends large statements one after another and reads little of the answers.
func SendWithoutReading(ctx context.Context, c *Client) error {
	for ctx.Err() == nil {
		if err := c.write(c.query(statementBytes)); err != nil {
			return err
		}
		if err := c.read(time.Duration(20+c.rng.IntN(100))*time.Millisecond, 64); err != nil {
			return err
		}
	}
	return nil
}

// IgnoreResults sends short queries and never reads the answers.
func IgnoreResults(ctx context.Context, c *Client) error {
	for pause(ctx, 150*time.Millisecond) {
		if err := c.write(c.query(10)); err != nil {
			return err
		}
	}
	return nil
}

// SendShort sends short queries and reads what is there.
func SendShort(ctx context.Context, c *Client) error {
	buf := make([]byte, 64<<10)
	for ctx.Err() == nil {
		if err := c.write(c.query(10)); err != nil {
			return err
		}
		_ = c.conn.SetReadDeadline(time.Now().Add(ioTimeout))
		if _, err := c.conn.Read(buf); err != nil {
			return err
		}
	}
	return nil
}

// SendLongComments sends short statements behind comments that are as large as a packet may be, and waits for the answers.
func SendLongComments(ctx context.Context, c *Client) error {
	fields := ",note=" + strings.Repeat("x", statementBytes)
	if !pause(ctx, time.Duration(c.rng.Int64N(int64(incompletePause)))) { // the packets of all clients at one time would be too much
		return nil
	}
	for ctx.Err() == nil {
		if err := c.write(c.queryWith(fields, 10)); err != nil {
			return err
		}
		if err := c.read(c.crowd.Timeout, 1<<20); err != nil {
			return err
		}
	}
	return nil
}

// SendPings sends pings in large batches and never reads the answers.
func SendPings(ctx context.Context, c *Client) error {
	batch := []byte(strings.Repeat(string(commandPacket(comPing, "")), 4000))
	for pause(ctx, time.Millisecond) {
		if err := c.write(batch); err != nil {
			return err
		}
	}
	return nil
}

// SendMalformed sends one malformed packet of a random kind.
func SendMalformed(_ context.Context, c *Client) error {
	packets := [][]byte{
		{0xff, 0xff, 0xff, 0},
		packet(0, nil),
		packet(7, []byte{3, 'x'}),
		[]byte(strings.Repeat("\xff\x00junk", c.rng.IntN(4000))),
		packet(0, append([]byte{3}, "/* kind=point,req=00000000000000aa,timeout=NaN */ SELECT 1"...)),
		packet(0, append([]byte{3}, strings.Repeat("x", statementBytes)...)),
		append(c.query(10), c.query(10)...),
		[]byte(strings.Repeat(string(packet(0, []byte("\x03/* ms=-5 */ SELECT 1"))), 500)),
	}
	if err := c.write(packets[c.rng.IntN(len(packets))]); err != nil {
		return err
	}
	return c.read(20*time.Millisecond, 4096)
}

// pause waits for d, or until the context ends, and reports whether the context is still active.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

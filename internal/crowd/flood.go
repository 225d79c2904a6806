package crowd

import (
	"context"
	"fmt"
	"io"
	"time"
)

// This file has clients that send small commands on one connection as fast as the gateway takes them, and read all
// answers.

const floodBatchBytes = 16 << 10

// flood sends the commands that next returns, in batches, until the gateway closes the connection.
func (c *Client) flood(ctx context.Context, next func() []byte) error {
	_ = c.conn.SetDeadline(time.Time{})
	answersRead := make(chan struct{})
	go func() {
		defer close(answersRead)
		_, _ = io.Copy(io.Discard, c.conn) // until either side has ended the connection
	}()
	defer func() {
		_ = c.conn.Close() // ends the copy
		<-answersRead
	}()
	batch := make([]byte, 0, 2*floodBatchBytes)
	for ctx.Err() == nil {
		batch = batch[:0]
		for len(batch) < floodBatchBytes {
			batch = append(batch, next()...)
		}
		if err := c.write(batch); err != nil {
			return err
		}
	}
	return nil
}

// Commands of clients.
const (
	comQuery   byte = 0x03
	comPing    byte = 0x0e
	comUnknown byte = 0x16
)

// commandPacket returns the packet of a command.
func commandPacket(command byte, text string) []byte {
	return packet(0, append([]byte{command}, text...))
}

// FloodPings sends pings.
func FloodPings(ctx context.Context, c *Client) error {
	ping := commandPacket(comPing, "")
	return c.flood(ctx, func() []byte { return ping })
}

// FloodSettings sends statements that client libraries send on their own.
func FloodSettings(ctx context.Context, c *Client) error {
	n := 0
	return c.flood(ctx, func() []byte {
		n++
		return commandPacket(comQuery, fmt.Sprintf("SELECT @@v%d", n))
	})
}

// FloodMalformed sends queries with fields that can't be used.
func FloodMalformed(ctx context.Context, c *Client) error {
	return c.flood(ctx, func() []byte {
		return commandPacket(comQuery, "/* kind=nothing,req="+c.crowd.NextID()+",timeout=900 */ SELECT 1")
	})
}

// FloodUnknown sends commands that the gateway doesn't know.
func FloodUnknown(ctx context.Context, c *Client) error {
	return c.flood(ctx, func() []byte { return commandPacket(comUnknown, "x") })
}

// FloodNames sends one small query after the other, each behind the answer to the last one, and each with a tenant, an order
// key, an idempotency key, a field and a schema of its own.
func FloodNames(ctx context.Context, c *Client) error { return c.floodNames(ctx, ",owner=t%d") }

// FloodNamesOfOneTenant is like FloodNames without tenants.
func FloodNamesOfOneTenant(ctx context.Context, c *Client) error { return c.floodNames(ctx, "") }

func (c *Client) floodNames(ctx context.Context, owner string) error {
	buffer := make([]byte, 64<<10)
	for n := 0; ctx.Err() == nil; n++ {
		fields := fmt.Sprintf(",subject=k%[1]d,opkey=o%[1]d,g%[1]d=1", n)
		if owner != "" {
			fields += fmt.Sprintf(owner, n)
		}
		if err := c.write(c.queryOf(fmt.Sprint("sales_", n), fields, 10)); err != nil {
			return err
		}
		_ = c.conn.SetReadDeadline(time.Now().Add(ioTimeout))
		if _, err := c.conn.Read(buffer); err != nil {
			return err
		}
	}
	return nil
}

// ConnectRepeatedly logs in and leaves at once.
func ConnectRepeatedly(context.Context, *Client) error { return nil }

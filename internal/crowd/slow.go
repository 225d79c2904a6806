package crowd

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// This file has clients that write slowly, stop in the middle of a request, or send a great many fields.

const (
	slowPieceBytes = 500
	slowPause      = 12 * time.Millisecond // so that a statement takes less than the gateway's timeout of an incomplete packet
	haltedFor      = 4 * time.Second       // longer than that timeout
)

// WriteSlowly sends large statements in small pieces, and waits for the answers.
func WriteSlowly(ctx context.Context, c *Client) error {
	for ctx.Err() == nil {
		for rest := c.query(statementBytes); len(rest) > 0; {
			n := min(slowPieceBytes, len(rest))
			if err := c.write(rest[:n]); err != nil {
				return err
			}
			rest = rest[n:]
			if !pause(ctx, slowPause) {
				return nil
			}
		}
		if err := c.read(200*time.Millisecond, 1<<20); err != nil {
			return err
		}
	}
	return nil
}

// StopHalfway sends half of a large statement, and then nothing until the gateway closes the connection.
func StopHalfway(ctx context.Context, c *Client) error {
	statement := c.query(statementBytes)
	if err := c.write(statement[:len(statement)/2]); err != nil {
		return err
	}
	for until := time.Now().Add(haltedFor); time.Now().Before(until) && ctx.Err() == nil; {
		if err := c.read(100*time.Millisecond, 1<<20); err != nil {
			return err
		}
	}
	return nil
}

// SendManyFields sends short statements behind as many short fields as a packet holds, and waits for the answers.
func SendManyFields(ctx context.Context, c *Client) error {
	var fields strings.Builder
	for i := 0; fields.Len() < statementBytes; i++ {
		fmt.Fprintf(&fields, ",%x=", i)
	}
	if !pause(ctx, time.Duration(c.rng.Int64N(int64(100*time.Millisecond)))) {
		return nil
	}
	for ctx.Err() == nil {
		if err := c.write(c.queryWith(fields.String(), 10)); err != nil {
			return err
		}
		if err := c.read(200*time.Millisecond, 64<<10); err != nil {
			return err
		}
	}
	return nil
}

package measure

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"foxlane/internal/standin"
)

// This file measures the spool: how long a slow client holds an engine, and whether stored results can be read
// after the gateway was killed.

const (
	spoolMemoryMB  = 64
	slowReadRate   = 2048             // bytes per second that a slow client reads
	releaseTimeout = 50 * time.Second // within which an engine must be released
)

// resultPages returns pages of 6,000 bytes that make up a result of about the given size.
func resultPages(size int) []string {
	page := strings.Repeat("1\tfield\t"+strings.Repeat("x", 191)+"\n", 30)
	return slices.Repeat([]string{page}, max(size/len(page), 1))
}

// Spool compares how long an engine is held by a client that reads 2 KB per second and by one that reads at full
// speed, for results of 48 KB, 4 MB and 200 MB. It also reads a stored result by its handle while the gateway is
// killed repeatedly. The gateway is the path of its program; empty: the program is built from this module.
func Spool(ctx context.Context, gateway string, seconds int, progress io.Writer) (r *Report, err error) {
	r = newReport("spool", "result", "fast ms", "slow ms", "rss MB")
	dir, err := os.MkdirTemp("", "foxlab-spool")
	if err != nil {
		return r, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	for _, size := range []struct {
		name   string
		bytes  int
		resume bool
	}{{"48k", 48_000, false}, {"4m", 4 << 20, true}, {"200m", 200 << 20, false}} {
		progressf(progress, "a result of %s\n", size.name)
		setup := Setup{Gateway: gateway, Engines: 1, Slots: 16, ServiceTime: 20 * time.Millisecond, MemoryMB: spoolMemoryMB, Sockets: 256,
			Timeout: 60 * time.Second, Pages: resultPages(size.bytes),
			SiteConfig: fmt.Sprintf("spool {\n folder = %q\n disk = \"2GB\"\n result = \"1GB\"\n tenant = \"2GB\"\n}\n", dir)}
		if err := measureSpool(ctx, r, size.name, setup, seconds, size.resume); err != nil {
			return r, fmt.Errorf("a result of %s: %w", size.name, err)
		}
	}
	return r, ctx.Err()
}

// measureSpool measures results of one size on a new testbed.
func measureSpool(ctx context.Context, r *Report, name string, setup Setup, seconds int, resume bool) error {
	t, err := StartTestbed(setup)
	if err != nil {
		return err
	}
	defer t.discard()
	fast, _, err := engineHoldTime(ctx, t, 0, seconds)
	if err != nil {
		return err
	}
	slow, rss, err := engineHoldTime(ctx, t, slowReadRate, seconds)
	if err != nil {
		return err
	}
	r.addRow(name, fast, slow, rss)
	r.setValue("release_ratio_"+name, slow/fast, "1.05 or less")
	r.setValue("rss_mb_"+name, rss, fmt.Sprintf("under %d", spoolMemoryMB))
	if resume {
		return resumeByHandle(t, r)
	}
	return nil
}

// engineHoldTime requests a result and reads it at a rate in bytes per second; 0: at full speed. It returns how
// long the engine was held, in milliseconds, and the gateway's memory after the release. With a rate, the memory is
// read after the given number of further seconds.
func engineHoldTime(ctx context.Context, t *Testbed, rate, seconds int) (ms, rssMB float64, err error) {
	c, err := standin.Connect(t.Addr, netip.Addr{}, 2*time.Second)
	if err != nil {
		return 0, 0, err
	}
	id := fmt.Sprintf("%016x", lastRequestID.Add(1))
	reading, stop := context.WithCancel(ctx)
	var reader sync.WaitGroup
	defer func() { // the reader ends when its connection is closed
		stop()
		c.Close()
		reader.Wait()
	}()
	readDone := make(chan error, 1)
	reader.Go(func() {
		bytesRead := 0
		start := time.Now()
		readDone <- c.QueryRows(fmt.Sprintf("/* kind=report,req=%s,timeout=60000 */ SELECT 1 FROM sales_1.x", id), 60*time.Second, func(row []byte) {
			if bytesRead += len(row); rate > 0 {
				sleepContext(reading, time.Until(start.Add(time.Duration(float64(bytesRead)/float64(rate)*float64(time.Second)))))
			}
		})
	})
	for until := time.Now().Add(releaseTimeout); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		held := t.engines[0].HoldTime(id)
		if held == 0 {
			continue
		}
		if rate > 0 {
			time.Sleep(time.Duration(seconds) * time.Second)
		}
		if rssMB, err = t.RSS(); err != nil {
			return 0, 0, err
		}
		if rate == 0 {
			err = <-readDone
		}
		return float64(held.Microseconds()) / 1000, rssMB, err
	}
	if err := ctx.Err(); err != nil {
		return 0, 0, err
	}
	return 0, 0, fmt.Errorf("the engine was not released within %v: %s", releaseTimeout, t.Log())
}

// resumeByHandle reads a stored result by its handle repeatedly, and kills the gateway between some of the reads.
func resumeByHandle(t *Testbed, r *Report) error {
	const reads, kills, timeout = 60, 5, 20 * time.Second
	before := t.Requests()
	original, err := t.readResult(fmt.Sprintf("/* kind=report,req=%016x,timeout=60000,spool=1 */ SELECT 1 FROM sales_1.x", lastRequestID.Add(1)), timeout)
	if err != nil {
		return err
	}
	mismatches := 0
	for n := range reads {
		if n%(reads/kills) == 0 {
			if err := t.KillAndRestart(); err != nil {
				return err
			}
		}
		if reread, err := t.readResult("/* resume="+original.handle+" */ FETCH", timeout); err != nil || reread.rows != original.rows {
			mismatches++
		}
	}
	r.setValue("resumed_reads", reads, "")
	r.setValue("rows_wrong", float64(mismatches), "0")
	r.setValue("resume_reruns", float64(t.Requests()-before-1), "0")
	return nil
}

// storedResult is what a client has read of a result that the gateway stores.
type storedResult struct {
	handle   string
	rows     int
	prefixes []byte // the first prefixBytes of each row, to compare results
}

// prefixBytes is the number of bytes of each row that a storedResult keeps.
const prefixBytes = 3

// readResult sends a statement on a new connection and reads its result.
func (t *Testbed) readResult(statement string, timeout time.Duration) (stored storedResult, err error) {
	c, err := standin.Connect(t.Addr, netip.Addr{}, 2*time.Second)
	if err != nil {
		return stored, err
	}
	defer c.Close()
	err = c.QueryRows(statement, timeout, func(row []byte) {
		switch {
		case bytes.HasPrefix(row, []byte("\x07#handle")): // a column of 7 bytes, then the handle of 64 bytes
			stored.handle = string(row[9:73])
		case row[1] != '#':
			stored.rows++
			stored.prefixes = append(stored.prefixes, row[:prefixBytes]...)
		}
	})
	return stored, err
}

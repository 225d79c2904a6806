package measure

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"foxlane/internal/standin"
)

// This file measures kept results: what a slow client costs the engine, and
// what is read after the gateway was killed.

const spoolMemoryMB = 64

// resultPages are pages of 6,000 bytes that make so many bytes.
func resultPages(size int) []string {
	page := strings.Repeat("1\tfield\t"+strings.Repeat("x", 191)+"\n", 30)
	return append(make([]string, 0, size/len(page)+1), repeat(page, max(size/len(page), 1))...)
}

func repeat(s string, n int) (out []string) {
	for range n {
		out = append(out, s)
	}
	return out
}

// Spool measures how long the engine is held by a client that reads 2 KB a second over one that
// reads at full speed, for results of 48 KB, 4 MB and 200 MB, and reads results by handle with a kill of the
// gateway between.
func Spool(ctx context.Context, gateway string, seconds int, progress io.Writer) (*Report, error) {
	r := newReport("spool", "result", "fast ms", "slow ms", "rss MB")
	dir, err := os.MkdirTemp("", "foxlab-spool")
	if err != nil {
		return r, err
	}
	defer os.RemoveAll(dir)
	for _, size := range []struct {
		name  string
		bytes int
	}{{"48k", 48_000}, {"4m", 4 << 20}, {"200m", 200 << 20}} {
		fmt.Fprintf(progress, "a result of %s\n", size.name)
		w, err := StartTestbed(Setup{Gateway: gateway, Engines: 1, Slots: 16, ServiceTime: 20 * time.Millisecond, MemoryMB: spoolMemoryMB, Sockets: 256,
			Timeout: 60 * time.Second, Pages: resultPages(size.bytes),
			SiteConfig: fmt.Sprintf("spool {\n folder = %q\n disk = \"2GB\"\n result = \"1GB\"\n tenant = \"2GB\"\n}\n", dir)})
		if err != nil {
			return r, err
		}
		fast, _, err := engineHoldTime(ctx, w, 0, seconds)
		if err == nil {
			var slow, rss float64
			if slow, rss, err = engineHoldTime(ctx, w, 2048, seconds); err == nil {
				r.addRow(size.name, fast, slow, rss)
				r.setValue("release_ratio_"+size.name, slow/fast, "1.05 or less")
				r.setValue("rss_mb_"+size.name, rss, fmt.Sprintf("under %d", spoolMemoryMB))
			}
		}
		if size.name == "4m" && err == nil {
			err = resumeByHandle(w, r)
		}
		w.Close()
		if err != nil {
			return r, err
		}
	}
	return r, ctx.Err()
}

// engineHoldTime asks for a result, reads it at a rate (0: all at once) for a few seconds and returns how long its engine
// was held, in milliseconds, and the gateway's memory then.
func engineHoldTime(ctx context.Context, w *Testbed, rate, seconds int) (ms, rss float64, err error) {
	c, err := standin.Connect(w.Addr, netip.Addr{}, 2*time.Second)
	if err != nil {
		return 0, 0, err
	}
	defer c.Close()
	id := fmt.Sprintf("%016x", lastRequestID.Add(1))
	done := make(chan error, 1)
	go func() {
		read := 0
		start := time.Now()
		done <- c.QueryRows(fmt.Sprintf("/* kind=report,req=%s,timeout=60000 */ SELECT 1 FROM sales_1.x", id), 60*time.Second, func(row []byte) {
			if read += len(row); rate > 0 {
				time.Sleep(time.Until(start.Add(time.Duration(float64(read) / float64(rate) * float64(time.Second)))))
			}
		})
	}()
	for until := time.Now().Add(50 * time.Second); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		if h := w.engines[0].HoldTime(id); h > 0 {
			if rate > 0 {
				time.Sleep(time.Duration(seconds) * time.Second) // it goes on reading
			}
			if rss, err = w.RSS(); err != nil {
				return 0, 0, err
			}
			if rate == 0 {
				err = <-done
			}
			return float64(h.Microseconds()) / 1000, rss, err
		}
	}
	return 0, 0, fmt.Errorf("lab: the engine was not freed: %s", w.Log())
}

// resumeByHandle reads a result by its handle, with kills of the gateway between.
func resumeByHandle(w *Testbed, r *Report) error {
	const reads, kills = 60, 5
	before := w.Requests()
	read := func(text string) (handle string, rows int, err error) {
		c, err := standin.Connect(w.Addr, netip.Addr{}, 2*time.Second)
		if err != nil {
			return "", 0, err
		}
		defer c.Close()
		err = c.QueryRows(text, 20*time.Second, func(row []byte) {
			switch {
			case bytes.HasPrefix(row, []byte("\x07#handle")):
				handle = string(row[9:73])
			case row[1] != '#':
				rows++
			}
		})
		return handle, rows, err
	}
	handle, want, err := read(fmt.Sprintf("/* kind=report,req=%016x,timeout=60000,spool=1 */ SELECT 1 FROM sales_1.x", lastRequestID.Add(1)))
	if err != nil {
		return err
	}
	wrong := 0
	for n := range reads {
		if n%(reads/kills) == 0 {
			if err := w.KillAndRestart(); err != nil {
				return err
			}
		}
		if _, rows, err := read("/* resume=" + handle + " */ FETCH"); err != nil || rows != want {
			wrong++
		}
	}
	r.setValue("resumed_reads", reads, "")
	r.setValue("rows_wrong", float64(wrong), "0")
	r.setValue("resume_reruns", float64(w.Requests()-before-1), "0")
	return nil
}

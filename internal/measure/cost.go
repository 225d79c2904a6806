package measure

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"time"

	"foxlane/internal/standin"
)

// Cost measures the fast path: processor time a request at 200
// connections that ask without a pause of engines that take 2 ms, the memory
// that the gateway holds then, and what it adds to a request where little comes.
func Cost(ctx context.Context, gateway, site string, seconds int, progress io.Writer) (*Report, error) {
	r := newReport("cost", "scene", "served", "failed", "p50 ms", "p99 ms", "cpu us/request", "rss MB")
	play := func(name string, run, length time.Duration, g ClientGroup) (t *ClientStats, cpu, rss float64, err error) {
		fmt.Fprintf(progress, "%s, %v\n", name, length)
		w, err := StartTestbed(Setup{Gateway: gateway, Engines: 2, Slots: 200, ServiceTime: run, MemoryMB: 192, Sockets: 1024, SiteConfig: site,
			RetryAfter: true, Timeout: 2500 * time.Millisecond})
		if err != nil {
			return nil, 0, 0, err
		}
		defer w.Close()
		before, err := w.CPU()
		if err != nil {
			return nil, 0, 0, err
		}
		c, stop := context.WithTimeout(ctx, length)
		defer stop()
		t = RunClients(c, w, g)[g.Name]
		after, err := w.CPU()
		if err != nil {
			return nil, 0, 0, err
		}
		if rss, err = w.RSS(); err != nil {
			return nil, 0, 0, err
		}
		cpu = float64((after - before).Microseconds()) / float64(max(t.Served.Load(), 1))
		r.addRow(name, t.Served.Load(), t.Failed.Load()+t.Rejected.Load(), t.LatencyQuantile(50), t.LatencyQuantile(99), cpu, rss)
		return t, cpu, rss, nil
	}
	from := func(i int) netip.Addr { return loopbackAddr(4, i%200) }
	length := time.Duration(seconds) * time.Second
	_, cpu, rss, err := play("200 connections", 2*time.Millisecond, length, ClientGroup{Name: "busy", Clients: 200, Timeout: 2500 * time.Millisecond, SourceAddr: from})
	if err != nil {
		return r, err
	}
	const run = 5 * time.Millisecond
	direct, err := directLatency(run)
	if err != nil {
		return r, err
	}
	low, _, _, err := play("4 connections, 20 a second", run, length/2, ClientGroup{Name: "calm", Clients: 4, Interval: 200 * time.Millisecond, TimedFromSend: true,
		Timeout: 2500 * time.Millisecond, SourceAddr: from})
	if err != nil {
		return r, err
	}
	r.setValue("cpu_us_per_request", cpu, "31 or less")
	r.setValue("rss_mb", rss, "follows the limits")
	r.setValue("added_ms_p50", low.LatencyQuantile(50)-direct, "0.5")
	return r, ctx.Err()
}

// directLatency is the median of what requests take that go to a stand-in engine without a gateway, in milliseconds.
func directLatency(run time.Duration) (float64, error) {
	e, err := standin.NewEngine("127.0.0.1:0", func(standin.Request) standin.Reply {
		return standin.Reply{Delay: run, Status: "served", Pages: []string{"a\tb\tc\n"}}
	})
	if err != nil {
		return 0, err
	}
	defer e.Close()
	conn, err := net.Dial("tcp", e.Addr())
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	in := bufio.NewReader(conn)
	var took []float64
	for i := range 60 {
		time.Sleep(20 * time.Millisecond)
		start := time.Now()
		if _, err := fmt.Fprintf(conn, "ASK %016x - 8\r\nSELECT 1\r\n", i); err != nil {
			return 0, err
		}
		for range 2 { // the line, and the page with the line feed that ends it
			if _, err := in.ReadString('\n'); err != nil {
				return 0, err
			}
		}
		took = append(took, float64(time.Since(start).Microseconds())/1000)
		if _, err := in.ReadString('\n'); err != nil { // behind the page
			return 0, err
		}
	}
	slices.Sort(took)
	return took[len(took)/2], nil
}

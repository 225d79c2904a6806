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

// costTimeout is the timeout of the clients in Cost.
const costTimeout = 2500 * time.Millisecond

// Cost measures the fast path: the CPU time per request and the memory of the gateway with 200 connections
// that send without a pause to engines that take 2 ms, and the latency that the gateway adds to a request at low
// load. The gateway is the path of its program; empty: the program is built from this module.
func Cost(ctx context.Context, gateway, siteConfig string, seconds int, progress io.Writer) (*Report, error) {
	r := newReport("cost", "scenario", "served", "failed", "p50 ms", "p99 ms", "cpu us/request", "rss MB")
	sourceAddr := func(i int) netip.Addr { return loopbackAddr(4, i%200) }
	length := time.Duration(seconds) * time.Second
	setup := Setup{Gateway: gateway, Engines: 2, Slots: 200, ServiceTime: 2 * time.Millisecond, MemoryMB: 192, Sockets: 1024, SiteConfig: siteConfig,
		RetryAfter: true, Timeout: costTimeout}
	busy, err := measureUsage(ctx, r, "200 connections", setup, length, progress,
		ClientGroup{Name: "busy", Clients: 200, Timeout: costTimeout, SourceAddr: sourceAddr})
	if err != nil {
		return r, err
	}
	setup.ServiceTime = 5 * time.Millisecond
	directMS, err := directLatency(setup.ServiceTime)
	if err != nil {
		return r, err
	}
	calm, err := measureUsage(ctx, r, "4 connections, 20 a second", setup, length/2, progress,
		ClientGroup{Name: "calm", Clients: 4, Interval: 200 * time.Millisecond, TimedFromSend: true, Timeout: costTimeout, SourceAddr: sourceAddr})
	if err != nil {
		return r, err
	}
	r.setValue("cpu_us_per_request", busy.cpuUS, "31 or less")
	r.setValue("rss_mb", busy.rssMB, "follows the limits")
	r.setValue("added_ms_p50", calm.stats.LatencyQuantile(50)-directMS, "0.5")
	return r, ctx.Err()
}

// gatewayUsage is the resource usage of a gateway under a load.
type gatewayUsage struct {
	stats *ClientStats
	cpuUS float64 // CPU time per served request, in microseconds
	rssMB float64
}

// measureUsage runs one group against a new testbed and adds a row for it.
func measureUsage(ctx context.Context, r *Report, name string, setup Setup, length time.Duration, progress io.Writer, g ClientGroup) (u gatewayUsage, err error) {
	progressf(progress, "%s, %v\n", name, length)
	t, err := StartTestbed(setup)
	if err != nil {
		return u, fmt.Errorf("%s: %w", name, err)
	}
	defer t.discard()
	before, err := t.CPU()
	if err != nil {
		return u, err
	}
	running, stop := context.WithTimeout(ctx, length)
	defer stop()
	u.stats = RunClients(running, t, g)[g.Name]
	after, err := t.CPU()
	if err != nil {
		return u, err
	}
	if u.rssMB, err = t.RSS(); err != nil {
		return u, err
	}
	served := u.stats.Served.Load()
	u.cpuUS = float64((after - before).Microseconds()) / float64(max(served, 1))
	r.addRow(name, served, u.stats.Failed.Load()+u.stats.Rejected.Load(), u.stats.LatencyQuantile(50), u.stats.LatencyQuantile(99), u.cpuUS, u.rssMB)
	return u, nil
}

// directLatency returns the median latency, in milliseconds, of requests sent to a fake engine without a gateway.
func directLatency(serviceTime time.Duration) (float64, error) {
	e, err := standin.NewEngine("127.0.0.1:0", func(standin.Request) standin.Reply {
		return standin.Reply{Delay: serviceTime, Status: "served", Pages: []string{"a\tb\tc\n"}}
	})
	if err != nil {
		return 0, err
	}
	defer e.Close()
	conn, err := net.Dial("tcp", e.Addr())
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return 0, err
	}
	in := bufio.NewReader(conn)
	var latencies []float64
	for i := range 60 {
		time.Sleep(20 * time.Millisecond) // low load
		start := time.Now()
		if _, err := fmt.Fprintf(conn, "ASK %016x - 8\r\nSELECT 1\r\n", i); err != nil {
			return 0, fmt.Errorf("sending a request to the fake engine at %s: %w", e.Addr(), err)
		}
		for range 2 { // the reply line, and the page up to its line feed
			if _, err := in.ReadString('\n'); err != nil {
				return 0, fmt.Errorf("reading from the fake engine at %s: %w", e.Addr(), err)
			}
		}
		latencies = append(latencies, float64(time.Since(start).Microseconds())/1000)
		if _, err := in.ReadString('\n'); err != nil { // the line end after the page
			return 0, fmt.Errorf("reading from the fake engine at %s: %w", e.Addr(), err)
		}
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2], nil
}

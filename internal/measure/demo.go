package measure

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// Demo shows what the door does: quiet clients alone, then beside a flood
// without the door, then with it. A line is written each second; live
// rewrites it in place.
func Demo(ctx context.Context, gateway string, seconds int, out io.Writer, live bool) error {
	r := newReport("demo", "scene", "quiet served", "p50 ms", "p99 ms", "quiet refused", "flood served", "flood refused")
	length := time.Duration(seconds) * time.Second
	for _, s := range []struct {
		name, site string
		groups     []ClientGroup
	}{
		{"quiet clients alone", "", []ClientGroup{quiet()}},
		{"beside 280 flooding connections, door off", "", []ClientGroup{quiet(), flood(280)}},
		{"the same, door on", fairSiteConfig, []ClientGroup{quiet(), flood(280)}},
	} {
		if err := demoScenario(ctx, r, gateway, s.name, s.site, length, s.groups, out, live); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return nil
		}
	}
	fmt.Fprintln(out)
	if err := r.Write(out); err != nil {
		return err
	}
	fmt.Fprintln(out, "The door gives the quiet clients their part whatever the flood asks for; see docs/fair.md.")
	return nil
}

func demoScenario(ctx context.Context, r *Report, gateway, name, site string, length time.Duration, groups []ClientGroup, out io.Writer, live bool) error {
	w, err := StartTestbed(fairSetup(gateway, site))
	if err != nil {
		return err
	}
	defer w.Close()
	c, stop := context.WithTimeout(ctx, length)
	defer stop()
	tallies := map[string]*ClientStats{}
	for _, g := range groups {
		tallies[g.Name] = newClientStats()
	}
	var wg sync.WaitGroup
	for _, g := range groups {
		wg.Add(1)
		go func() {
			defer wg.Done()
			runGroup(c, w, g, tallies[g.Name])
		}()
	}
	fmt.Fprintf(out, "%s\n", name)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	start := time.Now()
	for done := false; !done; {
		select {
		case <-tick.C:
		case <-c.Done():
			done = true
		}
		line := fmt.Sprintf("  %3.0f s", time.Since(start).Seconds())
		for _, g := range groups {
			t := tallies[g.Name]
			line += fmt.Sprintf("   %s: %5d served, p99 %4.0f ms, %5d refused", g.Name, t.Served.Load(), t.LatencyQuantile(99), t.Rejected.Load())
		}
		end := "\n"
		if live && !done {
			end = "\r"
		}
		fmt.Fprint(out, line, end)
	}
	wg.Wait()
	q, f := tallies["quiet"], tallies["flood"]
	if f == nil {
		f = newClientStats()
	}
	r.addRow(name, q.Served.Load(), q.LatencyQuantile(50), q.LatencyQuantile(99), q.Rejected.Load(), f.Served.Load(), f.Rejected.Load())
	return nil
}

package measure

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"
)

// Demo shows the effect of admission control in three scenarios: quiet clients alone, beside a flood without
// admission control, and beside a flood with it. It writes a line each second; if live is set, each line overwrites
// the last one.
func Demo(ctx context.Context, gateway string, seconds int, out io.Writer, live bool) error {
	r := newReport("demo", "scenario", "quiet served", "p50 ms", "p99 ms", "quiet rejected", "flood served", "flood rejected")
	length := time.Duration(seconds) * time.Second
	for _, s := range []struct {
		name, siteConfig string
		groups           []ClientGroup
	}{
		{"quiet clients alone", "", []ClientGroup{quietGroup()}},
		{"beside 280 flooding connections, admission control off", "", []ClientGroup{quietGroup(), floodGroup(280)}},
		{"the same, admission control on", fairSiteConfig, []ClientGroup{quietGroup(), floodGroup(280)}},
	} {
		if err := demoScenario(ctx, r, gateway, s.name, s.siteConfig, length, s.groups, out, live); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
		if ctx.Err() != nil {
			return nil // an interrupt is a regular way to end a demo
		}
	}
	var text bytes.Buffer
	fmt.Fprintln(&text)
	if err := r.Write(&text); err != nil {
		return err
	}
	fmt.Fprintln(&text, "Admission control gives the quiet clients their share whatever the flood asks for; see docs/fair.md.")
	_, err := out.Write(text.Bytes())
	return err
}

// demoScenario runs one scenario for the given length and adds a row for it.
func demoScenario(ctx context.Context, r *Report, gateway, name, siteConfig string, length time.Duration, groups []ClientGroup, out io.Writer, live bool) error {
	t, err := StartTestbed(fairSetup(gateway, siteConfig))
	if err != nil {
		return err
	}
	defer t.discard()
	running, stop := context.WithTimeout(ctx, length)
	defer stop()
	stats := map[string]*ClientStats{"quiet": newClientStats(), "flood": newClientStats()}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		runGroups(running, t, groups, stats)
	}()
	progressf(out, "%s\n", name)
	showStats(running, groups, stats, out, live)
	<-ended
	quiet, flood := stats["quiet"], stats["flood"]
	r.addRow(name, quiet.Served.Load(), quiet.LatencyQuantile(50), quiet.LatencyQuantile(99), quiet.Rejected.Load(), flood.Served.Load(), flood.Rejected.Load())
	return nil
}

// showStats writes a line of statistics each second, and a final one when the context ends.
func showStats(ctx context.Context, groups []ClientGroup, stats map[string]*ClientStats, out io.Writer, live bool) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	start := time.Now()
	for done := false; !done; {
		select {
		case <-tick.C:
		case <-ctx.Done():
			done = true
		}
		line := fmt.Sprintf("  %3.0f s", time.Since(start).Seconds())
		for _, g := range groups {
			s := stats[g.Name]
			line += fmt.Sprintf("   %s: %5d served, p99 %4.0f ms, %5d rejected", g.Name, s.Served.Load(), s.LatencyQuantile(99), s.Rejected.Load())
		}
		end := "\n"
		if live && !done {
			end = "\r"
		}
		progressf(out, "%s%s", line, end)
	}
}

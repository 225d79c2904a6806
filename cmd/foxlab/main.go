// Command foxlab demonstrates, measures and tests a gateway on loopback. This file owns its command line. It must never
// be needed to serve: what is large or only for tests is imported here and not by cmd/foxlane.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"foxlane/internal/harness"
	"foxlane/internal/measure"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "foxlab:", err)
		os.Exit(1)
	}
}

// run runs the command line; a signal ends its context.
func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return rootCommand().ExecuteContext(ctx)
}

func rootCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "foxlab",
		Short:         "Demonstrates, measures and tests a gateway on loopback",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.PersistentFlags().String("gateway", "", "the gateway's program; built from this repository if not given")
	cmd.AddCommand(demoCommand(), measureCommand(), rigCommand(), soakCommand(), doubleCommand())
	return cmd
}

// Limits of --seconds.
const (
	maxDemoSeconds    = 300
	maxMeasureSeconds = 30
)

func demoCommand() *cobra.Command {
	var seconds int
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "A gateway, fake engines, a flood and quiet clients, with admission control off and on",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			gateway, err := cmd.Flags().GetString("gateway")
			if err != nil {
				return err
			}
			if seconds < 1 || seconds > maxDemoSeconds {
				return fmt.Errorf("demo: --seconds is %d, not within 1 and %d", seconds, maxDemoSeconds)
			}
			return measure.Demo(cmd.Context(), gateway, seconds, cmd.OutOrStdout(), isTerminal(cmd.OutOrStdout()))
		},
	}
	cmd.Flags().IntVar(&seconds, "seconds", 8, "length of each of the three scenarios")
	return cmd
}

// isTerminal reports whether a writer can rewrite its line.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// rigCommand runs a fleet of real processes, with the faults of a script.
func rigCommand() *cobra.Command {
	var asJSON bool
	var logs string
	cmd := &cobra.Command{
		Use:   "rig FILE",
		Short: "Several gateways in several zones, fault-injecting proxies between all parties, and faults from a script",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			script, err := harness.LoadScript(args[0])
			if err != nil {
				return err
			}
			named, err := cmd.Flags().GetString("gateway")
			if err != nil {
				return err
			}
			gateway, remove, err := measure.GatewayProgram(cmd.Context(), named)
			if err != nil {
				return err
			}
			defer remove()
			report, err := harness.Run(cmd.Context(), gateway, *script, logs)
			if err != nil {
				return err
			}
			if asJSON {
				e := json.NewEncoder(cmd.OutOrStdout())
				e.SetIndent("", "  ")
				err = e.Encode(report)
			} else {
				_, err = fmt.Fprint(cmd.OutOrStdout(), report)
			}
			if n := len(report.Violations); err == nil && n > 0 {
				err = fmt.Errorf("%s: %d violations", args[0], n)
			}
			return err
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	cmd.Flags().StringVar(&logs, "logs", "", "an existing folder in which the gateways' logs are kept")
	return cmd
}

// measurements are what can be measured, each within three minutes.
var measurements = []struct {
	name, short string
	seconds     int
	run         func(ctx context.Context, gateway string, seconds int, progress io.Writer) (*measure.Report, error)
}{
	{"fair", "admission control: quiet clients beside a flood, shares, Retry-After, size and cost", 20, measure.Fairness},
	{"cost", "the fast path: processor time, memory and added latency a request, without the operator's file", 12,
		func(ctx context.Context, gateway string, seconds int, progress io.Writer) (*measure.Report, error) {
			return measure.Cost(ctx, gateway, "", seconds, progress)
		}},
	{"spool", "stored results: how long an engine is held by a slow client over a fast one, reads after kills", 4, measure.Spool},
	{"sites", "the loss of a zone: 300 gateways in virtual time, with and without the plan, paired by seed", 1,
		func(ctx context.Context, gateway string, _ int, progress io.Writer) (*measure.Report, error) {
			return measure.Zones(ctx, gateway, progress)
		}},
	{"replica", "gossip among gateways: how soon entries reach all, bytes, replicas that differ, what it is worth and costs", 1,
		func(ctx context.Context, gateway string, _ int, progress io.Writer) (*measure.Report, error) {
			return measure.Replica(ctx, gateway, progress)
		}},
	{"cost-sites", "as cost, with the plan for zones on", 12,
		func(ctx context.Context, gateway string, seconds int, progress io.Writer) (*measure.Report, error) {
			return measure.Cost(ctx, gateway, "sites {\n}\n", seconds, progress)
		}},
	{"cost-fair", "as cost, with admission control on", 12,
		func(ctx context.Context, gateway string, seconds int, progress io.Writer) (*measure.Report, error) {
			return measure.Cost(ctx, gateway, "fair {\n}\n", seconds, progress)
		}},
}

func measureCommand() *cobra.Command {
	var asJSON bool
	var seconds int
	names := make([]string, len(measurements))
	long := "Measures on loopback, within three minutes, and prints a table and a line `name: value` for each value.\n"
	for i, m := range measurements {
		names[i] = m.name
		long += fmt.Sprintf("\n  %-10s %s", m.name, m.short)
	}
	cmd := &cobra.Command{
		Use:       "measure {" + strings.Join(names, "|") + "}",
		Short:     "Measure a subsystem",
		Long:      long,
		Args:      cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs),
		ValidArgs: names,
		RunE: func(cmd *cobra.Command, args []string) error {
			gateway, err := cmd.Flags().GetString("gateway")
			if err != nil {
				return err
			}
			for _, m := range measurements {
				if m.name != args[0] {
					continue
				}
				if seconds == 0 {
					seconds = m.seconds
				}
				if seconds < 1 || seconds > maxMeasureSeconds {
					return fmt.Errorf("measure %s: --seconds is %d, not within 1 and %d", m.name, seconds, maxMeasureSeconds)
				}
				r, err := m.run(cmd.Context(), gateway, seconds, cmd.ErrOrStderr())
				if err != nil {
					return err
				}
				if asJSON {
					return r.WriteJSON(cmd.OutOrStdout())
				}
				return r.Write(cmd.OutOrStdout())
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	cmd.Flags().IntVar(&seconds, "seconds", 0, "length of each scenario on sockets, 30 at most")
	return cmd
}

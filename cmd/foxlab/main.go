// Command foxlab demonstrates, measures and tests a gateway on loopback. This file implements its command line. A
// gateway must serve without it: large and test-only dependencies are imported here, and not by cmd/foxlane.
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

// run runs the command line. SIGINT or SIGTERM cancels its context. SIGHUP stays ignored (package earlysignals), also by
// the gateways that are started, as deploy/balancer.toml starts them.
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
	cmd.PersistentFlags().String("gateway", "", "the gateway's executable; built from this repository if not given")
	cmd.AddCommand(demoCommand(), measureCommand(), rigCommand(), soakCommand(), doubleCommand())
	return cmd
}

// Upper bounds of --seconds.
const (
	maxDemoSeconds    = 300
	maxMeasureSeconds = 30
)

func demoCommand() *cobra.Command {
	var seconds int
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Show a gateway with fake engines, a flood and quiet clients, with admission control off and on",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			gateway, err := cmd.Flags().GetString("gateway")
			if err != nil {
				return err
			}
			if seconds < 1 || seconds > maxDemoSeconds {
				return fmt.Errorf("demo: --seconds is %d, must be between 1 and %d", seconds, maxDemoSeconds)
			}
			return measure.Demo(cmd.Context(), gateway, seconds, cmd.OutOrStdout(), isTerminal(cmd.OutOrStdout()))
		},
	}
	cmd.Flags().IntVar(&seconds, "seconds", 8, "length of each of the three scenarios")
	return cmd
}

// isTerminal reports whether a writer is a character device, on which a line can be overwritten.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// rigCommand returns the command that runs a fleet of real processes with the faults of a script.
func rigCommand() *cobra.Command {
	var asJSON bool
	var logs string
	cmd := &cobra.Command{
		Use:   "rig FILE",
		Short: "Run gateways in several zones, with fault-injecting proxies between all parties and faults from a script",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			script, err := harness.LoadScript(args[0])
			if err != nil {
				return err
			}
			gatewayFlag, err := cmd.Flags().GetString("gateway")
			if err != nil {
				return err
			}
			program, remove, err := measure.GatewayProgram(cmd.Context(), gatewayFlag)
			if err != nil {
				return err
			}
			defer remove()
			report, err := harness.Run(cmd.Context(), program, *script, logs)
			if err != nil {
				return err
			}
			if asJSON {
				encoder := json.NewEncoder(cmd.OutOrStdout())
				encoder.SetIndent("", "  ")
				err = encoder.Encode(report)
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
	cmd.Flags().StringVar(&logs, "logs", "", "an existing folder in which to keep the gateways' logs")
	return cmd
}

// measurements lists the measurements. Each takes at most three minutes.
var measurements = []struct {
	name, short string
	seconds     int // default length of a scenario
	run         func(ctx context.Context, gateway string, seconds int, progress io.Writer) (*measure.Report, error)
}{
	{"fair", "admission control: quiet clients beside a flood, shares, Retry-After, size and cost", 20, measure.Fairness},
	{"cost", "the fast path: CPU time, memory and added latency per request, without an operator's file", 12,
		func(ctx context.Context, gateway string, seconds int, progress io.Writer) (*measure.Report, error) {
			return measure.Cost(ctx, gateway, "", seconds, progress)
		}},
	{"spool", "stored results: how long a slow client holds an engine, compared with a fast one, and reads after kills", 4, measure.Spool},
	{"sites", "the loss of a zone: 300 gateways in virtual time, with and without zone failover, paired by seed", 1,
		func(ctx context.Context, gateway string, _ int, progress io.Writer) (*measure.Report, error) {
			return measure.Zones(ctx, gateway, progress)
		}},
	{"replica", "gossip among gateways: time until entries reach all, traffic, replicas that differ, benefit and cost", 1,
		func(ctx context.Context, gateway string, _ int, progress io.Writer) (*measure.Report, error) {
			return measure.Replica(ctx, gateway, progress)
		}},
	{"memory", "peak resident memory under crowds of clients that send much or do not read, for several memory limits", 5, measure.Memory},
	{"cost-sites", "as cost, with zone failover on", 12,
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
	long := "Measure runs on loopback for at most three minutes, and prints a table and a line `name: value` for each value.\n"
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
					return fmt.Errorf("measure %s: --seconds is %d, must be between 1 and %d", m.name, seconds, maxMeasureSeconds)
				}
				report, err := m.run(cmd.Context(), gateway, seconds, cmd.ErrOrStderr())
				if err != nil {
					return err
				}
				if asJSON {
					return report.WriteJSON(cmd.OutOrStdout())
				}
				return report.Write(cmd.OutOrStdout())
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	cmd.Flags().IntVar(&seconds, "seconds", 0, "length of each scenario on sockets, at most 30; 0: the measurement's default")
	return cmd
}

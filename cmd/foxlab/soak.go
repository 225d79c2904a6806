package main

import (
	"errors"
	"os"
	"time"

	"github.com/spf13/cobra"

	"foxlane/internal/faultgateway"
	"foxlane/internal/harness"
	"foxlane/internal/soak"
)

// soakCommand returns the command that runs random fleets with overlapping faults.
func soakCommand() *cobra.Command {
	options := soak.Options{}
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run random fleets of real processes with overlapping faults, and check what clients and engines observed",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			program, err := os.Executable()
			if err != nil {
				return err
			}
			options.Process = harness.Process{Program: program, Args: []string{"double"}, AcceptsCommands: true}
			options.Progress = cmd.ErrOrStderr()
			if options.LogDir == "" {
				if options.LogDir, err = os.MkdirTemp("", "foxsoak"); err != nil {
					return err
				}
			}
			report, err := soak.Run(cmd.Context(), options)
			if report == nil {
				return err
			}
			err = errors.Join(err, report.Write(cmd.OutOrStdout()))
			if err == nil && (len(report.Failed) > 0 || len(report.Incomplete) > 0 || report.DefectsFound() < len(report.Detections)) {
				err = errors.New("soak: a rule was violated, a seed was not run, or an injected defect was not found; see the report")
			}
			return err
		},
	}
	cmd.Flags().IntVar(&options.Seeds, "seeds", 20, "number of seeds to run")
	cmd.Flags().Uint64Var(&options.FirstSeed, "first", 1, "the first seed; run a failing seed again with its number here")
	cmd.Flags().DurationVar(&options.Duration, "for", 5*time.Second, "length of each seed's run")
	cmd.Flags().IntVar(&options.Processes, "processes", 10, "number of gateways in each run")
	cmd.Flags().BoolVar(&options.Starved, "starved", false, "little processor time, lost zones, hostile clients and restarts in each run")
	cmd.Flags().IntVar(&options.Parallel, "parallel", 2, "seeds to run at the same time")
	cmd.Flags().IntVar(&options.MaxShrinkRuns, "shrink", 6, "at most this many runs to reduce a failing seed to fewer faults")
	cmd.Flags().IntVar(&options.MaxSeedsPerDefect, "plants", 0, "at most this many seeds to find each injected defect")
	cmd.Flags().StringSliceVar(&options.Defects, "only", nil, "defects to inject; all if not given")
	cmd.Flags().StringVar(&options.LogDir, "logs", "", "folder for the logs of failing seeds")
	return cmd
}

// doubleCommand returns the hidden command that the soak runs as its gateways: a gateway whose system calls can fail.
func doubleCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "double", Short: "Run the soak's test double of a gateway process", Hidden: true}
	serve := &cobra.Command{
		Use:  "serve",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			site, err := cmd.Flags().GetString("site")
			if err != nil {
				return err
			}
			return faultgateway.Serve(site)
		},
	}
	serve.Flags().String("site", "", "the operator's own file")
	cmd.AddCommand(serve)
	return cmd
}

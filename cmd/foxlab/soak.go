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

// soakCommand runs random fleets with overlapping faults.
func soakCommand() *cobra.Command {
	o := soak.Options{}
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Random fleets of real processes with overlapping faults, judged by what clients and engines saw",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			o.Process = harness.Process{Program: self, Args: []string{"double"}, AcceptsCommands: true}
			o.Progress = cmd.ErrOrStderr()
			if o.Logs == "" {
				if o.Logs, err = os.MkdirTemp("", "foxsoak"); err != nil {
					return err
				}
			}
			r, err := soak.Run(cmd.Context(), o)
			if r == nil {
				return err
			}
			err = errors.Join(err, r.Write(cmd.OutOrStdout()))
			if err == nil && (len(r.Failed) > 0 || len(r.NotPlayed) > 0 || r.DefectsFound() < len(r.Detections)) {
				err = errors.New("soak: a rule was violated, a seed was not run, or an injected defect was not found; see the report")
			}
			return err
		},
	}
	cmd.Flags().IntVar(&o.Seeds, "seeds", 20, "how many seeds are run")
	cmd.Flags().Uint64Var(&o.First, "first", 1, "the first one; a failing one is run again by its number")
	cmd.Flags().DurationVar(&o.Length, "for", 5*time.Second, "length of each")
	cmd.Flags().IntVar(&o.Processes, "processes", 10, "gateways of each")
	cmd.Flags().IntVar(&o.Parallel, "parallel", 2, "seeds at once")
	cmd.Flags().IntVar(&o.Shrink, "shrink", 6, "runs by which a failing seed is reduced to fewer faults, at most")
	cmd.Flags().IntVar(&o.DefectSeeds, "plants", 0, "seeds with which each injected defect is looked for, at most")
	cmd.Flags().StringSliceVar(&o.Defects, "only", nil, "defects to inject; all if none is named")
	cmd.Flags().StringVar(&o.Logs, "logs", "", "folder for the logs of failing seeds")
	return cmd
}

// doubleCommand is the process that the soak starts: a gateway whose system calls can fail.
func doubleCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "double", Short: "The soak's test double of a gateway's process", Hidden: true}
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

package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/user"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"foxlane/internal/directives"
	"foxlane/internal/directives/wal"
	"foxlane/internal/gateway"
	"foxlane/internal/site"
)

// This file implements `foxlane directive`, which reads and changes the operators' directives that all gateways share.
// A change is sent to a voter, and is in force once the voter confirms it.

func directiveCommand() *cobra.Command {
	var sitePath, at string
	cmd := &cobra.Command{
		Use:   "directive",
		Short: "Directives for all gateways: drains, rejected classes, the spillover limit",
	}
	cmd.PersistentFlags().StringVar(&at, "at", "", "the control address of a gateway (control in its block members); for set and unset, of a voter")
	cmd.PersistentFlags().StringVar(&sitePath, "site", "", "the operator's own file (HCL), whose control address is used if --at is not given")
	query := func(question string, answer any) error {
		var args []string
		if at != "" {
			args = []string{at}
		}
		addresses, err := controlAddresses(args, sitePath)
		if err != nil {
			return err
		}
		return queryControl(addresses[0], question, answer)
	}
	cmd.AddCommand(directiveChangeCommand(directives.Set, query), directiveChangeCommand(directives.Unset, query), directiveListCommand(query), directiveHistoryCommand(query),
		directiveInitCommand(&sitePath))
	return cmd
}

// controlQuery sends a question to the gateway that the flags name, and decodes the reply into answer.
type controlQuery func(question string, answer any) error

func directiveChangeCommand(op directives.Op, query controlQuery) *cobra.Command {
	var operator string
	var value float64
	kinds := strings.Join([]string{string(directives.DrainZone), string(directives.DrainEngine), string(directives.RejectClass), string(directives.SpilloverLimit)}, "|")
	cmd := &cobra.Command{
		Use:   string(op) + " {" + kinds + "} [SUBJECT]",
		Short: map[directives.Op]string{directives.Set: "Set a directive", directives.Unset: "Unset a directive"}[op],
		Args:  cobra.RangeArgs(1, 2),
		RunE: func(cmd *cobra.Command, args []string) error {
			command := directives.Command{ID: newCommandID(), Op: op, Directive: directives.Directive{Kind: directives.Kind(args[0]), Value: value, By: operator}}
			if len(args) > 1 {
				command.Subject = args[1]
			}
			if err := command.Validate(); err != nil {
				return err
			}
			raw, err := json.Marshal(command)
			if err != nil {
				return err
			}
			var answer struct{ Index uint64 }
			if err := query(string(raw), &answer); err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "holds as of index %d\n", answer.Index)
			return err
		},
	}
	username := ""
	if u, err := user.Current(); err == nil {
		username = u.Username
	}
	cmd.Flags().StringVar(&operator, "by", username, "who makes the change; for display only")
	if op == directives.Set {
		cmd.Flags().Float64Var(&value, "value", 0, "for "+string(directives.SpilloverLimit)+": a fraction, 0 to 1")
	}
	return cmd
}

// newCommandID returns a random id, by which voters recognize a command that they receive more than once.
func newCommandID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails, by its documentation
	return hex.EncodeToString(b[:])
}

func directiveListCommand(query controlQuery) *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List the directives in force at a gateway, and when the gateway last confirmed them with a voter",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			status, err := queryDirectives(query)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(cmd.OutOrStdout(), status)
			}
			return printDirectives(cmd.OutOrStdout(), status)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

// queryDirectives queries the directives of a gateway. The control protocol calls this request book.
func queryDirectives(query controlQuery) (status gateway.DirectiveStatus, err error) {
	err = query("book", &status)
	return status, err
}

func printDirectives(w io.Writer, status gateway.DirectiveStatus) error {
	p := &printer{w: w}
	age := "no voter with a quorum has confirmed it since the start"
	if status.AgeMS >= 0 {
		age = "confirmed " + formatMillis(status.AgeMS) + " ago"
	}
	p.printf("index %d, %s; voters %s\n", status.Index, age, strings.Join(status.Voters, ", "))
	if s := status.Status; s != nil {
		p.printf("votes; leader %q, term %d, listens %v, disk failed %v\n", s.Leader, s.Term, s.Listens, s.Broken)
	}
	if p.err != nil {
		return p.err
	}
	return printTable(w, 0, func(t *printer) {
		for _, d := range status.InForce {
			t.printf("%s\t%s\t%v\t%s\t%s\t\n", d.Kind, d.Subject, d.Value, d.By, formatUnixMilli(d.AtMS))
		}
	})
}

// formatUnixMilli formats a Unix time in milliseconds as UTC.
func formatUnixMilli(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }

func directiveHistoryCommand(query controlQuery) *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the latest commands and their results",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			status, err := queryDirectives(query)
			if err != nil {
				return err
			}
			return printTable(cmd.OutOrStdout(), 0, func(t *printer) {
				for _, c := range status.History {
					t.printf("%d\t%s\t%s\t%s\t%v\t%s\t%s\t%s\t\n", c.Index, c.Op, c.Kind, c.Subject, c.Value, c.By, formatUnixMilli(c.AtMS), c.Failed)
				}
			})
		},
	}
}

func directiveInitCommand(sitePath *string) *cobra.Command {
	return &cobra.Command{
		Use:   "init --site FILE",
		Short: "Prepare the folder of a new voter on this machine, once, before its first start",
		Long: "Init writes an empty log. A voter whose folder has no log assumes that its votes were lost, and does not vote until it has followed a leader:\n" +
			"new voters that were never initialized can't elect one. Do not run init on a machine that has lost its disk.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if *sitePath == "" {
				return errors.New("directive init: --site is missing: name the operator's file of the voter")
			}
			s, err := site.LoadFile(*sitePath)
			if err != nil {
				return err
			}
			if s.Directives == nil || s.Directives.LogFolder == "" {
				return fmt.Errorf("directive init: %s has no block directives with a folder", *sitePath)
			}
			if err := wal.Init(s.Directives.LogFolder); err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s is a new voter's\n", s.Directives.LogFolder)
			return err
		},
	}
}

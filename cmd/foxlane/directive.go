package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"foxlane/internal/directives"
	"foxlane/internal/directives/wal"
	"foxlane/internal/gateway"
	"foxlane/internal/site"
)

// This file owns `foxlane directive`: orders of operators that must be the same at all gateways. Changes are asked of a voter, and hold
// once it says so.

func directiveCommand() *cobra.Command {
	var sitePath, at string
	cmd := &cobra.Command{
		Use:   "directive",
		Short: "Orders that hold at all gateways: drains, refused classes, the limit of spill",
	}
	cmd.PersistentFlags().StringVar(&at, "at", "", "where a gateway's block members has control; a voter's for set and unset")
	cmd.PersistentFlags().StringVar(&sitePath, "site", "", "the operator's own file (HCL), whose control is asked if --at is not given")
	ask := func(question string, answer any) error {
		var args []string
		if at != "" {
			args = []string{at}
		}
		where, err := controlAddresses(args, sitePath)
		if err != nil {
			return err
		}
		return queryControl(where[0], question, answer)
	}
	cmd.AddCommand(directiveChange(directives.Set, ask), directiveChange(directives.Unset, ask), directiveList(ask), directiveHistory(ask),
		directiveInit(&sitePath))
	return cmd
}

type controlQuery func(question string, answer any) error

func directiveChange(op directives.Op, ask controlQuery) *cobra.Command {
	var by string
	var value float64
	kinds := strings.Join([]string{string(directives.DrainZone), string(directives.DrainEngine), string(directives.RejectClass), string(directives.SpilloverLimit)}, "|")
	cmd := &cobra.Command{
		Use:   string(op) + " {" + kinds + "} [SUBJECT]",
		Short: map[directives.Op]string{directives.Set: "Order something", directives.Unset: "Take an order back"}[op],
		Args:  cobra.RangeArgs(1, 2),
		RunE: func(cmd *cobra.Command, args []string) error {
			c := directives.Command{ID: newCommandID(), Op: op, Directive: directives.Directive{Kind: directives.Kind(args[0]), Value: value, By: by}}
			if len(args) > 1 {
				c.Subject = args[1]
			}
			if err := c.Validate(); err != nil {
				return err
			}
			raw, err := json.Marshal(c)
			if err != nil {
				return err
			}
			var answer struct{ Index uint64 }
			if err := ask(string(raw), &answer); err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "holds as of index %d\n", answer.Index)
			return err
		},
	}
	who := ""
	if u, err := user.Current(); err == nil {
		who = u.Username
	}
	cmd.Flags().StringVar(&by, "by", who, "who orders it; only shown")
	if op == directives.Set {
		cmd.Flags().Float64Var(&value, "value", 0, "of "+string(directives.SpilloverLimit)+": a part, 0 to 1")
	}
	return cmd
}

func newCommandID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // it never fails
	return hex.EncodeToString(b[:])
}

func directiveList(ask controlQuery) *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "list",
		Short: "What holds at a gateway, and how old that is",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var b gateway.DirectiveStatus
			if err := ask("book", &b); err != nil {
				return err
			}
			if asJSON {
				e := json.NewEncoder(cmd.OutOrStdout())
				e.SetIndent("", "  ")
				return e.Encode(b)
			}
			w := cmd.OutOrStdout()
			age := "no voter with a quorum has confirmed it since the start"
			if b.AgeMS >= 0 {
				age = "confirmed " + formatMillis(b.AgeMS) + " ago"
			}
			fmt.Fprintf(w, "index %d, %s; voters %s\n", b.Index, age, strings.Join(b.Voters, ", "))
			if s := b.Status; s != nil {
				fmt.Fprintf(w, "votes; leader %q, term %d, listens %v, disk failed %v\n", s.Leader, s.Term, s.Listens, s.Broken)
			}
			t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
			for _, d := range b.InForce {
				fmt.Fprintf(t, "%s\t%s\t%v\t%s\t%s\t\n", d.Kind, d.Subject, d.Value, d.By, time.UnixMilli(d.AtMS).UTC().Format(time.RFC3339))
			}
			return t.Flush()
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

func directiveHistory(ask controlQuery) *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "The latest commands, with what became of them",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var b gateway.DirectiveStatus
			if err := ask("book", &b); err != nil {
				return err
			}
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			for _, c := range b.History {
				fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%v\t%s\t%s\t%s\t\n", c.Index, c.Op, c.Kind, c.Subject, c.Value, c.By, time.UnixMilli(c.AtMS).UTC().Format(time.RFC3339), c.Failed)
			}
			return t.Flush()
		},
	}
}

func directiveInit(sitePath *string) *cobra.Command {
	return &cobra.Command{
		Use:   "init --site FILE",
		Short: "Make this machine's folder that of a new voter, once, before its first start",
		Long: "Init writes an empty log. A voter whose folder is empty without it takes itself for one that has forgotten what it voted for: it\n" +
			"listens to a leader first, so voters without init never choose one. Do not run it on a machine that has lost its disk.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if *sitePath == "" {
				return errors.New("init needs --site")
			}
			s, err := site.LoadFile(*sitePath)
			if err != nil {
				return err
			}
			if s.Directives == nil || s.Directives.LogFolder == "" {
				return fmt.Errorf("%s has no block directives with a folder", *sitePath)
			}
			if err := wal.Init(s.Directives.LogFolder); err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s is a new voter's\n", s.Directives.LogFolder)
			return err
		},
	}
}

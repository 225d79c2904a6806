package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"foxlane/internal/gateway"
	"foxlane/internal/site"
)

// This file owns `foxlane members` and `foxlane replica`: what gateways that talk hold of one another. It asks them where
// their block `members` has control, and changes nothing.

const controlTimeout = 7 * time.Second // a vote may take some

// queryControl asks a gateway one question and reads its answer.
func queryControl(at netip.AddrPort, question string, answer any) error {
	c, err := net.DialTimeout("tcp", at.String(), controlTimeout)
	if err != nil {
		return fmt.Errorf("control at %s: %w", at, err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(controlTimeout))
	if _, err := fmt.Fprintln(c, question); err != nil {
		return fmt.Errorf("control at %s: %w", at, err)
	}
	line, err := bufio.NewReader(c).ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("control at %s: no answer: %w", at, err)
	}
	var failed struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(line, &failed) == nil && failed.Error != "" {
		return fmt.Errorf("control at %s: %s", at, failed.Error)
	}
	if err := json.Unmarshal(line, answer); err != nil {
		return fmt.Errorf("control at %s: %w", at, err)
	}
	return nil
}

// controlAddresses are the addresses that a command names, or that of the operator's file.
func controlAddresses(args []string, sitePath string) (out []netip.AddrPort, err error) {
	for _, a := range args {
		at, err := netip.ParseAddrPort(a)
		if err != nil {
			return nil, fmt.Errorf("%q is no address with a port: %w", a, err)
		}
		out = append(out, at)
	}
	if len(out) > 0 || sitePath == "" {
		if len(out) == 0 {
			return nil, errors.New("name an address where a gateway's block members has control, or, with --site, its file")
		}
		return out, nil
	}
	s, err := site.LoadFile(sitePath)
	if err != nil {
		return nil, err
	}
	if s.Members == nil || !s.Members.Control.IsValid() {
		return nil, fmt.Errorf("%s has no block members with control", sitePath)
	}
	return []netip.AddrPort{s.Members.Control}, nil
}

func membersCommand() *cobra.Command {
	var sitePath string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "members [ADDRESS] [--site FILE]",
		Short: "Who a gateway talks to, since when, and how new what it holds of each is",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			at, err := controlAddresses(args, sitePath)
			if err != nil {
				return err
			}
			var lines []gateway.MemberStatus
			if err := queryControl(at[0], "members", &lines); err != nil {
				return err
			}
			if asJSON {
				e := json.NewEncoder(cmd.OutOrStdout())
				e.SetIndent("", "  ")
				return e.Encode(lines)
			}
			return printMembers(cmd.OutOrStdout(), lines)
		},
	}
	cmd.Flags().StringVar(&sitePath, "site", "", "the operator's own file (HCL), whose control is asked")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

func printMembers(w io.Writer, lines []gateway.MemberStatus) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "member\tzone\there for\tentries\tnewest\tlag\tsends B/s\tbegan\t")
	for _, l := range lines {
		name, lag, sends := l.Name, "", ""
		if l.Self {
			name, lag, sends = "* "+name, formatMillis(l.LagMS), fmt.Sprintf("%.0f", l.SentBytesPerSecond)
		}
		newest := "-"
		if l.NewestEntryMS >= 0 {
			newest = formatMillis(l.NewestEntryMS)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t\n", name, l.Zone, formatMillis(l.SinceMS), l.Entries, newest, lag, sends, l.Incarnation)
	}
	return t.Flush()
}

func formatMillis(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}

func replicaCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "replica", Short: "What gateways that talk hold of what others have observed"}
	cmd.AddCommand(replicaDiffCommand())
	return cmd
}

func replicaDiffCommand() *cobra.Command {
	var settle time.Duration
	cmd := &cobra.Command{
		Use:   "diff ADDRESS ADDRESS...",
		Short: "Compare the copies of gateways, name the entries that differ and by which rule they will be joined",
		Long: "Diff asks each gateway, where its block members has control, for all that it holds. An entry that one lacks and that is younger than\n" +
			"--settle, or about to be forgotten, is on its way and not named. It exits with 1 if copies differ.",
		Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			at, err := controlAddresses(args, "")
			if err != nil {
				return err
			}
			held := make([][]gateway.ReplicaEntry, len(at))
			for i := range at {
				if err := queryControl(at[i], "copies", &held[i]); err != nil {
					return err
				}
			}
			differ := compareCopies(args, held, settle)
			for _, line := range differ {
				fmt.Fprintln(cmd.OutOrStdout(), line)
			}
			if len(differ) > 0 {
				return fmt.Errorf("%d entries differ", len(differ))
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d copies agree\n", len(at))
			return nil
		},
	}
	cmd.Flags().DurationVar(&settle, "settle", 3*time.Second, "how old an entry must be to be looked for everywhere")
	return cmd
}

// compareCopies names the entries that differ, each with who holds what, and the rule by which it will be joined.
func compareCopies(names []string, held [][]gateway.ReplicaEntry, settle time.Duration) (out []string) {
	type key struct {
		origin, kind string
		subject      uint64
	}
	all := map[key][]*gateway.ReplicaEntry{}
	for i := range held {
		for j := range held[i] {
			l := &held[i][j]
			k := key{l.Origin, l.Kind, l.Subject}
			if all[k] == nil {
				all[k] = make([]*gateway.ReplicaEntry, len(held))
			}
			all[k][i] = l
		}
	}
	keys := make([]key, 0, len(all))
	for k := range all {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b key) int {
		return cmp.Or(cmp.Compare(a.origin, b.origin), cmp.Compare(a.kind, b.kind), cmp.Compare(a.subject, b.subject))
	})
	for _, k := range keys {
		newest, fresh := 0, false
		for i, l := range all[k] {
			if l == nil {
				continue
			}
			if n := all[k][newest]; n == nil || l.Incarnation > n.Incarnation || l.Incarnation == n.Incarnation && l.Counter > n.Counter {
				newest = i
			}
			ms := settle.Milliseconds()
			fresh = fresh || l.AgeMS < ms || l.ExpiresInMS < ms
		}
		n := all[k][newest]
		for i, l := range all[k] {
			switch {
			case fresh:
			case l == nil:
				out = append(out, fmt.Sprintf("%s %s %d: %s lacks what %s has (counter %d): it will be taken with the next digest", k.origin, k.kind, k.subject, names[i], names[newest], n.Counter))
			case l.Incarnation != n.Incarnation:
				out = append(out, fmt.Sprintf("%s %s %d: %s has life %d, %s the later %d: the later life stands", k.origin, k.kind, k.subject, names[i], l.Incarnation, names[newest], n.Incarnation))
			case l.Counter != n.Counter:
				out = append(out, fmt.Sprintf("%s %s %d: %s has counter %d, %s the higher %d: the higher stands", k.origin, k.kind, k.subject, names[i], l.Counter, names[newest], n.Counter))
			case l.Value != n.Value:
				out = append(out, fmt.Sprintf("%s %s %d: %s and %s hold counter %d with other values %v and %v: one has been damaged, and will be fetched again", k.origin, k.kind, k.subject, names[i], names[newest], l.Counter, l.Value, n.Value))
			}
		}
	}
	return out
}

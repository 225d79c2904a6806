package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"foxlane/internal/gateway"
	"foxlane/internal/site"
)

// This file owns `foxlane members` and `foxlane replica`: what gateways that gossip know of one another. It asks them on
// the control address of their block `members`, and changes nothing.

// controlTimeout leaves time for a vote.
const controlTimeout = 7 * time.Second

// queryControl sends a gateway one question, and decodes its answer.
func queryControl(at netip.AddrPort, question string, answer any) error {
	line, err := exchangeLine(at, question)
	if err != nil {
		return fmt.Errorf("control at %s: %w", at, err)
	}
	var failed struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(line, &failed) == nil && failed.Error != "" {
		return fmt.Errorf("control at %s: %s", at, failed.Error)
	}
	if err := json.Unmarshal(line, answer); err != nil {
		return fmt.Errorf("control at %s: malformed answer: %w", at, err)
	}
	return nil
}

// exchangeLine sends a line and reads one.
func exchangeLine(at netip.AddrPort, question string) (line []byte, err error) {
	c, err := net.DialTimeout("tcp", at.String(), controlTimeout)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }() // all is read
	if err := c.SetDeadline(time.Now().Add(controlTimeout)); err != nil {
		return nil, err
	}
	if _, err := fmt.Fprintln(c, question); err != nil {
		return nil, err
	}
	if line, err = bufio.NewReader(c).ReadBytes('\n'); err != nil {
		return nil, fmt.Errorf("no answer: %w", err)
	}
	return line, nil
}

// controlAddresses are the addresses that a command's arguments name or, without any, the one of the operator's file.
func controlAddresses(args []string, sitePath string) (out []netip.AddrPort, err error) {
	for _, arg := range args {
		at, err := netip.ParseAddrPort(arg)
		if err != nil {
			return nil, fmt.Errorf("%q is no address with a port: %w", arg, err)
		}
		out = append(out, at)
	}
	if len(out) > 0 {
		return out, nil
	}
	if sitePath == "" {
		return nil, errors.New("name an address where a gateway's block members has control, or, with --site, its file")
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
		Short: "The gateways that a gateway gossips with, since when, and the age of what it has of each",
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
				return printJSON(cmd.OutOrStdout(), lines)
			}
			return printMembers(cmd.OutOrStdout(), lines)
		},
	}
	cmd.Flags().StringVar(&sitePath, "site", "", "the operator's own file (HCL), whose control is asked")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

func printMembers(w io.Writer, lines []gateway.MemberStatus) error {
	return printTable(w, 0, func(t *printer) {
		t.printf("member\tzone\there for\tentries\tnewest\tlag\tsends B/s\tbegan\t\n")
		for _, l := range lines {
			name, lag, sends := l.Name, "", ""
			if l.Self {
				name, lag, sends = "* "+name, formatMillis(l.LagMS), fmt.Sprintf("%.0f", l.SentBytesPerSecond)
			}
			newest := "-"
			if l.NewestEntryMS >= 0 {
				newest = formatMillis(l.NewestEntryMS)
			}
			t.printf("%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t\n", name, l.Zone, formatMillis(l.SinceMS), l.Entries, newest, lag, sends, l.Incarnation)
		}
	})
}

// formatMillis is a duration, rounded to a tenth of a second.
func formatMillis(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}

func replicaCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "replica", Short: "What gateways that gossip have of what others observed"}
	cmd.AddCommand(replicaDiffCommand())
	return cmd
}

func replicaDiffCommand() *cobra.Command {
	var settle time.Duration
	cmd := &cobra.Command{
		Use:   "diff ADDRESS ADDRESS...",
		Short: "Compare the replicas of gateways, and name the entries that differ and how they will be merged",
		Long: "Diff asks each gateway, on the control address of its block members, for all its entries. An entry that one lacks and that is younger\n" +
			"than --settle, or about to expire, is not named: it is on its way. It exits with 1 if replicas differ.",
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
			out := &printer{w: cmd.OutOrStdout()}
			differ := compareCopies(args, held, settle)
			for _, line := range differ {
				out.printf("%s\n", line)
			}
			if len(differ) > 0 {
				return errors.Join(fmt.Errorf("%d entries differ", len(differ)), out.err)
			}
			out.printf("%d copies agree\n", len(at))
			return out.err
		},
	}
	cmd.Flags().DurationVar(&settle, "settle", 3*time.Second, "how old an entry must be to be looked for everywhere")
	return cmd
}

// entryKey identifies an entry in all replicas.
type entryKey struct {
	origin, kind string
	subject      uint64
}

func (k entryKey) String() string { return fmt.Sprintf("%s %s %d", k.origin, k.kind, k.subject) }

// compareCopies describes the entries that differ among replicas: which gateway has what, and how it will be merged.
// Entries younger than settle, or that expire within it, are left out.
func compareCopies(names []string, held [][]gateway.ReplicaEntry, settle time.Duration) (out []string) {
	entries := map[entryKey][]*gateway.ReplicaEntry{} // by gateway; nil: it lacks the entry
	for i := range held {
		for j := range held[i] {
			e := &held[i][j]
			k := entryKey{e.Origin, e.Kind, e.Subject}
			if entries[k] == nil {
				entries[k] = make([]*gateway.ReplicaEntry, len(held))
			}
			entries[k][i] = e
		}
	}
	keys := slices.SortedFunc(maps.Keys(entries), func(a, b entryKey) int {
		return cmp.Or(cmp.Compare(a.origin, b.origin), cmp.Compare(a.kind, b.kind), cmp.Compare(a.subject, b.subject))
	})
	for _, k := range keys {
		if settled(entries[k], settle) {
			out = append(out, compareEntry(names, k, entries[k])...)
		}
	}
	return out
}

// settled reports whether no gateway's entry is younger than a time, or expires within it.
func settled(entries []*gateway.ReplicaEntry, settle time.Duration) bool {
	ms := settle.Milliseconds()
	for _, e := range entries {
		if e != nil && (e.AgeMS < ms || e.ExpiresInMS < ms) {
			return false
		}
	}
	return true
}

// compareEntry describes how the gateways' versions of one entry differ from the newest.
func compareEntry(names []string, k entryKey, entries []*gateway.ReplicaEntry) (out []string) {
	newestAt := 0
	for i, e := range entries {
		if e == nil {
			continue
		}
		if n := entries[newestAt]; n == nil || e.Incarnation > n.Incarnation || e.Incarnation == n.Incarnation && e.Counter > n.Counter {
			newestAt = i
		}
	}
	newest, newestName := entries[newestAt], names[newestAt]
	for i, e := range entries {
		switch {
		case e == nil:
			out = append(out, fmt.Sprintf("%v: %s lacks what %s has (counter %d): it will be fetched with the next digest", k, names[i], newestName, newest.Counter))
		case e.Incarnation != newest.Incarnation:
			out = append(out, fmt.Sprintf("%v: %s has incarnation %d, %s the later %d: the later incarnation wins", k, names[i], e.Incarnation, newestName, newest.Incarnation))
		case e.Counter != newest.Counter:
			out = append(out, fmt.Sprintf("%v: %s has counter %d, %s the higher %d: the higher counter wins", k, names[i], e.Counter, newestName, newest.Counter))
		case e.Value != newest.Value:
			out = append(out, fmt.Sprintf("%v: %s and %s have counter %d with different values %v and %v: one is damaged, and will be fetched again", k, names[i], newestName, e.Counter, e.Value, newest.Value))
		}
	}
	return out
}

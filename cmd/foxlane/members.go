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

// This file implements `foxlane members` and `foxlane replica`, which show what gateways know of one another through
// gossip. They query the control address of the block `members`, and change nothing.

// controlTimeout bounds one query. It leaves time for a vote on a directive.
const controlTimeout = 7 * time.Second

// queryControl sends a question to a gateway's control address, and decodes the reply into answer. It returns the error
// that the reply reports, if any.
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

// exchangeLine sends a line to an address and reads one line in reply.
func exchangeLine(at netip.AddrPort, question string) (line []byte, err error) {
	conn, err := net.DialTimeout("tcp", at.String(), controlTimeout)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }() // nothing is left to read or write
	if err := conn.SetDeadline(time.Now().Add(controlTimeout)); err != nil {
		return nil, err
	}
	if _, err := fmt.Fprintln(conn, question); err != nil {
		return nil, err
	}
	if line, err = bufio.NewReader(conn).ReadBytes('\n'); err != nil {
		return nil, fmt.Errorf("no answer: %w", err)
	}
	return line, nil
}

// controlAddresses returns the control addresses in args or, if args is empty, the one in the operator's file.
func controlAddresses(args []string, sitePath string) (out []netip.AddrPort, err error) {
	for _, arg := range args {
		at, err := netip.ParseAddrPort(arg)
		if err != nil {
			return nil, fmt.Errorf("%q is not an address with a port: %w", arg, err)
		}
		out = append(out, at)
	}
	if len(out) > 0 {
		return out, nil
	}
	if sitePath == "" {
		return nil, errors.New("name a gateway's control address (control in its block members) or, with --site, its operator's file")
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
		Short: "List the gateways that a gateway gossips with, since when, and the age of the entries that it has of each",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			at, err := controlAddresses(args, sitePath)
			if err != nil {
				return err
			}
			var members []gateway.MemberStatus
			if err := queryControl(at[0], "members", &members); err != nil {
				return err
			}
			if asJSON {
				return printJSON(cmd.OutOrStdout(), members)
			}
			return printMembers(cmd.OutOrStdout(), members)
		},
	}
	cmd.Flags().StringVar(&sitePath, "site", "", "the operator's own file (HCL), whose control address is used")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

func printMembers(w io.Writer, members []gateway.MemberStatus) error {
	return printTable(w, 0, func(t *printer) {
		t.printf("member\tzone\there for\tentries\tnewest\tlag\tsends B/s\tbegan\t\n")
		for _, member := range members {
			name, lag, sends := member.Name, "", ""
			if member.Self {
				name, lag, sends = "* "+name, formatMillis(member.LagMS), fmt.Sprintf("%.0f", member.SentBytesPerSecond)
			}
			newest := "-"
			if member.NewestEntryMS >= 0 {
				newest = formatMillis(member.NewestEntryMS)
			}
			t.printf("%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t\n", name, member.Zone, formatMillis(member.SinceMS), member.Entries, newest, lag, sends, member.Incarnation)
		}
	})
}

// formatMillis formats a duration in milliseconds, rounded to a tenth of a second.
func formatMillis(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}

func replicaCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "replica", Short: "Inspect the replicas of the observations that gateways exchange by gossip"}
	cmd.AddCommand(replicaDiffCommand())
	return cmd
}

func replicaDiffCommand() *cobra.Command {
	var settle time.Duration
	cmd := &cobra.Command{
		Use:   "diff ADDRESS ADDRESS...",
		Short: "Compare the replicas of gateways, and name the entries that differ and how they will be merged",
		Long: "Diff asks each gateway, at the control address of its block members, for all its entries. An entry that is younger than --settle\n" +
			"at any of them, or expires within that time, is left out: it may still be in transit. The exit code is 1 if replicas differ.",
		Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			at, err := controlAddresses(args, "")
			if err != nil {
				return err
			}
			replicas := make([][]gateway.ReplicaEntry, len(at))
			for i := range at {
				if err := queryControl(at[i], "copies", &replicas[i]); err != nil {
					return err
				}
			}
			out := &printer{w: cmd.OutOrStdout()}
			differences := compareReplicas(args, replicas, settle)
			for _, line := range differences {
				out.printf("%s\n", line)
			}
			if len(differences) > 0 {
				return errors.Join(fmt.Errorf("%d entries differ", len(differences)), out.err)
			}
			out.printf("%d copies agree\n", len(at))
			return out.err
		},
	}
	cmd.Flags().DurationVar(&settle, "settle", 3*time.Second, "the age from which an entry must be at all gateways")
	return cmd
}

// entryKey identifies an entry across replicas.
type entryKey struct {
	origin, kind string
	subject      uint64
}

func (k entryKey) String() string { return fmt.Sprintf("%s %s %d", k.origin, k.kind, k.subject) }

// compareReplicas describes the entries that differ among the replicas of the gateways, and how they will be merged.
// Entries that are younger than settle, or expire within it, are left out.
func compareReplicas(gateways []string, replicas [][]gateway.ReplicaEntry, settle time.Duration) (out []string) {
	entries := map[entryKey][]*gateway.ReplicaEntry{} // indexed by gateway; nil: the gateway lacks the entry
	for i := range replicas {
		for j := range replicas[i] {
			e := &replicas[i][j]
			k := entryKey{e.Origin, e.Kind, e.Subject}
			if entries[k] == nil {
				entries[k] = make([]*gateway.ReplicaEntry, len(replicas))
			}
			entries[k][i] = e
		}
	}
	keys := slices.SortedFunc(maps.Keys(entries), func(a, b entryKey) int {
		return cmp.Or(cmp.Compare(a.origin, b.origin), cmp.Compare(a.kind, b.kind), cmp.Compare(a.subject, b.subject))
	})
	for _, k := range keys {
		if isSettled(entries[k], settle) {
			out = append(out, compareEntry(gateways, k, entries[k])...)
		}
	}
	return out
}

// isSettled reports whether all versions of an entry are at least minAge old and don't expire within minAge.
func isSettled(entries []*gateway.ReplicaEntry, minAge time.Duration) bool {
	ms := minAge.Milliseconds()
	for _, e := range entries {
		if e != nil && (e.AgeMS < ms || e.ExpiresInMS < ms) {
			return false
		}
	}
	return true
}

// compareEntry describes how the gateways' versions of one entry differ from the newest version.
func compareEntry(gateways []string, key entryKey, entries []*gateway.ReplicaEntry) (out []string) {
	newestAt := 0
	for i, e := range entries {
		if e == nil {
			continue
		}
		if n := entries[newestAt]; n == nil || e.Incarnation > n.Incarnation || e.Incarnation == n.Incarnation && e.Counter > n.Counter {
			newestAt = i
		}
	}
	newest, newestName := entries[newestAt], gateways[newestAt]
	for i, e := range entries {
		switch {
		case e == nil:
			out = append(out, fmt.Sprintf("%v: %s lacks what %s has (counter %d): it will be fetched with the next digest", key, gateways[i], newestName, newest.Counter))
		case e.Incarnation != newest.Incarnation:
			out = append(out, fmt.Sprintf("%v: %s has incarnation %d, %s the later %d: the later incarnation wins", key, gateways[i], e.Incarnation, newestName, newest.Incarnation))
		case e.Counter != newest.Counter:
			out = append(out, fmt.Sprintf("%v: %s has counter %d, %s the higher %d: the higher counter wins", key, gateways[i], e.Counter, newestName, newest.Counter))
		case e.Value != newest.Value:
			out = append(out, fmt.Sprintf("%v: %s and %s have counter %d with different values %v and %v: one is damaged, and will be fetched again", key, gateways[i], newestName, e.Counter, e.Value, newest.Value))
		}
	}
	return out
}

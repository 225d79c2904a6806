package main

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"foxlane/internal/spool"
	"foxlane/internal/spool/disk"
)

// This file implements `foxlane spool`: commands for the folder of a result store while no gateway uses it. Only gc
// with --yes changes the folder.

// segmentBytes is the size of the segments that gc writes.
const segmentBytes = 64 << 20

func spoolCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "spool",
		Short: "Inspect the folder of a result store while no gateway uses it",
	}
	var yes bool
	gc := &cobra.Command{
		Use:   "gc FOLDER",
		Short: "Count the results whose lease is over; with --yes, drop them and free their space",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withStore(args[0], !yes, func(s *disk.Store, recovery *disk.Recovery) error {
				return spoolGC(cmd.OutOrStdout(), s, recovery, time.Now(), yes)
			})
		},
	}
	gc.Flags().BoolVar(&yes, "yes", false, "write to the folder")
	cmd.AddCommand(gc,
		inspectCommand("ls FOLDER", "List the results that are complete", func(out io.Writer, _ *disk.Store, recovery *disk.Recovery, _ []string) error {
			return spoolList(out, recovery, time.Now())
		}),
		inspectCommand("show FOLDER ID", "Show where the chunks of a result are stored, without its rows", func(out io.Writer, _ *disk.Store, recovery *disk.Recovery, args []string) error {
			return spoolShow(out, recovery, args[1])
		}),
		inspectCommand("verify FOLDER", "Read every chunk and check its checksums; fails if anything is damaged", func(out io.Writer, s *disk.Store, recovery *disk.Recovery, _ []string) error {
			return spoolVerify(out, s, recovery)
		}))
	return cmd
}

// inspectCommand returns a command that only reads a folder. It takes as many arguments as use names, the folder first.
func inspectCommand(use, short string, inspect func(out io.Writer, s *disk.Store, recovery *disk.Recovery, args []string) error) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ExactArgs(len(strings.Fields(use)) - 1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withStore(args[0], true, func(s *disk.Store, recovery *disk.Recovery) error {
				return inspect(cmd.OutOrStdout(), s, recovery, args)
			})
		},
	}
}

// withStore calls use with the store in a folder, and closes the store afterwards.
func withStore(path string, readOnly bool, use func(*disk.Store, *disk.Recovery) error) (err error) {
	folder, err := disk.OpenExisting(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, folder.Close()) }()
	store, recovery, err := disk.Open(folder, disk.Options{SegmentBytes: segmentBytes, ReadOnly: readOnly})
	if err != nil {
		return err
	}
	return errors.Join(use(store, recovery), store.Close())
}

// totalSize returns the size of a result's chunks in bytes.
func totalSize(chunks []spool.Location) (n int64) {
	for _, c := range chunks {
		n += int64(c.Size)
	}
	return n
}

// formatUnixMicro formats a Unix time in microseconds as UTC.
func formatUnixMicro(us int64) string { return time.UnixMicro(us).UTC().Format(time.RFC3339) }

func spoolList(out io.Writer, recovery *disk.Recovery, now time.Time) error {
	err := printTable(out, 0, func(t *printer) {
		t.printf("id\ttenant\tclass\tchunks\tbytes\tcreated\tlease\t\n")
		for _, r := range recovery.Results {
			state := ""
			if r.Meta.LeaseEnd < now.UnixMicro() {
				state = "over"
			}
			t.printf("%x\t%016x\t%d\t%d\t%d\t%s\t%s\t%s\n", r.ID[:], r.Meta.Tenant, r.Meta.Class, len(r.Locations), totalSize(r.Locations),
				formatUnixMicro(r.Meta.Created), formatUnixMicro(r.Meta.LeaseEnd), state)
		}
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%d whole, %d damaged, %d never finished, %d bytes of a torn write\n", len(recovery.Results), len(recovery.Lost),
		recovery.Unfinished, recovery.TornBytes)
	return err
}

// spoolShow prints where the chunks of one result are stored.
func spoolShow(out io.Writer, recovery *disk.Recovery, hexID string) error {
	raw, err := hex.DecodeString(hexID)
	if err != nil || len(raw) != len(spool.ID{}) {
		return fmt.Errorf("spool: %.40q is not an id; ids have 32 hex digits, as ls prints them", hexID)
	}
	id := spool.ID(raw)
	for _, r := range recovery.Results {
		if r.ID != id {
			continue
		}
		p := &printer{w: out}
		p.printf("created %s, lease until %s\n", formatUnixMicro(r.Meta.Created), formatUnixMicro(r.Meta.LeaseEnd))
		for n, c := range r.Locations {
			p.printf("chunk %d: segment %d at %d, %d bytes\n", n, c.Segment, c.Offset, c.Size)
		}
		return p.err
	}
	if slices.Contains(recovery.Lost, id) {
		return fmt.Errorf("spool: result %s is damaged", hexID)
	}
	return fmt.Errorf("spool: no result %s", hexID)
}

func spoolVerify(out io.Writer, store *disk.Store, recovery *disk.Recovery) error {
	p := &printer{w: out}
	for _, d := range recovery.Damage {
		owner := "of no known result"
		if d.Known {
			owner = fmt.Sprintf("of result %x", d.ID[:])
		}
		p.printf("segment %d: %d bytes at %d are damaged, %s\n", d.Segment, d.Size, d.Offset, owner)
	}
	unreadable := 0
	for _, r := range recovery.Results {
		for n, c := range r.Locations {
			if _, err := store.Read(r.ID, n, c); err != nil {
				unreadable++
				p.printf("result %x, chunk %d: %v\n", r.ID[:], n, err)
			}
		}
	}
	p.printf("%d results are whole, %d damaged, %d never finished, %d bytes of a torn write\n", len(recovery.Results), len(recovery.Lost),
		recovery.Unfinished, recovery.TornBytes)
	if len(recovery.Damage) > 0 || unreadable > 0 {
		return errors.Join(fmt.Errorf("spool: %d byte ranges are damaged, %d chunks can't be read", len(recovery.Damage), unreadable), p.err)
	}
	return p.err
}

// spoolGC drops the results whose lease is over and compacts the store. Without write it only counts them.
func spoolGC(out io.Writer, store *disk.Store, recovery *disk.Recovery, now time.Time, write bool) error {
	var expired []spool.ID
	expiredBytes := int64(0)
	for _, r := range recovery.Results {
		if r.Meta.LeaseEnd < now.UnixMicro() {
			expired = append(expired, r.ID)
			expiredBytes += totalSize(r.Locations)
		}
	}
	if !write {
		_, err := fmt.Fprintf(out, "%d of %d results are over, %d bytes; --yes drops them\n", len(expired), len(recovery.Results), expiredBytes)
		return err
	}
	bytesBefore := store.Bytes()
	for _, d := range store.Commit(disk.DropEffects(expired)) {
		if d.Err != nil {
			return d.Err
		}
	}
	for previousBytes := int64(-1); store.Bytes() != previousBytes; { // until compaction frees no more space
		previousBytes = store.Bytes()
		if _, err := store.Compact(); err != nil {
			return err
		}
		if store.WastedBytes() < previousBytes/10 {
			break
		}
	}
	_, err := fmt.Fprintf(out, "%d results dropped, %d bytes freed\n", len(expired), bytesBefore-store.Bytes())
	return err
}

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

// This file owns `foxlane spool`: commands for the folder of a result store that no gateway uses. They change nothing,
// except gc with --yes.

// segmentBytes is the size of the segments that gc writes.
const segmentBytes = 64 << 20

func spoolCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "spool",
		Short: "Inspect the folder of a result store that no gateway uses",
	}
	var yes bool
	gc := &cobra.Command{
		Use:   "gc FOLDER",
		Short: "Count the results that are over; with --yes drop them and free their space",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withStore(args[0], !yes, func(s *disk.Store, rec *disk.Recovery) error {
				return spoolGC(cmd.OutOrStdout(), s, rec, time.Now(), yes)
			})
		},
	}
	gc.Flags().BoolVar(&yes, "yes", false, "write to the folder")
	cmd.AddCommand(gc,
		inspectCommand("ls FOLDER", "List the results that are complete", func(out io.Writer, _ *disk.Store, rec *disk.Recovery, _ []string) error {
			return spoolList(out, rec, time.Now())
		}),
		inspectCommand("show FOLDER ID", "Show where the chunks of a result are; its rows are not shown", func(out io.Writer, _ *disk.Store, rec *disk.Recovery, args []string) error {
			return spoolShow(out, rec, args[1])
		}),
		inspectCommand("verify FOLDER", "Read every chunk and compare its checksums; fails if anything is damaged", func(out io.Writer, s *disk.Store, rec *disk.Recovery, _ []string) error {
			return spoolVerify(out, s, rec)
		}))
	return cmd
}

// inspectCommand is a command that only reads a folder. Its arguments are those that use names.
func inspectCommand(use, short string, inspect func(out io.Writer, s *disk.Store, rec *disk.Recovery, args []string) error) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ExactArgs(len(strings.Fields(use)) - 1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withStore(args[0], true, func(s *disk.Store, rec *disk.Recovery) error {
				return inspect(cmd.OutOrStdout(), s, rec, args)
			})
		},
	}
}

// withStore opens the store in a folder, and closes it when do has returned.
func withStore(path string, readOnly bool, do func(*disk.Store, *disk.Recovery) error) (err error) {
	folder, err := disk.OpenExisting(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, folder.Close()) }()
	store, rec, err := disk.Open(folder, disk.Options{SegmentBytes: segmentBytes, ReadOnly: readOnly})
	if err != nil {
		return err
	}
	return errors.Join(do(store, rec), store.Close())
}

// totalSize is the size of a result, in bytes.
func totalSize(chunks []spool.Location) (n int64) {
	for _, c := range chunks {
		n += int64(c.Size)
	}
	return n
}

// formatTime is a time of the wall clock in UTC.
func formatTime(unixMicro int64) string { return time.UnixMicro(unixMicro).UTC().Format(time.RFC3339) }

func spoolList(out io.Writer, rec *disk.Recovery, now time.Time) error {
	err := printTable(out, 0, func(t *printer) {
		t.printf("id\ttenant\tclass\tchunks\tbytes\tcreated\tlease\t\n")
		for _, r := range rec.Results {
			state := ""
			if r.Meta.LeaseEnd < now.UnixMicro() {
				state = "over"
			}
			t.printf("%x\t%016x\t%d\t%d\t%d\t%s\t%s\t%s\n", r.ID[:], r.Meta.Tenant, r.Meta.Class, len(r.Locations), totalSize(r.Locations),
				formatTime(r.Meta.Created), formatTime(r.Meta.LeaseEnd), state)
		}
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%d whole, %d damaged, %d never finished, %d bytes of a torn write\n", len(rec.Results), len(rec.Lost),
		rec.Unfinished, rec.TornBytes)
	return err
}

// spoolShow shows one result; name is its id in hexadecimal.
func spoolShow(out io.Writer, rec *disk.Recovery, name string) error {
	raw, err := hex.DecodeString(name)
	if err != nil || len(raw) != len(spool.ID{}) {
		return fmt.Errorf("spool: %.40q is no id; it has 32 hex digits, as ls prints them", name)
	}
	id := spool.ID(raw)
	for _, r := range rec.Results {
		if r.ID != id {
			continue
		}
		p := &printer{w: out}
		p.printf("created %s, lease until %s\n", formatTime(r.Meta.Created), formatTime(r.Meta.LeaseEnd))
		for n, c := range r.Locations {
			p.printf("chunk %d: segment %d at %d, %d bytes\n", n, c.Segment, c.Offset, c.Size)
		}
		return p.err
	}
	if slices.Contains(rec.Lost, id) {
		return fmt.Errorf("spool: result %s is damaged", name)
	}
	return fmt.Errorf("spool: no result %s", name)
}

func spoolVerify(out io.Writer, s *disk.Store, rec *disk.Recovery) error {
	p := &printer{w: out}
	for _, d := range rec.Damage {
		owner := "of no known result"
		if d.Known {
			owner = fmt.Sprintf("of result %x", d.ID[:])
		}
		p.printf("segment %d: %d bytes at %d are damaged, %s\n", d.Segment, d.Size, d.Offset, owner)
	}
	unreadable := 0
	for _, r := range rec.Results {
		for n, c := range r.Locations {
			if _, err := s.Read(r.ID, n, c); err != nil {
				unreadable++
				p.printf("result %x, chunk %d: %v\n", r.ID[:], n, err)
			}
		}
	}
	p.printf("%d results are whole, %d damaged, %d never finished, %d bytes of a torn write\n", len(rec.Results), len(rec.Lost),
		rec.Unfinished, rec.TornBytes)
	if len(rec.Damage) > 0 || unreadable > 0 {
		return errors.Join(fmt.Errorf("spool: %d stretches are damaged, %d chunks can't be read", len(rec.Damage), unreadable), p.err)
	}
	return p.err
}

// spoolGC drops the results whose lease is over and compacts the store, or without yes only counts them.
func spoolGC(out io.Writer, s *disk.Store, rec *disk.Recovery, now time.Time, yes bool) error {
	var over []spool.ID
	bytes := int64(0)
	for _, r := range rec.Results {
		if r.Meta.LeaseEnd < now.UnixMicro() {
			over = append(over, r.ID)
			bytes += totalSize(r.Locations)
		}
	}
	if !yes {
		_, err := fmt.Fprintf(out, "%d of %d results are over, %d bytes; --yes drops them\n", len(over), len(rec.Results), bytes)
		return err
	}
	before := s.Bytes()
	for _, d := range s.Commit(disk.DropEffects(over)) {
		if d.Err != nil {
			return d.Err
		}
	}
	for last := int64(-1); s.Bytes() != last; { // until compaction frees nothing more
		last = s.Bytes()
		if _, err := s.Compact(); err != nil {
			return err
		}
		if s.WastedBytes() < last/10 {
			break
		}
	}
	_, err := fmt.Fprintf(out, "%d results dropped, %d bytes freed\n", len(over), before-s.Bytes())
	return err
}

package main

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"foxlane/internal/spool"
	"foxlane/internal/spool/disk"
)

// This file owns the commands that look into a spool's folder while no gateway
// uses it. They change nothing unless gc is told to.

func spoolCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "spool",
		Short: "Look into the folder of a spool that no gateway uses",
	}
	var yes bool
	gc := &cobra.Command{
		Use:   "gc FOLDER",
		Short: "Say which results are over; with --yes drop them and free their room",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withStore(args[0], !yes, func(s *disk.Store, rec *disk.Recovery) error {
				return spoolGC(cmd.OutOrStdout(), s, rec, time.Now(), yes)
			})
		},
	}
	gc.Flags().BoolVar(&yes, "yes", false, "write to the folder")
	cmd.AddCommand(gc,
		&cobra.Command{
			Use:   "ls FOLDER",
			Short: "List the results that are whole",
			Args:  cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return withStore(args[0], true, func(_ *disk.Store, rec *disk.Recovery) error {
					return spoolList(cmd.OutOrStdout(), rec, time.Now())
				})
			},
		},
		&cobra.Command{
			Use:   "show FOLDER ID",
			Short: "Say where the chunks of a result lie; its rows are not shown",
			Args:  cobra.ExactArgs(2),
			RunE: func(cmd *cobra.Command, args []string) error {
				return withStore(args[0], true, func(_ *disk.Store, rec *disk.Recovery) error {
					return spoolShow(cmd.OutOrStdout(), rec, args[1])
				})
			},
		},
		&cobra.Command{
			Use:   "verify FOLDER",
			Short: "Read every chunk and compare its sums; fails if anything is damaged",
			Args:  cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return withStore(args[0], true, func(s *disk.Store, rec *disk.Recovery) error {
					return spoolVerify(cmd.OutOrStdout(), s, rec)
				})
			},
		})
	return cmd
}

func withStore(path string, readOnly bool, do func(*disk.Store, *disk.Recovery) error) (err error) {
	folder, err := disk.OpenExisting(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	store, rec, err := disk.Open(folder, disk.Options{SegmentBytes: 64 << 20, ReadOnly: readOnly})
	if err != nil {
		return err
	}
	return errors.Join(do(store, rec), store.Close())
}

func totalSize(places []spool.Location) (n int64) {
	for _, p := range places {
		n += int64(p.Size)
	}
	return n
}

func formatTime(unixMicro int64) string { return time.UnixMicro(unixMicro).UTC().Format(time.RFC3339) }

func spoolList(out io.Writer, rec *disk.Recovery, now time.Time) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "id\ttenant\tclass\tchunks\tbytes\tcreated\tlease\t")
	for _, f := range rec.Results {
		state := ""
		if f.Meta.LeaseEnd < now.UnixMicro() {
			state = "over"
		}
		fmt.Fprintf(t, "%x\t%016x\t%d\t%d\t%d\t%s\t%s\t%s\n", f.ID[:], f.Meta.Tenant, f.Meta.Class, len(f.Locations), totalSize(f.Locations),
			formatTime(f.Meta.Created), formatTime(f.Meta.LeaseEnd), state)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%d whole, %d damaged, %d never finished, %d bytes of a torn write\n", len(rec.Results), len(rec.Lost),
		rec.Unfinished, rec.TornBytes)
	return err
}

func spoolShow(out io.Writer, rec *disk.Recovery, name string) error {
	raw, err := hex.DecodeString(name)
	if err != nil || len(raw) != len(spool.ID{}) {
		return fmt.Errorf("spool: %.40q is no id; it has 32 hex digits, as ls prints them", name)
	}
	for _, f := range rec.Results {
		if string(f.ID[:]) != string(raw) {
			continue
		}
		fmt.Fprintf(out, "created %s, lease until %s\n", formatTime(f.Meta.Created), formatTime(f.Meta.LeaseEnd))
		for n, p := range f.Locations {
			fmt.Fprintf(out, "chunk %d: segment %d at %d, %d bytes\n", n, p.Segment, p.Offset, p.Size)
		}
		return nil
	}
	for _, id := range rec.Lost {
		if string(id[:]) == string(raw) {
			return fmt.Errorf("spool: result %s is damaged", name)
		}
	}
	return fmt.Errorf("spool: no result %s", name)
}

func spoolVerify(out io.Writer, s *disk.Store, rec *disk.Recovery) error {
	for _, d := range rec.Damage {
		whose := "of no known result"
		if d.Known {
			whose = fmt.Sprintf("of result %x", d.ID[:])
		}
		fmt.Fprintf(out, "segment %d: %d bytes at %d are damaged, %s\n", d.Segment, d.Size, d.Offset, whose)
	}
	bad := 0
	for _, f := range rec.Results {
		for n, p := range f.Locations {
			if _, err := s.Read(f.ID, n, p); err != nil {
				bad++
				fmt.Fprintf(out, "result %x, chunk %d: %v\n", f.ID[:], n, err)
			}
		}
	}
	fmt.Fprintf(out, "%d results are whole, %d damaged, %d never finished, %d bytes of a torn write\n", len(rec.Results), len(rec.Lost),
		rec.Unfinished, rec.TornBytes)
	if len(rec.Damage) > 0 || bad > 0 {
		return fmt.Errorf("spool: %d stretches are damaged, %d chunks can't be read", len(rec.Damage), bad)
	}
	return nil
}

func spoolGC(out io.Writer, s *disk.Store, rec *disk.Recovery, now time.Time, yes bool) error {
	var over []spool.ID
	bytes := int64(0)
	for _, f := range rec.Results {
		if f.Meta.LeaseEnd < now.UnixMicro() {
			over = append(over, f.ID)
			bytes += totalSize(f.Locations)
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
	for last := int64(-1); s.Bytes() != last; { // until nothing more goes
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

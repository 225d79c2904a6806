package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"foxlane/internal/spool"
	"foxlane/internal/spool/disk"
	"foxlane/internal/spool/segment"
)

// newSpoolFolder returns a folder with one result for each lease end.
func newSpoolFolder(t *testing.T, leaseEnds ...time.Time) string {
	dir := t.TempDir()
	folder, err := disk.OpenFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	s, _, err := disk.Open(folder, disk.Options{SegmentBytes: 4000, Salt: 5})
	if err != nil {
		t.Fatal(err)
	}
	for i, leaseEnd := range leaseEnds {
		id := spool.ID{byte(i + 1)}
		rows := strings.Repeat("a\tb\tc\n", 100)
		for _, d := range s.Commit([]spool.WriteRecord{
			{ID: id, Record: segment.Open, Data: segment.AppendMeta(nil, segment.Meta{Tenant: 7, Created: 1, LeaseEnd: leaseEnd.UnixMicro()})},
			{ID: id, Record: segment.Chunk, Data: []byte(rows)},
			{ID: id, Record: segment.Seal, Index: 1, Data: segment.AppendSummary(nil, segment.Summary{Chunks: 1, Bytes: uint64(len(rows))})},
		}) {
			if d.Err != nil {
				t.Fatal(d.Err)
			}
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if err := folder.Close(); err != nil {
		t.Fatal(err)
	}
	return dir
}

func folderContents(t *testing.T, dir string) (out string) {
	files, err := filepath.Glob(filepath.Join(dir, "*.seg"))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		raw, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		out += fmt.Sprintf("%s %x\n", f, raw)
	}
	return out
}

func TestSpoolCommands(t *testing.T) {
	now := time.Now()
	dir := newSpoolFolder(t, now.Add(-time.Hour), now.Add(time.Hour), now.Add(-time.Minute))
	before := folderContents(t, dir)
	out, err := execute("spool", "ls", dir)
	if err != nil || !strings.Contains(out, "3 whole, 0 damaged") || strings.Count(out, "over") != 2 {
		t.Errorf("ls: %v\n%s", err, out)
	}
	if out, err := execute("spool", "show", dir, "02000000000000000000000000000000"); err != nil || !strings.Contains(out, "chunk 0: segment 1") {
		t.Errorf("show: %v\n%s", err, out)
	}
	for _, id := range []string{"02", "zz000000000000000000000000000000", "09000000000000000000000000000000"} {
		if _, err := execute("spool", "show", dir, id); err == nil {
			t.Errorf("show %s succeeded", id)
		}
	}
	if out, err := execute("spool", "verify", dir); err != nil || !strings.Contains(out, "3 results are whole") {
		t.Errorf("verify: %v\n%s", err, out)
	}
	if out, err := execute("spool", "gc", dir); err != nil || !strings.Contains(out, "2 of 3 results are over") {
		t.Errorf("gc: %v\n%s", err, out)
	}
	if folderContents(t, dir) != before {
		t.Error("a command other than gc --yes has written to the folder")
	}
	if out, err := execute("spool", "gc", dir, "--yes"); err != nil || !strings.Contains(out, "2 results dropped") {
		t.Errorf("gc --yes: %v\n%s", err, out)
	}
	if out, err := execute("spool", "ls", dir); err != nil || !strings.Contains(out, "1 whole, 0 damaged") {
		t.Errorf("ls after gc: %v\n%s", err, out)
	}
}

// Verify reports a torn tail and damaged rows, and leaves the folder unchanged.
func TestSpoolVerifyReportsDamage(t *testing.T) {
	now := time.Now()
	dir := newSpoolFolder(t, now.Add(time.Hour), now.Add(time.Hour))
	path := filepath.Join(dir, "00000001.seg")
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	raw[300] ^= 1 // within the first result's rows
	raw = raw[:len(raw)-3]
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	before := folderContents(t, dir)
	out, err := execute("spool", "verify", dir)
	if err == nil || !strings.Contains(out, "are damaged, of result 0100") || !strings.Contains(out, "1 damaged, 1 never finished") {
		t.Errorf("%v\n%s", err, out)
	}
	if folderContents(t, dir) != before {
		t.Error("verify has changed the folder")
	}
	if _, err := execute("spool", "ls", filepath.Join(dir, "nowhere")); err == nil {
		t.Error("a missing folder was accepted")
	}
	if _, err := os.Stat(filepath.Join(dir, "nowhere")); err == nil {
		t.Error("ls created a folder")
	}
}

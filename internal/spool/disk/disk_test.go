package disk

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"testing"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"foxlane/internal/rapidtest"
	"foxlane/internal/spool"
	"foxlane/internal/spool/segment"
)

func TestMain(m *testing.M) {
	rapidtest.FixSeed()
	goleak.VerifyTestMain(m) // each Worker is closed by its test
}

var errFault = errors.New("fault")

var options = Options{SegmentBytes: 1500, Salt: 77}

func id(n int) spool.ID { return spool.ID{byte(n), byte(n >> 8), 3} }

// rows returns chunk n of result k.
func rows(k, n int) []byte { return bytes.Repeat([]byte{byte(k), byte(n), '\n'}, 20+10*(n%4)) }

// writes returns the effects that write a result with this many chunks.
func writes(k, chunks int) (out []spool.WriteRecord) {
	meta := segment.AppendMeta(nil, segment.Meta{Tenant: uint64(k), Secret: [32]byte{byte(k)}, Class: 1, Created: 5, LeaseEnd: 100})
	out = append(out, spool.WriteRecord{ID: id(k), Record: segment.Open, Data: meta})
	sum := uint64(0)
	for n := range chunks {
		sum += uint64(len(rows(k, n)))
		out = append(out, spool.WriteRecord{ID: id(k), Record: segment.Chunk, Index: n, Data: rows(k, n)})
	}
	return append(out, spool.WriteRecord{ID: id(k), Record: segment.Seal, Index: chunks,
		Data: segment.AppendSummary(nil, segment.Summary{Chunks: uint32(chunks), Bytes: sum})})
}

func drop(k int) []spool.WriteRecord {
	return []spool.WriteRecord{{ID: id(k), Record: segment.Drop}}
}

// synced returns the results that a commit reported as synced, and those that it reported as failed.
func synced(done []Completion) (good, bad []spool.ID) {
	for _, d := range done {
		if e, ok := d.Event.(spool.ResultSynced); ok {
			if e.Failed {
				bad = append(bad, e.ID)
			} else {
				good = append(good, e.ID)
			}
		}
	}
	return good, bad
}

func open(t interface{ Fatal(...any) }, fs FS) (*Store, *Recovery) {
	s, rec, err := Open(fs, options)
	if err != nil {
		t.Fatal(err)
	}
	return s, rec
}

// check reads a recovered result and compares every byte.
func check(s *Store, f RecoveredResult, k, chunks int) error {
	if f.ID != id(k) || len(f.Locations) != chunks || f.Meta.Tenant != uint64(k) {
		return fmt.Errorf("found %v with %d chunks", f.ID, len(f.Locations))
	}
	for n, p := range f.Locations {
		got, err := s.Read(f.ID, n, p)
		if err != nil {
			return fmt.Errorf("chunk %d of result %d: %w", n, k, err)
		}
		if !bytes.Equal(got, rows(k, n)) {
			return fmt.Errorf("chunk %d of result %d: %d bytes that differ", n, k, len(got))
		}
	}
	return nil
}

func find(rec *Recovery, k int) (RecoveredResult, bool) {
	for _, f := range rec.Results {
		if f.ID == id(k) {
			return f, true
		}
	}
	return RecoveredResult{}, false
}

// logOf returns a folder with results written one after the other, across segments, and the size of the folder when
// each was reported as synced.
func logOf(t testing.TB, results, chunks int) (fs *memoryFS, acked map[int]int64) {
	fs, acked = newMemoryFS(), map[int]int64{}
	s, _ := open(t, fs)
	for k := range results {
		good, _ := synced(s.Commit(writes(k, chunks)))
		if len(good) != 1 {
			t.Fatalf("result %d is not acknowledged", k)
		}
		acked[k] = fs.size()
	}
	return fs, acked
}

// cutAt returns the folder as it was after this many of its bytes were written.
func cutAt(fs *memoryFS, at int64) *memoryFS {
	out := newMemoryFS()
	names, _ := fs.List()
	slices.Sort(names)
	for _, name := range names {
		data := fs.files[name].data
		if at <= 0 {
			break
		}
		data = data[:min(at, int64(len(data)))]
		at -= int64(len(data))
		out.files[name] = &memFile{fs: out, data: bytes.Clone(data), synced: bytes.Clone(data)}
	}
	return out
}

// After a kill at any byte all synced results are complete, and nothing is left of others.
func TestEveryCutOfALog(t *testing.T) {
	fs, acked := logOf(t, 5, 7)
	if len(fs.files) < 3 {
		t.Fatalf("only %d segments: the test has lost its subject", len(fs.files))
	}
	for at := int64(0); at <= fs.size(); at++ {
		cut := cutAt(fs, at)
		s, rec := open(t, cut)
		if len(rec.Damage) > 0 || len(rec.Lost) > 0 {
			t.Fatalf("cut at %d: a torn tail is told as damage: %+v, %v", at, rec.Damage, rec.Lost)
		}
		for k, end := range acked {
			f, ok := find(rec, k)
			if ok != (end <= at) {
				t.Fatalf("cut at %d: result %d, acknowledged at %d, found %v", at, k, end, ok)
			}
			if ok {
				if err := check(s, f, k, 7); err != nil {
					t.Fatalf("cut at %d: %v", at, err)
				}
			}
		}
		// The folder can be written to, and is intact at the next start.
		if at%37 == 0 {
			if good, _ := synced(s.Commit(writes(50, 4))); len(good) != 1 {
				t.Fatalf("cut at %d: nothing can be written any more", at)
			}
			s2, rec := open(t, cut)
			f, ok := find(rec, 50)
			if !ok || check(s2, f, 50, 4) != nil {
				t.Fatalf("cut at %d: what was written afterwards is not found", at)
			}
		}
	}
}

// A changed byte costs only the result that it belongs to, and is reported.
func TestEveryDamageOfALog(t *testing.T) {
	fs, _ := logOf(t, 4, 5)
	names, _ := fs.List()
	slices.Sort(names)
	for i, name := range names {
		for at := range fs.files[name].data {
			bad := cutAt(fs, 1<<40)
			bad.files[name].data[at] ^= 0x5a
			s, rec := open(t, bad)
			if at < segment.HeaderSize {
				if i == len(names)-1 && len(rec.Damage) == 0 {
					t.Fatalf("%s: a damaged head is not told", name)
				}
				continue
			}
			if len(rec.Results) < 3 || len(rec.Damage) == 0 && rec.TornBytes == 0 {
				t.Fatalf("%s byte %d: %d of 4 found, damage %v, torn %d", name, at, len(rec.Results), rec.Damage, rec.TornBytes)
			}
			for _, f := range rec.Results {
				if err := check(s, f, int(f.ID[0]), 5); err != nil {
					t.Fatalf("%s byte %d: %v", name, at, err)
				}
			}
		}
	}
}

func TestFailedWrites(t *testing.T) {
	for n := 1; n <= 30; n++ {
		fs, _ := logOf(t, 2, 5)
		s, _ := open(t, fs)
		fs.failWrite = n
		failed := false
		for _, d := range s.Commit(writes(9, 8)) {
			if e, ok := d.Event.(spool.RecordWritten); ok && e.Failed {
				failed = true
			}
		}
		fs.failWrite = 0
		if good, _ := synced(s.Commit(writes(10, 3))); len(good) != 1 {
			t.Fatalf("after write %d failed nothing more can be written", n)
		}
		s2, rec := open(t, fs)
		for _, k := range []int{0, 1, 10} {
			f, ok := find(rec, k)
			if !ok {
				t.Fatalf("after write %d failed result %d is gone", n, k)
			}
			if err := check(s2, f, k, len(f.Locations)); err != nil {
				t.Fatal(err)
			}
		}
		if f, ok := find(rec, 9); ok && (failed || check(s2, f, 9, 8) != nil) {
			t.Fatalf("after write %d failed a result is offered that is not whole", n)
		}
	}
}

func TestFullDisk(t *testing.T) {
	fs := newMemoryFS()
	fs.capacity = 4000
	s, _ := open(t, fs)
	kept := 0
	for k := range 20 {
		if good, _ := synced(s.Commit(writes(k, 5))); len(good) == 1 {
			kept++
		}
	}
	if kept == 0 || kept == 20 {
		t.Fatalf("%d of 20 fit: the test has lost its subject", kept)
	}
	_, rec := open(t, fs)
	if len(rec.Results) != kept {
		t.Errorf("%d were acknowledged, %d are found", kept, len(rec.Results))
	}
}

// Results behind a failed sync are not offered, neither then nor after a restart.
func TestFailedSync(t *testing.T) {
	fs, _ := logOf(t, 2, 5)
	s, _ := open(t, fs)
	fs.failSync = true
	done := s.Commit(writes(9, 3))
	good, bad := synced(done)
	reported := false
	for _, d := range done {
		_, lost := d.Event.(spool.SegmentTailLost)
		reported = reported || lost
	}
	if len(good) != 0 || len(bad) != 1 || !reported {
		t.Fatalf("acknowledged %v, refused %v, told %v", good, bad, reported)
	}
	fs.failSync = false
	if good, _ := synced(s.Commit(writes(10, 3))); len(good) != 1 {
		t.Error("nothing can be written after a failed sync")
	}
	for _, after := range []*memoryFS{fs, fs.crash(func(n int) int { return n })} {
		_, rec := open(t, after)
		if _, ok := find(rec, 9); ok || len(rec.Results) != 3 {
			t.Errorf("%d found, the one whose sync failed: %v", len(rec.Results), ok)
		}
	}
}

func TestReadDetectsCorruption(t *testing.T) {
	fs, _ := logOf(t, 2, 5)
	s, rec := open(t, fs)
	f, _ := find(rec, 0)
	g := fs.files[segmentName(f.Locations[2].Segment)]
	g.data[f.Locations[2].Offset+50] ^= 1
	if _, err := s.Read(f.ID, 2, f.Locations[2]); !errors.Is(err, ErrCorrupt) {
		t.Errorf("changed bytes: %v", err)
	}
	if _, err := s.Read(f.ID, 1, f.Locations[3]); !errors.Is(err, ErrCorrupt) {
		t.Errorf("another chunk: %v", err)
	}
	if _, err := s.Read(id(1), 3, f.Locations[3]); !errors.Is(err, ErrCorrupt) {
		t.Errorf("another result's chunk: %v", err)
	}
	if _, err := s.Read(f.ID, 0, spool.Location{Segment: 99, Size: 60}); err == nil {
		t.Error("a segment that is not there")
	}
}

// Dropped results stay dropped, and their space is freed.
func TestSweepAndCompact(t *testing.T) {
	fs, _ := logOf(t, 12, 5)
	s, _ := open(t, fs)
	segments := len(fs.files)
	for _, k := range []int{0, 1, 2, 4, 5, 7, 8, 9, 10} { // 3, 6 and 11 stay
		s.Commit(drop(k))
	}
	for range segments {
		done, err := s.Compact()
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range done {
			if e, ok := d.Event.(spool.ChunkMoved); ok {
				if got, err := s.Read(e.ID, e.Index, e.Location); err != nil || !bytes.Equal(got, rows(int(e.ID[0]), e.Index)) {
					t.Fatalf("moved chunk: %v", err)
				}
			}
		}
		s2, rec := open(t, cutAt(fs, 1<<40)) // at each step a restart finds the three and no other
		if len(rec.Results) != 3 {
			t.Fatalf("%d found", len(rec.Results))
		}
		for _, f := range rec.Results {
			if err := check(s2, f, int(f.ID[0]), 5); err != nil {
				t.Fatal(err)
			}
		}
	}
	if s.Bytes() > 8*1500 {
		t.Errorf("%d bytes are taken by three results", s.Bytes())
	}
	for _, k := range []int{3, 6, 11} {
		s.Commit(drop(k))
	}
	if _, err := s.Sweep(); err != nil || len(s.segments) > 1 {
		t.Errorf("%v, %d segments of nothing", err, len(s.segments))
	}
}

// A compaction that fails leaves an incomplete copy: the original is used, also after restarts and further compactions.
func TestInterruptedCompaction(t *testing.T) {
	for n := 1; n <= 12; n++ {
		fs, _ := logOf(t, 3, 7)
		s, _ := open(t, fs)
		s.Commit(drop(0))
		fs.failWrite = n
		if _, err := s.Compact(); err == nil {
			continue
		}
		fs.failWrite = 0
		for range 6 {
			var rec *Recovery
			s, rec = open(t, cutAt(fs, 1<<40))
			for _, k := range []int{1, 2} {
				if f, ok := find(rec, k); !ok || check(s, f, k, 7) != nil {
					t.Fatalf("after write %d of a compaction failed result %d is lost", n, k)
				}
			}
			s, _ = open(t, fs)
			s.Commit(writes(40, 1))
			if _, err := s.Compact(); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func TestTwoProcessesOnOneFolder(t *testing.T) {
	dir := t.TempDir()
	first, err := OpenFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := OpenFolder(dir); !errors.Is(err, ErrLocked) {
		t.Errorf("the second got %v", err)
	}
	s, _ := open(t, first)
	for k := range 3 {
		if good, _ := synced(s.Commit(writes(k, 30))); len(good) != 1 {
			t.Fatal("not acknowledged")
		}
	}
	if err := errors.Join(s.Close(), first.Close()); err != nil {
		t.Fatal(err)
	}
	again, err := OpenFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = again.Close() }()
	s, rec := open(t, again)
	defer func() { _ = s.Close() }()
	for k := range 3 {
		f, ok := find(rec, k)
		if !ok || check(s, f, k, 30) != nil {
			t.Errorf("result %d after a restart: %v", k, ok)
		}
	}
}

// Random results, drops, compactions, faults and crashes against a plain map: results that were synced and not dropped
// are complete after every start, and no incomplete result is offered.
func TestStoreInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fs := newMemoryFS()
		s, _ := open(rt, fs)
		kept, maybe := map[int]int{}, map[int]int{} // chunks; maybe: neither acknowledged nor known to be gone
		k := 0
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 7).Draw(rt, "op") {
			case 0, 1, 2:
				k++
				chunks := rapid.IntRange(1, 12).Draw(rt, "chunks")
				all := writes(k, chunks)
				if rapid.IntRange(0, 5).Draw(rt, "unfinished") == 0 {
					all = all[:rapid.IntRange(1, len(all)-1).Draw(rt, "records")]
				}
				if good, _ := synced(s.Commit(all)); len(good) == 1 {
					kept[k] = chunks
				} else {
					maybe[k] = chunks
				}
			case 3:
				if k > 0 {
					d := rapid.IntRange(1, k).Draw(rt, "dropped")
					for _, done := range s.Commit(drop(d)) {
						_, written := done.Event.(spool.RecordWritten)
						if n, ok := kept[d]; ok && written {
							maybe[d] = n // a Drop is not synced by itself
							delete(kept, d)
						}
					}
				}
			case 4:
				if _, err := s.Compact(); err != nil && !errors.Is(err, errFault) {
					rt.Fatal(err)
				}
			case 5:
				fs.failWrite = rapid.IntRange(0, 6).Draw(rt, "write")
			case 6:
				fs.failSync = rapid.IntRange(0, 3).Draw(rt, "sync") == 0
			case 7:
				fs = fs.crash(func(n int) int { return rapid.IntRange(0, n).Draw(rt, "kept") })
				var rec *Recovery
				s, rec = open(rt, fs)
				if len(rec.Damage) > 0 {
					rt.Fatalf("damage after a crash: %+v", rec.Damage)
				}
				for k, chunks := range kept {
					if f, ok := find(rec, k); !ok || check(s, f, k, chunks) != nil {
						rt.Fatalf("result %d was acknowledged and is not whole (found %v)", k, ok)
					}
				}
				for _, f := range rec.Results {
					k := int(f.ID[0])
					chunks, ok := maybe[k]
					if _, known := kept[k]; known {
						continue
					}
					if !ok || check(s, f, k, chunks) != nil {
						rt.Fatalf("result %d is offered", k)
					}
				}
			}
		}
	})
}

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
	goleak.VerifyTestMain(m) // each test must close its Workers
}

var errFault = errors.New("fault")

var options = Options{SegmentBytes: 1500, Salt: 77}

func id(n int) spool.ID { return spool.ID{byte(n), byte(n >> 8), 3} }

// chunkData returns the payload of a chunk of result number.
func chunkData(number, index int) []byte {
	return bytes.Repeat([]byte{byte(number), byte(index), '\n'}, 20+10*(index%4))
}

// resultWrites returns the effects that write and seal result number.
func resultWrites(number, chunks int) (writes []spool.WriteRecord) {
	meta := segment.AppendMeta(nil, segment.Meta{Tenant: uint64(number), Secret: [32]byte{byte(number)}, Class: 1, Created: 5, LeaseEnd: 100})
	writes = append(writes, spool.WriteRecord{ID: id(number), Record: segment.Open, Data: meta})
	sum := uint64(0)
	for n := range chunks {
		sum += uint64(len(chunkData(number, n)))
		writes = append(writes, spool.WriteRecord{ID: id(number), Record: segment.Chunk, Index: n, Data: chunkData(number, n)})
	}
	return append(writes, spool.WriteRecord{ID: id(number), Record: segment.Seal, Index: chunks,
		Data: segment.AppendSummary(nil, segment.Summary{Chunks: uint32(chunks), Bytes: sum})})
}

func dropWrite(number int) []spool.WriteRecord {
	return []spool.WriteRecord{{ID: id(number), Record: segment.Drop}}
}

// syncResults returns the results that a commit reported as synced, and those whose sync it reported as failed.
func syncResults(completions []Completion) (synced, failed []spool.ID) {
	for _, completion := range completions {
		if e, ok := completion.Event.(spool.ResultSynced); ok {
			if e.Failed {
				failed = append(failed, e.ID)
			} else {
				synced = append(synced, e.ID)
			}
		}
	}
	return synced, failed
}

func open(t interface{ Fatal(...any) }, fs FS) (*Store, *Recovery) {
	s, recovery, err := Open(fs, options)
	if err != nil {
		t.Fatal(err)
	}
	return s, recovery
}

// verifyResult reads a recovered result and compares every byte with what resultWrites wrote.
func verifyResult(s *Store, result RecoveredResult, number, chunks int) error {
	if result.ID != id(number) || len(result.Locations) != chunks || result.Meta.Tenant != uint64(number) {
		return fmt.Errorf("found result %v with %d chunks", result.ID, len(result.Locations))
	}
	for index, location := range result.Locations {
		got, err := s.Read(result.ID, index, location)
		if err != nil {
			return fmt.Errorf("chunk %d of result %d: %w", index, number, err)
		}
		if !bytes.Equal(got, chunkData(number, index)) {
			return fmt.Errorf("chunk %d of result %d: read %d bytes that differ", index, number, len(got))
		}
	}
	return nil
}

func findResult(recovery *Recovery, number int) (RecoveredResult, bool) {
	for _, result := range recovery.Results {
		if result.ID == id(number) {
			return result, true
		}
	}
	return RecoveredResult{}, false
}

// folderWithResults returns a folder with results that were written one after the other, across segments. acked holds
// the size of the folder at the time when each result was reported as synced.
func folderWithResults(t testing.TB, results, chunks int) (fs *memoryFS, acked map[int]int64) {
	fs, acked = newMemoryFS(), map[int]int64{}
	s, _ := open(t, fs)
	for number := range results {
		synced, _ := syncResults(s.Commit(resultWrites(number, chunks)))
		if len(synced) != 1 {
			t.Fatalf("result %d was not reported as synced", number)
		}
		acked[number] = fs.size()
	}
	return fs, acked
}

// truncatedCopy returns a copy of the folder as it was after length bytes had been written to it.
func truncatedCopy(fs *memoryFS, length int64) *memoryFS {
	copied := newMemoryFS()
	names, _ := fs.List()
	slices.Sort(names)
	for _, name := range names {
		data := fs.files[name].data
		if length <= 0 {
			break
		}
		data = data[:min(length, int64(len(data)))]
		length -= int64(len(data))
		copied.files[name] = &memoryFile{fs: copied, data: bytes.Clone(data), synced: bytes.Clone(data)}
	}
	return copied
}

// After the process is killed at any byte, recovery finds all synced results complete, and no others.
func TestRecoveryAfterTruncationAtEveryByte(t *testing.T) {
	fs, acked := folderWithResults(t, 5, 7)
	if len(fs.files) < 3 {
		t.Fatalf("only %d segments: the test needs at least 3", len(fs.files))
	}
	for length := int64(0); length <= fs.size(); length++ {
		truncated := truncatedCopy(fs, length)
		s, recovery := open(t, truncated)
		if len(recovery.Damage) > 0 || len(recovery.Lost) > 0 {
			t.Fatalf("truncated at %d: an incomplete write is reported as damage: %+v, %v", length, recovery.Damage, recovery.Lost)
		}
		for number, end := range acked {
			result, ok := findResult(recovery, number)
			if ok != (end <= length) {
				t.Fatalf("truncated at %d: result %d, synced at %d, found %v", length, number, end, ok)
			}
			if ok {
				if err := verifyResult(s, result, number, 7); err != nil {
					t.Fatalf("truncated at %d: %v", length, err)
				}
			}
		}
		// The recovered folder accepts writes, and the next recovery finds them.
		if length%37 == 0 {
			if synced, _ := syncResults(s.Commit(resultWrites(50, 4))); len(synced) != 1 {
				t.Fatalf("truncated at %d: a write after recovery failed", length)
			}
			reopened, recovery := open(t, truncated)
			result, ok := findResult(recovery, 50)
			if !ok || verifyResult(reopened, result, 50, 4) != nil {
				t.Fatalf("truncated at %d: a result written after recovery is not found", length)
			}
		}
	}
}

// A changed byte invalidates only the result that it belongs to, and is reported.
func TestRecoveryAfterCorruptionOfEveryByte(t *testing.T) {
	fs, _ := folderWithResults(t, 4, 5)
	names, _ := fs.List()
	slices.Sort(names)
	for i, name := range names {
		for offset := range fs.files[name].data {
			corrupted := truncatedCopy(fs, 1<<40)
			corrupted.files[name].data[offset] ^= 0x5a
			s, recovery := open(t, corrupted)
			if offset < segment.HeaderSize {
				if i == len(names)-1 && len(recovery.Damage) == 0 {
					t.Fatalf("%s: a damaged header is not reported", name)
				}
				continue
			}
			if len(recovery.Results) < 3 || len(recovery.Damage) == 0 && recovery.TornBytes == 0 {
				t.Fatalf("%s byte %d: %d of 4 results found, damage %v, torn bytes %d", name, offset, len(recovery.Results), recovery.Damage, recovery.TornBytes)
			}
			for _, result := range recovery.Results {
				if err := verifyResult(s, result, int(result.ID[0]), 5); err != nil {
					t.Fatalf("%s byte %d: %v", name, offset, err)
				}
			}
		}
	}
}

func TestFailedWrites(t *testing.T) {
	for n := 1; n <= 30; n++ {
		fs, _ := folderWithResults(t, 2, 5)
		s, _ := open(t, fs)
		fs.failWrite = n
		failed := false
		for _, completion := range s.Commit(resultWrites(9, 8)) {
			if e, ok := completion.Event.(spool.RecordWritten); ok && e.Failed {
				failed = true
			}
		}
		fs.failWrite = 0
		if synced, _ := syncResults(s.Commit(resultWrites(10, 3))); len(synced) != 1 {
			t.Fatalf("after write %d failed: the next result can't be written", n)
		}
		reopened, recovery := open(t, fs)
		for _, number := range []int{0, 1, 10} {
			result, ok := findResult(recovery, number)
			if !ok {
				t.Fatalf("after write %d failed: result %d is lost", n, number)
			}
			if err := verifyResult(reopened, result, number, len(result.Locations)); err != nil {
				t.Fatal(err)
			}
		}
		if result, ok := findResult(recovery, 9); ok && (failed || verifyResult(reopened, result, 9, 8) != nil) {
			t.Fatalf("after write %d failed: an incomplete result was recovered", n)
		}
	}
}

func TestFullDisk(t *testing.T) {
	fs := newMemoryFS()
	fs.capacity = 4000
	s, _ := open(t, fs)
	stored := 0
	for number := range 20 {
		if synced, _ := syncResults(s.Commit(resultWrites(number, 5))); len(synced) == 1 {
			stored++
		}
	}
	if stored == 0 || stored == 20 {
		t.Fatalf("%d of 20 results fit: the test needs a disk that holds some, but not all", stored)
	}
	_, recovery := open(t, fs)
	if len(recovery.Results) != stored {
		t.Errorf("%d results were reported as synced, %d are found", stored, len(recovery.Results))
	}
}

// A result whose sync failed is reported as failed and is not recovered after a restart, even if its bytes reached the
// disk.
func TestFailedSync(t *testing.T) {
	fs, _ := folderWithResults(t, 2, 5)
	s, _ := open(t, fs)
	fs.failSync = true
	completions := s.Commit(resultWrites(9, 3))
	synced, failed := syncResults(completions)
	reported := false
	for _, completion := range completions {
		_, lost := completion.Event.(spool.SegmentTailLost)
		reported = reported || lost
	}
	if len(synced) != 0 || len(failed) != 1 || !reported {
		t.Fatalf("synced %v, failed %v, lost tail reported %v", synced, failed, reported)
	}
	fs.failSync = false
	if synced, _ := syncResults(s.Commit(resultWrites(10, 3))); len(synced) != 1 {
		t.Error("a write after a failed sync failed")
	}
	for _, folder := range []*memoryFS{fs, fs.crash(func(n int) int { return n })} {
		_, recovery := open(t, folder)
		if _, ok := findResult(recovery, 9); ok || len(recovery.Results) != 3 {
			t.Errorf("%d results found, including the one whose sync failed: %v", len(recovery.Results), ok)
		}
	}
}

func TestReadDetectsCorruption(t *testing.T) {
	fs, _ := folderWithResults(t, 2, 5)
	s, recovery := open(t, fs)
	result, _ := findResult(recovery, 0)
	file := fs.files[segmentName(result.Locations[2].Segment)]
	file.data[result.Locations[2].Offset+50] ^= 1
	if _, err := s.Read(result.ID, 2, result.Locations[2]); !errors.Is(err, ErrCorrupt) {
		t.Errorf("changed bytes: %v", err)
	}
	if _, err := s.Read(result.ID, 1, result.Locations[3]); !errors.Is(err, ErrCorrupt) {
		t.Errorf("another chunk: %v", err)
	}
	if _, err := s.Read(id(1), 3, result.Locations[3]); !errors.Is(err, ErrCorrupt) {
		t.Errorf("another result's chunk: %v", err)
	}
	if _, err := s.Read(result.ID, 0, spool.Location{Segment: 99, Size: 60}); err == nil {
		t.Error("a read from a segment that does not exist succeeded")
	}
}

// Dropped results are never recovered again, and their space is freed.
func TestSweepAndCompact(t *testing.T) {
	fs, _ := folderWithResults(t, 12, 5)
	s, _ := open(t, fs)
	segments := len(fs.files)
	for _, number := range []int{0, 1, 2, 4, 5, 7, 8, 9, 10} { // 3, 6 and 11 are kept
		s.Commit(dropWrite(number))
	}
	for range segments {
		completions, err := s.Compact()
		if err != nil {
			t.Fatal(err)
		}
		for _, completion := range completions {
			if e, ok := completion.Event.(spool.ChunkMoved); ok {
				if got, err := s.Read(e.ID, e.Index, e.Location); err != nil || !bytes.Equal(got, chunkData(int(e.ID[0]), e.Index)) {
					t.Fatalf("moved chunk can't be read: %v", err)
				}
			}
		}
		reopened, recovery := open(t, truncatedCopy(fs, 1<<40)) // a restart at any step finds exactly the three kept results
		if len(recovery.Results) != 3 {
			t.Fatalf("%d results found, want 3", len(recovery.Results))
		}
		for _, result := range recovery.Results {
			if err := verifyResult(reopened, result, int(result.ID[0]), 5); err != nil {
				t.Fatal(err)
			}
		}
	}
	if s.Bytes() > 8*1500 {
		t.Errorf("three results use %d bytes", s.Bytes())
	}
	for _, number := range []int{3, 6, 11} {
		s.Commit(dropWrite(number))
	}
	if _, err := s.Sweep(); err != nil || len(s.segments) > 1 {
		t.Errorf("error %v, %d segments left without live records", err, len(s.segments))
	}
}

// A failed compaction leaves an incomplete copy. The original is used, also after restarts and further compactions.
func TestInterruptedCompaction(t *testing.T) {
	for n := 1; n <= 12; n++ {
		fs, _ := folderWithResults(t, 3, 7)
		s, _ := open(t, fs)
		s.Commit(dropWrite(0))
		fs.failWrite = n
		if _, err := s.Compact(); err == nil {
			continue
		}
		fs.failWrite = 0
		for range 6 {
			var recovery *Recovery
			s, recovery = open(t, truncatedCopy(fs, 1<<40))
			for _, number := range []int{1, 2} {
				if result, ok := findResult(recovery, number); !ok || verifyResult(s, result, number, 7) != nil {
					t.Fatalf("after write %d of a compaction failed: result %d is lost", n, number)
				}
			}
			s, _ = open(t, fs)
			s.Commit(resultWrites(40, 1))
			if _, err := s.Compact(); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func TestFolderLockAndReopen(t *testing.T) {
	dir := t.TempDir()
	first, err := OpenFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := OpenFolder(dir); !errors.Is(err, ErrLocked) {
		t.Errorf("second open of a locked folder: %v", err)
	}
	s, _ := open(t, first)
	for number := range 3 {
		if synced, _ := syncResults(s.Commit(resultWrites(number, 30))); len(synced) != 1 {
			t.Fatal("a result was not reported as synced")
		}
	}
	if err := errors.Join(s.Close(), first.Close()); err != nil {
		t.Fatal(err)
	}
	reopened, err := OpenFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = reopened.Close() }()
	s, recovery := open(t, reopened)
	defer func() { _ = s.Close() }()
	for number := range 3 {
		result, ok := findResult(recovery, number)
		if !ok || verifyResult(s, result, number, 30) != nil {
			t.Errorf("result %d after a restart: found %v", number, ok)
		}
	}
}

// Random results, drops, compactions, faults and crashes, checked against a model of plain maps: results that were
// synced and not dropped are complete after every recovery, and no incomplete result is recovered.
func TestStoreInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fs := newMemoryFS()
		s, _ := open(rt, fs)
		acked, uncertain := map[int]int{}, map[int]int{} // numbers of chunks; uncertain: not acked, or dropped without a sync
		number := 0
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 7).Draw(rt, "op") {
			case 0, 1, 2:
				number++
				chunks := rapid.IntRange(1, 12).Draw(rt, "chunks")
				records := resultWrites(number, chunks)
				if rapid.IntRange(0, 5).Draw(rt, "unfinished") == 0 {
					records = records[:rapid.IntRange(1, len(records)-1).Draw(rt, "records")]
				}
				if synced, _ := syncResults(s.Commit(records)); len(synced) == 1 {
					acked[number] = chunks
				} else {
					uncertain[number] = chunks
				}
			case 3:
				if number > 0 {
					dropped := rapid.IntRange(1, number).Draw(rt, "dropped")
					for _, completion := range s.Commit(dropWrite(dropped)) {
						_, written := completion.Event.(spool.RecordWritten)
						if n, ok := acked[dropped]; ok && written {
							uncertain[dropped] = n // a Drop alone is not synced
							delete(acked, dropped)
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
				var recovery *Recovery
				s, recovery = open(rt, fs)
				if len(recovery.Damage) > 0 {
					rt.Fatalf("damage after a crash: %+v", recovery.Damage)
				}
				for number, chunks := range acked {
					if result, ok := findResult(recovery, number); !ok || verifyResult(s, result, number, chunks) != nil {
						rt.Fatalf("result %d was reported as synced but is not complete (found %v)", number, ok)
					}
				}
				for _, result := range recovery.Results {
					number := int(result.ID[0])
					chunks, ok := uncertain[number]
					if _, known := acked[number]; known {
						continue
					}
					if !ok || verifyResult(s, result, number, chunks) != nil {
						rt.Fatalf("result %d was recovered but is not complete", number)
					}
				}
			}
		}
	})
}

// Guards against a kill that takes a result back to an earlier lease: renewed leases are recovered, also after a compaction, and the
// longest counts. A lease that is damaged, or can't be written, harms neither its result nor the other leases.
func TestRenewedLeases(t *testing.T) {
	leaseWrite := func(end int64) []spool.WriteRecord {
		return []spool.WriteRecord{{ID: id(1), Record: segment.Lease, Data: segment.AppendLease(nil, end)}}
	}
	fs, _ := folderWithResults(t, 3, 7)
	s, _ := open(t, fs)
	check := func(when string, want int64) {
		t.Helper()
		reopened, recovery := open(t, truncatedCopy(fs, 1<<40))
		result, ok := findResult(recovery, 1)
		if !ok || verifyResult(reopened, result, 1, 7) != nil || result.Meta.LeaseEnd != want {
			t.Fatalf("%s: found %v with a lease until %d, want %d", when, ok, result.Meta.LeaseEnd, want)
		}
	}
	s.Commit(leaseWrite(300))
	check("renewed", 300)
	s.Commit(leaseWrite(200))
	check("a shorter lease later", 300)
	fs.failWrite = 1
	s.Commit(leaseWrite(400))
	fs.failWrite = 0
	check("a failed write", 300)
	s.Commit(dropWrite(0))
	for range 5 {
		if _, err := s.Compact(); err != nil {
			t.Fatal(err)
		}
		check("compacted", 300)
	}
	if s.segments[0].number == 1 {
		t.Error("nothing was compacted")
	}
	s.Commit(leaseWrite(500))
	last := fs.files[segmentName(s.segments[len(s.segments)-1].number)]
	last.data[len(last.data)-1] ^= 1
	s.Commit(dropWrite(7)) // the damage is not at the end
	check("a damaged lease", 300)
}

// Guards against reads that break off while a segment is compacted: a read that is queued with the former location of its chunk
// finds the chunk where it is now.
func TestReadFindsChunkMovedByCompaction(t *testing.T) {
	fs, _ := folderWithResults(t, 12, 5)
	s, recovery := open(t, fs)
	kept, _ := findResult(recovery, 3)
	for _, number := range []int{0, 1, 2, 4, 5} {
		s.Commit(dropWrite(number))
	}
	worker := &Worker{store: s, onError: func(err error) { t.Error(err) }}
	moved := 0
	for range len(fs.files) {
		completions, err := s.Compact()
		if err != nil {
			t.Fatal(err)
		}
		moved += len(completions)
		for index, location := range kept.Locations { // of before the compaction
			event := worker.load(spool.LoadChunk{Reader: 1, ID: kept.ID, Index: index, Location: location})
			if loaded, ok := event.(spool.ChunkLoaded); !ok || loaded.Failed || !bytes.Equal(loaded.Data, chunkData(3, index)) {
				t.Fatalf("chunk %d: %+v", index, event)
			}
		}
	}
	if moved == 0 || s.segmentByNumber(kept.Locations[0].Segment) != nil {
		t.Errorf("%d chunks were moved, and the former segment is still there", moved)
	}
}

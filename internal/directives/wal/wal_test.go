package wal

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"foxlane/internal/directives"
)

func entry(index, term uint64, text string) *pb.Entry {
	return &pb.Entry{Index: proto.Uint64(index), Term: proto.Uint64(term), Data: []byte(text)}
}

func hardState(term, vote, commit uint64) *pb.HardState {
	return &pb.HardState{Term: proto.Uint64(term), Vote: proto.Uint64(vote), Commit: proto.Uint64(commit)}
}

func snapshot(text string, index, term uint64) *pb.Snapshot {
	return &pb.Snapshot{Data: []byte(text), Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(index), Term: proto.Uint64(term)}}
}

// entryTexts returns the entries' data as strings.
func entryTexts(s directives.PersistedState) (out []string) {
	for _, e := range s.Entries {
		out = append(out, string(e.GetData()))
	}
	return out
}

// openNew initializes a voter's log in a new directory and opens it.
func openNew(t *testing.T) (dir string, l *Log) {
	t.Helper()
	dir = t.TempDir()
	if err := Init(dir); err != nil {
		t.Fatal(err)
	}
	l, state, err := Open(dir)
	if err != nil || !state.Initialized {
		t.Fatalf("%v, %+v", err, state)
	}
	return dir, l
}

// persist persists a batch and fails the test on an error.
func persist(t *testing.T, l *Log, b directives.Batch) {
	t.Helper()
	if err := l.Persist(b); err != nil {
		t.Fatal(err)
	}
}

// Persisted batches are read back after a reopen, with and without a snapshot. A directory can't be opened twice, and
// Init rejects a directory that already has a log.
func TestPersistAndOpen(t *testing.T) {
	dir, l := openNew(t)
	if err := Init(dir); !errors.Is(err, ErrExists) {
		t.Errorf("a second Init: %v", err)
	}
	if _, _, err := Open(dir); !errors.Is(err, ErrLocked) {
		t.Errorf("a second Open: %v", err)
	}
	for _, b := range []directives.Batch{{HardState: hardState(2, 1, 1), Entries: []*pb.Entry{entry(2, 2, "a"), entry(3, 2, "b")}},
		{Entries: []*pb.Entry{entry(3, 3, "c"), entry(4, 3, "d")}}, {HardState: hardState(3, 2, 4)}} {
		persist(t, l, b)
	}
	l.Close()
	l, state, err := Open(dir)
	if err != nil || !reflect.DeepEqual(entryTexts(state), []string{"a", "c", "d"}) || state.HardState.GetTerm() != 3 || state.HardState.GetVote() != 2 {
		t.Fatalf("%v, %v, %v", err, entryTexts(state), state.HardState)
	}
	persist(t, l, directives.Batch{HardState: hardState(3, 2, 4), Snapshot: snapshot("state", 4, 3), Entries: []*pb.Entry{entry(5, 3, "e")}})
	persist(t, l, directives.Batch{Entries: []*pb.Entry{entry(6, 3, "f")}})
	l.Close()
	l, state, err = Open(dir)
	if err != nil || !state.Initialized || string(state.Snapshot.GetData()) != "state" || !reflect.DeepEqual(entryTexts(state), []string{"e", "f"}) {
		t.Fatalf("%v, %+v, %v", err, state, entryTexts(state))
	}
	l.Close()
	empty, state, err := Open(t.TempDir())
	if err != nil || state.Initialized {
		t.Fatalf("a directory without Init: %v, %+v", err, state)
	}
	empty.Close()
}

// A log truncated at any byte decodes to its complete records. A corrupted byte before the end is reported with its
// offset, and all records before it are decoded.
func TestTruncationAndCorruption(t *testing.T) {
	dir, l := openNew(t)
	path := filepath.Join(dir, fileName)
	ends := map[int]int{}
	for i, text := range []string{"one", "two", "three"} {
		persist(t, l, directives.Batch{Entries: []*pb.Entry{entry(uint64(i+2), 2, text)}})
		info, err := os.Stat(path)
		if err != nil {
			t.Fatal(err)
		}
		ends[int(info.Size())] = i + 1
	}
	l.Close()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	complete := 0
	for n := len(magic); n <= len(raw); n++ {
		if k, ok := ends[n]; ok {
			complete = k
		}
		state, _, err := Decode(raw[:n])
		if err != nil || len(state.Entries) != complete {
			t.Fatalf("truncated at %d of %d: %v, got %d entries, want %d", n, len(raw), err, len(state.Entries), complete)
		}
	}
	for i := range raw {
		corrupted := append([]byte(nil), raw...)
		corrupted[i] ^= 0x10
		state, _, err := Decode(corrupted)
		for j, text := range entryTexts(state) {
			if want := []string{"one", "two", "three"}[j]; text != want {
				t.Fatalf("byte %d corrupted: entry %d is %q", i, j, text)
			}
		}
		if err == nil && len(state.Entries) == 3 && state.Initialized {
			t.Fatalf("byte %d corrupted, and no error was reported", i)
		}
		var corrupt *CorruptError
		if err != nil && !errors.Is(err, ErrNotLog) && (!errors.As(err, &corrupt) || !errors.Is(err, ErrCorrupt) || corrupt.Offset > i) {
			t.Fatalf("byte %d corrupted: %v", i, err)
		}
	}
}

// Persist returns the error of a failed write.
func TestDiskFails(t *testing.T) {
	_, l := openNew(t)
	if err := l.file.Close(); err != nil {
		t.Fatal(err)
	}
	if err := l.Persist(directives.Batch{HardState: hardState(2, 1, 1)}); !errors.Is(err, os.ErrClosed) {
		t.Errorf("Persist on a closed file: %v", err)
	}
	l.Close()
}

// Repair recovers from a partial write, and from a Persist that failed after a snapshot's file had replaced the old
// one. The log then contains exactly the batches persisted before the failure and those persisted again after it.
func TestRepair(t *testing.T) {
	dir, l := openNew(t)
	persist(t, l, directives.Batch{Entries: []*pb.Entry{entry(2, 2, "a")}})
	writable := l.file
	var err error
	if l.file, err = os.Open(filepath.Join(dir, fileName)); err != nil { // read-only: writes fail
		t.Fatal(err)
	}
	if _, err := writable.Write([]byte("half a record")); err != nil {
		t.Fatal(err)
	}
	b := directives.Batch{Entries: []*pb.Entry{entry(3, 2, "b")}}
	if l.Persist(b) == nil {
		t.Fatal("Persist succeeded on a read-only file")
	}
	if err := l.Repair(); err != nil {
		t.Fatal(err)
	}
	persist(t, l, b)
	// The log file is as after a Persist that failed once it had replaced the file.
	if err := replaceFile(dir, newLog(encodedSnapshot(t, snapshot("state", 3, 2)))); err != nil {
		t.Fatal(err)
	}
	if err := l.Repair(); err != nil {
		t.Fatal(err)
	}
	persist(t, l, directives.Batch{Entries: []*pb.Entry{entry(4, 2, "c")}})
	if err := writable.Close(); err != nil {
		t.Error(err)
	}
	l.Close()
	l, state, err := Open(dir)
	if err != nil || string(state.Snapshot.GetData()) != "state" || !reflect.DeepEqual(entryTexts(state), []string{"c"}) {
		t.Fatalf("%v, %v, %v", err, state.Snapshot, entryTexts(state))
	}
	l.Close()
}

func encodedSnapshot(t *testing.T, snap *pb.Snapshot) []byte {
	t.Helper()
	raw, err := proto.Marshal(snap)
	if err != nil {
		t.Fatal(err)
	}
	return encodeRecord(recordSnapshot, raw)
}

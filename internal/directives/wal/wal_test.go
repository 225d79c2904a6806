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

// entryTexts is what is kept, for comparison.
func entryTexts(k directives.PersistedState) (out []string) {
	for _, e := range k.Entries {
		out = append(out, string(e.GetData()))
	}
	return out
}

// What was kept is there after every kind of end; two processes can't have one folder; a folder is made a voter's once.
func TestPersistAndOpen(t *testing.T) {
	folder := t.TempDir()
	if err := Init(folder); err != nil {
		t.Fatal(err)
	}
	if err := Init(folder); !errors.Is(err, ErrExists) {
		t.Errorf("made twice: %v", err)
	}
	l, kept, err := Open(folder)
	if err != nil || !kept.Initialized {
		t.Fatalf("%v, %+v", err, kept)
	}
	if _, _, err := Open(folder); !errors.Is(err, ErrLocked) {
		t.Errorf("opened twice: %v", err)
	}
	for _, b := range []directives.Batch{{HardState: hardState(2, 1, 1), Entries: []*pb.Entry{entry(2, 2, "a"), entry(3, 2, "b")}},
		{Entries: []*pb.Entry{entry(3, 3, "c"), entry(4, 3, "d")}}, {HardState: hardState(3, 2, 4)}} {
		if err := l.Persist(b); err != nil {
			t.Fatal(err)
		}
	}
	l.Close()
	if l, kept, err = Open(folder); err != nil || !reflect.DeepEqual(entryTexts(kept), []string{"a", "c", "d"}) || kept.HardState.GetTerm() != 3 || kept.HardState.GetVote() != 2 {
		t.Fatalf("%v, %v, %v", err, entryTexts(kept), kept.HardState)
	}
	snap := &pb.Snapshot{Data: []byte("book"), Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(4), Term: proto.Uint64(3)}}
	if err := l.Persist(directives.Batch{HardState: hardState(3, 2, 4), Snapshot: snap, Entries: []*pb.Entry{entry(5, 3, "e")}}); err != nil {
		t.Fatal(err)
	}
	if err := l.Persist(directives.Batch{Entries: []*pb.Entry{entry(6, 3, "f")}}); err != nil {
		t.Fatal(err)
	}
	l.Close()
	l, kept, err = Open(folder)
	if err != nil || !kept.Initialized || string(kept.Snapshot.GetData()) != "book" || !reflect.DeepEqual(entryTexts(kept), []string{"e", "f"}) {
		t.Errorf("%v, %+v, %v", err, kept, entryTexts(kept))
	}
	l.Close()
	empty, kept, err := Open(t.TempDir())
	if err != nil || kept.Initialized {
		t.Errorf("a folder that nobody made a voter's: %v, %+v", err, kept)
	} else {
		empty.Close()
	}
}

// Cut at any byte the log opens with what was whole; a byte changed before the end is damage, or cuts nothing that was kept before it.
func TestEveryByte(t *testing.T) {
	folder := t.TempDir()
	if err := Init(folder); err != nil {
		t.Fatal(err)
	}
	l, _, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(folder, fileName)
	ends := map[int]int{}
	for i, text := range []string{"one", "two", "three"} {
		if err := l.Persist(directives.Batch{Entries: []*pb.Entry{entry(uint64(i+2), 2, text)}}); err != nil {
			t.Fatal(err)
		}
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
	whole := 0
	for n := len(magic); n <= len(raw); n++ {
		if k, ok := ends[n]; ok {
			whole = k
		}
		kept, _, err := Decode(raw[:n])
		if err != nil || len(kept.Entries) != whole {
			t.Fatalf("cut at %d of %d: %v, %d entries, %d were whole", n, len(raw), err, len(kept.Entries), whole)
		}
	}
	for i := range raw {
		bad := append([]byte(nil), raw...)
		bad[i] ^= 0x10
		kept, _, err := Decode(bad)
		for j, text := range entryTexts(kept) {
			if want := []string{"one", "two", "three"}[j]; text != want {
				t.Fatalf("byte %d changed: entry %d is %q", i, j, text)
			}
		}
		if err == nil && len(kept.Entries) == 3 && kept.Initialized {
			t.Fatalf("byte %d changed, and nobody noticed", i)
		}
	}
}

// A disk that fails is told.
func TestDiskFails(t *testing.T) {
	folder := t.TempDir()
	l, _, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	l.file.Close()
	if l.Persist(directives.Batch{HardState: hardState(2, 1, 1)}) == nil {
		t.Error("kept on a file that is closed")
	}
	l.lock.Close()
}

// After a write that failed half way, and after a snapshot's file took the old one's place unnoticed, the log is repaired:
// what was kept before is there, what failed is kept when it is given again, and nothing else is.
func TestRepair(t *testing.T) {
	folder := t.TempDir()
	if err := Init(folder); err != nil {
		t.Fatal(err)
	}
	l, _, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	keep := func(b directives.Batch) {
		t.Helper()
		if err := l.Persist(b); err != nil {
			t.Fatal(err)
		}
	}
	keep(directives.Batch{Entries: []*pb.Entry{entry(2, 2, "a")}})
	whole := l.file
	if l.file, err = os.Open(filepath.Join(folder, fileName)); err != nil { // takes no writes
		t.Fatal(err)
	}
	if _, err := whole.Write([]byte("half a record")); err != nil {
		t.Fatal(err)
	}
	b := directives.Batch{Entries: []*pb.Entry{entry(3, 2, "b")}}
	if l.Persist(b) == nil {
		t.Fatal("kept on a file that takes no writes")
	}
	if err := l.Repair(); err != nil {
		t.Fatal(err)
	}
	keep(b)
	snap := &pb.Snapshot{Data: []byte("book"), Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(3), Term: proto.Uint64(2)}}
	if err := replaceFile(folder, append(append([]byte(magic), encodeRecord(recordInitialized, nil)...), encodedSnapshot(t, snap)...)); err != nil { // and the rest of Keep failed
		t.Fatal(err)
	}
	if err := l.Repair(); err != nil {
		t.Fatal(err)
	}
	keep(directives.Batch{Entries: []*pb.Entry{entry(4, 2, "c")}})
	whole.Close()
	l.Close()
	l, kept, err := Open(folder)
	if err != nil || string(kept.Snapshot.GetData()) != "book" || !reflect.DeepEqual(entryTexts(kept), []string{"c"}) {
		t.Fatalf("%v, %v, %v", err, kept.Snapshot, entryTexts(kept))
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

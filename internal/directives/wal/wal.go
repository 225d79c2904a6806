// Package wal keeps a voter's log on a disk: records with a length and a sum, appended and synced before anything is said that
// rests on them. A snapshot begins a new file, which takes the old one's place when it is whole. It must never decide what is kept, and
// never return from Keep before it is.
package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"syscall"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"foxlane/internal/directives"
)

const (
	fileName       = "directives.wal"
	tempName       = "directives.wal.next"
	lockName       = "directives.lock"
	magic          = "foxlane directives 1\n"
	headerSize     = 9 // type, length, sum
	maxRecordBytes = 1 << 20
)

const (
	recordInitialized byte = iota + 1 // the voter was made by an operator
	recordHardState                   // a HardState
	recordEntry                       // an Entry; one of an index that is there takes the place of it and all behind
	recordSnapshot                    // a Snapshot; all before it is gone
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Errors of folders.
var (
	ErrLocked  = errors.New("wal: another process uses the folder")
	ErrCorrupt = errors.New("wal: the log is damaged before its end")
	ErrExists  = errors.New("wal: there is a voter's log in the folder already")
)

// Log is an open log.
type Log struct {
	dir         string
	file        *os.File
	lock        *os.File
	syncedBytes int64 // bytes that are on the disk
}

// Init makes a folder that of a new voter: only then may it vote without having listened first.
func Init(folder string) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	path := filepath.Join(folder, fileName)
	if _, err := os.Stat(path); err == nil {
		return fmt.Errorf("%w: %s", ErrExists, path)
	}
	return replaceFile(folder, append([]byte(magic), encodeRecord(recordInitialized, nil)...))
}

// replaceFile puts a whole file in place: all of it or none.
func replaceFile(folder string, data []byte) error {
	next := filepath.Join(folder, tempName)
	f, err := os.OpenFile(next, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	if _, err = f.Write(data); err == nil {
		err = f.Sync()
	}
	if end := f.Close(); err == nil {
		err = end
	}
	if err == nil {
		err = os.Rename(next, filepath.Join(folder, fileName))
	}
	if err == nil {
		err = syncDir(folder)
	}
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	return nil
}

func syncDir(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

func encodeRecord(kind byte, data []byte) []byte {
	b := append(make([]byte, 0, headerSize+len(data)), kind)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(data)))
	sum := crc32.Update(crc32.Checksum(b, castagnoli), castagnoli, data)
	b = binary.LittleEndian.AppendUint32(b, sum)
	return append(b, data...)
}

// Open reads a folder's log and holds the folder. An unfinished record at the end is cut off: nothing was said that rests on it. A folder
// without a log is one of a voter that has forgotten, or was never made.
func Open(folder string) (l *Log, kept directives.PersistedState, err error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, kept, fmt.Errorf("wal: %w", err)
	}
	l = &Log{dir: folder}
	if l.lock, err = os.OpenFile(filepath.Join(folder, lockName), os.O_CREATE|os.O_RDWR, 0o600); err != nil {
		return nil, kept, fmt.Errorf("wal: %w", err)
	}
	if syscall.Flock(int(l.lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
		l.lock.Close()
		return nil, kept, fmt.Errorf("%w: %s", ErrLocked, folder)
	}
	path := filepath.Join(folder, fileName)
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		if err = replaceFile(folder, []byte(magic)); err == nil {
			raw = []byte(magic)
		}
	}
	if err == nil {
		var end int
		if kept, end, err = Decode(raw); err == nil {
			l.file, err = os.OpenFile(path, os.O_RDWR, 0o600)
			if err == nil && end < len(raw) {
				err = l.file.Truncate(int64(end))
			}
			if err == nil {
				l.syncedBytes, err = l.file.Seek(int64(end), io.SeekStart)
			}
		}
	}
	if err != nil {
		l.Close()
		return nil, kept, fmt.Errorf("wal %s: %w", path, err)
	}
	return l, kept, nil
}

// Decode takes a log's bytes apart. It returns where the last whole record ends. A record that is not whole but has others behind it
// is damage, not an unfinished end.
func Decode(raw []byte) (kept directives.PersistedState, end int, err error) {
	if len(raw) < len(magic) || string(raw[:len(magic)]) != magic {
		return kept, 0, errors.New("wal: not a voter's log")
	}
	at := len(magic)
	for at < len(raw) {
		kind, data, size := nextRecord(raw[at:])
		if size == 0 {
			for from := at + 1; from < len(raw); from++ {
				if k, _, n := nextRecord(raw[from:]); n > headerSize && k >= recordInitialized && k <= recordSnapshot {
					return kept, at, ErrCorrupt
				}
			}
			return kept, at, nil
		}
		at += size
		switch kind {
		case recordInitialized:
			kept.Initialized = true
		case recordHardState:
			kept.HardState = &pb.HardState{}
			err = proto.Unmarshal(data, kept.HardState)
		case recordEntry:
			e := &pb.Entry{}
			if err = proto.Unmarshal(data, e); err == nil {
				for len(kept.Entries) > 0 && kept.Entries[len(kept.Entries)-1].GetIndex() >= e.GetIndex() {
					kept.Entries = kept.Entries[:len(kept.Entries)-1]
				}
				kept.Entries = append(kept.Entries, e)
			}
		case recordSnapshot:
			kept.Snapshot, kept.Entries = &pb.Snapshot{}, nil
			err = proto.Unmarshal(data, kept.Snapshot)
		}
		if err != nil {
			return kept, at, fmt.Errorf("%w: %w", ErrCorrupt, err)
		}
	}
	return kept, at, nil
}

// nextRecord is the record at the beginning of b; size is 0 if it is not whole.
func nextRecord(b []byte) (kind byte, data []byte, size int) {
	if len(b) < headerSize {
		return 0, nil, 0
	}
	n := int(binary.LittleEndian.Uint32(b[1:]))
	if n > maxRecordBytes || len(b) < headerSize+n {
		return 0, nil, 0
	}
	data = b[headerSize : headerSize+n]
	if crc32.Update(crc32.Checksum(b[:5], castagnoli), castagnoli, data) != binary.LittleEndian.Uint32(b[5:]) {
		return 0, nil, 0
	}
	return b[0], data, headerSize + n
}

// Repair makes the log usable after Keep has failed: what was written since the last time that it had not is cut off, so
// that the batch can be kept again, whole. A sync that failed may have left its bytes in memory alone, marked as written:
// they are written anew.
func (l *Log) Repair() error {
	path := filepath.Join(l.dir, fileName)
	f, err := os.OpenFile(path, os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	if err = l.adoptReplacement(f); err == nil {
		if err = f.Truncate(l.syncedBytes); err == nil {
			_, err = f.Seek(l.syncedBytes, io.SeekStart)
		}
	}
	if err != nil {
		f.Close()
		return fmt.Errorf("wal: %w", err)
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file = f
	return nil
}

// adoptReplacement takes notice of a snapshot's file that has taken the old one's place, though that could not be told: it was
// synced before, so that all of it is kept.
func (l *Log) adoptReplacement(f *os.File) error {
	now, err := f.Stat()
	if err != nil || l.file == nil {
		return err
	}
	before, err := l.file.Stat()
	if err == nil && !os.SameFile(before, now) {
		l.syncedBytes = now.Size()
	}
	return err
}

// Persist writes a batch and syncs it. After an error what the disk holds is not known: Repair comes before the next call.
func (l *Log) Persist(b directives.Batch) error {
	var out []byte
	add := func(kind byte, m proto.Message) error {
		raw, err := proto.Marshal(m)
		if err == nil {
			out = append(out, encodeRecord(kind, raw)...)
		}
		return err
	}
	if b.Snapshot != nil {
		if err := add(recordSnapshot, b.Snapshot); err != nil {
			return err
		}
	}
	for _, e := range b.Entries {
		if err := add(recordEntry, e); err != nil {
			return err
		}
	}
	if b.HardState != nil {
		if err := add(recordHardState, b.HardState); err != nil {
			return err
		}
	}
	if b.Snapshot != nil && b.HardState != nil { // a new file: all that counts is in the batch
		if err := replaceFile(l.dir, append(append([]byte(magic), encodeRecord(recordInitialized, nil)...), out...)); err != nil {
			return err
		}
		f, err := os.OpenFile(filepath.Join(l.dir, fileName), os.O_RDWR, 0o600)
		if err != nil {
			return fmt.Errorf("wal: %w", err)
		}
		l.file.Close()
		l.file = f
		l.syncedBytes, err = f.Seek(0, io.SeekEnd)
		return err
	}
	if _, err := l.file.Write(out); err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	l.syncedBytes += int64(len(out))
	return nil
}

// Close ends it.
func (l *Log) Close() {
	if l.file != nil {
		l.file.Close()
	}
	if l.lock != nil {
		l.lock.Close()
	}
}

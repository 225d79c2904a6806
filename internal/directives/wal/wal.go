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
	fileName  = "directives.wal"
	nextName  = "directives.wal.next"
	lockName  = "directives.lock"
	magic     = "foxlane directives 1\n"
	headSize  = 9 // type, length, sum
	mostBytes = 1 << 20
)

const (
	recordBorn  byte = iota + 1 // the voter was made by an operator
	recordHard                  // a HardState
	recordEntry                 // an Entry; one of an index that is there takes the place of it and all behind
	recordSnap                  // a Snapshot; all before it is gone
)

var table = crc32.MakeTable(crc32.Castagnoli)

// Errors of folders.
var (
	ErrInUse   = errors.New("wal: another process uses the folder")
	ErrDamaged = errors.New("wal: the log is damaged before its end")
	ErrExists  = errors.New("wal: there is a voter's log in the folder already")
)

// Log is an open log.
type Log struct {
	folder string
	file   *os.File
	lock   *os.File
	kept   int64 // bytes that are on the disk
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
	return write(folder, append([]byte(magic), record(recordBorn, nil)...))
}

// write puts a whole file in place: all of it or none.
func write(folder string, data []byte) error {
	next := filepath.Join(folder, nextName)
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
		err = syncFolder(folder)
	}
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	return nil
}

func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

func record(kind byte, data []byte) []byte {
	b := append(make([]byte, 0, headSize+len(data)), kind)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(data)))
	sum := crc32.Update(crc32.Checksum(b, table), table, data)
	b = binary.LittleEndian.AppendUint32(b, sum)
	return append(b, data...)
}

// Open reads a folder's log and holds the folder. An unfinished record at the end is cut off: nothing was said that rests on it. A folder
// without a log is one of a voter that has forgotten, or was never made.
func Open(folder string) (l *Log, kept directives.Kept, err error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, kept, fmt.Errorf("wal: %w", err)
	}
	l = &Log{folder: folder}
	if l.lock, err = os.OpenFile(filepath.Join(folder, lockName), os.O_CREATE|os.O_RDWR, 0o600); err != nil {
		return nil, kept, fmt.Errorf("wal: %w", err)
	}
	if syscall.Flock(int(l.lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
		l.lock.Close()
		return nil, kept, fmt.Errorf("%w: %s", ErrInUse, folder)
	}
	path := filepath.Join(folder, fileName)
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		if err = write(folder, []byte(magic)); err == nil {
			raw = []byte(magic)
		}
	}
	if err == nil {
		var end int
		if kept, end, err = Read(raw); err == nil {
			l.file, err = os.OpenFile(path, os.O_RDWR, 0o600)
			if err == nil && end < len(raw) {
				err = l.file.Truncate(int64(end))
			}
			if err == nil {
				l.kept, err = l.file.Seek(int64(end), io.SeekStart)
			}
		}
	}
	if err != nil {
		l.Close()
		return nil, kept, fmt.Errorf("wal %s: %w", path, err)
	}
	return l, kept, nil
}

// Read takes a log's bytes apart. It returns where the last whole record ends. A record that is not whole but has others behind it
// is damage, not an unfinished end.
func Read(raw []byte) (kept directives.Kept, end int, err error) {
	if len(raw) < len(magic) || string(raw[:len(magic)]) != magic {
		return kept, 0, errors.New("wal: not a voter's log")
	}
	at := len(magic)
	for at < len(raw) {
		kind, data, size := next(raw[at:])
		if size == 0 {
			for from := at + 1; from < len(raw); from++ {
				if k, _, n := next(raw[from:]); n > headSize && k >= recordBorn && k <= recordSnap {
					return kept, at, ErrDamaged
				}
			}
			return kept, at, nil
		}
		at += size
		switch kind {
		case recordBorn:
			kept.Born = true
		case recordHard:
			kept.Hard = &pb.HardState{}
			err = proto.Unmarshal(data, kept.Hard)
		case recordEntry:
			e := &pb.Entry{}
			if err = proto.Unmarshal(data, e); err == nil {
				for len(kept.Entries) > 0 && kept.Entries[len(kept.Entries)-1].GetIndex() >= e.GetIndex() {
					kept.Entries = kept.Entries[:len(kept.Entries)-1]
				}
				kept.Entries = append(kept.Entries, e)
			}
		case recordSnap:
			kept.Snap, kept.Entries = &pb.Snapshot{}, nil
			err = proto.Unmarshal(data, kept.Snap)
		}
		if err != nil {
			return kept, at, fmt.Errorf("%w: %w", ErrDamaged, err)
		}
	}
	return kept, at, nil
}

// next is the record at the beginning of b; size is 0 if it is not whole.
func next(b []byte) (kind byte, data []byte, size int) {
	if len(b) < headSize {
		return 0, nil, 0
	}
	n := int(binary.LittleEndian.Uint32(b[1:]))
	if n > mostBytes || len(b) < headSize+n {
		return 0, nil, 0
	}
	data = b[headSize : headSize+n]
	if crc32.Update(crc32.Checksum(b[:5], table), table, data) != binary.LittleEndian.Uint32(b[5:]) {
		return 0, nil, 0
	}
	return b[0], data, headSize + n
}

// Repair makes the log usable after Keep has failed: what was written since the last time that it had not is cut off, so
// that the batch can be kept again, whole. A sync that failed may have left its bytes in memory alone, marked as written:
// they are written anew.
func (l *Log) Repair() error {
	path := filepath.Join(l.folder, fileName)
	f, err := os.OpenFile(path, os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	if err = l.follow(f); err == nil {
		if err = f.Truncate(l.kept); err == nil {
			_, err = f.Seek(l.kept, io.SeekStart)
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

// follow takes notice of a snapshot's file that has taken the old one's place, though that could not be told: it was
// synced before, so that all of it is kept.
func (l *Log) follow(f *os.File) error {
	now, err := f.Stat()
	if err != nil || l.file == nil {
		return err
	}
	before, err := l.file.Stat()
	if err == nil && !os.SameFile(before, now) {
		l.kept = now.Size()
	}
	return err
}

// Keep writes a batch and syncs it. After an error what the disk holds is not known: Repair comes before the next call.
func (l *Log) Keep(b directives.Batch) error {
	var out []byte
	add := func(kind byte, m proto.Message) error {
		raw, err := proto.Marshal(m)
		if err == nil {
			out = append(out, record(kind, raw)...)
		}
		return err
	}
	if b.Snap != nil {
		if err := add(recordSnap, b.Snap); err != nil {
			return err
		}
	}
	for _, e := range b.Entries {
		if err := add(recordEntry, e); err != nil {
			return err
		}
	}
	if b.Hard != nil {
		if err := add(recordHard, b.Hard); err != nil {
			return err
		}
	}
	if b.Snap != nil && b.Hard != nil { // a new file: all that counts is in the batch
		if err := write(l.folder, append(append([]byte(magic), record(recordBorn, nil)...), out...)); err != nil {
			return err
		}
		f, err := os.OpenFile(filepath.Join(l.folder, fileName), os.O_RDWR, 0o600)
		if err != nil {
			return fmt.Errorf("wal: %w", err)
		}
		l.file.Close()
		l.file = f
		l.kept, err = f.Seek(0, io.SeekEnd)
		return err
	}
	if _, err := l.file.Write(out); err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	l.kept += int64(len(out))
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

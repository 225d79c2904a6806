// Package wal keeps a voter's log on a disk: records that are appended and synced before anything is sent that rests on them. A snapshot
// starts a new file, which replaces the old one once it is complete. The package does not decide what is persisted; Persist does not return
// before the batch is on the disk.
package wal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"foxlane/internal/directives"
)

const (
	fileName = "directives.wal"
	tempName = "directives.wal.next"
	lockName = "directives.lock"
)

// Errors of a voter's directory.
var (
	ErrLocked = errors.New("wal: another process uses the folder")
	ErrExists = errors.New("wal: there is a voter's log in the folder already")
)

// Log is an open log.
type Log struct {
	dir         string
	file        *os.File // positioned at its end; nil after an Open that failed
	lock        *os.File
	syncedBytes int64
}

// Init writes the log of a new voter to a directory: a voter without one listens before it votes.
func Init(dir string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	path := filepath.Join(dir, fileName)
	if _, err := os.Stat(path); err == nil {
		return fmt.Errorf("%w: %s", ErrExists, path)
	}
	return replaceFile(dir, newLog(nil))
}

// replaceFile writes a complete log and renames it into place: the directory holds the old log or the new one, never a part of it.
func replaceFile(dir string, data []byte) error {
	temp := filepath.Join(dir, tempName)
	f, err := os.OpenFile(temp, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	if _, err = f.Write(data); err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(temp, filepath.Join(dir, fileName))
	}
	if err == nil {
		err = syncDir(dir)
	}
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	return nil
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer discardClose(d)
	return d.Sync()
}

// discardClose closes a file whose content is synced already, or is given up: an error of Close says nothing about it.
func discardClose(f *os.File) { _ = f.Close() }

// Open reads a directory's log and locks the directory. An incomplete record at the end is cut off: nothing was sent that rests on it.
// The log of a directory without one is that of a voter that has lost its log, or was never made one.
func Open(dir string) (l *Log, state directives.PersistedState, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, state, fmt.Errorf("wal: %w", err)
	}
	l = &Log{dir: dir}
	if l.lock, err = os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, 0o600); err != nil {
		return nil, state, fmt.Errorf("wal: %w", err)
	}
	if err := syscall.Flock(int(l.lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		l.Close()
		return nil, state, fmt.Errorf("%w: %s: %w", ErrLocked, dir, err)
	}
	if state, err = l.open(); err != nil {
		l.Close()
		return nil, state, fmt.Errorf("wal %s: %w", l.path(), err)
	}
	return l, state, nil
}

func (l *Log) path() string { return filepath.Join(l.dir, fileName) }

// open reads the file, or creates it, and positions it behind the last complete record.
func (l *Log) open() (state directives.PersistedState, err error) {
	raw, err := os.ReadFile(l.path())
	if errors.Is(err, os.ErrNotExist) {
		raw = []byte(magic)
		err = replaceFile(l.dir, raw)
	}
	if err != nil {
		return state, err
	}
	state, end, err := Decode(raw)
	if err != nil {
		return state, err
	}
	if l.file, err = os.OpenFile(l.path(), os.O_RDWR, 0o600); err != nil {
		return state, err
	}
	if end < len(raw) {
		if err := l.file.Truncate(int64(end)); err != nil {
			return state, err
		}
	}
	l.syncedBytes, err = l.file.Seek(int64(end), io.SeekStart)
	return state, err
}

// Repair makes the log usable after Persist has failed: what was written since the last Persist that succeeded is cut off, so that the
// batch can be persisted again as a whole. A sync that failed may have left its bytes in memory only, marked as written: they are
// written again.
func (l *Log) Repair() error {
	f, err := os.OpenFile(l.path(), os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	if err = l.adoptReplacement(f); err == nil {
		if err = f.Truncate(l.syncedBytes); err == nil {
			_, err = f.Seek(l.syncedBytes, io.SeekStart)
		}
	}
	if err != nil {
		discardClose(f)
		return fmt.Errorf("wal: %w", err)
	}
	if l.file != nil {
		discardClose(l.file)
	}
	l.file = f
	return nil
}

// adoptReplacement notices that a snapshot's file has replaced the old one though Persist failed behind that: it was synced before, so all of
// it is on the disk.
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

// Persist writes a batch and syncs it. After an error the content of the disk is unknown: Repair comes before the next call.
func (l *Log) Persist(b directives.Batch) error {
	records, err := encodeBatch(b)
	if err != nil {
		return err
	}
	if b.Snapshot != nil && b.HardState != nil { // the batch is complete: it needs nothing of the old file
		return l.replace(newLog(records))
	}
	if _, err := l.file.Write(records); err != nil {
		return fmt.Errorf("wal: append at byte %d: %w", l.syncedBytes, err)
	}
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("wal: append at byte %d: %w", l.syncedBytes, err)
	}
	l.syncedBytes += int64(len(records))
	return nil
}

// replace goes over to a new file with the given content.
func (l *Log) replace(data []byte) error {
	if err := replaceFile(l.dir, data); err != nil {
		return err
	}
	f, err := os.OpenFile(l.path(), os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	discardClose(l.file)
	l.file = f
	if l.syncedBytes, err = f.Seek(0, io.SeekEnd); err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	return nil
}

// Close closes the log and unlocks the directory. What Persist wrote is on the disk already.
func (l *Log) Close() {
	if l.file != nil {
		discardClose(l.file)
	}
	if l.lock != nil {
		discardClose(l.lock)
	}
}

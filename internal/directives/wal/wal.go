// Package wal stores a voter's log on disk as a file of appended records. Persist returns only after its batch is
// synced, so that the voter never sends a message that depends on unsynced state. A snapshot starts a new file, which
// replaces the old one once it is complete. The package does not decide what is persisted.
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
	ErrLocked = errors.New("wal: folder is locked by another process")
	ErrExists = errors.New("wal: folder already has a voter's log")
)

// Log is an open log file in a locked directory.
type Log struct {
	dir         string
	file        *os.File // positioned at its end; nil after an Open that failed
	lock        *os.File
	syncedBytes int64 // length of the file up to the last successful Persist
}

// Init writes the log of a new voter to a directory. A voter that starts without such a log listens before it votes.
// Init returns ErrExists if the directory already has a log.
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

// replaceFile writes a complete log and renames it into place, so that the directory has either the old log or the
// complete new one.
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
	defer closeIgnoringError(d)
	return d.Sync()
}

// closeIgnoringError closes a file whose content is already synced or no longer needed, so an error of Close has no
// consequence.
func closeIgnoringError(f *os.File) { _ = f.Close() }

// Open locks a directory and reads its log. An incomplete record at the end is truncated: no message that depends on it
// was sent. In a directory without a log, Open creates one that is not initialized, as for a voter that lost its log or
// was never initialized. Open returns ErrLocked if another process has locked the directory.
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

// open reads the file, or creates it, and positions it after the last complete record.
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

// Repair makes the log usable after a failed Persist: it truncates the file to the last successful Persist, so that the
// whole batch can be persisted again. The batch has to be written again because a failed sync may leave pages in memory
// that are marked clean but are not on the disk.
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
		closeIgnoringError(f)
		return fmt.Errorf("wal: %w", err)
	}
	if l.file != nil {
		closeIgnoringError(l.file)
	}
	l.file = f
	return nil
}

// adoptReplacement detects that a snapshot's file replaced the old one before Persist failed. The new file was synced
// before the rename, so its whole length counts as synced.
func (l *Log) adoptReplacement(f *os.File) error {
	current, err := f.Stat()
	if err != nil || l.file == nil {
		return err
	}
	previous, err := l.file.Stat()
	if err == nil && !os.SameFile(previous, current) {
		l.syncedBytes = current.Size()
	}
	return err
}

// Persist writes a batch and syncs it. After an error the content of the disk is unknown, and the caller must call
// Repair before the next Persist.
func (l *Log) Persist(b directives.Batch) error {
	records, err := encodeBatch(b)
	if err != nil {
		return err
	}
	if b.Snapshot != nil && b.HardState != nil { // the batch is self-contained: nothing of the old file is needed
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

// replace writes a new file with the given content and continues with it.
func (l *Log) replace(data []byte) error {
	if err := replaceFile(l.dir, data); err != nil {
		return err
	}
	f, err := os.OpenFile(l.path(), os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	closeIgnoringError(l.file)
	l.file = f
	if l.syncedBytes, err = f.Seek(0, io.SeekEnd); err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	return nil
}

// Close closes the log and unlocks the directory. Everything persisted is already synced.
func (l *Log) Close() {
	if l.file != nil {
		closeIgnoringError(l.file)
	}
	if l.lock != nil {
		closeIgnoringError(l.lock)
	}
}

package disk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// File is one segment.
type File interface {
	io.ReaderAt
	io.WriterAt
	Sync() error
	Truncate(size int64) error
	Size() (int64, error)
	Close() error
}

// FS is a folder with segments. Folder is that of the system; tests inject faults.
type FS interface {
	List() ([]string, error)
	Open(name string, create bool) (File, error)
	Remove(name string) error
	Sync() error // of the list of files, after Open with create and Remove
}

// Folder is a folder of the system that this process holds a lock on.
type Folder struct {
	path string
	lock *os.File
}

// ErrLocked is returned if another process uses the folder.
var ErrLocked = errors.New("disk: another process uses this folder")

const lockName = "LOCK"

// OpenFolder locks a folder for this process until Close or the end of the process. It creates the folder if need be.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("disk: %w", err)
	}
	return lockFolder(path)
}

// OpenExisting locks a folder that must exist.
func OpenExisting(path string) (*Folder, error) {
	if info, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("disk: %w", err)
	} else if !info.IsDir() {
		return nil, fmt.Errorf("disk: %s is no folder", path)
	}
	return lockFolder(path)
}

func lockFolder(path string) (*Folder, error) {
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("disk: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close() // nothing was written to it
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%w: %s", ErrLocked, path)
		}
		return nil, fmt.Errorf("disk: %s: %w", path, err)
	}
	return &Folder{path, lock}, nil
}

// Close releases the lock.
func (f *Folder) Close() error { return f.lock.Close() }

// List returns the names of the files, without that of the lock.
func (f *Folder) List() (names []string, err error) {
	entries, err := os.ReadDir(f.path)
	for _, e := range entries {
		if e.Type().IsRegular() && e.Name() != lockName {
			names = append(names, e.Name())
		}
	}
	return names, err
}

// osFile is a file of the system.
type osFile struct{ *os.File }

// Size returns the present size.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Open opens a file; with create it creates one that must not exist.
func (f *Folder) Open(name string, create bool) (File, error) {
	flags := os.O_RDWR
	if create {
		flags |= os.O_CREATE | os.O_EXCL
	}
	file, err := os.OpenFile(filepath.Join(f.path, name), flags, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{file}, nil
}

// Remove removes a file.
func (f *Folder) Remove(name string) error { return os.Remove(filepath.Join(f.path, name)) }

// Sync makes the creation and removal of files durable.
func (f *Folder) Sync() error {
	d, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }() // it was only read
	return d.Sync()
}

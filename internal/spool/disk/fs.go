package disk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// File is the file of one segment.
type File interface {
	io.ReaderAt
	io.WriterAt
	Sync() error
	Truncate(size int64) error
	Size() (int64, error)
	Close() error
}

// FS is a folder of segment files. Folder is the implementation of the operating system; tests use others to inject
// faults.
type FS interface {
	List() ([]string, error)
	Open(name string, create bool) (File, error)
	Remove(name string) error
	Sync() error // makes the creation and removal of files durable
}

// Folder is a folder in the file system that is locked by this process.
type Folder struct {
	path string
	lock *os.File
}

// ErrLocked is returned if another process holds the lock of the folder.
var ErrLocked = errors.New("disk: folder is locked by another process")

const lockName = "LOCK"

// OpenFolder locks a folder until Close or the end of the process. It creates the folder if it does not exist. It
// returns ErrLocked if another process holds the lock.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("disk: %w", err)
	}
	return lockFolder(path)
}

// OpenExisting is like OpenFolder, but returns an error if the folder does not exist.
func OpenExisting(path string) (*Folder, error) {
	if info, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("disk: %w", err)
	} else if !info.IsDir() {
		return nil, fmt.Errorf("disk: %s is not a folder", path)
	}
	return lockFolder(path)
}

func lockFolder(path string) (*Folder, error) {
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("disk: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close() // nothing was written, so the error does not matter
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%w: %s", ErrLocked, path)
		}
		return nil, fmt.Errorf("disk: %s: %w", path, err)
	}
	return &Folder{path, lock}, nil
}

// Close releases the lock.
func (f *Folder) Close() error { return f.lock.Close() }

// List returns the names of the regular files in the folder, without the lock file.
func (f *Folder) List() (names []string, err error) {
	entries, err := os.ReadDir(f.path)
	for _, e := range entries {
		if e.Type().IsRegular() && e.Name() != lockName {
			names = append(names, e.Name())
		}
	}
	return names, err
}

// osFile is a File in the file system.
type osFile struct{ *os.File }

// Size returns the current size in bytes.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Open opens an existing file, or with create, creates a file that must not exist.
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

// Remove deletes a file. Sync makes the removal durable.
func (f *Folder) Remove(name string) error { return os.Remove(filepath.Join(f.path, name)) }

// Sync makes the creation and removal of files durable.
func (f *Folder) Sync() error {
	d, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }() // the folder was only read, so the error does not matter
	return d.Sync()
}

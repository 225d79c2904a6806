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

// FS is a folder. The system's own is Folder; tests break theirs.
type FS interface {
	List() ([]string, error)
	Open(name string, create bool) (File, error)
	Remove(name string) error
	Sync() error // of the list of files
}

// Folder is a folder of the system's, which this process alone uses.
type Folder struct {
	path string
	lock *os.File
}

// ErrLocked is returned where another process uses the folder.
var ErrLocked = errors.New("disk: another process uses this folder")

const lockName = "LOCK"

// OpenFolder takes a folder for this process alone, until Close or its end. It is made if it is not there.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("disk: %w", err)
	}
	return lockFolder(path)
}

// OpenExisting takes a folder that must be there.
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
		lock.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%w: %s", ErrLocked, path)
		}
		return nil, fmt.Errorf("disk: %s: %w", path, err)
	}
	return &Folder{path, lock}, nil
}

// Close lets the folder go.
func (f *Folder) Close() error { return f.lock.Close() }

// List returns the names of the files.
func (f *Folder) List() (names []string, err error) {
	entries, err := os.ReadDir(f.path)
	for _, e := range entries {
		if e.Type().IsRegular() && e.Name() != lockName {
			names = append(names, e.Name())
		}
	}
	return names, err
}

type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Open opens a file, or makes it where there must be none yet.
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

// Sync makes what was created or removed last.
func (f *Folder) Sync() error {
	d, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

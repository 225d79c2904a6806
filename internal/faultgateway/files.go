package faultgateway

import (
	"errors"
	"io"
	"sync"

	"foxlane/internal/spool/disk"
)

// faultyFolder simulates a folder on a machine that loses power when the process is killed: unsynced data is lost,
// except for the first half of each write, which reaches the disk. After a failed sync the unsynced data before it is
// never written.
type faultyFolder struct {
	*disk.Folder
	faults         *faults
	hideSyncErrors bool // planted defect: a failed sync is reported as successful
}

// Open opens a file with the content that has outlasted the previous process. Creating a file can fail.
func (f *faultyFolder) Open(name string, create bool) (disk.File, error) {
	if create {
		if err := f.faults.inject("open"); err != nil {
			return nil, err
		}
	}
	file, err := f.Folder.Open(name, create)
	if err != nil {
		return nil, err
	}
	size, err := file.Size()
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	data := make([]byte, size)
	if size > 0 {
		if _, err := file.ReadAt(data, 0); err != nil {
			return nil, errors.Join(err, file.Close())
		}
	}
	return &faultyFile{real: file, folder: f, data: data, unsyncedFrom: size}, nil
}

// Remove removes a file, or fails with an injected error.
func (f *faultyFolder) Remove(name string) error {
	if err := f.faults.inject("remove"); err != nil {
		return err
	}
	return f.Folder.Remove(name)
}

// Sync fails with an injected error, or does nothing: the real folder outlasts the process without a sync.
func (f *faultyFolder) Sync() error {
	if err := f.faults.inject("sync"); err != nil && !f.hideSyncErrors {
		return err
	}
	return nil
}

// faultyFile holds the content of a file as the process sees it. The real file holds what would outlast a power loss.
type faultyFile struct {
	mu           sync.Mutex
	real         disk.File
	folder       *faultyFolder
	data         []byte
	unsyncedFrom int64 // offset from which data may not be in the real file
}

// ReadAt reads what the process has written, synced or not, or fails with an injected error.
func (f *faultyFile) ReadAt(p []byte, off int64) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.folder.faults.inject("read"); err != nil {
		return 0, err
	}
	n := 0
	if off < int64(len(f.data)) {
		n = copy(p, f.data[off:])
	}
	if n < len(p) {
		return n, io.ErrUnexpectedEOF
	}
	return n, nil
}

// WriteAt writes p, or only half of it on an injected error. Half of what it writes reaches the real file at once.
func (f *faultyFile) WriteAt(p []byte, off int64) (n int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n = len(p)
	if err = f.folder.faults.inject("write"); err != nil {
		n /= 2
	}
	if end := off + int64(n); end > int64(len(f.data)) {
		f.data = append(f.data, make([]byte, end-int64(len(f.data)))...)
	}
	copy(f.data[off:], p[:n])
	f.unsyncedFrom = min(f.unsyncedFrom, off)
	if _, writeErr := f.real.WriteAt(p[:n/2], off); err == nil {
		err = writeErr
	}
	return n, err
}

// Sync writes the unsynced data to the real file, or fails with an injected error and loses that data.
func (f *faultyFile) Sync() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.folder.faults.inject("sync"); err != nil {
		f.unsyncedFrom = int64(len(f.data)) // as on Linux, which marks the pages clean and does not write them later
		if f.folder.hideSyncErrors {
			return nil
		}
		return err
	}
	if f.unsyncedFrom < int64(len(f.data)) {
		if _, err := f.real.WriteAt(f.data[f.unsyncedFrom:], f.unsyncedFrom); err != nil {
			return err
		}
	}
	f.unsyncedFrom = int64(len(f.data))
	return nil
}

// Truncate truncates the file, or fails with an injected error.
func (f *faultyFile) Truncate(size int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.folder.faults.inject("truncate"); err != nil {
		return err
	}
	if size < int64(len(f.data)) {
		f.data = f.data[:size]
	}
	f.unsyncedFrom = min(f.unsyncedFrom, size)
	return f.real.Truncate(size)
}

// Size returns the size of the file as the process sees it.
func (f *faultyFile) Size() (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int64(len(f.data)), nil
}

// Close closes the real file, without a sync.
func (f *faultyFile) Close() error { return f.real.Close() }

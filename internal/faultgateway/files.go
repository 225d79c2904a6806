package faultgateway

import (
	"errors"
	"io"
	"sync"

	"foxlane/internal/spool/disk"
)

// faultyFolder is a folder of a machine that loses power when the process is killed: what was not synced is lost, but for the
// first half of each write, which reaches the disk. After a sync that failed the data before it is never written.
type faultyFolder struct {
	*disk.Folder
	faults         *faults
	hideSyncErrors bool // a planted defect: a sync that failed is reported as done
}

// Open opens a file, with its content as it would be after a loss of power. Creating one may fail.
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

// Remove removes a file, or fails.
func (f *faultyFolder) Remove(name string) error {
	if err := f.faults.inject("remove"); err != nil {
		return err
	}
	return f.Folder.Remove(name)
}

// Sync fails, or does nothing: the system's folder lasts longer than the process.
func (f *faultyFolder) Sync() error {
	if err := f.faults.inject("sync"); err != nil && !f.hideSyncErrors {
		return err
	}
	return nil
}

// faultyFile holds a file as the process sees it; the real one holds what would outlast a loss of power.
type faultyFile struct {
	mu           sync.Mutex
	real         disk.File
	folder       *faultyFolder
	data         []byte
	unsyncedFrom int64 // offset from which data may not be in the real file
}

// ReadAt reads what the process has written, synced or not, or fails.
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

// WriteAt writes all of p, or half of it and fails. Half of what is written reaches the real file at once.
func (f *faultyFile) WriteAt(p []byte, off int64) (n int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n = len(p)
	if err = f.folder.faults.inject("write"); err != nil {
		n /= 2
	}
	if need := off + int64(n); need > int64(len(f.data)) {
		f.data = append(f.data, make([]byte, need-int64(len(f.data)))...)
	}
	copy(f.data[off:], p[:n])
	f.unsyncedFrom = min(f.unsyncedFrom, off)
	if _, torn := f.real.WriteAt(p[:n/2], off); err == nil {
		err = torn
	}
	return n, err
}

// Sync writes to the real file what it lacks, or fails and loses that.
func (f *faultyFile) Sync() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.folder.faults.inject("sync"); err != nil {
		f.unsyncedFrom = int64(len(f.data)) // as on Linux: the pages count as clean, and are not written later
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

// Truncate cuts the file, or fails.
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

// Size is the size as the process sees it.
func (f *faultyFile) Size() (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int64(len(f.data)), nil
}

// Close closes the real file, without a sync.
func (f *faultyFile) Close() error { return f.real.Close() }

package faultgateway

import (
	"sync"

	"foxlane/internal/spool/disk"
)

// folderDouble is a folder of a machine that loses its power when the process is killed: what was not synced is gone, but
// for the first half of each write, which may have reached the disk. A sync that fails loses what it was to make last.
type folderDouble struct {
	*disk.Folder
	faults *faults
	lie    bool // the planted defect: a sync that failed is said to have worked
}

func (d *folderDouble) Open(name string, create bool) (disk.File, error) {
	if create {
		if err := d.faults.fail("open"); err != nil {
			return nil, err
		}
	}
	f, err := d.Folder.Open(name, create)
	if err != nil {
		return nil, err
	}
	size, err := f.Size()
	if err != nil {
		f.Close()
		return nil, err
	}
	data := make([]byte, size)
	if size > 0 {
		if _, err := f.ReadAt(data, 0); err != nil {
			f.Close()
			return nil, err
		}
	}
	return &fileDouble{real: f, folder: d, data: data, dirty: size}, nil
}

func (d *folderDouble) Remove(name string) error {
	if err := d.faults.fail("remove"); err != nil {
		return err
	}
	return d.Folder.Remove(name)
}

func (d *folderDouble) Sync() error {
	if err := d.faults.fail("sync"); err != nil && !d.lie {
		return err
	}
	return nil
}

// fileDouble holds a file as the process sees it; the real one has what would outlast a loss of power.
type fileDouble struct {
	mu     sync.Mutex
	real   disk.File
	folder *folderDouble
	data   []byte
	dirty  int64 // from here on data was not synced
}

func (f *fileDouble) ReadAt(p []byte, off int64) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.folder.faults.fail("read"); err != nil {
		return 0, err
	}
	n := 0
	if off < int64(len(f.data)) {
		n = copy(p, f.data[off:])
	}
	if n < len(p) {
		return n, errShort
	}
	return n, nil
}

func (f *fileDouble) WriteAt(p []byte, off int64) (n int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n = len(p)
	if err = f.folder.faults.fail("write"); err != nil {
		n /= 2
	}
	if need := off + int64(n); need > int64(len(f.data)) {
		f.data = append(f.data, make([]byte, need-int64(len(f.data)))...)
	}
	copy(f.data[off:], p[:n])
	f.dirty = min(f.dirty, off)
	if _, torn := f.real.WriteAt(p[:n/2], off); err == nil {
		err = torn
	}
	return n, err
}

func (f *fileDouble) Sync() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.folder.faults.fail("sync"); err != nil {
		f.dirty = int64(len(f.data)) // the system takes it for written, and it is not
		if f.folder.lie {
			return nil
		}
		return err
	}
	if f.dirty < int64(len(f.data)) {
		if _, err := f.real.WriteAt(f.data[f.dirty:], f.dirty); err != nil {
			return err
		}
	}
	f.dirty = int64(len(f.data))
	return nil
}

func (f *fileDouble) Truncate(size int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.folder.faults.fail("truncate"); err != nil {
		return err
	}
	if size < int64(len(f.data)) {
		f.data = f.data[:size]
	}
	f.dirty = min(f.dirty, size)
	return f.real.Truncate(size)
}

func (f *fileDouble) Size() (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int64(len(f.data)), nil
}

func (f *fileDouble) Close() error { return f.real.Close() }

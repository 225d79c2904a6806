package disk

import (
	"bytes"
	"fmt"
	"io"
	"slices"
)

// memoryFS is an in-memory folder with injected faults. In a crash it loses bytes that are not synced.
type memoryFS struct {
	files     map[string]*memoryFile
	failWrite int // the n-th write from now fails after writing half of its bytes; 0: none fails
	failSync  bool
	capacity  int64 // maximum total bytes; 0: unlimited
}

// memoryFile is a file of a memoryFS.
type memoryFile struct {
	fs     *memoryFS
	data   []byte
	synced []byte // contents at the last successful Sync
}

func newMemoryFS() *memoryFS { return &memoryFS{files: map[string]*memoryFile{}} }

func (m *memoryFS) List() (names []string, err error) {
	for name := range m.files {
		names = append(names, name)
	}
	return names, nil
}

func (m *memoryFS) Open(name string, create bool) (File, error) {
	f := m.files[name]
	if (f == nil) != create {
		return nil, fmt.Errorf("%s: create %v", name, create)
	}
	if create {
		f = &memoryFile{fs: m}
		m.files[name] = f
	}
	return f, nil
}

func (m *memoryFS) Remove(name string) error { delete(m.files, name); return nil }
func (m *memoryFS) Sync() error              { return nil }

func (m *memoryFS) size() (n int64) {
	for _, f := range m.files {
		n += int64(len(f.data))
	}
	return n
}

// crash returns the folder after a power failure. Of the n unsynced bytes at the end of a file, part(n) are kept.
func (m *memoryFS) crash(part func(n int) int) *memoryFS {
	out := newMemoryFS()
	names, _ := m.List()
	slices.Sort(names)
	for _, name := range names {
		f := m.files[name]
		kept := f.synced
		if len(f.data) > len(f.synced) && bytes.HasPrefix(f.data, f.synced) {
			kept = f.data[:len(f.synced)+part(len(f.data)-len(f.synced))]
		}
		out.files[name] = &memoryFile{fs: out, data: bytes.Clone(kept), synced: bytes.Clone(kept)}
	}
	return out
}

func (f *memoryFile) ReadAt(p []byte, off int64) (int, error) {
	if off >= int64(len(f.data)) {
		return 0, io.EOF
	}
	n := copy(p, f.data[off:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (f *memoryFile) WriteAt(p []byte, off int64) (int, error) {
	n, err := len(p), error(nil)
	if f.fs.failWrite > 0 {
		if f.fs.failWrite--; f.fs.failWrite == 0 {
			n, err = len(p)/2, errFault
		}
	}
	if grown := off + int64(n) - int64(len(f.data)); f.fs.capacity > 0 && f.fs.size()+grown > f.fs.capacity {
		n, err = max(0, n-int(f.fs.size()+grown-f.fs.capacity)), errFault
	}
	if need := off + int64(n); need > int64(len(f.data)) {
		f.data = append(f.data, make([]byte, need-int64(len(f.data)))...)
	}
	copy(f.data[off:], p[:n])
	return n, err
}

func (f *memoryFile) Sync() error {
	if f.fs.failSync {
		return errFault
	}
	f.synced = bytes.Clone(f.data)
	return nil
}

func (f *memoryFile) Truncate(n int64) error { f.data = f.data[:n]; return nil }
func (f *memoryFile) Size() (int64, error)   { return int64(len(f.data)), nil }
func (f *memoryFile) Close() error           { return nil }

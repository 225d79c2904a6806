package disk

import (
	"bytes"
	"fmt"
	"io"
	"slices"
)

// memoryFS is a folder in memory with injected faults, which loses bytes that are not synced in a crash.
type memoryFS struct {
	files     map[string]*memFile
	failWrite int // the write so many from now on fails, having written a half; 0: none does
	failSync  bool
	capacity  int64 // bytes that it takes; 0: any
}

type memFile struct {
	fs     *memoryFS
	data   []byte
	synced []byte
}

func newMemoryFS() *memoryFS { return &memoryFS{files: map[string]*memFile{}} }

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
		f = &memFile{fs: m}
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

// crash returns the folder after a power failure: of the bytes that were not synced, only a part is there.
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
		out.files[name] = &memFile{fs: out, data: bytes.Clone(kept), synced: bytes.Clone(kept)}
	}
	return out
}

func (f *memFile) ReadAt(p []byte, off int64) (int, error) {
	if off >= int64(len(f.data)) {
		return 0, io.EOF
	}
	n := copy(p, f.data[off:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (f *memFile) WriteAt(p []byte, off int64) (int, error) {
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

func (f *memFile) Sync() error {
	if f.fs.failSync {
		return errFault
	}
	f.synced = bytes.Clone(f.data)
	return nil
}

func (f *memFile) Truncate(n int64) error { f.data = f.data[:n]; return nil }
func (f *memFile) Size() (int64, error)   { return int64(len(f.data)), nil }
func (f *memFile) Close() error           { return nil }

// Package files reads settings files that may be replaced, half there or on a mount that fails. It must never wait for a
// writer, as a read of a pipe would, nor take in a file without bound.
package files

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
)

// MaxSize is how many bytes a settings file may have: that of the largest fleet has under a megabyte.
const MaxSize = 8 << 20

// Errors of files that are no settings.
var (
	ErrIrregular = errors.New("not a regular file")
	ErrTooLarge  = fmt.Errorf("larger than %d bytes", MaxSize)
)

// Read returns a regular file's bytes.
func Read(path string) ([]byte, error) {
	f, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, &os.PathError{Op: "read", Path: path, Err: ErrIrregular}
	}
	raw, err := io.ReadAll(io.LimitReader(f, MaxSize+1))
	if err == nil && len(raw) > MaxSize {
		err = &os.PathError{Op: "read", Path: path, Err: ErrTooLarge}
	}
	return raw, err
}

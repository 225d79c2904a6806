// Package files reads settings files that may be replaced meanwhile, half written or on a mount that fails. It must never
// wait for a writer, as a read of a pipe would, nor read a file of unbounded size.
package files

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
)

// MaxSize is how many bytes a settings file may have. That of the largest fleet has less than one megabyte.
const MaxSize = 8 << 20

// Errors of files that can't be settings.
var (
	ErrIrregular = errors.New("not a regular file")
	ErrTooLarge  = fmt.Errorf("larger than %d bytes", MaxSize)
)

// Read returns the bytes of a regular file of at most MaxSize. Its errors are of type *os.PathError.
func Read(path string) ([]byte, error) {
	f, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // it was only read
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

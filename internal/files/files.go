// Package files reads settings files that may be replaced during the read, incompletely written, or on a failing mount.
// It must never wait for a writer, as a read of a pipe would, nor read a file of unbounded size.
package files

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
)

// MaxSize is the maximum size of a settings file in bytes. The file of the largest fleet has less than one megabyte.
const MaxSize = 8 << 20

// Errors that Read returns, in an *os.PathError, for a file that can't be a settings file.
var (
	ErrIrregular = errors.New("not a regular file")
	ErrTooLarge  = fmt.Errorf("larger than %d bytes", MaxSize)
)

// Read returns the contents of a regular file of at most MaxSize bytes. Its errors are of type *os.PathError.
func Read(path string) ([]byte, error) {
	f, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // the file was only read, so the error does not matter
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, &os.PathError{Op: "read", Path: path, Err: ErrIrregular}
	}
	content, err := io.ReadAll(io.LimitReader(f, MaxSize+1))
	if err == nil && len(content) > MaxSize {
		err = &os.PathError{Op: "read", Path: path, Err: ErrTooLarge}
	}
	return content, err
}

package files

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

func TestRead(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "a")
	if err := os.WriteFile(path, []byte("text"), 0o600); err != nil {
		t.Fatal(err)
	}
	if content, err := Read(path); err != nil || string(content) != "text" {
		t.Errorf("got %q, %v", content, err)
	}
	if _, err := Read(filepath.Join(dir, "none")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a file that does not exist: %v", err)
	}
	if _, err := Read(dir); !errors.Is(err, ErrIrregular) {
		t.Errorf("a directory: %v", err)
	}
	pipe := filepath.Join(dir, "pipe")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(pipe); !errors.Is(err, ErrIrregular) { // must not wait for a writer
		t.Errorf("a named pipe: %v", err)
	}
	large := filepath.Join(dir, "large")
	if err := os.WriteFile(large, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Truncate(large, MaxSize+1); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(large); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a file over MaxSize: %v", err)
	}
}

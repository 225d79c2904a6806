package asynclog

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// TestMain checks that no test leaks the goroutine of a Writer.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// stalledWriter is an io.Writer that blocks until unblock is closed, and then fails with err if it is set.
type stalledWriter struct {
	mu      sync.Mutex
	unblock chan struct{}
	err     error
	out     bytes.Buffer
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return 0, s.err
	}
	return s.out.Write(p)
}

func (s *stalledWriter) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.String()
}

// writeLine writes a line and fails the test if Write reports an error or a short write.
func writeLine(t *testing.T, w *Writer, line string) {
	t.Helper()
	if n, err := w.Write([]byte(line + "\n")); err != nil || n != len(line)+1 {
		t.Fatalf("wrote %d of %q: %v", n, line, err)
	}
}

func formatLost(lines int) []byte { return fmt.Appendf(nil, "lost %d\n", lines) }

// While the reader is stalled, Write does not block and the buffer stays within its limit. The number of lost lines is
// reported when the reader continues.
func TestStalledReader(t *testing.T) {
	out := &stalledWriter{unblock: make(chan struct{})}
	w := New(out, 1000, formatLost)
	const lines = 5000
	start := time.Now()
	for i := range lines {
		writeLine(t, w, fmt.Sprintf("line %05d", i))
	}
	if elapsed := time.Since(start); elapsed > 2*time.Second {
		t.Errorf("%d lines took %v", lines, elapsed)
	}
	w.mu.Lock()
	pendingBytes := len(w.pending)
	w.mu.Unlock()
	if pendingBytes > 1000 {
		t.Errorf("%d bytes are pending", pendingBytes)
	}
	close(out.unblock)
	if !w.Close(5 * time.Second) {
		t.Fatal("Close timed out")
	}
	written, lost := 0, 0
	for _, line := range strings.Split(strings.TrimSpace(out.text()), "\n") {
		var n int
		if _, err := fmt.Sscanf(line, "lost %d", &n); err == nil {
			lost += n
		} else {
			written++
		}
	}
	if written+lost != lines || lost == 0 || written == 0 {
		t.Errorf("%d lines written and %d reported as lost of %d", written, lost, lines)
	}
}

// Lines that could not be written are reported as lost after writing works again.
func TestFailedWritesAreCounted(t *testing.T) {
	out := &stalledWriter{unblock: make(chan struct{}), err: errors.New("broken pipe")}
	close(out.unblock)
	w := New(out, 1000, formatLost)
	writeLine(t, w, "one")
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		w.mu.Lock()
		n := w.lostLines
		w.mu.Unlock()
		if n == 1 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the lost line was not counted")
		}
	}
	out.mu.Lock()
	out.err = nil
	out.mu.Unlock()
	writeLine(t, w, "two")
	if !w.Close(5*time.Second) || out.text() != "two\nlost 1\n" {
		t.Errorf("got %q", out.text())
	}
}

// Close times out while the reader is stalled.
func TestCloseIsBounded(t *testing.T) {
	out := &stalledWriter{unblock: make(chan struct{})}
	w := New(out, 1000, formatLost)
	writeLine(t, w, "one")
	if w.Close(20 * time.Millisecond) {
		t.Error("Close reported that all lines were written")
	}
	close(out.unblock)
}

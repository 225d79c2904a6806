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

// No goroutine of a writer is left behind.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// stalledWriter is a writer that stands still until it is opened.
type stalledWriter struct {
	mu   sync.Mutex
	open chan struct{}
	err  error
	out  bytes.Buffer
}

func (g *stalledWriter) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.err != nil {
		return 0, g.err
	}
	return g.out.Write(p)
}

func (g *stalledWriter) text() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.out.String()
}

// writeLine writes a line, which never fails.
func writeLine(t *testing.T, w *Writer, line string) {
	t.Helper()
	if n, err := w.Write([]byte(line + "\n")); err != nil || n != len(line)+1 {
		t.Fatalf("wrote %d of %q: %v", n, line, err)
	}
}

func lost(lines int) []byte { return fmt.Appendf(nil, "lost %d\n", lines) }

// With a reader that stands still no line waits, memory stays under the bound, and the loss is told when it reads again.
func TestStalledReader(t *testing.T) {
	g := &stalledWriter{open: make(chan struct{})}
	w := New(g, 1000, lost)
	const lines = 5000
	begin := time.Now()
	for i := range lines {
		writeLine(t, w, fmt.Sprintf("line %05d", i))
	}
	if took := time.Since(begin); took > 2*time.Second {
		t.Errorf("%d lines took %v", lines, took)
	}
	w.mu.Lock()
	held := len(w.pending)
	w.mu.Unlock()
	if held > 1000 {
		t.Errorf("%d bytes wait", held)
	}
	close(g.open)
	if !w.Close(5 * time.Second) {
		t.Fatal("not closed")
	}
	kept, dropped := 0, 0
	for _, line := range strings.Split(strings.TrimSpace(g.text()), "\n") {
		var n int
		if _, err := fmt.Sscanf(line, "lost %d", &n); err == nil {
			dropped += n
		} else {
			kept++
		}
	}
	if kept+dropped != lines || dropped == 0 || kept == 0 {
		t.Errorf("%d lines written and %d told as lost of %d", kept, dropped, lines)
	}
}

// Lines that fail to be written are told as lost once writing works again.
func TestFailedWritesAreCounted(t *testing.T) {
	g := &stalledWriter{open: make(chan struct{}), err: errors.New("broken pipe")}
	close(g.open)
	w := New(g, 1000, lost)
	writeLine(t, w, "one")
	for until := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		w.mu.Lock()
		n := w.lostLines
		w.mu.Unlock()
		if n == 1 {
			break
		}
		if time.Now().After(until) {
			t.Fatal("the loss was not counted")
		}
	}
	g.mu.Lock()
	g.err = nil
	g.mu.Unlock()
	writeLine(t, w, "two")
	if !w.Close(5*time.Second) || g.text() != "two\nlost 1\n" {
		t.Errorf("got %q", g.text())
	}
}

// Close gives up on a reader that stands still.
func TestCloseIsBounded(t *testing.T) {
	g := &stalledWriter{open: make(chan struct{})}
	w := New(g, 1000, lost)
	writeLine(t, w, "one")
	if w.Close(20 * time.Millisecond) {
		t.Error("all is said to be written")
	}
	close(g.open)
}

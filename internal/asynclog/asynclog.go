// Package asynclog writes log lines asynchronously: a bounded buffer and a goroutine that empties it. Writing a line never
// waits for whoever reads the log. Lines that find no room, or that could not be written, are counted, and the count is
// written as a line of its own once there is room again.
package asynclog

import (
	"io"
	"sync"
	"time"
)

// Writer takes log lines without ever blocking and writes them from a goroutine of its own.
type Writer struct {
	out        io.Writer
	maxBytes   int // that may be pending
	formatLost func(lines int) []byte
	wake       chan struct{}
	done       chan struct{}

	mu           sync.Mutex
	pending      []byte
	pendingLines int // of waiting
	lostLines    int // lines dropped and not yet reported
	closed       bool
}

// New starts a writer that holds at most so many bytes. Lost formats the line that reports lost lines. The writer's
// goroutine ends with Close.
func New(out io.Writer, most int, lost func(lines int) []byte) *Writer {
	w := &Writer{out: out, maxBytes: most, formatLost: lost, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line, or drops and counts it where there is no room. It never fails and never waits for the reader.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	switch {
	case w.closed || len(w.pending)+len(line) > w.maxBytes:
		w.lostLines++
	default:
		w.pending = append(w.pending, line...)
		w.pendingLines++
	}
	w.mu.Unlock()
	w.signal()
	return len(line), nil
}

// Sync does nothing: whoever logs must not wait for the reader. Close waits, for a bounded time.
func (w *Writer) Sync() error { return nil }

// Close writes what is pending, for so long at most. It answers whether all was written; if not, the goroutine ends once
// the write that is under way has returned.
func (w *Writer) Close(within time.Duration) bool {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.signal()
	timeout := time.NewTimer(within)
	defer timeout.Stop()
	select {
	case <-w.done:
		return true
	case <-timeout.C:
		return false
	}
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var spare []byte
	for range w.wake {
		batch, lines, lost, closed := w.swap(spare[:0])
		if lost > 0 {
			batch = append(batch, w.formatLost(lost)...)
		}
		if len(batch) > 0 {
			if _, err := w.out.Write(batch); err != nil {
				w.mu.Lock()
				w.lostLines += lines + lost
				w.mu.Unlock()
			}
		}
		spare = batch
		if closed {
			return
		}
	}
}

// swap takes the pending lines and leaves an empty buffer in their place.
func (w *Writer) swap(empty []byte) (batch []byte, lines, lost int, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch, lines, lost = w.pending, w.pendingLines, w.lostLines
	w.pending, w.pendingLines, w.lostLines = empty, 0, 0
	return batch, lines, lost, w.closed
}

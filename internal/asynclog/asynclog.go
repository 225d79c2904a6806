// Package asynclog writes log lines asynchronously, with a bounded buffer and a goroutine that drains it. Logging never
// blocks on a slow reader of the log. Lines that do not fit into the buffer or could not be written are counted, and
// their number is written as a separate line with the next write.
package asynclog

import (
	"io"
	"sync"
	"time"
)

// Writer accepts log lines without blocking and writes them from its own goroutine. It is safe for concurrent use.
type Writer struct {
	out        io.Writer
	maxBytes   int // limit of len(pending)
	formatLost func(lines int) []byte
	wake       chan struct{}
	done       chan struct{}

	mu           sync.Mutex
	pending      []byte
	pendingLines int // number of lines in pending
	lostLines    int // lines lost and not yet reported
	closed       bool
	writing      bool // the goroutine writes a batch
}

// New starts a Writer that buffers at most maxBytes. formatLost formats the line that reports a number of lost lines.
// Close stops the Writer's goroutine.
func New(out io.Writer, maxBytes int, formatLost func(lines int) []byte) *Writer {
	w := &Writer{out: out, maxBytes: maxBytes, formatLost: formatLost, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one line, or drops and counts it if the buffer is full or the Writer is closed. It never fails and
// never blocks on the reader.
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

// syncTimeout bounds Sync, since logging must not block for long on a slow reader.
const syncTimeout = 200 * time.Millisecond

// Sync waits until the lines written so far have left the buffer and are written, or syncTimeout has passed. A process
// calls it when it is about to end.
func (w *Writer) Sync() error {
	deadline := time.Now().Add(syncTimeout)
	for w.unwritten() && time.Now().Before(deadline) {
		w.signal()
		time.Sleep(time.Millisecond)
	}
	return nil
}

// unwritten reports whether lines are pending or being written.
func (w *Writer) unwritten() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending) > 0 || w.writing
}

// Close stops the Writer and waits up to timeout until the pending lines are written. It returns false on a timeout.
// The goroutine then ends once the current write has returned and the remaining lines are written.
func (w *Writer) Close(timeout time.Duration) bool {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.signal()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.done:
		return true
	case <-timer.C:
		return false
	}
}

// signal wakes the goroutine. A signal that is already pending covers this one.
func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run writes pending lines and the report of lost lines until the Writer is closed.
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
		w.mu.Lock()
		w.writing = false
		w.mu.Unlock()
		if closed {
			return
		}
	}
}

// swap returns the pending lines and the counters, and resets them. empty becomes the new buffer.
func (w *Writer) swap(empty []byte) (batch []byte, lines, lost int, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch, lines, lost = w.pending, w.pendingLines, w.lostLines
	w.pending, w.pendingLines, w.lostLines, w.writing = empty, 0, 0, true
	return batch, lines, lost, w.closed
}

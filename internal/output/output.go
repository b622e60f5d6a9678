// Package output provides the writer for a command's results. Results are often redirected to a file, and a command
// that could not write all of its output must not report success, so the writer records the first write error.
package output

import (
	"io"
	"sync"
)

// Writer forwards writes to another writer and records the first error. It is safe for concurrent use.
type Writer struct {
	to    io.Writer
	mu    sync.Mutex
	first error
}

// On returns a Writer that forwards to another writer.
func On(to io.Writer) *Writer { return &Writer{to: to} }

// Write writes b to the underlying writer and returns its result.
func (w *Writer) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := w.to.Write(b)
	if w.first == nil {
		w.first = err
	}
	return n, err
}

// Err returns the first error of a write, or nil if there was none.
func (w *Writer) Err() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.first
}

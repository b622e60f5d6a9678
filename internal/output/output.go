// Package output is what a command prints its result to. A result often goes to a file, and a command that could not write all
// of it must not say that all is well. It holds the first error.
package output

import (
	"io"
	"sync"
)

// Writer passes on what is written and keeps the first error. Its methods may be called from any goroutine.
type Writer struct {
	to    io.Writer
	mu    sync.Mutex
	first error
}

// On gives a writer on another one.
func On(to io.Writer) *Writer { return &Writer{to: to} }

// Write is that of the writer below.
func (w *Writer) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := w.to.Write(b)
	if w.first == nil {
		w.first = err
	}
	return n, err
}

// Err is the first error.
func (w *Writer) Err() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.first
}

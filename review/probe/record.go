package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was seen, a line each, with the seconds since the play began. Notes are printed too. It is safe for
// concurrent use.
type recorder struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	err  error
}

func newRecorder(file *os.File) *recorder { return &recorder{began: time.Now(), file: file} }

// at returns a time in seconds since the play began.
func (r *recorder) at(t time.Time) float64 { return t.Sub(r.began).Seconds() }

// line records something that happens now.
func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, err := fmt.Fprintf(r.file, "%9.4f %s\n", r.at(time.Now()), fmt.Sprintf(format, args...)); err != nil && r.err == nil {
		r.err = err
	}
}

// note records a line and prints it.
func (r *recorder) note(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *recorder) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return errors.Join(r.err, r.file.Close())
}

package member

import "fmt"

// Quiet is a raft.Logger that passes errors to Warn and drops everything else, because the library logs each
// message that it refuses. If Warn is nil, errors are dropped too.
type Quiet struct{ Warn func(text string) }

func (q Quiet) warn(text string) {
	if q.Warn != nil {
		q.Warn(text)
	}
}

// Debug drops its arguments.
func (Quiet) Debug(...any) {}

// Debugf drops its arguments.
func (Quiet) Debugf(string, ...any) {}

// Info drops its arguments.
func (Quiet) Info(...any) {}

// Infof drops its arguments.
func (Quiet) Infof(string, ...any) {}

// Warning drops its arguments: the library warns about each refused message, and networks often reorder and
// duplicate messages.
func (Quiet) Warning(...any) {}

// Warningf drops its arguments.
func (Quiet) Warningf(string, ...any) {}

// Error passes its arguments to Warn.
func (q Quiet) Error(v ...any) { q.warn(fmt.Sprint(v...)) }

// Errorf passes its arguments to Warn.
func (q Quiet) Errorf(format string, v ...any) { q.warn(fmt.Sprintf(format, v...)) }

// Fatal panics: the library has found its own state to be inconsistent.
func (q Quiet) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

// Fatalf panics.
func (q Quiet) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

// Panic panics.
func (q Quiet) Panic(v ...any) { panic(fmt.Sprint(v...)) }

// Panicf panics.
func (q Quiet) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

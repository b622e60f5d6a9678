package member

import (
	"fmt"

	"go.etcd.io/raft/v3/tracker"
)

type raftProgress = tracker.Progress

// Quiet is a logger for the library that passes on what a person must see and drops the rest.
type Quiet struct{ Warn func(text string) }

func (q Quiet) warn(text string) {
	if q.Warn != nil {
		q.Warn(text)
	}
}

// Debug drops.
func (Quiet) Debug(...any) {}

// Debugf drops.
func (Quiet) Debugf(string, ...any) {}

// Info drops.
func (Quiet) Info(...any) {}

// Infof drops.
func (Quiet) Infof(string, ...any) {}

// Warning drops: it tells of each message that is refused, which links do all the time.
func (Quiet) Warning(...any) {}

// Warningf drops.
func (Quiet) Warningf(string, ...any) {}

// Error passes on.
func (q Quiet) Error(v ...any) { q.warn(fmt.Sprint(v...)) }

// Errorf passes on.
func (q Quiet) Errorf(format string, v ...any) { q.warn(fmt.Sprintf(format, v...)) }

// Fatal panics: the state is not what it must be.
func (q Quiet) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

// Fatalf panics.
func (q Quiet) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

// Panic panics.
func (q Quiet) Panic(v ...any) { panic(fmt.Sprint(v...)) }

// Panicf panics.
func (q Quiet) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

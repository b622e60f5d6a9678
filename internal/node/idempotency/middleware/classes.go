package middleware

import (
	"fmt"
	"reflect"

	"linenwheel.dev/linenwheel/internal/node/idempotency"
)

// classTable holds the classes between two changes. It is immutable once it is published.
type classTable struct {
	classes []classState // by number
	inUse   bool         // calls may have got keys by it
}

// classState is a class with the guarantees that its earlier versions gave to calls.
type classState struct {
	Class
	// Naming and Windows of a class that is no longer listed stay as they were. Until knownUntil one of its keys
	// may be held here or by the replicas, until agreedUntil by the replicas. Both are milliseconds of the clock.
	knownUntil, agreedUntil float64
	keysIssued              bool // calls may have got keys as Naming says
}

func newClassTable(set *Settings) *classTable {
	t := &classTable{}
	for i, c := range set.Classes {
		if c.Windows == nil {
			c.Windows = &idempotency.Windows{Answered: set.Table.Classes[i].AnsweredWindow, Doubt: set.Table.Classes[i].InDoubtWindow}
		}
		t.classes = append(t.classes, classState{Class: c})
	}
	return t
}

// NamingError means that the calls of a class would get other keys than before.
type NamingError struct{ Class int }

func (e *NamingError) Error() string {
	return fmt.Sprintf("class %d would be named in another way than before", e.Class)
}

// FixNaming reports that calls may get keys from now on: from then on the naming of an enabled class is fixed for the
// lifetime of the middleware.
func (s *Middleware) FixNaming() { s.markInUse() }

// markInUse publishes a class table whose naming is fixed, and returns it.
func (s *Middleware) markInUse() *classTable {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.classes.Load().clone()
	t.markInUse()
	s.classes.Store(t)
	return t
}

func (t *classTable) clone() *classTable {
	return &classTable{append([]classState(nil), t.classes...), t.inUse}
}

// markInUse fixes the naming of the enabled classes.
func (t *classTable) markInUse() {
	t.inUse = true
	for i := range t.classes {
		t.classes[i].keysIssued = t.classes[i].keysIssued || t.classes[i].Enabled
	}
}

// CheckClasses reports whether SetClasses would accept classes; the error is a *NamingError.
func (s *Middleware) CheckClasses(classes []Class) error {
	for i, was := range s.classes.Load().classes {
		if c := classes[i]; c.Enabled && was.keysIssued && !reflect.DeepEqual(c.Naming, was.Naming) {
			return &NamingError{i}
		}
	}
	return nil
}

// SetClasses applies classes to calls that arrive from now on, all of them or none; the error is a *NamingError.
// Windows must not be nil. Known keys keep the windows under which they were claimed, and what is running ends as it
// began.
func (s *Middleware) SetClasses(classes []Class) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.CheckClasses(classes); err != nil {
		return err
	}
	t := s.classes.Load().clone()
	now := s.clock.Now()
	for i := range t.classes {
		c, was := &t.classes[i], t.classes[i].Class
		if was.Enabled && t.inUse {
			end := now + s.config.MaxRun + was.Windows.Longest()
			c.knownUntil = max(c.knownUntil, end)
			if was.Replicated {
				c.agreedUntil = max(c.agreedUntil, end)
			}
		}
		c.Class = classes[i]
		if !c.Enabled {
			c.Naming, c.Windows, c.Required = was.Naming, was.Windows, was.Required
		}
	}
	if t.inUse {
		t.markInUse()
	}
	s.classes.Store(t)
	return nil
}

// lookup looks up a key that the replicas may hold from when its class was replicated, and claims nothing. Run =
// nobody holds it.
func (s *Middleware) lookup(class *classState, c idempotency.Call, deadline float64, left <-chan struct{}) ClaimResult {
	fleet, ok := s.config.Claimer.(KeyLookup)
	if !ok || class.Replicated || s.clock.Now() >= class.agreedUntil {
		return ClaimResult{Verdict: idempotency.Run}
	}
	return fleet.Lookup(c, deadline, left)
}

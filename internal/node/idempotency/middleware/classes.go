package middleware

import (
	"fmt"
	"reflect"

	"linenwheel.dev/linenwheel/internal/node/idempotency"
)

// classTable is how calls are treated from one change of the classes to the next. It does not change itself.
type classTable struct {
	classes []classState // by number
	inUse   bool         // calls may have been named by it
}

// classState is a class with what was promised to calls of it before.
type classState struct {
	Class
	// Of a class that is not listed any more By and Windows stay as they were, for known: until then a name of it may
	// be held here or by the fleet. agreed is the same for those that the fleet has agreed on. Milliseconds of the
	// stage's clock.
	knownUntil, agreedUntil float64
	keysIssued              bool // calls may have been named as By says
}

func newClassTable(set *Settings) *classTable {
	t := &classTable{}
	for i, c := range set.Classes {
		if c.Windows == nil {
			c.Windows = &idempotency.Windows{Answered: set.Book.Classes[i].Answered, Doubt: set.Book.Classes[i].Doubt}
		}
		t.classes = append(t.classes, classState{Class: c})
	}
	return t
}

// NamingError tells that calls of a class would be named in another way than those before.
type NamingError struct{ Class int }

func (e *NamingError) Error() string {
	return fmt.Sprintf("class %d would be named in another way than before", e.Class)
}

// Settle tells that calls may be named from now on: from then on a class's By stays as it is for the life of the stage.
func (s *Stage) Settle() { s.markInUse() }

func (s *Stage) markInUse() *classTable {
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

func (t *classTable) markInUse() {
	t.inUse = true
	for i := range t.classes {
		t.classes[i].keysIssued = t.classes[i].keysIssued || t.classes[i].On
	}
}

// Check tells whether Use could take classes: a *NamingError names the one because of which it cannot.
func (s *Stage) Check(classes []Class) error {
	for i, was := range s.classes.Load().classes {
		if c := classes[i]; c.On && was.keysIssued && !reflect.DeepEqual(c.By, was.By) {
			return &NamingError{i}
		}
	}
	return nil
}

// Use has classes in force for calls that come from now on, all or none. Windows must not be nil. Names keep what was
// promised to them, and what runs ends as it began.
func (s *Stage) Use(classes []Class) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.Check(classes); err != nil {
		return err
	}
	t := s.classes.Load().clone()
	now := s.clock.Now()
	for i := range t.classes {
		c, was := &t.classes[i], t.classes[i].Class
		if was.On && t.inUse {
			end := now + s.config.Longest + was.Windows.Longest()
			c.knownUntil = max(c.knownUntil, end)
			if was.Agreed {
				c.agreedUntil = max(c.agreedUntil, end)
			}
		}
		c.Class = classes[i]
		if !c.On {
			c.By, c.Windows, c.Required = was.By, was.Windows, was.Required
		}
	}
	if t.inUse {
		t.markInUse()
	}
	s.classes.Store(t)
	return nil
}

// lookup asks the fleet for a name that it may hold from when its class was agreed on, and takes nothing.
func (s *Stage) lookup(class *classState, c idempotency.Call, deadline float64, left <-chan struct{}) Taken {
	fleet, ok := s.config.Fleet.(Looker)
	if !ok || class.Agreed || s.clock.Now() >= class.agreedUntil {
		return Taken{Verdict: idempotency.Run}
	}
	return fleet.Look(c, deadline, left)
}

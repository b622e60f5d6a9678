package middleware

import (
	"fmt"
	"reflect"

	"linenwheel.dev/linenwheel/internal/node/idempotency"
)

// table is how calls are treated from one change of the classes to the next. It does not change itself.
type table struct {
	classes []inForce // by number
	settled bool      // calls may have been named by it
}

// inForce is a class with what was promised to calls of it before.
type inForce struct {
	Class
	// Of a class that is not listed any more By and Windows stay as they were, for known: until then a name of it may
	// be held here or by the fleet. agreed is the same for those that the fleet has agreed on. Milliseconds of the
	// stage's clock.
	known, agreed float64
	named         bool // calls may have been named as By says
}

func newTable(set *Settings) *table {
	t := &table{}
	for i, c := range set.Classes {
		if c.Windows == nil {
			c.Windows = &idempotency.Windows{Answered: set.Book.Classes[i].Answered, Doubt: set.Book.Classes[i].Doubt}
		}
		t.classes = append(t.classes, inForce{Class: c})
	}
	return t
}

// NamingError tells that calls of a class would be named in another way than those before.
type NamingError struct{ Class int }

func (e *NamingError) Error() string {
	return fmt.Sprintf("class %d would be named in another way than before", e.Class)
}

// Settle tells that calls may be named from now on: from then on a class's By stays as it is for the life of the stage.
func (s *Stage) Settle() { s.settle() }

func (s *Stage) settle() *table {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.now.Load().clone()
	t.settle()
	s.now.Store(t)
	return t
}

func (t *table) clone() *table {
	return &table{append([]inForce(nil), t.classes...), t.settled}
}

func (t *table) settle() {
	t.settled = true
	for i := range t.classes {
		t.classes[i].named = t.classes[i].named || t.classes[i].On
	}
}

// Check tells whether Use could take classes: a *NamingError names the one because of which it cannot.
func (s *Stage) Check(classes []Class) error {
	for i, was := range s.now.Load().classes {
		if c := classes[i]; c.On && was.named && !reflect.DeepEqual(c.By, was.By) {
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
	t := s.now.Load().clone()
	now := s.clock.Now()
	for i := range t.classes {
		c, was := &t.classes[i], t.classes[i].Class
		if was.On && t.settled {
			end := now + s.set.Longest + was.Windows.Longest()
			c.known = max(c.known, end)
			if was.Agreed {
				c.agreed = max(c.agreed, end)
			}
		}
		c.Class = classes[i]
		if !c.On {
			c.By, c.Windows, c.Required = was.By, was.Windows, was.Required
		}
	}
	if t.settled {
		t.settle()
	}
	s.now.Store(t)
	return nil
}

// look asks the fleet for a name that it may hold from when its class was agreed on, and takes nothing.
func (s *Stage) look(class *inForce, c idempotency.Call, deadline float64, left <-chan struct{}) Taken {
	fleet, ok := s.set.Fleet.(Looker)
	if !ok || class.Agreed || s.clock.Now() >= class.agreed {
		return Taken{Verdict: idempotency.Run}
	}
	return fleet.Look(c, deadline, left)
}

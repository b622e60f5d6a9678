package idempotency

import (
	"fmt"
	"math"
)

// maxClasses bounds the classes of a table: an entry holds its class in a byte.
const maxClasses = 256

// Settings are the limits of a table.
type Settings struct {
	Classes      []Class
	Tenants      int     // how many there are; calls without a tenant count together as one more
	MaxEntries   int     // maximum number of keys
	MaxBodyBytes int     // maximum bytes of bodies
	PinnedRatio  float64 // what a tenant may pin, as a multiple of the capacity that is not pinned; above 0
}

// FieldError names the setting that is out of range.
type FieldError struct{ Field, Reason string }

func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// Table is the table of idempotency keys. It is not safe for concurrent use: its caller holds a lock.
type Table struct {
	config         Settings
	now            float64       // ms; the latest that was passed in
	index          map[Key]int32 // slot in entries
	entries        []entry
	freeHead       int32 // first unused slot, -1 = none; the others through links[byExpiry].next
	lanes          []lane
	lastLane       []int // by class: the lane that it used last
	bodies         queue // of answered entries, oldest first
	pinnedByTenant []int // the last element is for calls without a tenant
	counts         Counts
}

// New returns an empty table. The error is a *FieldError.
func New(config Settings) (*Table, error) {
	invalid := func(field, format string, args ...any) (*Table, error) {
		return nil, &FieldError{field, fmt.Sprintf(format, args...)}
	}
	switch {
	case len(config.Classes) == 0 || len(config.Classes) > maxClasses:
		return invalid("classes", "%d, want 1 to %d", len(config.Classes), maxClasses)
	case config.MaxEntries < 1 || config.MaxEntries > math.MaxInt32/2:
		return invalid("entries", "%d, want 1 to %d", config.MaxEntries, math.MaxInt32/2)
	case config.MaxBodyBytes < 0:
		return invalid("bytes", "%d is negative", config.MaxBodyBytes)
	case config.Tenants < 0:
		return invalid("tenants", "%d is negative", config.Tenants)
	case !(config.PinnedRatio > 0):
		return invalid("alpha", "%g is not above 0", config.PinnedRatio)
	}
	for i, c := range config.Classes {
		if !(c.AnsweredWindow >= 0) || !(c.InDoubtWindow >= 0) || math.IsInf(c.AnsweredWindow, 1) || math.IsInf(c.InDoubtWindow, 1) {
			return invalid(fmt.Sprintf("classes[%d]", i), "windows of %g and %g ms", c.AnsweredWindow, c.InDoubtWindow)
		}
	}
	return &Table{config: config, now: math.Inf(-1), index: map[Key]int32{}, freeHead: -1, bodies: emptyQueue,
		pinnedByTenant: make([]int, config.Tenants+1), lastLane: make([]int, len(config.Classes))}, nil
}

// AddClass adds a class, for a table whose classes are not all known when it is made, and returns its number. It
// returns false when there are maxClasses already.
func (t *Table) AddClass(c Class) (n int, ok bool) {
	if len(t.config.Classes) >= maxClasses {
		return 0, false
	}
	t.config.Classes = append(t.config.Classes[:len(t.config.Classes):len(t.config.Classes)], c)
	t.lastLane = append(t.lastLane, 0)
	return len(t.config.Classes) - 1, true
}

// Counts describe what a table holds and has decided.
type Counts struct {
	Entries, Running, Answered, Executed, InDoubt int // entries by state, now
	Pinned                                        int // entries that must not be evicted
	Bytes                                         int // of bodies
	Verdicts                                      [Full + 1]uint64
	BodiesEvicted, KeysEvicted                    uint64
}

// Counts returns the current counts.
func (t *Table) Counts() Counts { return t.counts }

// Pinned returns how many entries of a tenant are pinned; -1 is the tenant of calls without one.
func (t *Table) Pinned(tenant int) int { return t.pinnedByTenant[t.tenantIndex(tenant)] }

// Now returns the latest time that was passed in; -Inf before any was.
func (t *Table) Now() float64 { return t.now }

// ClassOf returns the class of a known key, and whether the key is known.
func (t *Table) ClassOf(n Key) (class int, known bool) {
	slot, known := t.index[n]
	if !known {
		return 0, false
	}
	return int(t.entries[slot].class), true
}

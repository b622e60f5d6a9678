package journal

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"

	"linenwheel.dev/linenwheel/internal/node/idempotency"
	"linenwheel.dev/linenwheel/internal/node/wal"
)

// Segment describes one file of a journal, for an operator.
type Segment struct {
	Name        string  `json:"name"`
	Bytes       int     `json:"bytes"`
	Records     int     `json:"records"`
	First, Last float64 // ms since the Unix epoch; 0 without records
	Damaged     string  `json:"damaged,omitempty"` // what is wrong and where; empty = nothing
}

// Report describes a journal as found in its files, without the settings under which it was written.
type Report struct {
	Segments []Segment      `json:"segments"`
	Classes  []string       `json:"classes"` // of all segments
	Tenants  []string       `json:"tenants"`
	Names    map[string]int `json:"names"` // number of keys by outcome: "running", "answered", "in doubt", "not run"
}

// Inspect reads a directory without changing it. Damage is reported in its Segment; the error is of a file that
// cannot be read.
func Inspect(f wal.Folder) (r Report, err error) {
	names, err := segmentNames(f)
	if err != nil {
		return r, err
	}
	entries := map[idempotency.Key]*entry{}
	r.Names = map[string]int{}
	for _, name := range names {
		text, err := f.Read(name)
		if err != nil {
			return r, fmt.Errorf("reading %s: %w", name, err)
		}
		s := Segment{Name: name, Bytes: len(text)}
		if h, ok := readHeader(text); ok {
			r.Classes, r.Tenants = union(r.Classes, h.Classes), union(r.Tenants, h.Tenants)
		}
		set := Settings{Classes: r.Classes, Tenants: r.Tenants}
		offset, err := readSegment(text, set, entries, func(rec record) {
			if s.Records == 0 {
				s.First = rec.at
			}
			s.Records++
			s.Last = max(s.Last, rec.at)
		})
		if err != nil {
			s.Damaged = fmt.Sprintf("byte %d: %v", offset, err)
		}
		r.Segments = append(r.Segments, s)
	}
	for _, e := range entries {
		r.Names[e.describe()]++
	}
	return r, nil
}

// describe returns the outcome of an entry as Report has it.
func (e *entry) describe() string {
	switch {
	case e.Running:
		return "running"
	case e.outcome == idempotency.OutcomeServed:
		return "answered"
	case e.outcome == idempotency.OutcomeInDoubt:
		return "in doubt"
	}
	return "not run"
}

// readHeader returns the header of a segment; false if it cannot be decoded.
func readHeader(text []byte) (h header, ok bool) {
	_, _ = segmentFormat.Read(text, func(content []byte) error { // readSegment reports what is damaged
		ok = json.Unmarshal(content, &h) == nil
		return ErrVersion // stops before the records
	}, nil)
	return h, ok
}

// union returns a with the names of b that it lacks.
func union(a, b []string) []string {
	for _, name := range b {
		if !slices.Contains(a, name) {
			a = append(a, name)
		}
	}
	return a
}

// Compact writes the entries that are still of use at the time now into one new segment, syncs it, and removes the
// others; it returns the number of entries. No process may have the directory open. A damaged segment stays for an
// operator to look at.
func Compact(f wal.Folder, keep, now float64) (kept int, err error) {
	r, err := Inspect(f)
	if err != nil {
		return 0, err
	}
	set := Settings{Classes: r.Classes, Tenants: r.Tenants, SegmentBytes: math.MaxInt, Retention: keep, MaxQueue: math.MaxInt}
	j, list, _, err := Open(f, set, now)
	if err != nil {
		return 0, err
	}
	var last Ticket
	for _, k := range list {
		at, body := now-k.Age, []byte(nil)
		if k.Body != nil {
			body = k.Body.([]byte)
		}
		outcome := idempotency.OutcomeInDoubt
		if k.Served {
			outcome = idempotency.OutcomeServed
		}
		if last, err = j.Began(at, k.Call); err == nil && !k.Running {
			last, err = j.Ended(at, k.Call, outcome, body)
		}
		if err != nil {
			return 0, err
		}
	}
	j.Close()
	j.Run()
	if err := last.Wait(); err != nil {
		return 0, err
	}
	for _, s := range r.Segments {
		if s.Damaged != "" {
			continue
		}
		if err := f.Remove(s.Name); err != nil {
			return len(list), fmt.Errorf("removing %s: %w", s.Name, err)
		}
	}
	return len(list), f.Sync()
}

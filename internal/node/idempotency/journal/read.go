package journal

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"linenwheel.dev/linenwheel/internal/node/idempotency"
	"linenwheel.dev/linenwheel/internal/node/wal"
)

// Finding describes damage in a file, for an operator.
type Finding struct {
	File   string
	Offset int // where the damage begins
	Err    error
}

// String returns the finding on one line.
func (f Finding) String() string { return fmt.Sprintf("%s, byte %d: %v", f.File, f.Offset, f.Err) }

// segmentNames returns the names of a directory's segments, sorted; other files do not belong to the journal.
func segmentNames(f wal.Folder) ([]string, error) {
	names, err := f.List()
	if err != nil {
		return nil, fmt.Errorf("reading the journal: %w", err)
	}
	names = slices.DeleteFunc(names, func(name string) bool {
		_, ok := segmentFormat.Number(name)
		return !ok
	})
	slices.Sort(names)
	return names, nil
}

// Read reads a directory without changing it: the entries that are still of use at the time now, in the order in
// which they ended, and the damage that was found. The records before the damage of a file count. A call that
// began and did not end was running.
func Read(f wal.Folder, set Settings, now float64) (recovered []idempotency.Entry, findings []Finding, err error) {
	names, err := segmentNames(f)
	if err != nil {
		return nil, nil, err
	}
	entries := map[idempotency.Key]*entry{}
	for _, name := range names {
		text, err := f.Read(name)
		if err != nil {
			findings = append(findings, Finding{name, 0, err})
			continue
		}
		if offset, err := readSegment(text, set, entries, func(record) {}); err != nil {
			findings = append(findings, Finding{name, offset, err})
		}
	}
	for _, e := range entries {
		if now-e.at <= set.retention(e.Windows) && (e.Running || e.outcome != idempotency.OutcomeNotExecuted) {
			e.Age = now - e.at
			e.Served = !e.Running && e.outcome == idempotency.OutcomeServed
			recovered = append(recovered, e.Entry)
		}
	}
	slices.SortFunc(recovered, func(a, b idempotency.Entry) int {
		switch {
		case a.Age != b.Age && a.Age > b.Age:
			return -1
		case a.Age != b.Age:
			return 1
		}
		return bytes.Compare(a.Key[:], b.Key[:])
	})
	return recovered, findings, nil
}

// entry is the state of a key after the records so far.
type entry struct {
	idempotency.Entry
	at      float64
	outcome idempotency.Outcome
}

// readSegment adds the records of one segment to entries and calls visit with each; offset is where the damage
// begins.
func readSegment(text []byte, set Settings, entries map[idempotency.Key]*entry, visit func(record)) (offset int, err error) {
	var h header
	var classes, tenants []int
	return segmentFormat.Read(text, func(content []byte) error {
		if json.Unmarshal(content, &h) != nil || h.Version != Version {
			return ErrVersion
		}
		classes, tenants = indexMap(h.Classes, set.Classes), indexMap(h.Tenants, set.Tenants)
		return nil
	}, func(content []byte) error {
		r, err := parseRecord(content)
		if err != nil {
			return err
		}
		visit(r)
		if int(r.class) >= len(classes) || classes[r.class] < 0 {
			return nil // its class was removed from the settings
		}
		e := entries[r.key]
		if e == nil {
			e = &entry{}
			entries[r.key] = e
		}
		c := idempotency.Call{Key: r.key, Fingerprint: r.fingerprint, Class: classes[r.class], Tenant: -1}
		if int(r.tenant) < len(tenants) {
			c.Tenant = tenants[r.tenant]
		}
		if c.Windows = r.windows; r.kind == kindEnded {
			c.Windows = e.Windows // an end keeps the windows under which the call began
		}
		e.Entry = idempotency.Entry{Call: c, Running: r.kind == kindBegan}
		e.at, e.outcome = r.at, r.outcome
		if r.body != nil {
			e.Body, e.Size = r.body, len(r.body)
		}
		return nil
	})
}

// indexMap returns for each old name its index among the new ones, -1 for none.
func indexMap(old, now []string) []int {
	p := make([]int, len(old))
	for i, name := range old {
		p[i] = slices.Index(now, name)
	}
	return p
}

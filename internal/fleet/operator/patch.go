package operator

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
)

// Names of the fields of a PATCH that change lists of named items.
const (
	fieldUpsert = "Upsert" // items to add, or to replace by name
	fieldRemove = "Remove" // names to remove
)

// CheckFields returns an error of kind InvalidConfig if a PATCH has a list of routes, backends or tenants beside Upsert
// and Remove, where it would change nothing. It is for the process that receives an order. Apply does not call it, as
// replicas of earlier versions have accepted such orders. A body that cannot be parsed is left to Apply.
func (o *Order) CheckFields() error {
	if o.Method != http.MethodPatch {
		return nil
	}
	fields, err := readObject(o.Body)
	if err != nil {
		return nil //nolint:nilerr // Apply reports it, or that another version is current
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if newMessage(name) != nil {
			return invalid("field %s: a PATCH changes this list by %s and %s", name, fieldUpsert, fieldRemove)
		}
	}
	return nil
}

// patch returns this document with the named items of a PATCH body applied.
func (d *Document) patch(body []byte) (*Document, error) {
	fields, err := readObject(body)
	if err != nil {
		return nil, err
	}
	next := &Document{lists: map[string][]item{}, other: map[string]json.RawMessage{}, limits: d.limits}
	for name, items := range d.lists {
		next.lists[name] = items
	}
	for name, raw := range d.other {
		next.other[name] = raw
	}
	if next.Revision, err = readRevision(fields); err != nil {
		return nil, err
	}
	if err := next.remove(fields[fieldRemove]); err != nil {
		return nil, err
	}
	if err := next.upsert(fields[fieldUpsert]); err != nil {
		return nil, err
	}
	for name, raw := range fields {
		if name != fieldRevision && name != fieldUpsert && name != fieldRemove && newMessage(name) == nil {
			next.other[name] = raw
			delete(next.lists, name)
		}
	}
	return next, next.readLimits()
}

// list returns the list with a name, and whether the document has it. If that list has been kept unparsed until now,
// list parses it and removes it from d.other.
func (d *Document) list(name string) (items []item, present bool, err error) {
	if items, present = d.lists[name]; present {
		return items, true, nil
	}
	raw, present := d.other[name]
	if !present {
		return nil, false, nil
	}
	delete(d.other, name)
	items, err = readItems(name, raw)
	return items, true, err
}

func (d *Document) remove(raw json.RawMessage) error {
	if raw == nil {
		return nil
	}
	var lists map[string][]string
	if err := json.Unmarshal(raw, &lists); err != nil {
		return invalid("field %s: %v", fieldRemove, err)
	}
	for name, removed := range lists {
		items, present, err := d.list(name)
		if err != nil {
			return err
		}
		if !present {
			continue
		}
		d.lists[name] = slices.DeleteFunc(slices.Clone(items), func(i item) bool { return slices.Contains(removed, i.name) })
	}
	return nil
}

func (d *Document) upsert(raw json.RawMessage) error {
	if raw == nil {
		return nil
	}
	var lists map[string]json.RawMessage
	if err := json.Unmarshal(raw, &lists); err != nil {
		return invalid("field %s: %v", fieldUpsert, err)
	}
	for name, entries := range lists {
		changed, err := readItems(name, entries)
		if err != nil {
			return err
		}
		items, present, err := d.list(name)
		if err != nil {
			return err
		}
		if !present && len(changed) == 0 {
			continue
		}
		d.lists[name] = replaceOrAdd(items, changed)
	}
	return nil
}

// replaceOrAdd returns the items with each changed item replacing the one of the same name, or appended if there
// is none.
func replaceOrAdd(items, changed []item) []item {
	merged := slices.Clone(items)
	index := make(map[string]int, len(merged))
	for i, entry := range merged {
		index[entry.name] = i
	}
	for _, entry := range changed {
		if i, present := index[entry.name]; present {
			merged[i] = entry
			continue
		}
		index[entry.name] = len(merged)
		merged = append(merged, entry)
	}
	return merged
}

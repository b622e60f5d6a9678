// Package operator holds the operator's configuration: documents, orders that change them, validation, and the compiled
// table that requests are routed by. It is pure: the same orders give the same documents.
//
// A document keeps each item as it was sent, unknown fields included, next to its checked form. Items that an order
// does not touch are shared between versions.
package operator

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"slices"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"linenwheel.dev/linenwheel/internal/fleet/errkind"
	"linenwheel.dev/linenwheel/internal/fleet/operator/operatorpb"
)

// The names of the document's fields that this package reads.
const (
	fieldRevision = "Revision"
	fieldRoutes   = "Routes"
	fieldBackends = "Backends"
	fieldTenants  = "Tenants"
	fieldLimits   = "Limits"
	fieldUpsert   = "Upsert"
	fieldRemove   = "Remove"
)

// item is one named entry of a list of the document.
type item struct {
	name    string
	raw     json.RawMessage
	message proto.Message // the checked form; nil in lists that this project has no use for
}

// Document is one version of the configuration. It is never changed once made.
type Document struct {
	Revision int64
	lists    map[string][]item
	other    map[string]json.RawMessage // fields that are not lists of named items
	limits   *operatorpb.Limits
}

// EmptyDocument is the document before the first order.
func EmptyDocument() *Document {
	return &Document{lists: map[string][]item{}, other: map[string]json.RawMessage{}, limits: &operatorpb.Limits{}}
}

var unmarshalOptions = protojson.UnmarshalOptions{DiscardUnknown: true}

// newMessage makes the checked form of an item of a list, nil for lists that are only kept.
func newMessage(list string) proto.Message {
	switch list {
	case fieldRoutes:
		return &operatorpb.Route{}
	case fieldBackends:
		return &operatorpb.Backend{}
	case fieldTenants:
		return &operatorpb.Tenant{}
	}
	return nil
}

func invalid(format string, args ...any) error {
	return errkind.New(errkind.InvalidConfig, format, args...)
}

// readObject reads one whole JSON object and nothing after it.
func readObject(body []byte) (map[string]json.RawMessage, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	var fields map[string]json.RawMessage
	if err := decoder.Decode(&fields); err != nil {
		return nil, invalid("not a whole JSON object: %v", err)
	}
	if fields == nil {
		return nil, invalid("not a JSON object")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, invalid("bytes after the JSON object")
	}
	return fields, nil
}

func readRevision(fields map[string]json.RawMessage) (int64, error) {
	var revision int64
	raw, present := fields[fieldRevision]
	if !present {
		return 0, invalid("field %s is missing", fieldRevision)
	}
	if err := json.Unmarshal(raw, &revision); err != nil {
		return 0, invalid("field %s: %v", fieldRevision, err)
	}
	return revision, nil
}

// readItems reads a list of named items.
func readItems(list string, raw json.RawMessage) ([]item, error) {
	var entries []json.RawMessage
	if err := json.Unmarshal(raw, &entries); err != nil {
		return nil, invalid("field %s: %v", list, err)
	}
	items := make([]item, 0, len(entries))
	for i, entry := range entries {
		one, err := readItem(list, entry)
		if err != nil {
			return nil, invalid("field %s[%d]: %v", list, i, err)
		}
		items = append(items, one)
	}
	return items, nil
}

func readItem(list string, raw json.RawMessage) (item, error) {
	var named struct{ Name string }
	if err := json.Unmarshal(raw, &named); err != nil {
		return item{}, err
	}
	one := item{name: named.Name, raw: raw, message: newMessage(list)}
	if one.message != nil {
		if err := unmarshalOptions.Unmarshal(raw, one.message); err != nil {
			return item{}, err
		}
	}
	return one, nil
}

// ParseDocument reads a whole document. It does not validate it.
func ParseDocument(body []byte) (*Document, error) {
	fields, err := readObject(body)
	if err != nil {
		return nil, err
	}
	d := EmptyDocument()
	if d.Revision, err = readRevision(fields); err != nil {
		return nil, err
	}
	for name, raw := range fields {
		switch {
		case name == fieldRevision:
		case newMessage(name) != nil:
			if d.lists[name], err = readItems(name, raw); err != nil {
				return nil, err
			}
		default:
			d.other[name] = raw
		}
	}
	return d, d.readLimits()
}

func (d *Document) readLimits() error {
	d.limits = &operatorpb.Limits{}
	raw, present := d.other[fieldLimits]
	if !present {
		return nil
	}
	if err := unmarshalOptions.Unmarshal(raw, d.limits); err != nil {
		return invalid("field %s: %v", fieldLimits, err)
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
		}
	}
	return next, next.readLimits()
}

// list returns the list with a name, also one that is kept without a checked form.
func (d *Document) list(name string) ([]item, error) {
	if items, present := d.lists[name]; present {
		return items, nil
	}
	raw, present := d.other[name]
	if !present {
		return nil, nil
	}
	delete(d.other, name)
	return readItems(name, raw)
}

func (d *Document) remove(raw json.RawMessage) error {
	if raw == nil {
		return nil
	}
	var lists map[string][]string
	if err := json.Unmarshal(raw, &lists); err != nil {
		return invalid("field %s: %v", fieldRemove, err)
	}
	for name, gone := range lists {
		items, err := d.list(name)
		if err != nil {
			return err
		}
		d.lists[name] = slices.DeleteFunc(slices.Clone(items), func(i item) bool { return slices.Contains(gone, i.name) })
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
		items, err := d.list(name)
		if err != nil {
			return err
		}
		d.lists[name] = replaceOrAdd(items, changed)
	}
	return nil
}

// replaceOrAdd returns the items with the changed ones in place of those of the same name, or at the end.
func replaceOrAdd(items, changed []item) []item {
	merged := slices.Clone(items)
	place := make(map[string]int, len(merged))
	for i, one := range merged {
		place[one.name] = i
	}
	for _, one := range changed {
		if i, present := place[one.name]; present {
			merged[i] = one
			continue
		}
		place[one.name] = len(merged)
		merged = append(merged, one)
	}
	return merged
}

// JSON returns the document as the operator reads it.
func (d *Document) JSON() []byte {
	fields := make(map[string]any, len(d.lists)+len(d.other)+1)
	fields[fieldRevision] = d.Revision
	for name, raw := range d.other {
		fields[name] = raw
	}
	for name, items := range d.lists {
		entries := make([]json.RawMessage, len(items))
		for i, one := range items {
			entries[i] = one.raw
		}
		fields[name] = entries
	}
	body, err := json.Marshal(fields)
	if err != nil { // every raw part has been read as JSON before
		panic(err)
	}
	return body
}

// messages returns the checked forms of a list.
func messages[M proto.Message](d *Document, list string) []M {
	items := d.lists[list]
	checked := make([]M, 0, len(items))
	for _, one := range items {
		checked = append(checked, one.message.(M))
	}
	return checked
}

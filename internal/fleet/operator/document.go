// Package operator implements the operator's configuration: documents, the orders that change them, validation,
// and the compiled table by which requests are routed. It is pure: the same orders produce the same documents.
//
// A document keeps each item as it was sent, including unknown fields, along with its parsed message. Items that
// an order does not change are shared between versions.
package operator

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"linenwheel.dev/linenwheel/internal/fleet/errkind"
	"linenwheel.dev/linenwheel/internal/fleet/operator/operatorpb"
)

// Names of the document's fields that this package reads.
const (
	fieldRevision = "Revision"
	fieldRoutes   = "Routes"
	fieldBackends = "Backends"
	fieldTenants  = "Tenants"
	fieldLimits   = "Limits"
)

// item is one named entry of a list of the document.
type item struct {
	name    string
	raw     json.RawMessage
	message proto.Message // the parsed item; nil in lists that this project does not use
}

// Document is one version of the configuration. It is immutable.
//
// An empty list differs from an absent one: a document with an empty list of tenants accepts no key, one without the
// list requires none. A list stays absent until an item is added to it, and stays present when its last item is
// removed. A list that is sent as null counts as empty.
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

// newMessage returns an empty message for an item of a list, or nil for lists that are stored unparsed.
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

// readObject parses a body that must contain exactly one JSON object.
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

// readItems parses a list of named items.
func readItems(list string, raw json.RawMessage) ([]item, error) {
	var entries []json.RawMessage
	if err := json.Unmarshal(raw, &entries); err != nil {
		return nil, invalid("field %s: %v", list, err)
	}
	items := make([]item, 0, len(entries))
	for i, entry := range entries {
		parsed, err := readItem(list, entry)
		if err != nil {
			return nil, invalid("field %s[%d]: %v", list, i, err)
		}
		items = append(items, parsed)
	}
	return items, nil
}

func readItem(list string, raw json.RawMessage) (item, error) {
	var named struct{ Name string }
	if err := json.Unmarshal(raw, &named); err != nil {
		return item{}, err
	}
	parsed := item{name: named.Name, raw: raw, message: newMessage(list)}
	if parsed.message != nil {
		if err := unmarshalOptions.Unmarshal(raw, parsed.message); err != nil {
			return item{}, err
		}
	}
	return parsed, nil
}

// ParseDocument parses a full document. It does not validate it.
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

// JSON returns the document in the operator's JSON format.
func (d *Document) JSON() []byte {
	fields := make(map[string]any, len(d.lists)+len(d.other)+1)
	fields[fieldRevision] = d.Revision
	for name, raw := range d.other {
		fields[name] = raw
	}
	for name, items := range d.lists {
		entries := make([]json.RawMessage, len(items))
		for i, listed := range items {
			entries[i] = listed.raw
		}
		fields[name] = entries
	}
	body, err := json.Marshal(fields)
	if err != nil { // cannot happen: every raw part has already been parsed as JSON
		panic(err)
	}
	return body
}

// hasList reports whether the document has a list of routes, backends or tenants, which may be empty.
func (d *Document) hasList(name string) bool {
	_, present := d.lists[name]
	return present
}

// messages returns the parsed messages of a list.
func messages[M proto.Message](d *Document, list string) []M {
	items := d.lists[list]
	parsed := make([]M, 0, len(items))
	for _, listed := range items {
		parsed = append(parsed, listed.message.(M))
	}
	return parsed
}

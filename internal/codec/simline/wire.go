// Package simline is the codec for the line protocol of the test bench: it decodes lines into the events of package
// decide and encodes actions as lines. It makes no decisions.
package simline

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"linenwheel.dev/linenwheel/decide"
)

// FieldError reports which field of which message could not be decoded.
type FieldError struct {
	Message, Field string
	Err            error
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: field %s: %v", e.Message, e.Field, e.Err)
}

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.Err }

var (
	errMissing = errors.New("missing")
	errUnknown = errors.New("unknown name")
)

// Names maps the names in one instance's settings to indexes.
type Names struct {
	classes, tenants, zones, kinds map[string]int
	columns                        map[string]decide.ReportField
}

// Fields decodes the values of one message, field by field. It keeps the first error.
type Fields struct {
	message string
	rest    []byte
	more    bool
	err     error
}

// NewFields returns the name of the message in a line and a decoder of its fields.
func NewFields(line []byte) (string, *Fields) {
	f := &Fields{}
	name := f.Start(line)
	return name, f
}

// Start resets f to decode another line and returns the name of its message.
func (f *Fields) Start(line []byte) string {
	*f = Fields{rest: line, more: true}
	f.message = intern(f.next("name"))
	return f.message
}

// intern returns the constant for a known name, so that decoding a line allocates nothing.
func intern(name []byte) string {
	for _, known := range [...]string{"KNOCK", "CLOSED_ATTEMPT", "SELECT", "TIMEOUT_FIRED", "MARK", "FLUSH",
		"BACKEND", "BEGUN", "ABANDONED", "PROBE_DONE", "DISCOVERY", "ENLIST", "RETIRE", "PEER_DATA"} {
		if string(name) == known {
			return known
		}
	}
	return string(name)
}

// Err returns the first error.
func (f *Fields) Err() error { return f.err }

func (f *Fields) fail(field string, err error) {
	if f.err == nil {
		f.err = &FieldError{f.message, field, err}
	}
}

// next returns the next part of the line, or nil if the line has ended, which is an error, or the part is absent
// ("-").
func (f *Fields) next(field string) []byte {
	if !f.more {
		f.fail(field, errMissing)
		return nil
	}
	part := f.rest
	if i := bytes.IndexByte(part, ' '); i >= 0 {
		part, f.rest = part[:i], part[i+1:]
	} else {
		f.more = false
	}
	if len(part) == 1 && part[0] == '-' {
		return nil
	}
	return part
}

// Rest returns the rest of the line.
func (f *Fields) Rest() []byte {
	if !f.more {
		return nil
	}
	f.more = false
	return f.rest
}

// Uint decodes a decimal number of at most bits bits, 0 if absent.
func (f *Fields) Uint(field string, bits int) uint64 {
	part := f.next(field)
	if part == nil {
		return 0
	}
	return f.number(field, part, 10, bits)
}

// ID decodes a number of 16 hexadecimal digits.
func (f *Fields) ID(field string) decide.RequestID {
	part := f.next(field)
	if len(part) != 16 {
		f.fail(field, fmt.Errorf("want 16 hexadecimal digits, have %q", part))
		return 0
	}
	return decide.RequestID(f.number(field, part, 16, 64))
}

func (f *Fields) number(field string, part []byte, base uint64, bits int) uint64 {
	limit := uint64(math.MaxUint64)
	if bits < 64 {
		limit = 1<<bits - 1
	}
	var n uint64
	for _, c := range part {
		d := digit(c)
		if d >= base || d > limit || n > (limit-d)/base {
			f.fail(field, fmt.Errorf("not a number of %d bits: %q", bits, part))
			return 0
		}
		n = n*base + d
	}
	if len(part) == 0 {
		f.fail(field, errors.New("empty number"))
	}
	return n
}

func digit(c byte) uint64 {
	switch {
	case c >= '0' && c <= '9':
		return uint64(c - '0')
	case c >= 'a' && c <= 'f':
		return uint64(c-'a') + 10
	}
	return math.MaxUint64
}

// Float decodes a finite number, 0 if absent.
func (f *Fields) Float(field string) float64 {
	return f.float(field, f.next(field))
}

func (f *Fields) float(field string, part []byte) float64 {
	if part == nil {
		return 0
	}
	if v, ok := plainDecimal(part); ok {
		return v
	}
	v, err := strconv.ParseFloat(string(part), 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.fail(field, fmt.Errorf("not a number: %q", part))
		return 0
	}
	return v
}

// plainDecimal decodes numbers such as 8.65225 whose digits, read as an integer, a float64 represents exactly. It
// returns false for all others.
func plainDecimal(part []byte) (float64, bool) {
	var n, scale uint64
	for _, c := range part {
		switch {
		case c == '.' && scale == 0:
			scale = 1
		case c >= '0' && c <= '9' && n < 1<<49:
			n = n*10 + uint64(c-'0')
			scale *= 10
		default:
			return 0, false
		}
	}
	if scale == 0 {
		scale = 1
	}
	return float64(n) / float64(scale), len(part) > 0
}

// Seconds decodes a point in time or a duration in seconds, 0 if absent.
func (f *Fields) Seconds(field string) time.Duration {
	v := f.Float(field)
	if math.Abs(v) > 9e9 {
		f.fail(field, fmt.Errorf("out of range: %g", v))
		return 0
	}
	return seconds(v)
}

func seconds(v float64) time.Duration { return time.Duration(math.Round(v*1e6)) * time.Microsecond }

// index decodes a name and returns its index in names.
func (f *Fields) index(field string, names map[string]int) int {
	part := f.next(field)
	i, ok := names[string(part)]
	if !ok {
		f.fail(field, fmt.Errorf("%w: %q", errUnknown, part))
	}
	return i
}

var results = map[string]decide.Result{
	"GOOD": decide.Succeeded, "BAD": decide.Failed, "FULL": decide.Overloaded, "LATE": decide.TimedOut,
	"NOCONN": decide.ConnectFailed, "RST": decide.Reset, "CXL": decide.Cancelled, "NOP": decide.NotSent,
}

func (f *Fields) result(field string) decide.Result {
	part := f.next(field)
	r, ok := results[string(part)]
	if !ok {
		f.fail(field, fmt.Errorf("%w: %q", errUnknown, part))
	}
	return r
}

func (f *Fields) load(field string, names *Names) (load decide.Load) {
	part := f.next(field)
	for len(part) > 0 {
		item := part
		if i := bytes.IndexByte(part, ','); i >= 0 {
			item, part = part[:i], part[i+1:]
		} else {
			part = nil
		}
		colon := bytes.IndexByte(item, ':')
		if colon < 0 {
			f.fail(field, fmt.Errorf("not name:value: %q", item))
			return load
		}
		column := names.columns[string(item[:colon])]
		load.Values[column] = f.float(field, item[colon+1:])
		load.Has |= 1 << column
	}
	return load
}

// Request decodes the values of KNOCK.
func (f *Fields) Request(names *Names) decide.Request {
	r := decide.Request{ID: f.ID("rid"), Tenant: -1}
	r.Cost = f.Float("cost_s")
	r.Class = f.index("class", names.classes)
	if tenant := f.next("billing"); tenant != nil && string(tenant) != "0" {
		i, ok := names.tenants[string(tenant)]
		if !ok {
			f.fail("billing", fmt.Errorf("%w: %q", errUnknown, tenant))
		}
		r.Tenant = i
	}
	f.next("path_key")
	r.Deadline = f.Seconds("valid_until_s")
	flags := f.Uint("bitmap", 32)
	if flags&1 == 0 {
		r.Cost = 0
	}
	r.Repeat = flags&2 != 0
	return r
}

// Outcome decodes the values of CLOSED_ATTEMPT.
func (f *Fields) Outcome(names *Names) decide.Outcome {
	return decide.Outcome{
		Request: f.ID("rid"),
		Backend: f.Backend("backend"),
		Attempt: int(f.Uint("go", 31)),
		Over:    f.Uint("over", 1) == 1,
		Latency: f.Seconds("elapsed_s"),
		Result:  f.result("result"),
		Load:    f.load("load", names),
	}
}

// Probed decodes the values of PROBE_DONE.
func (f *Fields) Probed(names *Names) decide.Outcome {
	return decide.Outcome{
		Backend: f.Backend("backend"),
		Result:  f.result("result"),
		Latency: f.Seconds("elapsed_s"),
		Load:    f.load("load", names),
	}
}

// Backend decodes the id of a backend.
func (f *Fields) Backend(field string) decide.BackendID { return decide.BackendID(f.Uint(field, 32)) }

var listKinds = map[string]decide.EndpointsKind{
	"Partial": decide.EndpointsDelta, "Complete": decide.EndpointsFull,
	"Persisted": decide.EndpointsStored, "Error": decide.EndpointsUnavailable,
}

// List decodes the values of DISCOVERY: the kind of the list and the number of entries that follow.
func (f *Fields) List() (decide.EndpointsKind, int) {
	f.Uint("generation", 64)
	mode := f.next("mode")
	kind, ok := listKinds[string(mode)]
	if !ok {
		f.fail("mode", fmt.Errorf("%w: %q", errUnknown, mode))
	}
	return kind, int(f.Uint("entries", 24))
}

var states = map[string]decide.State{
	"SERVING": decide.Serving, "DRAINING": decide.Draining, "DELETED": decide.Deleted,
}

// Entry decodes the values of BACKEND.
func (f *Fields) Entry(names *Names) decide.Backend {
	b := decide.Backend{
		ID:   f.Backend("backend"),
		Zone: f.index("site", names.zones),
		Kind: f.index("hw", names.kinds),
		Cell: int(f.Uint("cell", 31)),
	}
	state := f.next("readiness")
	s, ok := states[string(state)]
	if !ok {
		f.fail("readiness", fmt.Errorf("%w: %q", errUnknown, state))
	}
	b.State = s
	b.Weight = f.Float("weight")
	b.Started = f.Seconds("last_start_s")
	return b
}

package record

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
)

// kindNames are the names in JSON lines. They are part of the form: a name never changes its meaning within a version.
var kindNames = [KindEnd]string{"", "due", "sent", "got", "left", "unreached", "unanswered", "crossed", "settled",
	"first_byte", "whole", "ran", "ended", "answered", "cut", "probed", "connected", "foreign",
	"rater_up", "rater_share", "rater_warm", "rater_draining", "rater_down", "rater_hidden", "told",
	"node_started", "node_ready", "node_signal", "node_ended", "node_sample", "trouble_from", "trouble_until", "lab_late",
	"rude_sent", "rude_got", "rude_closed", "rude_left"}

// String gives the kind's name.
func (k Kind) String() string {
	if k < KindEnd {
		return kindNames[k]
	}
	return "kind " + strconv.Itoa(int(k))
}

// MarshalText gives the name.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads a name.
func (k *Kind) UnmarshalText(text []byte) error {
	for i, n := range kindNames {
		if i > 0 && n == string(text) {
			*k = Kind(i)
			return nil
		}
	}
	return fmt.Errorf("no kind of event %q", text)
}

// Header is the first line of a record. What it holds besides the version is for the reader: names of the parties by number,
// and the experiment and seed that play the run again.
type Header struct {
	Version    int       `json:"linenwheel_record"`
	Experiment string    `json:"experiment"` // the file's text, whole
	Site       string    `json:"site"`
	Seed       uint64    `json:"seed"`
	Began      int64     `json:"began_unix_ms"` // 0 in virtual time
	Nodes      []string  `json:"nodes"`
	Raters     []string  `json:"raters"`
	Capacity   []float64 `json:"capacity"` // of each rater, yardstick cores
	Classes    []string  `json:"classes"`
	Partners   []string  `json:"partners"`
	Command    []string  `json:"node_command,omitempty"`
}

// line is the form of an event. Ids and digests are 16 hex digits; a field that is 0 (none, for parties) is left out.
type line struct {
	At      float64 `json:"at"`
	Kind    Kind    `json:"kind"`
	Request hex     `json:"request,omitempty"`
	Number  uint32  `json:"number,omitempty"`
	Node    *int16  `json:"node,omitempty"`
	Rater   *int16  `json:"rater,omitempty"`
	How     uint8   `json:"how,omitempty"`
	Class   uint8   `json:"class,omitempty"`
	Partner uint8   `json:"partner,omitempty"`
	Work    float32 `json:"work,omitempty"`
	Value   hex     `json:"value,omitempty"`
	Extra   hex     `json:"extra,omitempty"`
}

type hex uint64

func (h hex) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%016x", uint64(h)), nil }

func (h *hex) UnmarshalText(text []byte) error {
	v, err := strconv.ParseUint(string(text), 16, 64)
	*h = hex(v)
	return err
}

// MarshalJSON writes an event as one line of a record holds it.
func (e Event) MarshalJSON() ([]byte, error) {
	l := line{At: e.At, Kind: e.Kind, Request: hex(e.Request), Number: e.Number, How: e.How, Class: e.Class,
		Partner: e.Partner, Work: e.Work, Value: hex(e.Value), Extra: hex(e.Extra)}
	if e.Node >= 0 {
		l.Node = &e.Node
	}
	if e.Rater >= 0 {
		l.Rater = &e.Rater
	}
	return json.Marshal(l)
}

// UnmarshalJSON reads the same.
func (e *Event) UnmarshalJSON(text []byte) error {
	var l line
	if err := json.Unmarshal(text, &l); err != nil {
		return err
	}
	*e = Event{At: l.At, Kind: l.Kind, Request: uint64(l.Request), Number: l.Number, How: l.How, Class: l.Class,
		Partner: l.Partner, Work: l.Work, Value: uint64(l.Value), Extra: uint64(l.Extra), Node: None, Rater: None}
	if l.Node != nil {
		e.Node = *l.Node
	}
	if l.Rater != nil {
		e.Rater = *l.Rater
	}
	return nil
}

// Writer writes a record as JSON lines: the header, then an event a line.
type Writer struct {
	buf *bufio.Writer
	enc *json.Encoder
	err error
}

// NewWriter writes the header. The first error is kept until Flush.
func NewWriter(w io.Writer, h Header) *Writer {
	h.Version = Version
	out := &Writer{buf: bufio.NewWriterSize(w, 1<<16)}
	out.enc = json.NewEncoder(out.buf)
	out.err = out.enc.Encode(h)
	return out
}

// Add writes an event.
func (w *Writer) Add(e Event) {
	if w.err == nil {
		w.err = w.enc.Encode(e)
	}
}

// Flush writes what is left and gives the first error.
func (w *Writer) Flush() error {
	if err := w.buf.Flush(); w.err == nil {
		w.err = err
	}
	return w.err
}

// Read reads a record and calls f for each event. An error names the line.
func Read(r io.Reader, f func(Event)) (Header, error) {
	var h Header
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 1<<16), 1<<26)
	for n := 1; in.Scan(); n++ {
		if n == 1 {
			if err := json.Unmarshal(in.Bytes(), &h); err != nil {
				return h, fmt.Errorf("record, line 1: %w", err)
			} else if h.Version != Version {
				return h, fmt.Errorf("record, line 1: version %d, this program reads version %d", h.Version, Version)
			}
			continue
		}
		var e Event
		if err := json.Unmarshal(in.Bytes(), &e); err != nil {
			return h, fmt.Errorf("record, line %d: %w", n, err)
		}
		f(e)
	}
	return h, in.Err()
}

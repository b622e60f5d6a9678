// Package form reads the lab's TOML strictly: a field that is unknown, of the wrong type or out of bounds is one
// line that names the file, the line and the field.
//
// It also holds the two types that the lab's files are mostly made of: a Range of plain numbers ("1.7..2.3" or 3)
// and a Span of time ("97ms..170ms" or "30s"). A value drawn from one is even between its ends. It does no I/O.
package form

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Error is what is wrong with a file.
type Error struct {
	File  string
	Line  int    // from 1; 0 = not known
	Field string // as in the file, "kind.speed"; may be empty
	Text  string
}

func (e *Error) Error() string {
	s := e.File
	if e.Line > 0 {
		s += ":" + strconv.Itoa(e.Line)
	}
	if e.Field != "" {
		s += ": " + e.Field
	}
	return s + ": " + e.Text
}

// Read decodes text, which came from the named file, into v. A field that v does not have is an error.
func Read(file, text string, v any) error {
	dec := toml.NewDecoder(strings.NewReader(text)).DisallowUnknownFields()
	err := dec.Decode(v)
	var unknown *toml.StrictMissingError
	var wrong *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknown) && len(unknown.Errors) > 0:
		row, _ := unknown.Errors[0].Position()
		return &Error{file, row, strings.Join(unknown.Errors[0].Key(), "."), "unknown field"}
	case errors.As(err, &wrong):
		row, _ := wrong.Position()
		return &Error{file, row, strings.Join(wrong.Key(), "."), strings.TrimPrefix(wrong.Error(), "toml: ")}
	}
	return unplaced(file, text, v, err)
}

// unplaced finds the place of an error that go-toml gives without one, as it does where a bare number is no value of its
// field: it is the first line with which the text fails so.
func unplaced(file, text string, v any, err error) error {
	e := &Error{File: file, Text: strings.TrimPrefix(err.Error(), "toml: ")}
	table := ""
	lines := strings.Split(text, "\n")
	for i, l := range lines {
		if l = strings.TrimSpace(l); strings.HasPrefix(l, "[") {
			table = strings.Trim(l, "[] ") + "."
		}
		fresh := reflect.New(reflect.TypeOf(v).Elem()).Interface()
		if again := toml.Unmarshal([]byte(strings.Join(lines[:i+1], "\n")), fresh); again != nil && again.Error() == err.Error() {
			key, _, _ := strings.Cut(l, "=")
			e.Line, e.Field = i+1, table+strings.TrimSpace(key)
			break
		}
	}
	return e
}

// Wrong says that the value of a field cannot work. Where the field's table is one of several ("trouble.size"), n counts
// them from 0. The line is that of the field in text, or of its table, so that a fault found after decoding names it too.
func Wrong(file, text, field string, n int, format string, args ...any) error {
	return &Error{file, line(text, field, n), field, fmt.Sprintf(format, args...)}
}

func line(text, field string, n int) int {
	table, name := "", field
	if i := strings.LastIndexByte(field, '.'); i >= 0 {
		table, name = field[:i], field[i+1:]
	}
	at, now, found := 0, "", 0
	if table != "" {
		n++ // the headers up to that of the table
	}
	for i, l := range strings.Split(text, "\n") {
		l = strings.TrimSpace(l)
		if strings.HasPrefix(l, "[") {
			now = strings.Trim(l, "[] ")
			if now == table {
				found++
			}
			if now == table && found == n || now == field && table == "" && at == 0 {
				at = i + 1
			}
			continue
		}
		key, _, ok := strings.Cut(l, "=")
		if ok && strings.TrimSpace(key) == name && now == table && found == n {
			return i + 1
		}
	}
	return at
}

// Range is a span of plain numbers, both ends within. In a file: 3, 1.5 or "1.7..2.3".
type Range struct{ Lo, Hi float64 }

// Exactly is the range that holds one number.
func Exactly(v float64) Range { return Range{v, v} }

// UnmarshalText reads either form.
func (r *Range) UnmarshalText(text []byte) error {
	lo, hi, err := ends(string(text), func(s string) (float64, error) { return strconv.ParseFloat(s, 64) })
	if err != nil {
		return fmt.Errorf("%q is no number and no range such as \"1.5..2\"", text)
	}
	*r = Range{lo, hi}
	return r.order()
}

// MarshalText writes what UnmarshalText reads.
func (r Range) MarshalText() ([]byte, error) {
	s := strconv.FormatFloat(r.Lo, 'g', -1, 64)
	if r.Hi != r.Lo {
		s += ".." + strconv.FormatFloat(r.Hi, 'g', -1, 64)
	}
	return []byte(s), nil
}

func (r Range) order() error {
	if !(r.Lo <= r.Hi) || math.IsInf(r.Lo, 0) || math.IsInf(r.Hi, 0) {
		return fmt.Errorf("%g..%g is no range: the first end must not lie above the second", r.Lo, r.Hi)
	}
	return nil
}

// IsZero tells whether nothing was set.
func (r Range) IsZero() bool { return r == Range{} }

// Within tells whether both ends lie in [lo, hi].
func (r Range) Within(lo, hi float64) bool { return r.Lo >= lo && r.Hi <= hi }

// Draw gives a number even between the ends. It takes one number from rng also where the ends are equal, so that a
// file with a range narrowed to one value leaves the rest of a day as it was.
func (r Range) Draw(rng *rand.Rand) float64 { return r.Lo + (r.Hi-r.Lo)*rng.Float64() }

// Whole gives a whole number even between the ends, both within.
func (r Range) Whole(rng *rand.Rand) int {
	lo, hi := math.Ceil(r.Lo), math.Floor(r.Hi)
	return int(min(hi, lo+math.Floor((hi-lo+1)*rng.Float64())))
}

// Span is a range of times in milliseconds. In a file: "30s", "250ms" or "97ms..170ms"; units as in
// [time.ParseDuration].
type Span struct{ Range }

// Millis is the span that holds one time.
func Millis(v float64) Span { return Span{Exactly(v)} }

// UnmarshalText reads either form.
func (s *Span) UnmarshalText(text []byte) error {
	lo, hi, err := ends(string(text), func(s string) (float64, error) {
		d, err := time.ParseDuration(s)
		return float64(d) / float64(time.Millisecond), err
	})
	if err != nil {
		return fmt.Errorf("%q is no time and no range of times such as \"250ms..2s\"", text)
	}
	s.Range = Range{lo, hi}
	return s.order()
}

// MarshalText writes what UnmarshalText reads.
func (s Span) MarshalText() ([]byte, error) {
	form := func(v float64) string { return time.Duration(math.Round(v * float64(time.Millisecond))).String() }
	if s.Lo == s.Hi {
		return []byte(form(s.Lo)), nil
	}
	return []byte(form(s.Lo) + ".." + form(s.Hi)), nil
}

func ends(s string, parse func(string) (float64, error)) (lo, hi float64, err error) {
	from, to, two := strings.Cut(strings.TrimSpace(s), "..")
	if lo, err = parse(strings.TrimSpace(from)); err != nil || !two {
		return lo, lo, err
	}
	hi, err = parse(strings.TrimSpace(to))
	return lo, hi, err
}

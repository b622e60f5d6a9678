package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// mostFaults bounds what is told of one file.
const mostFaults = 100

// Place is where in a file something stands, from 1 on, the column in bytes. The zero Place is nowhere.
type Place struct{ Line, Column int }

// PlaceOf finds the place of an offset in a text.
func PlaceOf(text []byte, offset int) Place {
	before := text[:min(max(0, offset), len(text))]
	return Place{1 + bytes.Count(before, []byte{'\n'}), len(before) - bytes.LastIndexByte(before, '\n')}
}

// FieldError names the field that is wrong and where it stands.
type FieldError struct {
	File  string // empty if it comes from no file
	Place Place
	Field string // in dotted form; empty if the file as a whole is wrong
	Err   error
}

func (e *FieldError) Error() string {
	var b strings.Builder
	if e.File != "" {
		b.WriteString(e.File)
		if e.Place != (Place{}) {
			fmt.Fprintf(&b, ":%d:%d", e.Place.Line, e.Place.Column)
		}
		b.WriteString(": ")
	}
	if e.Field != "" {
		b.WriteString(e.Field + ": ")
	}
	return b.String() + strings.ReplaceAll(e.Err.Error(), "\n", " ")
}

// Unwrap gives the cause.
func (e *FieldError) Unwrap() error { return e.Err }

// span is the part of a text from start to before end.
type span struct{ start, end int }

// spans finds where each value of a JSON text stands, by its path in lower case, for that is how fields are matched.
func spans(text []byte) map[string]span {
	found := map[string]span{}
	dec := json.NewDecoder(bytes.NewReader(text))
	var value func(path string) bool
	value = func(path string) bool {
		start := int(dec.InputOffset())
		start += len(text[start:]) - len(bytes.TrimLeft(text[start:], " \t\r\n,:"))
		t, err := dec.Token()
		if err != nil {
			return false
		}
		if open, ok := t.(json.Delim); ok {
			for i := 0; dec.More(); i++ {
				name := strconv.Itoa(i)
				if open == '{' {
					key, err := dec.Token()
					if err != nil {
						return false
					}
					name = key.(string)
				}
				if !value(join(path, strings.ToLower(name))) {
					return false
				}
			}
			if _, err := dec.Token(); err != nil {
				return false
			}
		}
		found[path] = span{start, int(dec.InputOffset())}
		return true
	}
	value("")
	return found
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// kind names what a field takes.
func kind(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Float64:
		return "number"
	case reflect.Int:
		return "whole number"
	case reflect.Slice:
		return "list"
	case reflect.Struct:
		return "object"
	}
	return t.Kind().String() // string or bool
}

// at finds the innermost value that an offset lies in or behind.
func at(found map[string]span, offset int) (path string, where span) {
	where.start = -1
	for p, s := range found {
		if s.start < offset && offset <= s.end && s.start > where.start {
			path, where = p, s
		}
	}
	return path, where
}

// under tells whether a path is another or lies below it.
func under(path, other string) bool {
	return path == other || strings.HasPrefix(path, other+".")
}

// fault reports a field, once.
func (s *source) fault(field string, err error) {
	for _, f := range s.faults {
		if under(field, f.Field) {
			return
		}
	}
	if len(s.faults) >= mostFaults {
		return
	}
	s.faults = append(s.faults, s.placed(field, err))
}

// placed names a field and where it stands.
func (s *source) placed(field string, err error) *FieldError {
	if variable, ok := s.from[field]; ok {
		return &FieldError{Field: variable, Err: err}
	}
	if s.spans == nil {
		s.spans = spans(s.text)
	}
	for path := strings.ToLower(field); ; path = path[:max(0, strings.LastIndexByte(path, '.'))] {
		if where, ok := s.spans[path]; ok {
			return &FieldError{s.path, PlaceOf(s.text, where.start), field, err}
		}
		if path == "" {
			return &FieldError{File: s.path, Field: field, Err: err}
		}
	}
}

package options

import (
	"encoding"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Field is one field of the file.
type Field struct {
	Path     string // in dotted form
	Default  string // as written in the file,
	Min, Max string // and the bounds; empty = none
	OneOf    []string
	Now      bool   // a SIGHUP takes it
	Secret   bool   // not to be shown
	List     bool   // it is a list of tables, whose fields are named by their number: "a.b.0.c"
	Item     bool   // it is a field of such a table
	standard string // the default, as in the tag
	value    reflect.Value
}

// Table is one table of the file.
type Table struct {
	Path  string // empty for the file itself
	Type  string // the name of its Go type
	Item  bool   // one of a list of tables
	value reflect.Value
}

// Report takes what is wrong with a combination of fields, the one to blame first, named as from the table.
type Report func(reason string, fields ...string)

type checker interface{ Check(Report) }

var textType = reflect.TypeFor[encoding.TextUnmarshaler]()

// isTable tells whether a type is that of a table rather than of a field.
func isTable(t reflect.Type) bool {
	return t.Kind() == reflect.Struct && !reflect.PointerTo(t).Implements(textType)
}

// isList tells whether a type is that of a list of tables.
func isList(t reflect.Type) bool { return t.Kind() == reflect.Slice && isTable(t.Elem()) }

// walk finds the tables and fields of a pointer to a file's type, in the order of the types. Of a list of tables there is
// the list itself, as a field, and what its tables hold.
func walk(root any) (tables []Table, fields []Field) {
	var visit func(path string, v reflect.Value, item, one bool)
	visit = func(path string, v reflect.Value, item, one bool) {
		tables = append(tables, Table{path, v.Type().Name(), one, v})
		for i := range v.NumField() {
			tag := v.Type().Field(i).Tag
			at := join(path, tag.Get("toml"))
			if isTable(v.Field(i).Type()) {
				visit(at, v.Field(i), item, false)
				continue
			}
			if isList(v.Field(i).Type()) {
				fields = append(fields, Field{Path: at, Default: "[]", Now: tag.Get("reload") == "now", List: true,
					Item: item, value: v.Field(i)})
				for n := range v.Field(i).Len() {
					visit(join(at, strconv.Itoa(n)), v.Field(i).Index(n), true, true)
				}
				continue
			}
			fields = append(fields, Field{Item: item, Path: at, Default: literal(v.Field(i).Type(), tag.Get("default")),
				standard: tag.Get("default"),
				Min:      tag.Get("min"), Max: tag.Get("max"), OneOf: strings.Fields(tag.Get("oneof")),
				Now: tag.Get("reload") == "now", Secret: tag.Get("secret") == "true", value: v.Field(i)})
		}
	}
	visit("", reflect.ValueOf(root).Elem(), false, false)
	return tables, fields
}

// pattern is a value of a file's type in which each list of tables has one, so that walk shows all there may be.
func pattern(t reflect.Type) reflect.Value {
	root := reflect.New(t)
	var grow func(v reflect.Value)
	grow = func(v reflect.Value) {
		for i := range v.NumField() {
			f := v.Field(i)
			if isList(f.Type()) {
				f.Set(reflect.MakeSlice(f.Type(), 1, 1))
				grow(f.Index(0))
			} else if isTable(f.Type()) {
				grow(f)
			}
		}
	}
	grow(root.Elem())
	return root
}

// kindOf is a path without the numbers of a list's tables.
func kindOf(path string) string {
	parts := strings.Split(path, ".")
	return strings.Join(slices.DeleteFunc(parts, func(p string) bool { return p != "" && p[0] >= '0' && p[0] <= '9' }), ".")
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// literal writes a tag's value as the file has it, in quotes where it is text.
func literal(t reflect.Type, text string) string {
	if t.Kind() == reflect.Slice {
		return "[]"
	}
	if t.Kind() == reflect.String || reflect.PointerTo(t).Implements(textType) {
		return strconv.Quote(text)
	}
	return text
}

// Type names what the field takes.
func (f Field) Type() string {
	what, _ := takes(f.value.Type())
	return what
}

// takes names what a field of a type takes and the kinds of TOML value that it may be.
func takes(t reflect.Type) (what string, kinds []unstable.Kind) {
	switch t {
	case reflect.TypeFor[Duration]():
		return "time", []unstable.Kind{unstable.String}
	case reflect.TypeFor[Size]():
		return "size", []unstable.Kind{unstable.String}
	}
	switch t.Kind() {
	case reflect.String:
		return "string", []unstable.Kind{unstable.String}
	case reflect.Bool:
		return "boolean", []unstable.Kind{unstable.Bool}
	case reflect.Int:
		return "whole number", []unstable.Kind{unstable.Integer}
	case reflect.Float64:
		return "number", []unstable.Kind{unstable.Integer, unstable.Float}
	case reflect.Slice:
		return "list", []unstable.Kind{unstable.Array}
	}
	return t.String(), nil
}

// fill gives every field of a pointer to a file's type its default.
func fill(root any) {
	_, fields := walk(root)
	for _, f := range fields {
		if !f.List {
			f.set(f.value, f.standard)
		}
	}
}

// set reads a tag's text into a value of the field's type. It does without the TOML library, which a node without a
// file then never touches.
func (f Field) set(v reflect.Value, text string) {
	var err error
	if t, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		err = t.UnmarshalText([]byte(text))
	} else {
		switch v.Kind() {
		case reflect.String:
			v.SetString(text)
		case reflect.Bool:
			v.SetBool(text == "true")
		case reflect.Int:
			var n int
			n, err = strconv.Atoi(text)
			v.SetInt(int64(n))
		case reflect.Float64:
			var x float64
			x, err = strconv.ParseFloat(text, 64)
			v.SetFloat(x)
		case reflect.Slice: // as an empty list in a file
			v.Set(reflect.MakeSlice(v.Type(), 0, 0))
		}
	}
	if err != nil {
		panic(fmt.Sprintf("options: %q of %s: %v", text, f.Path, err)) // the tests see it first
	}
}

// check tells what is wrong with a field's value by itself, if anything is.
func (f Field) check() error {
	if len(f.OneOf) > 0 {
		for _, word := range f.OneOf {
			if f.value.String() == word {
				return nil
			}
		}
		return fmt.Errorf("%q is none of %s", f.value.String(), strings.Join(f.OneOf, ", "))
	}
	n := number(f.value)
	switch {
	case f.Min != "" && !(n >= f.bound(f.Min)):
		return fmt.Errorf("%v is below %s", f.value.Interface(), f.Min)
	case f.Max != "" && !(n <= f.bound(f.Max)):
		return fmt.Errorf("%v is above %s", f.value.Interface(), f.Max)
	}
	return nil
}

// bound reads a bound, which is written like a value.
func (f Field) bound(text string) float64 {
	v := reflect.New(f.value.Type()).Elem()
	f.set(v, text)
	return number(v)
}

// number is the size of a value that bounds can be set to.
func number(v reflect.Value) float64 {
	switch x := v.Interface().(type) {
	case Duration:
		return x.Ms
	case Size:
		return float64(x.Bytes)
	case int:
		return float64(x)
	case float64:
		return x
	}
	return 0
}

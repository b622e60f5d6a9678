package options

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"linenwheel.dev/linenwheel/internal/node/config"
)

// Bounds of what is read and told of a file.
const (
	mostBytes  = 1 << 20
	mostFaults = 100
)

// Default gives the options of a node without a file.
func Default() Options { return defaults() }

var defaults = sync.OnceValue(func() (o Options) {
	fill(&o)
	return o
})

// File is a file that was read.
type File struct {
	Path    string // empty without a file
	Options Options
	places  map[string]config.Place // of the fields and tables that the file names
}

// Load reads a file; without a path, every field has its default. With a fault, the options are not to be used.
func Load(path string) (*File, []*config.FieldError) {
	f := &File{Path: path, Options: Default()}
	if path == "" {
		return f, nil
	}
	text, err := readFile(path)
	if err != nil {
		return f, []*config.FieldError{{File: path, Err: err}}
	}
	d := &document{path: path, text: text, root: &f.Options}
	d.read()
	slices.SortStableFunc(d.faults, func(a, b *config.FieldError) int {
		return cmp.Or(cmp.Compare(a.Place.Line, b.Place.Line), cmp.Compare(a.Place.Column, b.Place.Column))
	})
	f.places = d.places
	return f, d.faults
}

func readFile(path string) ([]byte, error) {
	in, err := os.Open(path)
	if err != nil {
		var cause *fs.PathError // which names the path again
		if errors.As(err, &cause) {
			err = cause.Err
		}
		return nil, err
	}
	defer func() { _ = in.Close() }() // it was only read
	text, err := io.ReadAll(io.LimitReader(in, mostBytes+1))
	if err == nil && len(text) > mostBytes {
		err = fmt.Errorf("is over %d bytes", mostBytes)
	}
	return text, err
}

// Against holds the options against what the platform says.
func (f *File) Against(c *config.Config) []*config.FieldError {
	return against(&f.Options, c, f.Path, f.places)
}

// Blame gives the fault of a combination of fields, at the first one that the file names.
func (f *File) Blame(reason string, fields ...string) *config.FieldError {
	d := &document{path: f.Path, places: f.places}
	d.combination("", reason, fields)
	return d.faults[0]
}

// Check holds options that come from no file against themselves and what the platform says.
func Check(o Options, c *config.Config) []*config.FieldError {
	if reflect.DeepEqual(o, Default()) {
		return nil // defaults serve whatever the platform gives
	}
	d := &document{root: &o}
	d.check()
	return append(d.faults, against(&o, c, "", nil)...)
}

// against leaves out what is wrong with defaults alone: without a file, every configuration that the platform can
// give is served as well as can be.
func against(o *Options, c *config.Config, path string, places map[string]config.Place) []*config.FieldError {
	d := &document{path: path, places: places, root: o}
	standard := Default()
	_, fields := walk(&standard)
	unchanged := map[string]any{}
	for _, f := range fields {
		unchanged[f.Path] = f.value.Interface()
	}
	tables, fields := walk(o)
	changed := map[string]bool{}
	for _, f := range fields {
		changed[f.Path] = !reflect.DeepEqual(f.value.Interface(), unchanged[f.Path])
	}
	for _, t := range tables {
		if p, ok := t.value.Addr().Interface().(interface {
			Against(*config.Config, Report)
		}); ok {
			p.Against(c, func(reason string, names ...string) {
				same := func(name string) bool { return !changed[join(t.Path, name)] }
				if blame := slices.DeleteFunc(slices.Clone(names), same); len(blame) > 0 {
					d.combination(t.Path, reason, append(blame, names...))
				}
			})
		}
	}
	return d.faults
}

// Values gives every field with its value and where that comes from.
func (f *File) Values() []config.Value { return values(&f.Options, f.Path, f.places) }

func values(root any, path string, places map[string]config.Place) []config.Value {
	_, fields := walk(root)
	values := []config.Value{}
	for _, field := range fields {
		if field.List && field.value.Len() > 0 {
			continue // its tables' fields follow
		}
		v := config.Value{Field: field.Path, Value: field.value.Interface(), Source: "default"}
		if at, ok := places[field.Path]; ok {
			v.Source, v.Where = "file", fmt.Sprintf("%s:%d", path, at.Line)
		}
		if field.Secret {
			v.Value = config.Masked
		}
		values = append(values, v)
	}
	return values
}

// Fields gives every field of the file, in the order of the types; those of a list's tables stand there once, with no
// number.
func Fields() []Field {
	o := pattern(reflect.TypeFor[Options]()).Interface()
	fill(o)
	_, fields := walk(o)
	for i := range fields {
		fields[i].Path = kindOf(fields[i].Path)
	}
	return fields
}

// Tables gives every table of the file likewise.
func Tables() []Table {
	tables, _ := walk(pattern(reflect.TypeFor[Options]()).Interface())
	for i := range tables {
		tables[i].Path = kindOf(tables[i].Path)
	}
	return tables
}

// Take gives what a running node works with once it has read fresh options: it takes the fields that a SIGHUP takes,
// and those that wait for the next start stay. Both are named as far as they differ.
func Take(have, fresh *Options) (next Options, taken, waiting []string) {
	next = *have
	_, to := walk(&next)
	_, from := walk(fresh)
	pair := 0
	for _, f := range to {
		if f.Item { // of a list, which is taken as a whole
			continue
		}
		for from[pair].Item {
			pair++
		}
		i := pair
		pair++
		switch {
		case reflect.DeepEqual(f.value.Interface(), from[i].value.Interface()):
		case f.Now:
			f.value.Set(from[i].value)
			taken = append(taken, f.Path)
		default:
			waiting = append(waiting, f.Path)
		}
	}
	return next, taken, waiting
}

// document is a text on its way into a file's type.
type document struct {
	path   string
	text   []byte
	root   any // a pointer to the file's type, filled with defaults
	places map[string]config.Place
	faults []*config.FieldError
	bad    map[string]bool // the fields that are bad by themselves
}

// expression is where a key and its value stand in the document, from start to before end.
type expression struct{ start, end int }

// read takes the whole text. The library stops at the first value that it cannot take, so that one is reported,
// blanked out, and the rest is tried again.
func (d *document) read() {
	if d.parse() {
		d.settle()
		d.check()
	}
}

// settle gives what a list's tables do not name its default: the library makes them empty.
func (d *document) settle() {
	_, fields := walk(d.root)
	for _, f := range fields {
		if _, named := d.places[f.Path]; f.Item && !f.List && !named {
			f.set(f.value, f.standard)
		}
	}
}

// parse is read without a look at what goes together; false = the text is not TOML.
func (d *document) parse() bool {
	d.places = map[string]config.Place{}
	text := slices.Clone(d.text)
	lines, ok := d.index(text)
	if !ok {
		return false
	}
	for len(d.faults) < mostFaults {
		err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(d.root)
		var unknown *toml.StrictMissingError
		var wrong *toml.DecodeError
		switch {
		case errors.As(err, &unknown):
			for i := range unknown.Errors {
				d.decodeFault(&unknown.Errors[i])
			}
		case errors.As(err, &wrong):
			d.decodeFault(wrong)
			if blank(text, lines, d.offset(wrong)) {
				continue
			}
		case err != nil:
			d.fault("", config.Place{}, err)
		}
		break
	}
	return true
}

// offset is where in the text the library found something wrong.
func (d *document) offset(e *toml.DecodeError) int {
	line, column := e.Position()
	offset := 0
	for ; line > 1; line-- {
		offset += bytes.IndexByte(d.text[offset:], '\n') + 1
	}
	return offset + column - 1
}

// blank makes the expression that an offset lies in a stretch of spaces.
func blank(text []byte, lines []expression, offset int) bool {
	for _, l := range lines {
		if l.start <= offset && offset < l.end {
			for i := l.start; i < l.end; i++ {
				if text[i] != '\n' {
					text[i] = ' '
				}
			}
			return true
		}
	}
	return false
}

func (d *document) decodeFault(e *toml.DecodeError) {
	line, column := e.Position()
	d.fault(strings.Join(e.Key(), "."), config.Place{Line: line, Column: column},
		errors.New(strings.TrimPrefix(e.Error(), "toml: ")))
}

// schema is what a file may hold.
type schema struct {
	fields map[string]reflect.Type
	tables map[string]bool
	lists  map[string]int // of tables, and how many there are so far
}

// index finds where each field stands. What is unknown or not of the field's kind is reported and blanked out of text.
// It fails on a text that is not TOML.
func (d *document) index(text []byte) (lines []expression, ok bool) {
	known := schema{map[string]reflect.Type{}, map[string]bool{}, map[string]int{}}
	tables, fields := walk(pattern(reflect.TypeOf(d.root).Elem()).Interface())
	for _, f := range fields {
		if f.List {
			known.lists[kindOf(f.Path)] = 0
		} else {
			known.fields[kindOf(f.Path)] = f.value.Type()
		}
	}
	for _, t := range tables {
		if _, list := known.lists[kindOf(t.Path)]; !list {
			known.tables[kindOf(t.Path)] = true
		}
	}
	var p unstable.Parser
	p.Reset(d.text)
	table, skip := "", false
	for p.NextExpression() {
		e := p.Expression()
		name, where := key(e)
		start, end := int(where.Offset), int(e.Raw.Offset+e.Raw.Length)
		place := config.PlaceOf(d.text, start)
		if e.Kind == unstable.KeyValue {
			path := join(table, name)
			lines = append(lines, expression{start, end})
			if skip || !d.value(path, e.Value(), place, known) {
				blank(text, lines[len(lines)-1:], start)
			}
			continue
		}
		table = name
		if n, list := known.lists[name]; list && e.Kind == unstable.ArrayTable {
			known.lists[name]++
			table = join(name, strconv.Itoa(n))
			d.places[table], skip = place, false
			if n == 0 {
				d.places[name] = place
			}
			continue
		}
		if skip = !d.head(table, place, e.Kind == unstable.ArrayTable, known); skip {
			start = bytes.LastIndexByte(d.text[:start], '\n') + 1
			end = start + bytes.IndexByte(append(slices.Clip(d.text[start:]), '\n'), '\n')
			blank(text, []expression{{start, end}}, start)
		}
	}
	var broken *unstable.ParserError
	if errors.As(p.Error(), &broken) {
		at := int(p.Range(broken.Highlight).Offset)
		d.fault("", config.PlaceOf(d.text, at), errors.New(broken.Message))
		return nil, false
	}
	return lines, true
}

// head notes the place of a table and tells whether it is one that may stand there.
func (d *document) head(table string, place config.Place, list bool, known schema) bool {
	_, field := known.fields[table]
	_, listed := known.lists[table]
	_, twice := d.places[table]
	reason := ""
	switch {
	case listed:
		reason = "is a list of tables, write [[" + table + "]]"
	case field:
		reason = "is a field, not a table"
	case !known.tables[table]:
		reason = "unknown table"
	case list:
		reason = "is a table, not a list of tables"
	case twice:
		reason = "stands there twice"
	default:
		d.places[table] = place
		return true
	}
	d.fault(table, place, errors.New(reason))
	return false
}

// key gives the dotted name of an expression and where it stands.
func key(e *unstable.Node) (name string, where unstable.Range) {
	var parts []string
	for it := e.Key(); it.Next(); {
		if parts == nil {
			where = it.Node().Raw
		}
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, "."), where
}

// value notes a value's place and tells whether it is of a kind that its field takes.
func (d *document) value(path string, v *unstable.Node, place config.Place, known schema) bool {
	if _, ok := d.places[path]; !ok { // the library reports one that stands there twice
		d.places[path] = place
	}
	if _, listed := known.lists[path]; listed {
		d.fault(path, place, errors.New("is a list of tables, write [["+path+"]]"))
		return false
	}
	if known.tables[kindOf(path)] && v.Kind == unstable.InlineTable {
		good := true
		for it := v.Children(); it.Next(); {
			name, where := key(it.Node())
			good = d.value(join(path, name), it.Node().Value(), config.PlaceOf(d.text, int(where.Offset)), known) && good
		}
		return good
	}
	t, ok := known.fields[kindOf(path)]
	want, kinds := "table", []unstable.Kind{}
	if ok {
		want, kinds = takes(t)
	} else if !known.tables[kindOf(path)] {
		d.fault(path, place, errors.New("unknown field"))
		return false
	}
	if !slices.Contains(kinds, v.Kind) {
		d.fault(path, place, fmt.Errorf("is of type %s, want a %s", strings.ToLower(v.Kind.String()), want))
		return false
	}
	return true
}

// check holds the fields against their bounds and the tables against themselves.
func (d *document) check() {
	tables, fields := walk(d.root)
	for _, f := range fields {
		if err := f.check(); err != nil {
			d.fault(f.Path, d.places[f.Path], err)
		}
	}
	d.bad = map[string]bool{}
	for _, f := range d.faults {
		d.bad[f.Field] = true
	}
	for _, t := range tables {
		if c, ok := t.value.Addr().Interface().(checker); ok {
			c.Check(func(reason string, names ...string) { d.combination(t.Path, reason, names) })
		}
	}
}

// combination reports fields of a table that do not go together, at the first one that the file names, unless one of
// them is bad by itself.
func (d *document) combination(table, reason string, names []string) {
	blame, at := join(table, names[0]), config.Place{}
	for _, name := range slices.Backward(names) {
		path := join(table, name)
		if d.bad[path] {
			return
		}
		if p, ok := d.places[path]; ok {
			blame, at = path, p
		}
	}
	d.fault(blame, at, errors.New(reason))
}

// fault reports a field.
func (d *document) fault(field string, at config.Place, err error) {
	if len(d.faults) < mostFaults {
		d.faults = append(d.faults, &config.FieldError{File: d.path, Place: at, Field: field, Err: err})
	}
}

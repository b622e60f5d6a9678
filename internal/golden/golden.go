// Package golden holds encoded forms against files that an earlier build wrote, for tests alone: what is on a disk or between
// processes must not change when the Go names behind it do.
//
// The files are in the package's testdata. With LINENWHEEL_GOLDEN=write one that is missing is written; one that is there never is.
package golden

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
)

// Check requires that got is what the golden file of this name holds.
func Check(t *testing.T, name string, got []byte) {
	t.Helper()
	require.Equal(t, string(File(t, name, got)), string(got), "the encoded form of %s has changed", name)
}

// File gives a golden file. One that is missing is written from the text given where LINENWHEEL_GOLDEN=write asks for it.
func File(t *testing.T, name string, text []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	have, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && os.Getenv("LINENWHEEL_GOLDEN") == "write" {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o700))
		require.NoError(t, os.WriteFile(path, text, 0o600))
		return text
	}
	require.NoError(t, err)
	return have
}

// JSON fills every field of a type and requires that its JSON is what the golden file of this name holds, that nothing in the
// file is unknown to the type, and that the value read from it is the one that was filled in.
func JSON[T any](t *testing.T, name string) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		var want, got T
		Fill(t, &want)
		text, err := json.Marshal(want)
		require.NoError(t, err)
		Check(t, name+".json", text)
		d := json.NewDecoder(bytes.NewReader(text))
		d.DisallowUnknownFields()
		require.NoError(t, d.Decode(&got))
		require.Equal(t, want, got)
	})
}

// Fill sets every field that v points to and JSON encodes to a value of its own, by its place alone and not by its name: no field
// is left at its zero value, so that omitempty leaves none out. A field without a tag fails: its Go name would be on the wire.
func Fill(t *testing.T, v any) {
	t.Helper()
	n := 0
	fill(t, reflect.ValueOf(v).Elem(), &n)
}

func fill(t *testing.T, v reflect.Value, n *int) {
	t.Helper()
	if v.Type() == reflect.TypeFor[json.RawMessage]() {
		*n++
		v.SetBytes(fmt.Appendf(nil, `{"raw":%d}`, *n))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			f := v.Type().Field(i)
			if tag, tagged := f.Tag.Lookup("json"); (f.IsExported() || f.Anonymous) && tag != "-" {
				require.True(t, tagged || f.Anonymous, "%s.%s is encoded by its Go name: give it a tag", v.Type(), f.Name)
				fill(t, v.Field(i), n)
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(t, v.Elem(), n)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			fill(t, v.Index(i), n)
		}
	case reflect.Array:
		for i := range v.Len() {
			fill(t, v.Index(i), n)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(t, key, n)
		fill(t, value, n)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	default:
		*n++
		switch {
		case v.Kind() == reflect.String:
			v.SetString(fmt.Sprintf("text %d", *n))
		case v.Kind() == reflect.Bool:
			v.SetBool(true)
		case v.CanInt():
			v.SetInt(int64(*n%100 + 1))
		case v.CanUint():
			v.SetUint(uint64(*n%100 + 1))
		case v.CanFloat():
			v.SetFloat(float64(*n) + 0.25)
		default:
			require.Fail(t, "a field that cannot be filled", "%s", v.Type())
		}
	}
}

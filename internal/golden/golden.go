// Package golden compares encoded values with files that an earlier build wrote. It is for tests only: data on disk or
// exchanged between processes must not change when the underlying Go names do.
//
// The files are in the testdata directory of the package under test. With LINENWHEEL_GOLDEN=write a missing file is
// created; an existing file is never overwritten.
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

// Check requires that got equals the contents of the named golden file.
func Check(t *testing.T, name string, got []byte) {
	t.Helper()
	require.Equal(t, string(File(t, name, got)), string(got), "the encoded form of %s has changed", name)
}

// File returns the contents of a golden file. If the file is missing and LINENWHEEL_GOLDEN=write is set, File creates
// it from text.
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

// JSON fills every field of a type and requires that its JSON encoding equals the named golden file, that the encoding
// has no field unknown to the type, and that decoding it returns the original value.
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

// Fill sets every JSON-encoded field of the value that v points to. The values depend on the position of a field, not
// on its name, and none is the zero value, so that omitempty omits no field. A field without a tag fails the test,
// because its Go name would be on the wire.
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
				require.True(t, tagged || f.Anonymous, "%s.%s is encoded under its Go name: add a tag", v.Type(), f.Name)
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
			require.Fail(t, "cannot fill a field of this type", "%s", v.Type())
		}
	}
}

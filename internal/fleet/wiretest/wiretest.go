// Package wiretest helps tests that compare the encoded form of the fleet's data with golden files, which hold
// bytes that an earlier version wrote. gob encodes the names of fields and registered types: a renamed field is
// decoded as zero, without an error.
//
// The flag -update rewrites the golden files. Use it only for a change that is intended to be incompatible with
// earlier versions.
package wiretest

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Update reports whether the golden files should be rewritten.
func Update() bool { return *update }

// Golden returns the content of testdata/name. With the flag -update, it first writes fresh to that file.
func Golden(t *testing.T, name string, fresh []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	if Update() {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, fresh, 0o644))
	}
	golden, err := os.ReadFile(path)
	require.NoError(t, err)
	return golden
}

// Gob checks that testdata/name decodes to the value that a pointer points to, and that the value is still encoded
// with the same fields. It does not compare bytes, because gob's type IDs depend on what the process has encoded
// before.
func Gob(t *testing.T, name string, value any) {
	t.Helper()
	var fresh bytes.Buffer
	require.NoError(t, gob.NewEncoder(&fresh).Encode(value))
	golden := Golden(t, name, fresh.Bytes())
	decoded := reflect.New(reflect.TypeOf(value).Elem()).Interface()
	require.NoError(t, gob.NewDecoder(bytes.NewReader(golden)).Decode(decoded), name)
	require.Equal(t, value, decoded, name)
	require.Equal(t, Describe(t, golden), Describe(t, fresh.Bytes()), "the types in %s", name)
}

// Types checks that a value is encoded with the types whose fields testdata/name lists. The function Gob does not
// detect that a field was removed from a value in an interface, because gob embeds the type definition of such a
// value in the value, and the decoder skips fields that no longer exist.
func Types(t *testing.T, name string, value any) {
	t.Helper()
	var encoded bytes.Buffer
	require.NoError(t, gob.NewEncoder(&encoded).Encode(value))
	JSON(t, name, Describe(t, encoded.Bytes()))
}

// JSON checks that a value's JSON encoding is equivalent to testdata/name.
func JSON(t *testing.T, name string, value any) {
	t.Helper()
	fresh, err := json.MarshalIndent(value, "", "\t")
	require.NoError(t, err)
	require.JSONEq(t, string(Golden(t, name, append(fresh, '\n'))), string(fresh), name)
}

// Fill sets every field of the value that a pointer points to, recursively, to a non-zero value, normally a
// different one for each field. Interfaces must already be set. Fill panics if it finds a nil interface or a kind
// that it does not support.
func Fill(pointer any) {
	count := 0
	fill(reflect.ValueOf(pointer).Elem(), &count)
}

func fill(value reflect.Value, count *int) {
	*count++
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(*count))
	case reflect.Uint8:
		value.SetUint(uint64(1 + *count%255))
	case reflect.Uint, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(*count))
	case reflect.Float64:
		value.SetFloat(float64(*count) + 0.5)
	case reflect.String:
		value.SetString(fmt.Sprintf("text %d", *count))
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), count)
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 2, 2))
		fillElements(value, count)
	case reflect.Array:
		fillElements(value, count)
	case reflect.Map:
		fillMap(value, count)
	case reflect.Struct:
		for i := range value.NumField() {
			fill(value.Field(i), count)
		}
	case reflect.Interface:
		if value.IsNil() {
			panic(fmt.Sprintf("wiretest: cannot fill nil interface of type %s", value.Type()))
		}
	default:
		panic(fmt.Sprintf("wiretest: cannot fill a value of kind %s", value.Kind()))
	}
}

func fillElements(value reflect.Value, count *int) {
	for i := range value.Len() {
		fill(value.Index(i), count)
	}
}

func fillMap(value reflect.Value, count *int) {
	key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
	fill(key, count)
	fill(element, count)
	value.Set(reflect.MakeMap(value.Type()))
	value.SetMapIndex(key, element)
}

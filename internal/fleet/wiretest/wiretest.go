// Package wiretest helps tests that hold the encoded form of the fleet's data against golden files: bytes that an earlier
// version wrote. gob names fields and registered types; a field that was renamed is read as zero, without an error.
//
// The flag -update writes the golden files anew. That is right only for a change that is meant to break with the bytes of
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

var update = flag.Bool("update", false, "write the golden files anew")

// Update tells whether the golden files are to be written anew.
func Update() bool { return *update }

// Golden gives the content of testdata/name, after writing it if the files are to be written anew.
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

// Gob checks that testdata/name decodes to the value to which a pointer leads, and that the value is still encoded with the
// same fields. The numbers that gob gives to types depend on what the process encoded before, so the bytes are not compared.
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

// Types checks that a value is encoded with the types whose fields testdata/name lists. Gob does not see a field that was removed from a
// value within an interface: gob describes the type of such a value within the value, and a decoder passes over a field that is not
// there any more.
func Types(t *testing.T, name string, value any) {
	t.Helper()
	var encoded bytes.Buffer
	require.NoError(t, gob.NewEncoder(&encoded).Encode(value))
	JSON(t, name, Describe(t, encoded.Bytes()))
}

// JSON checks that a value is encoded as testdata/name.
func JSON(t *testing.T, name string, value any) {
	t.Helper()
	fresh, err := json.MarshalIndent(value, "", "\t")
	require.NoError(t, err)
	require.JSONEq(t, string(Golden(t, name, append(fresh, '\n'))), string(fresh), name)
}

// Fill gives every field of the value to which a pointer leads a value that is not zero, and each another one. Interfaces
// must have been set before. It panics at what it cannot fill.
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
			panic(fmt.Sprintf("wiretest: an interface %s is nil", value.Type()))
		}
	default:
		panic(fmt.Sprintf("wiretest: a value of kind %s", value.Kind()))
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

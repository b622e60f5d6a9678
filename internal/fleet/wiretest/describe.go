package wiretest

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A gob stream is a sequence of messages, each preceded by its length. A message begins with a type ID: either
// that of the value that follows, or, negated, that of a type whose definition follows. A type definition is
// itself a value of a type with the fixed ID descriptionType.
const descriptionType = 16

// description mirrors gob's own type definition (wireType). Exactly one of its fields is set.
type (
	description struct {
		ArrayT           *arrayType
		SliceT           *sliceType
		StructT          *structType
		MapT             *mapType
		GobEncoderT      *encoderType
		BinaryMarshalerT *encoderType
		TextMarshalerT   *encoderType
	}
	commonType struct {
		Name string
		Id   int //nolint:revive // gob encodes this field by this name
	}
	arrayType struct {
		CommonType commonType
		Elem, Len  int
	}
	sliceType struct {
		CommonType commonType
		Elem       int
	}
	structType struct {
		CommonType commonType
		Field      []commonType
	}
	mapType struct {
		CommonType commonType
		Key, Elem  int
	}
	encoderType struct{ CommonType commonType }
)

// builtinTypes are the names of gob's predefined types, by their fixed IDs.
var builtinTypes = map[int]string{1: "bool", 2: "int", 3: "uint", 4: "float", 5: "bytes", 6: "string", 7: "complex", 8: "any"}

// Describe lists the types that a gob stream defines, each as the names and types of its fields. It omits type
// names, which gob does not compare, and type IDs.
func Describe(t *testing.T, stream []byte) []string {
	t.Helper()
	defined := map[int]description{}
	for len(stream) > 0 {
		length, used := readUint(t, stream)
		message := stream[used : used+int(length)]
		stream = stream[used+int(length):]
		id, used := readInt(t, message)
		if id < 0 {
			defined[-id] = readDescription(t, message[used:])
		}
	}
	var all []string
	for id := range defined {
		all = append(all, typeString(id, defined))
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// readDescription decodes a type definition with gob, as the only value of a separate stream.
func readDescription(t *testing.T, encoded []byte) description {
	t.Helper()
	message := append([]byte{descriptionType << 1}, encoded...)
	require.Less(t, len(message), 1<<16)
	stream := append([]byte{0xfe, byte(len(message) >> 8), byte(len(message))}, message...) // a length encoded in two bytes
	var decoded description
	require.NoError(t, gob.NewDecoder(bytes.NewReader(stream)).Decode(&decoded))
	return decoded
}

func typeString(id int, defined map[int]description) string {
	if name, known := builtinTypes[id]; known {
		return name
	}
	switch d := defined[id]; {
	case d.ArrayT != nil:
		return fmt.Sprintf("[%d]%s", d.ArrayT.Len, typeString(d.ArrayT.Elem, defined))
	case d.SliceT != nil:
		return "[]" + typeString(d.SliceT.Elem, defined)
	case d.MapT != nil:
		return fmt.Sprintf("map[%s]%s", typeString(d.MapT.Key, defined), typeString(d.MapT.Elem, defined))
	case d.StructT != nil:
		var fields []string
		for _, f := range d.StructT.Field {
			fields = append(fields, f.Name+" "+typeString(f.Id, defined))
		}
		return "struct{" + strings.Join(fields, "; ") + "}"
	case d.GobEncoderT != nil, d.BinaryMarshalerT != nil, d.TextMarshalerT != nil:
		return "encoder"
	}
	return fmt.Sprintf("type %d", id)
}

// readUint decodes gob's encoding of an unsigned integer: one byte below 128, or the negated number of bytes that
// follow. It also returns the number of bytes read.
func readUint(t *testing.T, from []byte) (value uint64, used int) {
	t.Helper()
	require.NotEmpty(t, from)
	if from[0] < 0x80 {
		return uint64(from[0]), 1
	}
	count := int(-int8(from[0]))
	require.Greater(t, len(from), count)
	for _, b := range from[1 : 1+count] {
		value = value<<8 | uint64(b)
	}
	return value, 1 + count
}

// readInt decodes gob's encoding of a signed integer: the lowest bit indicates whether the other bits are inverted.
func readInt(t *testing.T, from []byte) (value, used int) {
	t.Helper()
	encoded, used := readUint(t, from)
	if encoded&1 != 0 {
		return int(^(encoded >> 1)), used
	}
	return int(encoded >> 1), used
}

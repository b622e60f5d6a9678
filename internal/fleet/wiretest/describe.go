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

// A gob stream is a sequence of messages, each with its length before it. A message begins with the number of a type: that
// of the value which follows, or, negated, that of a type which a description defines. A description is itself a value of
// a type that every process knows by a fixed number.
const descriptionType = 16

// description has all fields of gob's own description of a type. Of the alternatives one is set.
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

// basic are the types that every process knows by a fixed number.
var basic = map[int]string{1: "bool", 2: "int", 3: "uint", 4: "float", 5: "bytes", 6: "string", 7: "complex", 8: "any"}

// Describe lists the types that a gob stream defines: the names and types of their fields. The names of types are left
// out, as gob doesn't compare them, and so are their numbers.
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
		all = append(all, typeText(id, defined))
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// readDescription has gob read a description, as the value of a stream of its own.
func readDescription(t *testing.T, encoded []byte) description {
	t.Helper()
	message := append([]byte{descriptionType << 1}, encoded...)
	require.Less(t, len(message), 1<<16)
	stream := append([]byte{0xfe, byte(len(message) >> 8), byte(len(message))}, message...) // a length of two bytes
	var read description
	require.NoError(t, gob.NewDecoder(bytes.NewReader(stream)).Decode(&read))
	return read
}

func typeText(id int, defined map[int]description) string {
	if name, known := basic[id]; known {
		return name
	}
	switch d := defined[id]; {
	case d.ArrayT != nil:
		return fmt.Sprintf("[%d]%s", d.ArrayT.Len, typeText(d.ArrayT.Elem, defined))
	case d.SliceT != nil:
		return "[]" + typeText(d.SliceT.Elem, defined)
	case d.MapT != nil:
		return fmt.Sprintf("map[%s]%s", typeText(d.MapT.Key, defined), typeText(d.MapT.Elem, defined))
	case d.StructT != nil:
		var fields []string
		for _, f := range d.StructT.Field {
			fields = append(fields, f.Name+" "+typeText(f.Id, defined))
		}
		return "struct{" + strings.Join(fields, "; ") + "}"
	case d.GobEncoderT != nil, d.BinaryMarshalerT != nil, d.TextMarshalerT != nil:
		return "encoder"
	}
	return fmt.Sprintf("type %d", id)
}

// readUint reads gob's form of an unsigned number: a byte below 128, or the negated count of the bytes that follow.
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

// readInt reads gob's form of a signed number: the lowest bit tells whether the others are inverted.
func readInt(t *testing.T, from []byte) (value, used int) {
	t.Helper()
	encoded, used := readUint(t, from)
	if encoded&1 != 0 {
		return int(^(encoded >> 1)), used
	}
	return int(encoded >> 1), used
}

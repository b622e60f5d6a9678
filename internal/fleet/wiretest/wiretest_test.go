package wiretest

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type inner struct {
	Name  string
	Sizes [2]uint32
}

type outer struct {
	Count  int
	Took   time.Duration
	Inner  *inner
	Bytes  []byte
	Table  map[string]float64
	Inners []inner
	Held   any
}

func encoded(t *testing.T, values ...any) []byte {
	t.Helper()
	var buffer bytes.Buffer
	encoder := gob.NewEncoder(&buffer)
	for _, value := range values {
		require.NoError(t, encoder.Encode(value))
	}
	return buffer.Bytes()
}

func TestFillSetsEveryField(t *testing.T) {
	value := outer{Held: true}
	Fill(&value)
	require.Equal(t, outer{Count: 2, Took: 3, Inner: &inner{Name: "text 6", Sizes: [2]uint32{8, 9}}, Bytes: []byte{12, 13},
		Table: map[string]float64{"text 14": 15.5}, Inners: []inner{{Name: "text 18", Sizes: [2]uint32{20, 21}},
			{Name: "text 23", Sizes: [2]uint32{25, 26}}}, Held: true}, value)
	require.Panics(t, func() { Fill(&outer{}) }, "nil interface")
	require.Panics(t, func() { Fill(&struct{ F func() }{}) })
}

func TestDescribeListsEveryEncodedField(t *testing.T) {
	gob.Register(inner{})
	value := outer{Held: inner{Name: "held"}}
	const innerText = "struct{Name string; Sizes [2]uint}"
	require.ElementsMatch(t, []string{"[2]uint", "[]" + innerText, "map[string]float", innerText,
		"struct{Count int; Took int; Inner " + innerText + "; Bytes bytes; Table map[string]float; Inners []" + innerText + "; Held any}"},
		Describe(t, encoded(t, value)))
}

// A renamed field changes the description; another type ID does not.
func TestDescribeDetectsRenamedFieldAndIgnoresTypeIDs(t *testing.T) {
	type original struct{ Name string }
	type sameFields struct{ Name string }
	type renamed struct{ Title string }
	golden := Describe(t, encoded(t, original{}))
	require.Equal(t, golden, Describe(t, encoded(t, sameFields{})))
	require.NotEqual(t, golden, Describe(t, encoded(t, renamed{})))
}

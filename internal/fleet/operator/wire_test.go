package operator

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestOrderGobRoundTrip(t *testing.T) {
	routes := make([]string, 1600)
	for i := range routes {
		routes[i] = fmt.Sprintf(`{"Name":"r-%d","Hostname":"h.example","PathPrefix":"/p%d/","TimeoutMs":3000,"Backend":"llm"}`, i, i)
	}
	large := `{"Revision":9,"Upsert":{"Routes":[` + strings.Join(routes, ",") + `]}}`
	for _, body := range []string{"", "x", `{"Revision":1}`, large, "\x00\xff not JSON"} {
		order := patch(-5, body)
		var buffer bytes.Buffer
		require.NoError(t, gob.NewEncoder(&buffer).Encode(&order))
		require.LessOrEqual(t, buffer.Len(), len(body)/5+200, "a long list is compressed to a fifth or less")
		var decoded Order
		require.NoError(t, gob.NewDecoder(&buffer).Decode(&decoded))
		require.Equal(t, order.Digest(), decoded.Digest())
	}
}

func TestDecodingCorruptOrderDoesNotPanic(t *testing.T) {
	encoded, err := patch(7, strings.Repeat(`{"Revision":9}`, 1000)).GobEncode()
	require.NoError(t, err)
	for size := range 12 {
		require.Error(t, new(Order).GobDecode(encoded[:size]), "%d bytes", size)
	}
	random := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		corrupt := bytes.Clone(encoded)
		corrupt[random.IntN(len(corrupt))] ^= byte(1 + random.IntN(255))
		_ = new(Order).GobDecode(corrupt) // an error or another order, never a panic
	}
}

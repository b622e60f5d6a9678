package record_test

import (
	"bytes"
	"strings"
	"testing"
	"unsafe"

	"github.com/stretchr/testify/require"
	_ "linenwheel.dev/linenwheel/internal/rapidseed" // the same histories every time
	"linenwheel.dev/linenwheel/lab/record"
	"pgregory.net/rapid"
)

// Guards the size that the package states: a field more and a million requests no longer fit where they did.
func TestEventSize(t *testing.T) { require.EqualValues(t, 48, unsafe.Sizeof(record.Event{})) }

// Guards against a field that gets lost on the way through JSON lines, whatever its value, and against a kind without name.
func TestLines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log record.Log
		var buf bytes.Buffer
		w := record.NewWriter(&buf, record.Header{Site: "x", Seed: 1 << 63})
		for range rapid.IntRange(0, 50).Draw(t, "n") {
			e := record.Event{At: rapid.Float64Range(0, 1e9).Draw(t, "at"), Request: rapid.Uint64().Draw(t, "request"),
				Value: rapid.Uint64().Draw(t, "value"), Extra: rapid.Uint64().Draw(t, "extra"), Number: rapid.Uint32().Draw(t, "number"),
				Work: rapid.Float32Range(0, 1e6).Draw(t, "work"), Node: rapid.Int16Min(-1).Draw(t, "node"),
				Rater: rapid.Int16Min(-1).Draw(t, "rater"), Kind: record.Kind(rapid.IntRange(1, int(record.KindEnd)-1).Draw(t, "kind")),
				How: rapid.Uint8().Draw(t, "how"), Class: rapid.Uint8().Draw(t, "class"), Partner: rapid.Uint8().Draw(t, "partner")}
			log.Add(e)
			w.Add(e)
		}
		if err := w.Flush(); err != nil {
			t.Fatal(err)
		}
		i := 0
		h, err := record.Read(&buf, func(e record.Event) {
			if e != log.At(i) {
				t.Fatalf("event %d: %v became %v", i, log.At(i), e)
			}
			i++
		})
		if err != nil || i != log.Len() || h.Seed != 1<<63 {
			t.Fatal(err, i, h)
		}
	})
}

// Guards against a record of another version being judged as if it were ours, and against an error without a line.
func TestReadRefuses(t *testing.T) {
	_, err := record.Read(strings.NewReader(`{"linenwheel_record":2}`), nil)
	require.EqualError(t, err, "record, line 1: version 2, this program reads version 1")
	_, err = record.Read(strings.NewReader("{\"linenwheel_record\":1}\n{\"kind\":\"tea\"}\n"), nil)
	require.EqualError(t, err, `record, line 2: no kind of event "tea"`)
}

// Guards against a merge that loses, doubles or reorders: parties' logs that are out of order come out in order of time, with
// ties always resolved alike.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		logs := make([]*record.Log, rapid.IntRange(1, 4).Draw(t, "logs"))
		n := 0
		for i := range logs {
			logs[i] = &record.Log{}
			for range rapid.IntRange(0, 40).Draw(t, "events") {
				logs[i].Add(record.Event{At: float64(rapid.IntRange(0, 20).Draw(t, "at")), Kind: record.Kind(rapid.IntRange(1, 3).Draw(t, "kind")),
					Number: uint32(n)})
				n++
			}
		}
		var got []record.Event
		record.Merge(func(e record.Event) { got = append(got, e) }, logs...)
		seen := map[uint32]bool{}
		for i, e := range got {
			seen[e.Number] = true
			if i > 0 && e.At < got[i-1].At {
				t.Fatalf("%v after %v", e, got[i-1])
			}
		}
		if len(seen) != n || len(got) != n {
			t.Fatalf("%d of %d events", len(got), n)
		}
	})
}

package agent

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/dispatch"
)

// The histories are the same ones each time, unless -rapid.seed asks for others.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func host(name string, status dispatch.Status, weight float64) dispatch.Host {
	return dispatch.Host{Name: name, Address: "10.0.0.1:80", Zone: "z", Kind: "k", Status: status, Weight: weight}
}

// caller keeps what it was told.
type caller struct {
	index uint64
	epoch string
	hosts map[string]float64 // weights
	last  Response
}

func (c *caller) take(t require.TestingT, text []byte) {
	c.last = Response{}
	require.NoError(t, json.Unmarshal(text, &c.last))
	if c.last.Snapshot {
		c.hosts = map[string]float64{}
	}
	for _, e := range c.last.Endpoints {
		if c.hosts[e.Name] = e.Weight; e.Status == "Gone" {
			delete(c.hosts, e.Name)
		}
	}
	c.index, c.epoch = c.last.Index, c.last.Origin.Epoch
}

// Guards against a caller that is left with another list than the book's, however far behind it was: after whole lists,
// corrections at the same revision, another history, and more changes than are kept.
func TestCallersFollow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, revision, epoch := NewStore("etcd"), uint64(1), 1
		_, ok := b.Response(0, "", 0, false)
		require.False(t, ok)
		callers, want := make([]caller, 3), map[string]float64{}
		for n := range rapid.IntRange(1, 40).Draw(t, "changes") {
			c := Change{Whole: rapid.IntRange(0, 4).Draw(t, "whole") == 0 || n == 0}
			if rapid.IntRange(0, 15).Draw(t, "another") == 0 {
				epoch, revision, c.Whole = epoch+1, uint64(rapid.IntRange(0, 9).Draw(t, "revision")), true
			}
			if !c.Whole || rapid.Bool().Draw(t, "newer") {
				revision++
			}
			c.Epoch, c.Revision = fmt.Sprint(epoch), revision
			for i := range rapid.IntRange(0, 5).Draw(t, "hosts") {
				status := rapid.SampledFrom([]dispatch.Status{dispatch.Ready, dispatch.Ready, dispatch.Removed}).Draw(t, "status")
				if status != dispatch.Removed || !c.Whole {
					c.Hosts = append(c.Hosts, host(string(rune('a'+i)), status, rand.Float64()))
				}
			}
			b.Apply(c)
			if c.Whole {
				clear(want)
			}
			for _, h := range c.Hosts {
				if want[h.Name] = h.Weight; h.Status == dispatch.Removed {
					delete(want, h.Name)
				}
			}
			for i := range callers {
				if rapid.Bool().Draw(t, "asks") || i == 0 {
					text, ok := b.Response(0, callers[i].epoch, callers[i].index, false)
					require.True(t, ok)
					callers[i].take(t, text)
					require.Equal(t, want, callers[i].hosts)
				}
			}
		}
	})
	b, late := NewStore("etcd"), caller{}
	b.Apply(Change{Whole: true, Epoch: "e", Revision: 1})
	text, _ := b.Response(0, "", 0, false)
	late.take(t, text)
	for i := range maxChanges {
		b.Apply(Change{Epoch: "e", Revision: uint64(i + 2), Hosts: []dispatch.Host{host(fmt.Sprint(i%50), dispatch.Ready, float64(i)),
			host(fmt.Sprint(i%50+50), dispatch.Ready, float64(i)), host("one", dispatch.Ready, float64(i))}})
		require.LessOrEqual(t, len(b.changes), 2*maxChanges)
	}
	text, _ = b.Response(0, late.epoch, late.index, false)
	late.take(t, text)
	assert.True(t, late.last.Snapshot, "too far behind")
	assert.Len(t, late.hosts, 101)
	assert.NotEqual(t, b.changesSince, b.changes[0].Revision, "half of a revision")
	text, _ = b.Response(0, late.epoch, late.index-1, false)
	late.take(t, text)
	assert.Len(t, late.last.Endpoints, 3, "all changes of the last revision")
	for _, odd := range []caller{{epoch: "e", index: late.index + 1}, {epoch: "f", index: late.index}} {
		text, _ = b.Response(0, odd.epoch, odd.index, false)
		late.take(t, text)
		assert.True(t, late.last.Snapshot, "told by somebody else")
	}
}

// Guards against a call that does not end with the news or with its time, against a source that is away without a word, and
// against a second look that is answered before the list was read.
func TestCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, looked := NewStore("etcd"), 0
		s := &Server{Store: b, Clock: clock.NewSystem(), RequestReread: func() { looked++ }}
		call := func(query string) (code int, a Response, took time.Duration) {
			got, began := httptest.NewRecorder(), time.Now()
			s.Handler().ServeHTTP(got, httptest.NewRequestWithContext(t.Context(), "GET", "/discovery/hosts"+query, nil))
			_ = json.Unmarshal(got.Body.Bytes(), &a) // what is no list stays empty
			return got.Code, a, time.Since(began)
		}
		later := func(d time.Duration, f func()) { time.AfterFunc(d, f) }
		now := func() float64 { return s.Clock.Now() }
		code, _, _ := call("")
		assert.Equal(t, 503, code)
		for _, bad := range []string{"?index=x", "?index=1&wait=-1", "?index=1&wait=nan", "?index=1&wait=x"} {
			code, _, _ = call(bad)
			assert.Equal(t, 400, code, bad)
		}
		b.Apply(Change{Whole: true, Epoch: "e", Revision: 5, Hosts: []dispatch.Host{host("a", dispatch.Ready, 1)}})
		_, a, _ := call("")
		assert.True(t, a.Snapshot && a.Origin.UnreachableFor > 0, "more is to come")
		b.MarkAvailable(now())
		_, a, took := call("?index=4&epoch=e&wait=1000")
		assert.Zero(t, took)
		assert.Len(t, a.Endpoints, 1)
		_, a, took = call("?index=5&epoch=e&wait=1000")
		assert.Equal(t, time.Second, took)
		assert.Empty(t, a.Endpoints)
		_, a, took = call("?index=5&epoch=f&wait=1000")
		assert.True(t, took == 0 && a.Snapshot, "of another history")
		_, _, took = call("?index=5&epoch=e&wait=999999")
		assert.Equal(t, time.Minute, took)
		later(300*time.Millisecond, func() {
			b.Apply(Change{Epoch: "e", Revision: 6, Hosts: []dispatch.Host{host("b", dispatch.Ready, 1)}, Confirm: 3})
		})
		_, a, took = call("?index=5&epoch=e&wait=1000")
		assert.Equal(t, 300*time.Millisecond, took)
		assert.Equal(t, []any{"b", uint64(6), uint64(3)}, []any{a.Endpoints[0].Name, a.Endpoints[0].Revision, a.Origin.Confirm})
		later(300*time.Millisecond, func() { b.MarkUnavailable("nobody is there") })
		_, a, took = call("?index=6&epoch=e&wait=1000")
		assert.Equal(t, 300*time.Millisecond, took)
		assert.Equal(t, "nobody is there", a.Origin.Reason)
		assert.Greater(t, a.Origin.UnreachableFor, 60e3)
		later(300*time.Millisecond, func() { b.MarkUnavailable("still"); b.MarkAvailable(now()) })
		_, a, took = call("?index=6&epoch=e&wait=1000")
		assert.Equal(t, 300*time.Millisecond, took, "and is back")
		assert.Zero(t, a.Origin.UnreachableFor)
		code, _, took = call("?look=1")
		assert.Equal(t, []any{503, 5 * time.Second, 1}, []any{code, took, looked})
		later(100*time.Millisecond, func() { b.Apply(Change{Epoch: "e", Revision: 7}) })
		later(300*time.Millisecond, b.MarkReread)
		code, a, took = call("?look=1&index=7&epoch=e")
		assert.Equal(t, []any{200, 300 * time.Millisecond, 2, true, true}, []any{code, took, looked, a.Snapshot, a.Origin.Reread})
		defer func() {
			b.Apply(Change{Whole: true, Epoch: "f", Revision: 1})
			_, a, _ = call("")
			assert.Zero(t, a.Origin.Confirm, "of another history")
		}()
		got := httptest.NewRecorder()
		s.Handler().ServeHTTP(got, httptest.NewRequest("GET", "/status", nil))
		assert.Contains(t, got.Body.String(), `"Known":true,"Index":7,"Origin":{"source":"etcd","epoch":"e","confirm":3}`)
	})
}

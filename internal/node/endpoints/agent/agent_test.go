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

// TestMain fixes the seed, so that every run draws the same sequences unless -rapid.seed is given.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func host(name string, status dispatch.Status, weight float64) dispatch.Host {
	return dispatch.Host{Name: name, Address: "10.0.0.1:80", Zone: "z", Kind: "k", Status: status, Weight: weight}
}

// caller is a node that maintains a list from the responses it receives.
type caller struct {
	index uint64
	epoch string
	hosts map[string]float64 // weights
	last  Response
}

func (c *caller) apply(t require.TestingT, text []byte) {
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

// Guards against a caller whose list differs from the store's, however far behind the caller was: after whole
// lists, corrections at the same revision, a new epoch, and more changes than the store keeps.
func TestCallersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, revision, epoch := NewStore("etcd"), uint64(1), 1
		_, ok := store.Response(0, "", 0, false)
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
			store.Apply(c)
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
					text, ok := store.Response(0, callers[i].epoch, callers[i].index, false)
					require.True(t, ok)
					callers[i].apply(t, text)
					require.Equal(t, want, callers[i].hosts)
				}
			}
		}
	})
	store, slow := NewStore("etcd"), caller{}
	store.Apply(Change{Whole: true, Epoch: "e", Revision: 1})
	text, _ := store.Response(0, "", 0, false)
	slow.apply(t, text)
	for i := range maxChanges {
		store.Apply(Change{Epoch: "e", Revision: uint64(i + 2), Hosts: []dispatch.Host{host(fmt.Sprint(i%50), dispatch.Ready, float64(i)),
			host(fmt.Sprint(i%50+50), dispatch.Ready, float64(i)), host("one", dispatch.Ready, float64(i))}})
		require.LessOrEqual(t, len(store.changes), 2*maxChanges)
	}
	text, _ = store.Response(0, slow.epoch, slow.index, false)
	slow.apply(t, text)
	assert.True(t, slow.last.Snapshot, "a caller too far behind must receive a snapshot")
	assert.Len(t, slow.hosts, 101)
	assert.NotEqual(t, store.changesSince, store.changes[0].Revision, "the history must begin at a revision boundary")
	text, _ = store.Response(0, slow.epoch, slow.index-1, false)
	slow.apply(t, text)
	assert.Len(t, slow.last.Endpoints, 3, "all changes of the last revision")
	for _, other := range []caller{{epoch: "e", index: slow.index + 1}, {epoch: "f", index: slow.index}} {
		text, _ = store.Response(0, other.epoch, other.index, false)
		slow.apply(t, text)
		assert.True(t, slow.last.Snapshot, "a caller with an unknown position must receive a snapshot")
	}
}

// Guards against a call that does not end on an update or at its timeout, against an unavailable source that is not
// reported, and against a re-read that is answered before the list was read.
func TestCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, rereads := NewStore("etcd"), 0
		s := &Server{Store: store, Clock: clock.NewSystem(), RequestReread: func() { rereads++ }}
		call := func(query string) (code int, a Response, took time.Duration) {
			got, began := httptest.NewRecorder(), time.Now()
			s.Handler().ServeHTTP(got, httptest.NewRequestWithContext(t.Context(), "GET", "/discovery/hosts"+query, nil))
			_ = json.Unmarshal(got.Body.Bytes(), &a) // an error response leaves it empty
			return got.Code, a, time.Since(began)
		}
		after := func(d time.Duration, f func()) { time.AfterFunc(d, f) }
		now := func() float64 { return s.Clock.Now() }
		code, _, _ := call("")
		assert.Equal(t, 503, code)
		for _, invalid := range []string{"?index=x", "?index=1&wait=-1", "?index=1&wait=nan", "?index=1&wait=x"} {
			code, _, _ = call(invalid)
			assert.Equal(t, 400, code, invalid)
		}
		store.Apply(Change{Whole: true, Epoch: "e", Revision: 5, Hosts: []dispatch.Host{host("a", dispatch.Ready, 1)}})
		_, a, _ := call("")
		assert.True(t, a.Snapshot && a.Origin.UnreachableFor > 0, "not up to date before MarkAvailable")
		store.MarkAvailable(now())
		_, a, took := call("?index=4&epoch=e&wait=1000")
		assert.Zero(t, took)
		assert.Len(t, a.Endpoints, 1)
		_, a, took = call("?index=5&epoch=e&wait=1000")
		assert.Equal(t, time.Second, took)
		assert.Empty(t, a.Endpoints)
		_, a, took = call("?index=5&epoch=f&wait=1000")
		assert.True(t, took == 0 && a.Snapshot, "another epoch")
		_, _, took = call("?index=5&epoch=e&wait=999999")
		assert.Equal(t, time.Minute, took)
		after(300*time.Millisecond, func() {
			store.Apply(Change{Epoch: "e", Revision: 6, Hosts: []dispatch.Host{host("b", dispatch.Ready, 1)}, Confirm: 3})
		})
		_, a, took = call("?index=5&epoch=e&wait=1000")
		assert.Equal(t, 300*time.Millisecond, took)
		assert.Equal(t, []any{"b", uint64(6), uint64(3)}, []any{a.Endpoints[0].Name, a.Endpoints[0].Revision, a.Origin.Confirm})
		after(300*time.Millisecond, func() { store.MarkUnavailable("connection refused") })
		_, a, took = call("?index=6&epoch=e&wait=1000")
		assert.Equal(t, 300*time.Millisecond, took)
		assert.Equal(t, "connection refused", a.Origin.Reason)
		assert.Greater(t, a.Origin.UnreachableFor, 60e3)
		after(300*time.Millisecond, func() { store.MarkUnavailable("connection still refused"); store.MarkAvailable(now()) })
		_, a, took = call("?index=6&epoch=e&wait=1000")
		assert.Equal(t, 300*time.Millisecond, took, "available again")
		assert.Zero(t, a.Origin.UnreachableFor)
		code, _, took = call("?look=1")
		assert.Equal(t, []any{503, 5 * time.Second, 1}, []any{code, took, rereads})
		after(100*time.Millisecond, func() { store.Apply(Change{Epoch: "e", Revision: 7}) })
		after(300*time.Millisecond, store.MarkReread)
		code, a, took = call("?look=1&index=7&epoch=e")
		assert.Equal(t, []any{200, 300 * time.Millisecond, 2, true, true}, []any{code, took, rereads, a.Snapshot, a.Origin.Reread})
		defer func() {
			store.Apply(Change{Whole: true, Epoch: "f", Revision: 1})
			_, a, _ = call("")
			assert.Zero(t, a.Origin.Confirm, "another epoch")
		}()
		got := httptest.NewRecorder()
		s.Handler().ServeHTTP(got, httptest.NewRequest("GET", "/status", nil))
		assert.Contains(t, got.Body.String(), `"Known":true,"Index":7,"Origin":{"source":"etcd","epoch":"e","confirm":3}`)
	})
}

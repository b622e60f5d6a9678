package lastgood

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/dispatch"
)

func record(changed float64) Record {
	r := Record{Node: "n", Changed: changed, Followed: "etcd", Sources: []Position{{"etcd", "c1", 7}}}
	r.SetHosts([]dispatch.Host{{Name: "a", Address: "10.0.0.1:80", Zone: "z", Kind: "k", Cell: 2, Status: dispatch.Draining, Weight: 1.5, Since: 3}})
	return r
}

// Guards against a loaded list that differs from the saved one, an older list that replaces a newer one, a list
// that is lost when a write fails at any point, and a damaged list or one of another node that is used.
func TestSaveKeepsNewest(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	missing, err := Load(path, "n")
	assert.NoError(t, err)
	assert.Nil(t, missing)
	for _, changed := range []float64{5, 4, 5, 6, 2} {
		require.NoError(t, Save(path, record(changed)))
	}
	got, err := Load(path, "n")
	require.NoError(t, err)
	assert.Equal(t, record(6), *got)
	hosts, err := got.Hosts()
	require.NoError(t, err)
	assert.Equal(t, dispatch.Host{Name: "a", Address: "10.0.0.1:80", Zone: "z", Kind: "k", Cell: 2, Status: dispatch.Draining, Weight: 1.5, Since: 3}, hosts[0])
	_, err = Load(path, "m")
	assert.ErrorContains(t, err, `it belongs to node "n"`)

	require.NoError(t, os.Symlink("/dev/full", path+".new"))
	assert.ErrorContains(t, Save(path, record(7)), "no space left")
	require.NoError(t, os.Remove(path+".new"))
	require.NoError(t, os.Mkdir(path+".new", 0o700))
	assert.Error(t, Save(path, record(7)))
	got, err = Load(path, "n")
	require.NoError(t, err)
	assert.Equal(t, 6.0, got.Changed)
	require.NoError(t, os.Remove(path+".new"))

	text, err := os.ReadFile(path)
	require.NoError(t, err)
	for i := range text {
		bad := append([]byte(nil), text...)
		bad[i] ^= 1
		require.NoError(t, os.WriteFile(path, bad, 0o600))
		_, err = Load(path, "n")
		require.Error(t, err, "bit flipped in byte %d", i)
		require.NoError(t, os.WriteFile(path, text[:i], 0o600))
		_, err = Load(path, "n")
		require.Error(t, err, "truncated at byte %d", i)
	}
	require.NoError(t, Save(path, record(1)), "an unreadable file must not prevent a write")
	got, err = Load(path, "n")
	require.NoError(t, err)
	assert.Equal(t, 1.0, got.Changed)
	r := record(2)
	r.Entries[0].Status = "odd"
	require.NoError(t, Save(path, r))
	_, err = Load(path, "n")
	assert.ErrorContains(t, err, "unknown status")
}

// Guards against one write for each of many changes, and against the loss of the last change at shutdown.
func TestWriter(t *testing.T) {
	c, path := clock.NewManual(1e12), filepath.Join(t.TempDir(), "list")
	writes := make(chan float64)
	w := &Writer{Path: path, MinInterval: func() float64 { return 1000 }, Clock: c, Log: slog.New(slog.DiscardHandler),
		Current: func() Record { writes <- c.Now(); return record(c.Now()) }}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { w.Run(ctx); close(ended) }()
	w.Changed()
	<-writes
	for range 5 {
		w.Changed()
		select {
		case <-writes:
			require.Fail(t, "written again before MinInterval has passed")
		default:
		}
	}
	for got := 1e12; got == 1e12; { // Run may set its timer a moment later
		select {
		case got = <-writes:
		default:
			c.Advance(100)
		}
	}
	w.Changed()
	cancel()
	last := <-writes
	<-ended
	got, err := Load(path, "n")
	require.NoError(t, err)
	assert.Equal(t, last, got.Changed)
}

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

// Guards against a list that is not what was kept, an older one that takes the place of a newer, one that is lost when a
// write fails at any point, and a damaged or foreign one that is used.
func TestKeepsTheNewest(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	none, err := Load(path, "n")
	assert.NoError(t, err)
	assert.Nil(t, none)
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
	assert.ErrorContains(t, err, `it is of node "n"`)

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
		require.Error(t, err, "at byte %d", i)
		require.NoError(t, os.WriteFile(path, text[:i], 0o600))
		_, err = Load(path, "n")
		require.Error(t, err, "cut at byte %d", i)
	}
	require.NoError(t, Save(path, record(1)), "what cannot be read is newer than nothing")
	got, err = Load(path, "n")
	require.NoError(t, err)
	assert.Equal(t, 1.0, got.Changed)
	r := record(2)
	r.Entries[0].Status = "odd"
	require.NoError(t, Save(path, r))
	_, err = Load(path, "n")
	assert.ErrorContains(t, err, "unknown status")
}

// Guards against a write for each of many changes, and against the last change that is lost at the end.
func TestWriter(t *testing.T) {
	c, path := clock.NewManual(1e12), filepath.Join(t.TempDir(), "list")
	taken := make(chan float64)
	w := &Writer{Path: path, MinInterval: func() float64 { return 1000 }, Clock: c, Log: slog.New(slog.DiscardHandler),
		Current: func() Record { taken <- c.Now(); return record(c.Now()) }}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { w.Run(ctx); close(ended) }()
	w.Changed()
	<-taken
	for range 5 {
		w.Changed()
		select {
		case <-taken:
			require.Fail(t, "written again at once")
		default:
		}
	}
	for got := 1e12; got == 1e12; { // its wait may begin a moment later
		select {
		case got = <-taken:
		default:
			c.Advance(100)
		}
	}
	w.Changed()
	cancel()
	last := <-taken
	<-ended
	got, err := Load(path, "n")
	require.NoError(t, err)
	assert.Equal(t, last, got.Changed)
}

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/loopback"
	"linenwheel.dev/linenwheel/internal/node/consensus/replica"
)

// Guards against commands that answer with what was asked and not with what was agreed, and against an empty keeper under an old
// name that gets a vote without being asked for: founding, setting, a lost machine, replacing, adding, removing.
func TestPeers(t *testing.T) {
	addresses, text := map[string]string{}, "[peers]\nfleet = \"f\"\nkeepers = [\"a\", \"b\", \"c\"]\npatience = \"2m\"\n"
	for _, name := range []string{"a", "b", "c", "d"} {
		address, err := loopback.FreeAddress()
		require.NoError(t, err)
		addresses[name] = address
		text += fmt.Sprintf("[[peers.member]]\nname = %q\naddress = %q\n", name, addresses[name])
	}
	file := filepath.Join(t.TempDir(), "o.toml")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	var all sync.WaitGroup
	stops := map[string]func(){}
	start := func(name string) {
		k, err := replica.New(replica.Settings{Fleet: "f", Name: name, Listen: addresses[name], Directory: t.TempDir(), Addresses: addresses,
			Heartbeat: 20, Election: 200, ImageEvery: 1 << 20, Trail: 100}, slog.New(slog.NewTextHandler(io.Discard, nil)))
		require.NoError(t, err)
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		all.Go(func() { _ = k.Run(ctx); close(done) })
		stops[name] = func() { stop(); <-done }
	}
	defer func() {
		for _, stop := range stops {
			stop()
		}
		all.Wait()
	}()
	call := func(status int, want string, args ...string) {
		t.Helper()
		var out, errs bytes.Buffer
		got := run(append([]string{"peers", args[0], "-options", file}, args[1:]...), func(string) string { return "" }, &out, &errs)
		assert.Equal(t, status, got, "%v: %s%s", args, out.String(), errs.String())
		assert.Contains(t, out.String()+errs.String(), want, "%v", args)
	}
	hasty := filepath.Join(t.TempDir(), "hasty.toml")
	require.NoError(t, os.WriteFile(hasty, []byte(strings.Replace(text, "2m", "100ms", 1)), 0o600))
	call(1, "nothing was founded", "found", "-options", hasty)
	call(1, "nothing was changed", "remove", "-options", hasty, "a")
	call(1, `peers.member has no "x"`, "add", "x")
	founded := make(chan struct{})
	go func() { // before any keeper listens: as whoever starts all of them in one go does
		defer close(founded)
		call(0, "3 keepers are founded", "found")
	}()
	start("a")
	start("b")
	call(1, "no keeper leads", "status")
	start("c")
	<-founded
	call(0, "3 keepers are founded", "found")
	call(0, "voter", "status")
	call(0, "agreed as number", "set", "city", "Brno")
	call(1, "nothing was changed", "set", "-was", "1", "city", "Praha")
	call(0, "Brno", "get", "city")
	call(1, "still has its directory", "replace", "b")
	stops["b"]()
	start("b")
	call(0, "blank", "status")
	call(0, "b votes, as number", "replace", "b")
	call(0, "c votes, as number", "add", "c") // as it does already
	start("d")
	call(0, "d votes, as number", "add", "d")
	call(0, "is taken out", "remove", "d")
	call(1, "no member is called", "remove", "d")
	call(0, "Brno", "get")
	call(0, "version 2 of the log is used", "raise")
	call(2, "", "raise", "more")
	copied := filepath.Join(t.TempDir(), "copy")
	call(0, "holds the fleet as it was at entry", "copy", copied)
	call(1, "exists", "copy", copied)
	call(2, "", "set", "one")
}

// Guards against a change of the raters that are out that loses what else a policy says, or that changes nothing and is proposed.
func TestWithOut(t *testing.T) {
	text, err := withOut("[quota]\nrequests = 5.5\n", "r1", true)
	require.NoError(t, err)
	assert.Contains(t, text, "requests = 5.5")
	assert.Contains(t, text, "out = ['r1']")
	_, err = withOut(text, "r1", true)
	require.ErrorContains(t, err, "already")
	text, err = withOut(text, "r1", false)
	require.NoError(t, err)
	assert.NotContains(t, text, "inventory")
	_, err = withOut(text, "r1", false)
	require.ErrorContains(t, err, "not out")
	_, err = withOut("broken", "r1", true)
	require.Error(t, err)
}

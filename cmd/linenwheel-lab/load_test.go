package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/lab/load"
	"linenwheel.dev/linenwheel/lab/load/null"
)

// Guards the statuses of the load command: 2 for what cannot work, told in one line, 1 for a run that says nothing.
func TestLoadStatuses(t *testing.T) {
	mix := filepath.Join(t.TempDir(), "mix.toml")
	require.NoError(t, os.WriteFile(mix, []byte("[[class]]\nname = 'a'\nweight = -1\n"), 0o600))
	for want, args := range map[string][]string{
		"-rate and -clients": {"load", "-to", "127.0.0.1:1"},
		"want -to":           {"load", "-rate", "5"},
		`"soon"`:             {"load", "-to", "h:1", "-rate", "5xsoon"},
		":3: class.weight":   {"load", "-to", "h:1", "-rate", "5", "-mix", mix},
		"flags alone":        {"load", "-to", "h:1", "-rate", "5", "more"},
		"stall shorter":      {"null", "-stall", "2s", "-every", "1s"},
	} {
		var out, errs bytes.Buffer
		require.Equal(t, 2, run(context.Background(), args, streams{&out, &errs}), args)
		require.Contains(t, errs.String(), want)
		require.Equal(t, 1, bytes.Count(errs.Bytes(), []byte("\n")), errs.String())
	}
	var out, errs bytes.Buffer
	args := []string{"load", "-to", "127.0.0.1:1", "-rate", "0", "-for", "1ms", "-warmup", "0"}
	require.Equal(t, 1, run(context.Background(), args, streams{&out, &errs}), "nothing became due")
	require.Contains(t, out.String(), "VOID")
}

// Guards the JSON form against changes that its version does not tell: the fields that docs/operate/load.md names are
// there, and the counts are those of the server.
func TestLoadJSON(t *testing.T) {
	server, err := null.New(null.Settings{})
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(l) }() // until Close
	var out, errs bytes.Buffer
	status := run(context.Background(), []string{"load", "-to", "http://" + l.Addr().String() + "/x?y=1", "-clients", "2",
		"-requests", "50", "-warmup", "0", "-late", "1h", "-json", "-"}, streams{&out, &errs})
	require.Equal(t, 0, status, errs.String())
	require.NoError(t, server.Close())
	var got map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &got))
	require.Equal(t, load.Form, got["form"])
	require.EqualValues(t, load.Version, got["version"])
	require.EqualValues(t, 50, got["counts"].(map[string]any)["served"])
	require.EqualValues(t, 50, server.Requests())
	for _, field := range []string{"target", "started", "plan", "tool", "void", "interrupted", "counted_ms", "lateness",
		"classes", "stages", "series"} {
		require.Contains(t, got, field)
	}
}

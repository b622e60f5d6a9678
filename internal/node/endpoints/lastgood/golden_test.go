package lastgood

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/golden"
	"linenwheel.dev/linenwheel/internal/node/dispatch"
)

// Guards against a build that reads or writes the list differently from an earlier build of the release, with
// hosts of each status and with every field set.
func TestFileFormatMatchesEarlierBuild(t *testing.T) {
	golden.JSON[Record](t, "record")
	want := Record{Node: "node-1", Changed: 1e12, Followed: "etcd", Sources: []Position{{Source: "etcd", Epoch: "e7", Number: 41}, {Source: "files", Number: 2}}}
	hosts := []dispatch.Host{
		{Name: "a", Address: "10.0.0.1:80", Zone: "z1", Kind: "large", Cell: 3, Status: dispatch.Ready, Weight: 1.5, Since: 9e11},
		{Name: "b", Address: "10.0.0.2:80", Zone: "z2", Kind: "small", Protocol: "thrift", Cell: 4, Status: dispatch.Draining, Weight: 2},
		{Name: "c", Address: "10.0.0.3:80", Zone: "z3", Kind: "small", Status: dispatch.Removed, Weight: 1},
	}
	want.SetHosts(hosts)
	path := filepath.Join(t.TempDir(), "list")
	require.NoError(t, Save(path, want))
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	golden.Check(t, "list", text)

	path = filepath.Join(t.TempDir(), "earlier")
	require.NoError(t, os.WriteFile(path, golden.File(t, "list", nil), 0o600))
	got, err := Load(path, "node-1")
	require.NoError(t, err)
	require.Equal(t, &want, got)
	have, err := got.Hosts()
	require.NoError(t, err)
	require.Equal(t, hosts, have)
}

package node

import (
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/loopback"
	"linenwheel.dev/linenwheel/internal/node/options"
)

// Guards against a node whose creation fails because its admin address is in use, and that keeps its sockets and
// the lock of its journal: its embedder could not try again.
func TestFailedNewReleasesResources(t *testing.T) {
	free := func() string {
		address, err := loopback.FreeAddress()
		require.NoError(t, err)
		return address
	}
	taken, err := net.Listen("tcp", free()) // released again for the node created below
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()
	dir := t.TempDir()
	o := DefaultOptions()
	o.Repeats.On = true
	o.Repeats.Journal, o.Repeats.SecretFile = filepath.Join(dir, "journal"), filepath.Join(dir, "secret")
	require.NoError(t, os.Mkdir(o.Repeats.Journal, 0o700))
	require.NoError(t, os.WriteFile(o.Repeats.SecretFile, []byte("0123456789abcdef"), 0o600))
	o.North.Thrift.Listen, o.North.Thrift.Service = free(), "Rating"
	o.North.Thrift.Methods = []options.ThriftMethod{{Name: "postCharge", Class: "pay"}}
	conf, err := configOf(t, "127.0.0.1:1", nil)
	require.NoError(t, err)
	conf.Listen, conf.Control = free(), taken.Addr().String()
	extra := Extras{Options: &o, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	_, err = New(conf, extra)
	require.ErrorContains(t, err, "in use")
	require.NoError(t, taken.Close())
	n, err := New(conf, extra)
	require.NoError(t, err)
	n.closeAdmin()
	n.closeUnstarted()
}

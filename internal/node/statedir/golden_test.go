package statedir

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/golden"
)

// Guards against a state file that this build encodes or decodes differently from an earlier build of the same
// release.
func TestReadsAndWritesTheStateOfAnEarlierBuild(t *testing.T) {
	golden.JSON[State](t, "state")
	golden.Check(t, "ends", fmt.Appendf(nil, "%q", []End{Unknown, Clean, Unanswered, HandedOver, Crashed, Killed, HostDown}))
	var want State
	golden.Fill(t, &want)
	text, err := Encode(want)
	require.NoError(t, err)
	golden.Check(t, "file", text)

	earlier := golden.File(t, "file", nil)
	got, err := Decode(earlier)
	require.NoError(t, err)
	require.Equal(t, want, got)
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "state"), earlier, 0o600))
	s, last, err := Open(dir, want.Node)
	require.NoError(t, err)
	defer s.Release()
	require.Equal(t, &Last{State: want, End: want.End}, last)
	want.Boot = s.boot
	require.NoError(t, s.Write(last.State))
	written, err := os.ReadFile(filepath.Join(dir, "state"))
	require.NoError(t, err)
	text, err = Encode(want)
	require.NoError(t, err)
	require.Equal(t, string(text), string(written))
}

package backup

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/golden"
)

// Guards against a backup that an earlier build of this release wrote and this one does not read, or the other way round.
func TestReadsAndWritesTheBackupOfAnEarlierBuild(t *testing.T) {
	image := []byte("{\"version\":2}\n\x00\x01\xff")
	file := filepath.Join(t.TempDir(), "backup")
	require.NoError(t, Write(file, "morava", 42, image))
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	golden.Check(t, "backup", text)
	fleet, index, got, err := Read(filepath.Join("testdata", "golden", "backup"))
	require.NoError(t, err)
	require.Equal(t, "morava", fleet)
	require.Equal(t, uint64(42), index)
	require.Equal(t, image, got)
}

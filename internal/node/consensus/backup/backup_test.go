package backup

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/golden"
)

// TestReadsAndWritesTheBackupOfAnEarlierBuild guards against a backup that an earlier build of this release wrote
// and this build cannot read, or the reverse.
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

// TestReadRejectsWhatIsNoBackup guards against recovering a fleet from a file that is damaged, was written by a
// later release, or is not a backup.
func TestReadRejectsWhatIsNoBackup(t *testing.T) {
	file := filepath.Join(t.TempDir(), "backup")
	require.NoError(t, Write(file, "morava", 42, []byte("image")))
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	for _, c := range []struct {
		name string
		text []byte
		want error
	}{
		{"truncated", text[:len(text)-1], ErrDamaged},
		{"changed", append(bytes.Clone(text[:len(text)-1]), 'x'), ErrDamaged},
		{"later release", bytes.Replace(text, []byte(`"linenwheel_copy":1`), []byte(`"linenwheel_copy":2`), 1), ErrForm},
		{"no backup", []byte("{}\nimage"), ErrForm},
		{"empty", nil, ErrForm},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.NoError(t, os.WriteFile(file, c.text, 0o600))
			_, _, _, err := Read(file)
			require.ErrorIs(t, err, c.want)
		})
	}
}

// TestBackupIsSyncedWithItsDirectory guards against a backup whose content survives a power failure but whose
// directory entry is lost.
func TestBackupIsSyncedWithItsDirectory(t *testing.T) {
	file := filepath.Join(t.TempDir(), "backup")
	var synced []string
	record := func(f *os.File) error {
		synced = append(synced, f.Name())
		return f.Sync()
	}
	require.NoError(t, write(file, "morava", 42, []byte("image"), record))
	require.Equal(t, []string{file, filepath.Dir(file)}, synced, "the content is synced before the directory entry")

	failing := func(f *os.File) error {
		if f.Name() == filepath.Dir(file) {
			return os.ErrInvalid
		}
		return f.Sync()
	}
	require.ErrorIs(t, write(file+"2", "morava", 42, []byte("image"), failing), os.ErrInvalid, "a directory entry that may be lost is not reported as written")
}

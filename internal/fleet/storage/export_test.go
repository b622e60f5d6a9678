package storage

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// copyDisk returns the directory of a copy of a disk in testdata.
func copyDisk(t *testing.T, name string) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "disk")
	require.NoError(t, os.CopyFS(dir, os.DirFS(filepath.Join("testdata", name))))
	return dir
}

// contents returns the contents of the files in a directory, by name.
func contents(t *testing.T, dir string) map[string]string {
	t.Helper()
	files, err := os.ReadDir(dir)
	require.NoError(t, err)
	all := map[string]string{}
	for _, file := range files {
		content, err := os.ReadFile(filepath.Join(dir, file.Name()))
		require.NoError(t, err)
		all[file.Name()] = string(content)
	}
	return all
}

// The disks in testdata/obsolete were written by a version that stored the view and its state together. They are
// those of three machines of one fleet, each of which is one order behind the previous one; the second one was
// compacted.
func TestConfigurationIsReadFromObsoleteFormat(t *testing.T) {
	for machine, want := range map[int]Configuration{
		1: {3, 4, 40, []byte(`{"Backends":[{"Name":"llm"},{"Name":"report"}],"Revision":40}`)},
		2: {3, 3, 30, []byte(`{"Backends":[{"Name":"llm"},{"Name":"draft"},{"Name":"report"}],"Revision":30}`)},
		3: {3, 2, 20, []byte(`{"Backends":[{"Name":"llm"},{"Name":"draft"}],"Revision":20}`)},
	} {
		dir := copyDisk(t, fmt.Sprintf("obsolete/machine-%d", machine))
		before := contents(t, dir)
		_, _, err := Open(dir)
		require.ErrorIs(t, err, errObsoleteFormat)
		require.ErrorContains(t, err, "linenwheel-control export")
		got, err := ReadConfiguration(dir)
		require.NoError(t, err)
		require.Equal(t, want, got, "machine %d", machine)
		require.Equal(t, before, contents(t, dir), "the files are unchanged")
	}
}

func TestConfigurationIsReadFromCurrentFormat(t *testing.T) {
	for _, name := range []string{"disk", "disk-compacted"} {
		got, err := ReadConfiguration(copyDisk(t, name))
		require.NoError(t, err)
		require.Equal(t, Configuration{3, 9, 90, []byte(`{"Backends":[{"Name":"other"}],"Revision":90}`)}, got, name)
	}
}

func TestConfigurationBeforeDamageIsRead(t *testing.T) {
	dir := copyDisk(t, "obsolete/machine-1")
	path := filepath.Join(dir, "control-000001.db")
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	content[len(content)-3] ^= 1 // of the last entry
	require.NoError(t, os.WriteFile(path, content, 0o600))
	got, err := ReadConfiguration(dir)
	require.NoError(t, err)
	require.EqualValues(t, 3, got.Seq)
	require.EqualValues(t, 30, got.Revision)
}

func TestEmptyDiskHasNoConfiguration(t *testing.T) {
	_, err := ReadConfiguration(t.TempDir())
	require.ErrorIs(t, err, errNoConfiguration)
	dir := t.TempDir()
	store, _ := open(t, dir)
	write(t, store, identityRecord(), viewRecord(1, 0))
	store.Close()
	_, err = ReadConfiguration(dir)
	require.ErrorIs(t, err, errNoConfiguration)
	_, err = ReadConfiguration(filepath.Join(dir, "none"))
	require.ErrorIs(t, err, os.ErrNotExist)
}

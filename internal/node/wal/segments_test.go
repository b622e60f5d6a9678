package wal

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var form = Format{Magic: "lwtest", Prefix: "test"}

// TestOnDisk guards against a folder that other users can read or that two processes use at once, and against a
// record that is lost or read twice at the boundary between two segments. Truncated files and failed writes are
// tested in internal/node/idempotency/journal.
func TestOnDisk(t *testing.T) {
	disk := Disk{Path: filepath.Join(t.TempDir(), "new", "folder")}
	require.NoError(t, disk.Make())
	info, err := os.Stat(disk.Path)
	require.NoError(t, err)
	assert.Equal(t, os.FileMode(0o700), info.Mode().Perm())
	lock, err := disk.Lock()
	require.NoError(t, err)
	_, err = disk.Lock()
	require.ErrorIs(t, err, ErrInUse)
	require.NoError(t, lock.Close())
	ended := []string{}
	w := Writer{Folder: disk, Format: form, Header: []byte("head"), MaxBytes: 60, Synced: true, Number: 7,
		OnEnd: func(_ int, name string) { ended = append(ended, name) }}
	for i := range byte(9) {
		require.NoError(t, w.Write(Append(nil, func(b []byte) []byte { return append(b, i) })))
	}
	require.NoError(t, w.EndSegment())
	read := []byte{}
	for _, name := range ended {
		text, err := disk.Read(name)
		require.NoError(t, err)
		_, err = form.Read(text, func(head []byte) error {
			assert.Equal(t, "head", string(head))
			return nil
		}, func(content []byte) error {
			read = append(read, content...)
			return nil
		})
		require.NoError(t, err)
		_, ok := form.Number(name)
		assert.True(t, ok, name)
	}
	assert.Equal(t, []byte{0, 1, 2, 3, 4, 5, 6, 7, 8}, read)
	assert.Greater(t, len(ended), 2)
}

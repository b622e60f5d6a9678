package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a command whose output is lost on a full disk and that says that all is well.
func TestFullOutputFails(t *testing.T) {
	full, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
	require.NoError(t, err)
	defer func() { _ = full.Close() }()
	path := filepath.Join(t.TempDir(), "good.json")
	require.NoError(t, os.WriteFile(path, []byte(good), 0o600))
	for _, args := range [][]string{{"check", "-config", path}, {"config", "-config", path}, {"version"}} {
		var errs bytes.Buffer
		require.Equal(t, 1, run(args, func(string) string { return "" }, full, &errs), args)
		require.Contains(t, errs.String(), "no space left on device", args)
	}
}

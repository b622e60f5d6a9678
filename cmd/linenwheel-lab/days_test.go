package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDrawnDaysAreWrittenAndMadeSmaller(t *testing.T) {
	dir := t.TempDir()
	run := func(arguments ...string) (string, error) {
		var out bytes.Buffer
		err := daysCommand(streams{&out, &out}).ParseAndRun(context.Background(), append(arguments, "-to", dir))
		return out.String(), err
	}
	_, err := run("-seed", "3", "-count", "2", "-size", "5")
	require.NoError(t, err)
	for _, name := range []string{"drawn-3.toml", "drawn-4.toml"} {
		require.FileExists(t, filepath.Join(dir, name))
	}
	text, err := run("-seed", "3", "-size", "5", "-shrink", "false") // a day that breaks whatever is left of it
	require.NoError(t, err)
	require.Contains(t, text, "0 of 5 disruptions are left")
	small, err := os.ReadFile(filepath.Join(dir, "drawn-3-shrunk.toml"))
	require.NoError(t, err)
	require.Contains(t, string(small), "plan = [\n]")
	_, err = run("-seed", "3", "-shrink", "true")
	require.ErrorContains(t, err, "does not break")
	_, err = run("-count", "0")
	require.Error(t, err)
}

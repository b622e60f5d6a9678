package main

import (
	"bytes"
	"context"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a measurement whose output is lost on a full disk and that says that all is well.
func TestFullOutputFails(t *testing.T) {
	full, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
	require.NoError(t, err)
	defer func() { _ = full.Close() }()
	for _, args := range [][]string{
		{"sim", "fleet-calm", "-nodes", "2", "-seeds", "1", "-policies", "two", "-measure=false", "-quiet"},
		{"list"},
	} {
		var errs bytes.Buffer
		require.Equal(t, 1, run(context.Background(), args, streams{full, &errs}), args)
		require.Contains(t, errs.String(), "no space left on device", args)
	}
}

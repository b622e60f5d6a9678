package main

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/lab/circle/built"
)

// binaries is the folder of the programs, built once.
var binaries string

func TestMain(m *testing.M) {
	built.Main(m.Run, &binaries, false, "linenwheel-control", "linenwheel-data", "lab/streams")
}

// Guards against streams that end as complete too early, and against tokens that come twice, in the wrong order or not at all.
func TestStreamsAreWholeOrVisiblyCut(t *testing.T) {
	require.NoError(t, built.Look())
	for _, test := range []struct {
		seed    uint64
		trouble bool
	}{{1, false}, {2, true}} {
		result, err := Play(Options{Seed: test.seed, Streams: 250, Trouble: test.trouble, Binaries: binaries, Folder: t.TempDir(),
			Program: filepath.Join(binaries, "streams")})
		require.NoError(t, err)
		t.Log(result)
		assert.Empty(t, result.Broken)
	}
}

package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func lab(t *testing.T, args ...string) (status int, out, errs string) {
	t.Helper()
	var o, e bytes.Buffer
	status = run(context.Background(), args, streams{out: &o, errs: &e})
	return status, o.String(), e.String()
}

// Guards the way from a matrix to the replay of one of its days: the file holds all that is needed, the day comes out with
// its digest, and one that does not is told.
func TestSimAndReplay(t *testing.T) {
	file := filepath.Join(t.TempDir(), "m.json")
	status, out, errs := lab(t, "sim", "hang", "-policies", "linenwheel,two", "-seeds", "2-3", "-seconds", "4", "-nodes", "1,3",
		"-json", file, "-quiet")
	require.Zero(t, status, errs)
	require.Contains(t, out, "hang nodes=3 seconds=4")
	status, out, errs = lab(t, "replay", file, "-cell", "3", "-seed", "3", "-request", "#20")
	require.Zero(t, status, errs)
	require.Contains(t, out, "hang nodes=3 seconds=4 two, seed 3")
	require.Contains(t, out, "settled")
	status, out, errs = lab(t, "sim", "hang", "-policies", "two", "-seeds", "2-3", "-seconds", "4", "-nodes", "1", "-against", file, "-quiet")
	require.Zero(t, status, errs)
	require.Contains(t, out, "+0.0000 ± 0.0000") // the same day again
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	i := bytes.LastIndex(text, []byte(`"digest": "`)) + len(`"digest": "`)
	page := filepath.Join(t.TempDir(), "f.html")
	status, _, errs = lab(t, "replay", "hang", "-page", page)
	require.Zero(t, status, errs)
	html, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Equal(t, 10, strings.Count(string(html), "<svg"), "all raters and each rater, five charts each")
	copy(text[i:], "0000")
	require.NoError(t, os.WriteFile(file, text, 0o644))
	status, _, errs = lab(t, "replay", file, "-cell", "3", "-seed", "3")
	require.Equal(t, 1, status)
	require.Contains(t, errs, "plays the day otherwise")
}

// Guards against a wrong command line that plays something else than was asked for: each ends with status 2 and says what
// is wrong.
func TestSimRefuses(t *testing.T) {
	for want, args := range map[string]string{
		"want an experiment":          "sim",
		"no experiment \"nowhere\"":   "sim nowhere",
		"no policy \"best\"":          "sim calm -policies best",
		"-nodes: \"1.5\"":             "sim calm -nodes 1.5",
		"-seeds: \"x\" is no seed":    "sim calm -seeds x",
		"3 is none of the 2 of the":   "sim testdata/stale.toml -nodes 2",
		"is neither an id nor":        "replay calm -request zebra",
		"want one file, experiment o": "replay",
	} {
		status, _, errs := lab(t, strings.Fields(args)...)
		require.Equal(t, 2, status, args)
		require.Contains(t, errs, want)
	}
}

package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/node/options"
)

// Guards against a page or an example that is stale, and against a field that nobody has explained.
func TestPagesAreFresh(t *testing.T) {
	docs, err := read("..")
	require.NoError(t, err)
	for path, want := range map[string]string{pagePath: page(docs), examplePath: example(docs)} {
		got, err := os.ReadFile(filepath.Join("..", path))
		require.NoError(t, err)
		assert.Equal(t, want, string(got), "run go generate ./internal/node/options")
	}
	each(docs, func(table options.Table, doc string) { assert.NotEmpty(t, doc, table.Path) },
		func(_, doc string, f options.Field) { assert.NotEmpty(t, doc, f.Path) })
}

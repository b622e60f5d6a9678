package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a keeper that starts without knowing who it is, and against a bad file that is told without its place.
func TestBadConfiguration(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"", "peers.fleet is empty"},
		{"[peers]\nfleet = \"f\"\nkeepers = [\"a\"]\n[[peers.member]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\n", "peers.name is empty"},
		{"[peers]\nfleet = \"f\"\nname = \"b\"\nkeepers = [\"a\"]\n[[peers.member]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\n", `no "b"`},
		{"[peers]\nfleet = \"f\"\nkeepers = [\"a\", \"b\"]\n", "o.toml:3:1: peers.keepers"},
		{"[peers]\nfleet = \"f\"\nkeepers = [\"a\"]\nelection = \"50ms\"\n[[peers.member]]\nname = \"a\"\naddress = \"h:1\"\n", "less than three times heartbeat"},
		{"[[peers.member]]\nname = \"a\"\naddress = \"nowhere\"\n", "wants HOST:PORT"},
	} {
		path := filepath.Join(t.TempDir(), "o.toml")
		require.NoError(t, os.WriteFile(path, []byte(c.text), 0o600))
		var errs bytes.Buffer
		assert.Equal(t, 2, run(context.Background(), []string{"-options", path}, func(string) string { return "" }, &errs), c.text)
		assert.Contains(t, errs.String(), c.want)
	}
}

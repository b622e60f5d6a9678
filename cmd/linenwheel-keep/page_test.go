package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/loopback"
	"linenwheel.dev/linenwheel/lab/circle/built"
)

// Guards against a page of operators' commands of which one fails, or that lead elsewhere than it says: they are given as written, one after
// the other, but for the build and the addresses.
func TestLifePage(t *testing.T) {
	require.NoError(t, built.Look())
	programs, err := built.Programs(false, "linenwheel", "linenwheel-keep")
	require.NoError(t, err)
	defer func() { _ = os.RemoveAll(programs) }()
	read := func(path string) string {
		text, err := os.ReadFile(filepath.Join("..", "..", path))
		require.NoError(t, err)
		return string(text)
	}
	network, err := loopback.Reserve()
	require.NoError(t, err)
	defer func() { _ = network.Release() }()
	host := network.Host(1) + ":"
	script := []string{"trap 'kill -9 $(jobs -p); wait' EXIT"}
	for _, line := range strings.Split(read("docs/operate/life.md"), "\n") {
		if command, ok := strings.CutPrefix(line, "    "); ok && command != "make build" {
			script = append(script, strings.ReplaceAll(command, "127.0.0.1:", host))
		}
	}
	require.Greater(t, len(script), 30)
	dir := t.TempDir()
	require.NoError(t, os.Symlink(programs, filepath.Join(dir, "bin")))
	require.NoError(t, os.MkdirAll(filepath.Join(dir, "deploy/peers"), 0o755))
	for _, name := range []string{"deploy/peers/one-machine.toml", "deploy/peers/raters.toml", "deploy/peers/node.json"} {
		text := strings.ReplaceAll(read(name), "127.0.0.1:", host)
		text = strings.Replace(text, "[peers]\n", "[peers]\npatience = \"1m\"\n", 1)
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Minute)
	defer stop()
	c := exec.CommandContext(ctx, "bash", "-ec", strings.Join(script, "\n"))
	c.Dir, c.WaitDelay = dir, time.Second
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // with all that it starts
	c.Cancel = func() error { return syscall.Kill(-c.Process.Pid, syscall.SIGKILL) }
	said, err := c.CombinedOutput()
	require.NoError(t, err, string(said))
	for _, want := range []string{"3 keepers are founded", "agreed: number 1 holds everywhere", "b votes, as number", "e votes, as number",
		"d, number", "version 2 of the log is used", `The fleet "trial-2" goes on`, "c votes, as number", `The fleet "trial-3" goes on`} {
		assert.Contains(t, string(said), want)
	}
	t.Log(string(said))
}

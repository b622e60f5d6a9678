package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const good = `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","limits":{"cores":1,"memory_mb":192,"sockets":1024},
"settings":{"group_size":1,"locality":"z","zones":["z"],"machine_types":["k"],
"classes":[{"name":"pay","effect":"non_idempotent","on_time_s":1.5,"hard_limit_s":5,"worth":3}],
"limits":{"max_attempts":6,"connect_timeout_s":0.25,"conn_idle_s":30}}}`

// Guards against a node that starts on a bad command line or configuration, or ends with a status or a text that
// tells nothing.
func TestCommands(t *testing.T) {
	dir := t.TempDir()
	path, bad := filepath.Join(dir, "good.json"), filepath.Join(dir, "bad.json")
	require.NoError(t, os.WriteFile(path, []byte(good), 0o600))
	require.NoError(t, os.WriteFile(bad, []byte(`{"listen":"here"}`), 0o600))
	for _, c := range []struct {
		args      []string
		status    int
		out, errs string
	}{
		{[]string{"version"}, 0, "linenwheel " + version + "\n", ""},
		{[]string{"check", "-config", path}, 0, "linenwheel: the configuration is good\n", ""},
		{[]string{"check", "-config", bad}, 2, "", "linenwheel: configuration: listen: not an ip:port\n"},
		{[]string{"-config", bad}, 2, "", "linenwheel: configuration: listen: not an ip:port\n"},
		{nil, 2, "", "linenwheel: configuration: ROUTER_CONFIG: missing\n"},
		{[]string{"dance"}, 2, "", usage},
		{[]string{"serve", "now"}, 2, "", usage},
	} {
		var out, errs bytes.Buffer
		assert.Equal(t, c.status, run(c.args, func(string) string { return "" }, &out, &errs), c.args)
		assert.Equal(t, c.out, out.String(), c.args)
		assert.Contains(t, errs.String(), c.errs, c.args)
	}
}

// lines passes each log line on.
type lines chan string

func (l lines) Write(b []byte) (int, error) { l <- string(b); return len(b), nil }

// Guards against a SIGHUP that ends the process, that reads nothing again, or that takes a bad file.
func TestHangup(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write(strings.Replace(good, "127.0.0.1:1", "127.0.0.1:0", 1))
	log, status := make(lines, 64), make(chan int, 1)
	go func() { status <- run([]string{"-config", path}, func(string) string { return "" }, log, log) }()
	await := func(part string) {
		for end := time.After(10 * time.Second); ; {
			select {
			case line := <-log:
				if strings.Contains(line, part) {
					return
				}
			case <-end:
				require.Fail(t, "not logged", part)
			}
		}
	}
	await("is ready")
	write(strings.Replace(good, "127.0.0.1:2", "127.0.0.1:3", 1))
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	await("discovery is at 127.0.0.1:3; a new name, listen")
	write("{")
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	await("the new configuration is bad and the old one stays: ROUTER_CONFIG")
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	await("stopped, all is answered")
	assert.Equal(t, 0, <-status)
}

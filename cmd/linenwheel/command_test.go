package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/node/config"
)

const good = `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","limits":{"cores":1,"memory_mb":192,"sockets":1024},
"settings":{"group_size":1,"locality":"z","zones":["z"],"machine_types":["k"],
"classes":[{"name":"pay","effect":"non_idempotent","on_time_s":1.5,"hard_limit_s":5,"worth":3}],
"limits":{"max_attempts":6,"connect_timeout_s":0.25,"conn_idle_s":30}}}`

// Guards against a node that starts on a bad command line or configuration, and one that ends with a status or a text
// that tells nothing: each fault is a line with file, line, column and field, and a bad command line shows the usage of
// its sub-command.
func TestCommands(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	path, bad := file("good.json", good), file("bad.json", `{"listen":"here"}`)
	opts, odd := file("good.toml", "[south]\nidle_part = 0.4\n"), file("odd.toml", "[south]\nidle_part = 2\nx = 1\n")
	small := file("small.toml", "[service]\nreserve = 1200\n")
	const badListen = "linenwheel: configuration: DIR/bad.json:1:11: listen: not an ip:port"
	const oddPart = "linenwheel: configuration: DIR/odd.toml:2:1: south.idle_part: 2 is above 1"
	for _, c := range []struct {
		args      string
		status    int
		out, errs string
	}{
		{"version", 0, "linenwheel " + version, ""},
		{"check -config " + path, 0, "linenwheel: the configuration is good\n", ""},
		{"check -config " + path + " -options " + opts, 0, "linenwheel: the configuration is good\n", ""},
		{"check -config " + bad, 2, "", badListen + "\n"},
		{"check -config " + bad + " -options " + odd, 2, "", oddPart + "\n"},
		{"check -config " + bad + " -options " + odd, 2, "", "settings.classes: missing\n"},
		{"-config " + bad, 2, "", badListen + " (and "},
		{"-config " + path + " -options " + odd, 2, "", oddPart + " (and 1 more: see linenwheel check)\n"},
		{"-config " + path + " -options " + small, 2, "", "small.toml:2:1: service.reserve: no connection to hosts is left"},
		{"-config " + path + " -options DIR/none", 2, "", "configuration: DIR/none: no such file"},
		{"", 2, "", "linenwheel: configuration: ROUTER_CONFIG: missing\n"},
		{"dance", 2, "", "linenwheel [serve|check|config|inventory|quota|repeats|status|peers|policy|raters|keep|lab|version] [flags]"},
		{"lab run calm", 1, "", "linenwheel-lab does not start: no such file"},
		{"serve now", 2, "", "USAGE\n  linenwheel serve [flags]"},
		{"check -x", 2, "", "USAGE\n  linenwheel check [flags]"},
		{"config -h", 0, "", "USAGE\n  linenwheel config [flags]"},
	} {
		var out, errs bytes.Buffer
		args := strings.Fields(strings.ReplaceAll(c.args, "DIR", dir))
		assert.Equal(t, c.status, run(args, func(string) string { return "" }, &out, &errs), c.args)
		assert.True(t, strings.HasPrefix(out.String(), c.out) && (c.out != "" || out.Len() == 0), out.String())
		assert.Contains(t, strings.ReplaceAll(errs.String(), dir, "DIR"), c.errs, c.args)
	}
}

// Guards against an effective configuration that names the wrong source of a value, or shows a secret.
func TestConfigNamesSources(t *testing.T) {
	dir := t.TempDir()
	path, opts := filepath.Join(dir, "config.json"), filepath.Join(dir, "o.toml")
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(good, "{", `{"seed":"ff",`, 1)), 0o600))
	require.NoError(t, os.WriteFile(opts, []byte("[log]\n\nlevel = \"debug\"\n"), 0o600))
	env := map[string]string{"ROUTER_NAME": "n7", "LINENWHEEL_OPTIONS": opts}
	var out, errs bytes.Buffer
	require.Zero(t, run([]string{"-config", path, "config"}, func(name string) string { return env[name] }, &out, &errs))
	for _, line := range []string{
		`ROUTER_CONFIG "` + path + `" flag`, `LINENWHEEL_OPTIONS "` + opts + `" environment`,
		`name "n7" environment ROUTER_NAME`, `seed "***" file ` + path + ":1", "limits.cores 1 file " + path + ":1",
		"settings.limits.max_open 0 default", `log.level "debug" file ` + opts + ":3", "south.settle 5ms default",
	} {
		assert.Contains(t, strings.Join(strings.Fields(out.String()), " "), line)
	}
	out.Reset()
	require.Zero(t, run([]string{"config", "-json", "-config", path}, func(string) string { return "" }, &out, &errs))
	var all effective
	require.NoError(t, json.Unmarshal(out.Bytes(), &all))
	assert.Contains(t, all.Options, config.Value{Field: "south.settle", Value: "5ms", Source: "default"})
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
		for end := time.After(2 * time.Minute); ; {
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
	await("the node is ready")
	write(strings.Replace(good, "127.0.0.1:2", "127.0.0.1:3", 1))
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	await(`configuration reloaded" node="" part=node discovery=127.0.0.1:3 taken=[] waiting=[listen]`)
	write("{")
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	await(`configuration reload failed; keeping the previous configuration" node="" part=node error="` + path)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	await("node stopped; all requests were answered")
	assert.Equal(t, 0, <-status)
}

// Guards against files for a first try (README) that the node would refuse.
func TestFilesToTry(t *testing.T) {
	var out, errs bytes.Buffer
	status := run([]string{"check", "-config", "../../deploy/peers/node.json", "-options", "../../deploy/peers/one-machine.toml"},
		func(string) string { return "" }, &out, &errs)
	assert.Equal(t, 0, status, "%s%s", out.String(), errs.String())
}

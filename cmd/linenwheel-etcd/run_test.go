package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/loopback"
	"linenwheel.dev/linenwheel/internal/node/endpoints/agent"
	"linenwheel.dev/linenwheel/lab/etcdtest"
)

// output records what a process writes.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

func (o *output) has(part string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Contains(o.text.String(), part)
}

// Guards against invalid options that are not reported, and against reports that contain the password.
func TestBadOptions(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "o.toml")
	for text, want := range map[string]string{
		"": "inventory.etcd.endpoints: there is none", "endpoints = [\"a\"]": "\"a\" is not host:port",
		"endpoints = [\"a:1\"]\nuser = \"u\"\npassword_file = \"DIR/none\"": "password_file", "endpoints = [\"a:1\"]\nca_file = \"DIR/o.toml\"": "contains no certificate",
		"endpoints = [\"a:1\"]\ncert_file = \"DIR/o.toml\"\nkey_file = \"DIR/o.toml\"": "cert_file", "password = \"secret\"": "a password without a user",
		"agent = \"0.0.0.0:1\"": "not an address of this machine alone", "history = \"x\"": "does not begin with a cluster's id", "prefix = \"\"": "prefix is empty",
		"silence = \"1s\"": "ask_every, 1s, is not shorter", "first_pause = \"2s\"": "is longer than last_pause", "agent = \"x\"": "agent",
	} {
		require.NoError(t, os.WriteFile(path, []byte("[inventory.etcd]\n"+strings.ReplaceAll(text, "DIR", dir)), 0o600))
		errs := new(output)
		assert.Equal(t, 2, run(t.Context(), []string{"-options", path}, func(string) string { return "" }, io.Discard, errs, nil), text)
		assert.True(t, errs.has(want), errs.text.String())
		assert.False(t, errs.has("secret"))
	}
	require.NoError(t, os.WriteFile(path, []byte("[inventory.etcd]\nendpoints = [\"a:1\"]\n"), 0o600))
	for args, status := range map[string]int{"-check": 0, "-h": 0, "-x": 2, "surplus": 2} {
		assert.Equal(t, status, run(t.Context(), strings.Fields(args), func(string) string { return path }, io.Discard, io.Discard, nil), args)
	}
	full, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
	require.NoError(t, err)
	defer func() { _ = full.Close() }()
	assert.Equal(t, 1, run(t.Context(), []string{"-check"}, func(string) string { return path }, full, io.Discard, nil), "a write error must give exit status 1")
}

// Guards against a list that does not get from the cluster to a node's requests, a reload that is ignored or that
// accepts an invalid file, and a process that leaks goroutines or sockets.
func TestFromClusterToCalls(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	defer http.DefaultClient.CloseIdleConnections()
	c, err := etcdtest.New(etcdtest.Settings{Members: 1, Clock: clock.NewSystem()})
	require.NoError(t, err)
	defer c.Close()
	c.Protect("node", "secret")
	addr, err := loopback.FreeAddress()
	require.NoError(t, err)
	dir := t.TempDir()
	path, secret := filepath.Join(dir, "o.toml"), filepath.Join(dir, "password")
	require.NoError(t, os.WriteFile(secret, []byte("wrong\n"), 0o600))
	options := fmt.Sprintf("[inventory.etcd]\nagent = %q\nendpoints = [%q]\nprefix = \"r/\"\nuser = \"node\"\npassword_file = %q\n", addr,
		c.Endpoints()[0], secret)
	require.NoError(t, os.WriteFile(path, []byte(options), 0o600))
	ctx, cancel := context.WithCancel(t.Context())
	errs, reloads, status := new(output), make(chan os.Signal, 1), make(chan int, 1)
	go func() {
		status <- run(ctx, []string{"-options", path}, func(string) string { return "" }, io.Discard, errs, reloads)
	}()
	await := func(part string) {
		for end := time.Now().Add(2 * time.Minute); !errs.has(part); time.Sleep(time.Millisecond) {
			require.True(t, time.Now().Before(end), "not logged: %s", part)
		}
	}
	call := func(query string) (a agent.Response) {
		got, err := http.Get("http://" + addr + "/discovery/hosts" + query)
		require.NoError(t, err)
		defer func() { _ = got.Body.Close() }()
		require.Equal(t, 200, got.StatusCode)
		require.NoError(t, json.NewDecoder(got.Body).Decode(&a))
		return a
	}
	c.Put("r/a", `{"name":"a","address":"10.0.0.1:80","zone":"z","type":"k","status":"Ready","weight":1}`)
	await("authentication failed, invalid user ID or password")
	require.NoError(t, os.WriteFile(path, []byte("[inventory"), 0o600))
	reloads <- os.Interrupt
	await("options reload failed; keeping the previous options")
	require.NoError(t, os.WriteFile(path, []byte(options), 0o600))
	require.NoError(t, os.WriteFile(secret, []byte("secret\n"), 0o600))
	reloads <- os.Interrupt
	await("watching etcd")
	a := call("")
	assert.Equal(t, []any{true, "a", "c1"}, []any{a.Snapshot, a.Endpoints[0].Name, a.Origin.Epoch})
	go c.Write(map[string]string{"r/a": "", "r/@confirm": "4"})
	a = call(fmt.Sprintf("?index=%d&epoch=c1&wait=30000", a.Index))
	assert.Equal(t, []any{false, "Gone", uint64(4)}, []any{a.Snapshot, a.Endpoints[0].Status, a.Origin.Confirm})
	assert.True(t, call("?look=1").Origin.Reread)
	cancel()
	assert.Zero(t, <-status)
	assert.False(t, errs.has("secret\"") || errs.has("=secret"))
}

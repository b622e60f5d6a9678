package daemon

import (
	"bytes"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/node/config"
	"linenwheel.dev/linenwheel/internal/node/options"
)

// Guards against a signal to end that came before there was a node and is taken for one that broke a takeover off: the
// process ended with status 1 and reset what waited at its socket. Which of two pieces of news is heard first is chance,
// so there are some rounds. Discovery is silent all the time.
func TestSignalToEndBeforeTheNodeRuns(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer silent.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(`{"listen":"127.0.0.1:0","discovery":"HERE",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},
		"settings":{"group_size":1,"locality":"z","zones":["z"],"machine_types":["k"],
		"classes":[{"name":"pay","effect":"non_idempotent","on_time_s":1.5,"hard_limit_s":5,"worth":3}],
		"limits":{"max_attempts":6,"connect_timeout_s":0.25,"conn_idle_s":30}}}`, "HERE", silent.Addr().String(), 1)), 0o600))
	env := func(name string) string { return map[string]string{"ROUTER_CONFIG": path}[name] }
	conf, err := config.Load(env)
	require.NoError(t, err)
	o := options.Default()
	o.Service.AcceptFor.Ms, o.Platform.ConnectFor.Ms, o.Platform.ConnectSure.Ms = 0, 0, 0 // nobody comes
	for range 20 {
		var log bytes.Buffer
		end := make(chan os.Signal, 1)
		end <- syscall.SIGTERM
		err := Run(Settings{Config: conf, Options: &o, Log: slog.New(slog.NewTextHandler(&log, nil)), Env: env},
			Signals{End: end})
		require.NoError(t, err)
		require.Contains(t, log.String(), "node stopped; all requests were answered")
	}
}

package process

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/settings"
)

type idleProcess struct{}

func (idleProcess) Run(context.Context) error        { return nil }
func (idleProcess) ApplySettings(*settings.Settings) {}

func run(t *testing.T, content string, args ...string) (int, string, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "boot.conf")
	require.NoError(t, os.WriteFile(path, []byte(content), 0o644))
	program := Program{Name: "linenwheel-test",
		Start:         func(*settings.Settings, *log.Logger) (Process, error) { return idleProcess{}, nil },
		StatusAddress: func(*settings.Settings) string { return "127.0.0.1:1" }}
	var stdout, stderr bytes.Buffer
	code := program.Main(append([]string{"--settings", path}, args...), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

const validSettings = "Ip=127.0.0.1\nInternalPorts=7680,7690\n"

func TestCheckValidatesSettingsAndExits(t *testing.T) {
	code, stdout, _ := run(t, validSettings, "--check")
	require.Zero(t, code)
	require.Contains(t, stdout, "is valid")
}

func TestInvalidSettingsErrorNamesFileAndKey(t *testing.T) {
	code, _, stderr := run(t, validSettings+"Bootstrap=perhaps\n")
	require.Equal(t, exitSettings, code)
	require.Contains(t, stderr, "boot.conf")
	require.Contains(t, stderr, "Bootstrap")
}

func TestUnknownFlagOrCommandIsRejected(t *testing.T) {
	code, _, stderr := run(t, validSettings, "--none")
	require.Equal(t, exitSettings, code)
	require.Contains(t, stderr, "none")
	code, _, stderr = run(t, validSettings, "bogus")
	require.Equal(t, exitSettings, code)
	require.Contains(t, stderr, "bogus")
}

func TestHelpExitsWithoutError(t *testing.T) {
	code, stdout, _ := run(t, validSettings, "--help")
	require.Zero(t, code)
	require.Contains(t, stdout, "--settings")
}

func TestStatusWithoutRunningProcessFails(t *testing.T) {
	code, _, stderr := run(t, validSettings, "status")
	require.Equal(t, exitFailed, code)
	require.Contains(t, stderr, "no answer")
}

func TestServeRunsTheProcess(t *testing.T) {
	code, _, _ := run(t, validSettings, "--log-level", "error")
	require.Zero(t, code)
}

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

type nothing struct{}

func (nothing) Run(context.Context) error        { return nil }
func (nothing) ApplySettings(*settings.Settings) {}

func run(t *testing.T, content string, args ...string) (int, string, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "boot.conf")
	require.NoError(t, os.WriteFile(path, []byte(content), 0o644))
	binary := Program{Name: "linenwheel-test",
		Start:         func(*settings.Settings, *log.Logger) (Process, error) { return nothing{}, nil },
		StatusAddress: func(*settings.Settings) string { return "127.0.0.1:1" }}
	var stdout, stderr bytes.Buffer
	code := binary.Main(append([]string{"--settings", path}, args...), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

const good = "Ip=127.0.0.1\nInternalPorts=7680,7690\n"

func TestCheckReadsTheSettingsAndEnds(t *testing.T) {
	code, stdout, _ := run(t, good, "--check")
	require.Zero(t, code)
	require.Contains(t, stdout, "in order")
}

func TestAFaultNamesFileAndKeyAndEndsWithTwo(t *testing.T) {
	code, _, stderr := run(t, good+"Bootstrap=perhaps\n")
	require.Equal(t, exitSettings, code)
	require.Contains(t, stderr, "boot.conf")
	require.Contains(t, stderr, "Bootstrap")
}

func TestAnUnknownFlagOrCommandEndsWithTwo(t *testing.T) {
	code, _, stderr := run(t, good, "--none")
	require.Equal(t, exitSettings, code)
	require.Contains(t, stderr, "none")
	code, _, stderr = run(t, good, "dance")
	require.Equal(t, exitSettings, code)
	require.Contains(t, stderr, "dance")
}

func TestHelpIsNoFault(t *testing.T) {
	code, stdout, _ := run(t, good, "--help")
	require.Zero(t, code)
	require.Contains(t, stdout, "--settings")
}

func TestStatusOfAProcessThatIsNotThere(t *testing.T) {
	code, _, stderr := run(t, good, "status")
	require.Equal(t, exitFailed, code)
	require.Contains(t, stderr, "no answer")
}

func TestServeRunsTheProcess(t *testing.T) {
	code, _, _ := run(t, good, "--log-level", "error")
	require.Zero(t, code)
}

// Package process is what both programs of the fleet share: the command line, the settings file and its reloads, the log,
// signals and exit codes.
package process

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jessevdk/go-flags"

	"linenwheel.dev/linenwheel/internal/fleet/replica"
	"linenwheel.dev/linenwheel/internal/fleet/settings"
)

// Exit codes.
const (
	exitFailed   = 1 // the process could not go on
	exitSettings = 2 // the command line or the settings file is at fault
)

// Parameters of a process.
const (
	settingsPollInterval = 2 * time.Second // between looks at the settings file: it may change without a signal
	heapFraction         = 0.7             // of the memory limit that the heap may fill before it is collected harder
	gcPercent            = 60              // percent that the heap may grow between collections
	statusTimeout        = 2 * time.Second
)

// Process is the work of one program.
type Process interface {
	// Run serves until the context ends and then shuts down gracefully. An error means that the process could not go on.
	Run(ctx context.Context) error
	// ApplySettings applies a settings file that has changed. It is called beside Run, from another goroutine.
	ApplySettings(set *settings.Settings)
}

// Program describes a program.
type Program struct {
	Name string
	// Start assembles the process; it does not serve yet.
	Start func(set *settings.Settings, logger *log.Logger) (Process, error)
	// StatusAddress is the address at which a running process answers GET /-/status.
	StatusAddress func(set *settings.Settings) string
	// Export writes what is stored on this machine's disk, while no process serves. Nil: the program stores nothing.
	Export func(set *settings.Settings, stdout io.Writer) error
}

// commandLine is the command line of both programs.
type commandLine struct {
	Settings string `long:"settings" description:"path of the settings file; before the environment variable LINENWHEEL_SETTINGS"`
	Check    bool   `long:"check" description:"read and check the settings file, and end"`
	Log      string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level that is logged"`
	Args     struct {
		Command string `positional-arg-name:"COMMAND" description:"serve (the default); status: what the running process tells of itself; export (control): the configuration on a disk that no process uses"`
	} `positional-args:"yes"`
}

// Main runs a program and returns its exit code.
func (b *Program) Main(args []string, stdout, stderr io.Writer) int {
	var line commandLine
	parser := flags.NewParser(&line, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = b.Name
	if _, err := parser.ParseArgs(args); err != nil {
		var fault *flags.Error
		if errors.As(err, &fault) && fault.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(stdout, err)
			return 0
		}
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", b.Name, err)
		return exitSettings
	}
	path := line.Settings
	if path == "" {
		path = settings.Path()
	}
	set, err := settings.Read(path)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", b.Name, err)
		return exitSettings
	}
	switch {
	case line.Check:
		_, _ = fmt.Fprintf(stdout, "%s: settings %s are in order\n", b.Name, path)
		return 0
	case line.Args.Command == "status":
		return b.status(set, stdout, stderr)
	case line.Args.Command == "export" && b.Export != nil:
		return b.export(set, stdout, stderr)
	case line.Args.Command == "" || line.Args.Command == "serve":
		return b.serve(set, line.Log, stderr)
	}
	_, _ = fmt.Fprintf(stderr, "%s: unknown command %q: %s\n", b.Name, line.Args.Command, b.commands())
	return exitSettings
}

// commands names the commands of the program.
func (b *Program) commands() string {
	if b.Export == nil {
		return "serve or status"
	}
	return "serve, status or export"
}

// export prints what is stored on this machine's disk.
func (b *Program) export(set *settings.Settings, stdout, stderr io.Writer) int {
	if err := b.Export(set, stdout); err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: export: %v\n", b.Name, err)
		return exitFailed
	}
	return 0
}

// status prints the status of a running process.
func (b *Program) status(set *settings.Settings, stdout, stderr io.Writer) int {
	client := http.Client{Timeout: statusTimeout}
	response, err := client.Get("http://" + b.StatusAddress(set) + "/-/status")
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: no answer: %v\n", b.Name, err)
		return exitFailed
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(stdout, response.Body); err != nil || response.StatusCode != http.StatusOK {
		_, _ = fmt.Fprintf(stderr, "%s: status %d, %v\n", b.Name, response.StatusCode, err)
		return exitFailed
	}
	return 0
}

func (b *Program) serve(set *settings.Settings, level string, stderr io.Writer) int {
	logger := newLogger(level, stderr)
	if set.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(set.MemoryMB) * (1 << 20)))
	}
	debug.SetGCPercent(gcPercent)
	replica.RegisterMessages()
	process, err := b.Start(set, logger)
	if err != nil {
		logger.Error("failed to start", "err", err)
		return exitFailed
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	go watchSettings(ctx, set.File, process, logger)
	if err := process.Run(ctx); err != nil {
		logger.Error("process failed", "err", err)
		return exitFailed
	}
	return 0
}

func newLogger(level string, stderr io.Writer) *log.Logger {
	logger := log.NewWithOptions(stderr, log.Options{ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Formatter: log.LogfmtFormatter})
	if parsed, err := log.ParseLevel(level); err == nil {
		logger.SetLevel(parsed)
	}
	return logger
}

// watchSettings reloads the settings file at SIGHUP and when it has changed, until the context ends. A file with an error changes
// nothing.
func watchSettings(ctx context.Context, path string, process Process, logger *log.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	changed := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if modTime(path).Equal(changed) {
				continue
			}
		}
		changed = modTime(path)
		set, err := settings.Read(path)
		if err != nil {
			logger.Error("failed to apply changed settings", "err", err)
			continue
		}
		logger.Info("settings reloaded", "seeds", set.Seeds)
		process.ApplySettings(set)
	}
}

func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

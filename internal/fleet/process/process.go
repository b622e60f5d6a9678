// Package process implements what the two programs of the fleet have in common: the command line, the settings
// file and its reloads, logging, signals and exit codes.
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
	exitFailed   = 1 // the process or the command failed
	exitSettings = 2 // the command line or the settings file is invalid
)

// Parameters of a process.
const (
	settingsPollInterval = 2 * time.Second // between checks of the settings file, which may change without a signal
	heapFraction         = 0.7             // of MemoryMB; the heap size from which the garbage collector works harder
	gcPercent            = 60              // percentage by which the heap may grow between collections
	statusTimeout        = 2 * time.Second
)

// Process is a running program's service.
type Process interface {
	// Run serves until the context is done and then shuts down gracefully. It returns an error if the process
	// failed.
	Run(ctx context.Context) error
	// ApplySettings applies a changed settings file. It is called concurrently with Run, from another goroutine.
	ApplySettings(set *settings.Settings)
}

// Program describes a program.
type Program struct {
	Name string
	// Start creates the process, which does not serve until Run is called.
	Start func(set *settings.Settings, logger *log.Logger) (Process, error)
	// StatusAddress returns the address at which a running process serves GET /-/status.
	StatusAddress func(set *settings.Settings) string
	// Export writes the data stored on this machine's disk, which no process may be using. Nil: the program stores
	// nothing.
	Export func(set *settings.Settings, stdout io.Writer) error
}

// commandLine holds the flags and arguments of both programs.
type commandLine struct {
	Settings string `long:"settings" description:"path of the settings file; before the environment variable LINENWHEEL_SETTINGS"`
	Check    bool   `long:"check" description:"read and check the settings file, and end"`
	Log      string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level that is logged"`
	Args     struct {
		Command string `positional-arg-name:"COMMAND" description:"serve (the default); status: what the running process tells of itself; export (control): the configuration on a disk that no process uses"`
	} `positional-args:"yes"`
}

// Main runs a program and returns its exit code.
func (p *Program) Main(args []string, stdout, stderr io.Writer) int {
	// First of all: a SIGHUP that comes before this ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	var line commandLine
	parser := flags.NewParser(&line, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = p.Name
	if _, err := parser.ParseArgs(args); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(stdout, err)
			return 0
		}
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", p.Name, err)
		return exitSettings
	}
	path := line.Settings
	if path == "" {
		path = settings.Path()
	}
	set, err := settings.Read(path)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", p.Name, err)
		return exitSettings
	}
	switch {
	case line.Check:
		_, _ = fmt.Fprintf(stdout, "%s: settings file %s is valid\n", p.Name, path)
		return 0
	case line.Args.Command == "status":
		return p.status(set, stdout, stderr)
	case line.Args.Command == "export" && p.Export != nil:
		return p.export(set, stdout, stderr)
	case line.Args.Command == "" || line.Args.Command == "serve":
		return p.serve(set, line.Log, stderr, hangups)
	}
	_, _ = fmt.Fprintf(stderr, "%s: unknown command %q: %s\n", p.Name, line.Args.Command, p.commands())
	return exitSettings
}

// commands lists the program's commands.
func (p *Program) commands() string {
	if p.Export == nil {
		return "serve or status"
	}
	return "serve, status or export"
}

// export prints the data stored on this machine's disk.
func (p *Program) export(set *settings.Settings, stdout, stderr io.Writer) int {
	if err := p.Export(set, stdout); err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: export: %v\n", p.Name, err)
		return exitFailed
	}
	return 0
}

// status prints the status of a running process.
func (p *Program) status(set *settings.Settings, stdout, stderr io.Writer) int {
	client := http.Client{Timeout: statusTimeout}
	response, err := client.Get("http://" + p.StatusAddress(set) + "/-/status")
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: no answer: %v\n", p.Name, err)
		return exitFailed
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(stdout, response.Body); err != nil || response.StatusCode != http.StatusOK {
		_, _ = fmt.Fprintf(stderr, "%s: status %d, %v\n", p.Name, response.StatusCode, err)
		return exitFailed
	}
	return 0
}

func (p *Program) serve(set *settings.Settings, level string, stderr io.Writer, hangups <-chan os.Signal) int {
	logger := newLogger(level, stderr)
	if set.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(set.MemoryMB) * (1 << 20)))
	}
	debug.SetGCPercent(gcPercent)
	replica.RegisterMessages()
	process, err := p.Start(set, logger)
	if err != nil {
		logger.Error("failed to start", "err", err)
		return exitFailed
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	go watchSettings(ctx, set.File, process, logger, hangups)
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

// watchSettings reloads the settings file on SIGHUP, of which hangups tells, and when it has changed, until the context is done. An
// invalid file is logged and otherwise ignored.
func watchSettings(ctx context.Context, path string, process Process, logger *log.Logger, hangups <-chan os.Signal) {
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

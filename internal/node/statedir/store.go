// Package statedir stores the state of a node in a directory that outlives its process, and reports after a
// restart how the previous process ended.
//
// The directory holds three files. `state` is a header line with the format, the length and the checksum, followed
// by one JSON object; it is replaced atomically by way of `state.new`. `crash` receives the output of the Go
// runtime when the process crashes. `lock` is locked by the process that may write. The state is at most maxState
// bytes.
package statedir

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
)

// Version is the version of the state file that is written; it and the previous one can be read.
const Version = 1

var stateForm = Form{Magic: "linenwheel state", What: "state of a node", Version: Version}

const (
	maxState  = 64 << 20
	maxCrash  = 1 << 10 // bytes of the crash output that are reported
	stateName = "state"
	crashName = "crash"
	lockName  = "lock"
)

// End is how a process ended.
type End string

// The ways in which a process ends. A process that is running, or was killed, has not recorded one.
const (
	Unknown    End = ""           // no previous process, or its state cannot be read
	Clean      End = "clean"      // stopped on request, with every call answered
	Unanswered End = "unanswered" // stopped on request, with calls left unanswered
	HandedOver End = "handed"     // another process took over
	Crashed    End = "crashed"    // the Go runtime reported a fatal error
	Killed     End = "killed"     // by a signal that cannot be caught, such as SIGKILL or the memory limit
	HostDown   End = "machine"    // the machine went down or was rebooted
)

// State is the content of the state file.
type State struct {
	Node      string          `json:"node"`
	Boot      string          `json:"boot"` // boot ID of the machine while the process ran
	PID       int             `json:"pid"`
	Release   string          `json:"release"`
	Started   float64         `json:"started"` // milliseconds since the Unix epoch
	Saved     float64         `json:"saved"`   // when this state was written, in the same unit
	End       End             `json:"end"`     // recorded by the process itself
	Open      int             `json:"open"`    // calls in flight when the state was written
	Counts    json.RawMessage `json:"counts,omitempty"`
	Knowledge json.RawMessage `json:"knowledge,omitempty"`
}

// Last describes the previous process as the directory shows it.
type Last struct {
	State
	End   End    // as far as it can be determined
	Crash string // the first lines of its crash output
}

// Store is a state directory. This process may write to it while it holds the lock.
type Store struct {
	dir  string
	boot string

	mu   sync.Mutex
	lock *os.File
}

// ErrBusy means that another process holds the lock of the directory.
var ErrBusy = errors.New("another process has it")

// Open locks a directory for this process and reads the state of the previous one. An error together with a Store
// names a state file that is ignored; with a nil Store the directory cannot be used at all.
func Open(dir, node string) (*Store, *Last, error) {
	s := &Store{dir: dir, boot: boot()}
	if err := s.Acquire(); err != nil {
		return nil, nil, err
	}
	last, err := s.read(node)
	if err == nil && last != nil {
		last.End, last.Crash = s.previousEnd(last.State)
	}
	s.captureCrashes()
	return s, last, err
}

// Release unlocks the directory for another process: this one writes nothing until it calls Acquire again.
func (s *Store) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lock != nil {
		_ = s.lock.Close()
		s.lock = nil
		_ = debug.SetCrashOutput(nil, debug.CrashOptions{})
	}
}

// Held reports whether this process holds the lock and may write.
func (s *Store) Held() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lock != nil
}

// Acquire locks the directory for this process, also again after Release. The error wraps ErrBusy if another process
// holds the lock.
func (s *Store) Acquire() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, err := os.OpenFile(filepath.Join(s.dir, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("the state directory: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrBusy
		}
		return fmt.Errorf("the state directory %s: %w", s.dir, err)
	}
	s.lock = f
	return nil
}

// captureCrashes makes the Go runtime write the output of a crash of this process to the crash file.
func (s *Store) captureCrashes() {
	f, err := os.OpenFile(filepath.Join(s.dir, crashName), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return // a crash will be reported as Killed
	}
	_ = debug.SetCrashOutput(f, debug.CrashOptions{})
	_ = f.Close() // the runtime has duplicated the descriptor
}

// previousEnd determines how the process that wrote the state ended, and returns the first lines of its crash output.
func (s *Store) previousEnd(last State) (End, string) {
	text, _ := os.ReadFile(filepath.Join(s.dir, crashName))
	switch {
	case last.End != Unknown:
		return last.End, ""
	case len(text) > 0:
		text = text[:min(len(text), maxCrash)]
		head, _, _ := strings.Cut(string(text), "\n\n")
		return Crashed, head
	case last.Boot != s.boot:
		return HostDown, ""
	}
	return Killed, ""
}

// Write replaces the state atomically: after a crash the file holds either the old or the new state in full. It does
// nothing while this process does not hold the lock.
func (s *Store) Write(state State) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lock == nil {
		return nil // another process may hold the lock
	}
	state.Boot = s.boot
	text, err := Encode(state)
	if err == nil {
		err = WriteFileAtomic(filepath.Join(s.dir, stateName), text)
	}
	if err != nil {
		return fmt.Errorf("writing the state: %w", err)
	}
	return nil
}

// read returns the state of the node's previous process, nil if there is none.
func (s *Store) read(node string) (*Last, error) {
	path := filepath.Join(s.dir, stateName)
	text, err := ReadFile(path, maxState)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	var state State
	if err == nil {
		state, err = Decode(text)
	}
	if err == nil && state.Node != node {
		err = fmt.Errorf("it is of node %q", state.Node)
	}
	if err != nil {
		return nil, fmt.Errorf("the state at %s is ignored: %w", path, err)
	}
	return &Last{State: state}, nil
}

// Encode returns the content of a state file. The error says that the state cannot be encoded or exceeds maxState
// bytes.
func Encode(s State) ([]byte, error) {
	body, err := json.Marshal(s)
	if err == nil && len(body) > maxState {
		err = fmt.Errorf("a state of %d bytes exceeds the maximum size", len(body))
	}
	if err != nil {
		return nil, err
	}
	return stateForm.Encode(body), nil
}

// Decode parses the content of a state file. The error says what is wrong with it.
func Decode(text []byte) (s State, err error) {
	body, _, err := stateForm.Decode(text[:min(len(text), maxState)])
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return State{}, fmt.Errorf("reading it: %w", err)
	}
	return s, nil
}

// boot returns the boot ID of the machine, which changes with each boot; empty if it cannot be read.
func boot() string {
	text, _ := os.ReadFile("/proc/sys/kernel/random/boot_id")
	return strings.TrimSpace(string(text))
}

// Package statedir keeps what a node knows in a directory that outlives its process, and tells after the next start how
// the last process ended.
//
// The directory holds three files. `state` is a line of text, which names the form, the length and the checksum, and one
// JSON object; it is replaced as a whole, by way of `state.new`. `crash` gets what the runtime writes when the process
// dies of a fault of its own. `lock` is locked by the process that writes. A file is at most maxState bytes.
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

// Version is the form of the file that is written; it and the one before are read.
const Version = 1

var stateForm = Form{Magic: "linenwheel state", What: "state of a node", Version: Version}

const (
	maxState  = 64 << 20
	maxCrash  = 1 << 10 // bytes of a crash that are told
	stateName = "state"
	crashName = "crash"
	lockName  = "lock"
)

// End is how a process ended.
type End string

// The ends. A process that is running, or was killed, has told none.
const (
	Unknown    End = ""           // there was none, or its file cannot be read
	Clean      End = "clean"      // told to stop, and all was answered
	Unanswered End = "unanswered" // told to stop, and calls were left unanswered
	HandedOver End = "handed"     // another process took over
	Crashed    End = "crashed"    // died of a fault of its own
	Killed     End = "killed"     // by whatever cannot be caught: SIGKILL, the memory limit
	HostDown   End = "machine"    // the machine went down under it
)

// State is what is kept.
type State struct {
	Node      string          `json:"node"`
	Boot      string          `json:"boot"` // of the machine, while the process ran
	PID       int             `json:"pid"`
	Release   string          `json:"release"`
	Started   float64         `json:"started"` // milliseconds since the Unix epoch,
	Saved     float64         `json:"saved"`   // and when this was written
	End       End             `json:"end"`     // told by the process itself
	Open      int             `json:"open"`    // calls open then
	Counts    json.RawMessage `json:"counts,omitempty"`
	Knowledge json.RawMessage `json:"knowledge,omitempty"`
}

// Last is what the directory tells of the process before.
type Last struct {
	State
	End   End    // as far as it can be known
	Crash string // the first lines of what it died of
}

// Store is a directory that this process may write.
type Store struct {
	dir  string
	boot string

	mu   sync.Mutex
	lock *os.File
}

// ErrBusy means that another process writes the directory.
var ErrBusy = errors.New("another process has it")

// Open takes a directory for this process and reads what the one before left. The error names a file that is ignored;
// without a Store the directory cannot be used at all.
func Open(dir, node string) (*Store, *Last, error) {
	s := &Store{dir: dir, boot: boot()}
	if err := s.Acquire(); err != nil {
		return nil, nil, err
	}
	last, err := s.read(node)
	if err == nil && last != nil {
		last.End, last.Crash = s.end(last.State)
	}
	s.watchCrashes()
	return s, last, err
}

// Release lets another process take the directory: this one writes nothing from here on.
func (s *Store) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lock != nil {
		_ = s.lock.Close()
		s.lock = nil
		_ = debug.SetCrashOutput(nil, debug.CrashOptions{})
	}
}

// Held tells whether this process may write.
func (s *Store) Held() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lock != nil
}

// Acquire takes the directory, or takes it back.
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

// watchCrashes has the runtime write there what this process may die of.
func (s *Store) watchCrashes() {
	f, err := os.OpenFile(filepath.Join(s.dir, crashName), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return // a crash will be taken for a kill
	}
	_ = debug.SetCrashOutput(f, debug.CrashOptions{})
	_ = f.Close() // the runtime has a descriptor of its own
}

// end finds how a process ended that left a state.
func (s *Store) end(last State) (End, string) {
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

// Write replaces the state: either the old or the new one is there afterwards, whole, whatever ends the machine.
func (s *Store) Write(state State) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lock == nil {
		return nil // another process has it
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

// read takes the state of a node's last process, nil if there is none.
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

// Encode writes a state.
func Encode(s State) ([]byte, error) {
	body, err := json.Marshal(s)
	if err == nil && len(body) > maxState {
		err = fmt.Errorf("%d bytes are more than a state holds", len(body))
	}
	if err != nil {
		return nil, err
	}
	return stateForm.Encode(body), nil
}

// Decode reads what Encode wrote, and names what it is where it is not that.
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

// boot names the time since the machine started.
func boot() string {
	text, _ := os.ReadFile("/proc/sys/kernel/random/boot_id")
	return strings.TrimSpace(string(text))
}

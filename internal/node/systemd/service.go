// Package systemd implements the protocols of the host's service manager: notifications, socket activation and the
// watchdog. Without the manager's environment variables it does nothing.
//
// FromEnvironment and Listeners read the variables once and remove them from the environment, so that a child
// process of the node neither sends notifications in its name nor adopts its listeners.
package systemd

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/coreos/go-systemd/v22/activation"
	"github.com/coreos/go-systemd/v22/daemon"
)

const (
	notifyVariable   = "NOTIFY_SOCKET"
	watchdogVariable = "WATCHDOG_USEC"
	sendLimit        = 100 * time.Millisecond // a manager that does not read must not block the node
	maxStatusBytes   = 512
)

// Manager is the connection to the service manager. A nil Manager does nothing. All methods may be called from any
// goroutine. The first error of a sequence of failures is reported to the callback that FromEnvironment received.
type Manager struct {
	address  string
	watchdog time.Duration
	onError  func(error)

	mu      sync.Mutex
	conn    *net.UnixConn
	failing bool // the last notification failed
}

// FromEnvironment reads the manager's environment variables, unsets them, and returns the Manager, nil if there is
// none. onError, which may be nil, is called when a notification fails, but not again until one has succeeded.
func FromEnvironment(onError func(error)) (*Manager, error) {
	address := os.Getenv(notifyVariable)
	timeout, err := daemon.SdWatchdogEnabled(true)
	if err != nil {
		err = fmt.Errorf("%s: %w", watchdogVariable, err)
	}
	_ = os.Unsetenv(notifyVariable)
	if address == "" {
		return nil, err
	}
	if address[0] != '/' && address[0] != '@' {
		return nil, errors.Join(err, fmt.Errorf("%s: %q is neither a path nor an abstract name", notifyVariable, address))
	}
	return &Manager{address: address, watchdog: timeout, onError: onError}, err
}

// Notify sends assignments, such as READY=1, in one datagram.
func (m *Manager) Notify(assignments ...string) {
	if m == nil {
		return
	}
	m.mu.Lock()
	err := m.send(strings.Join(assignments, "\n"))
	first := err != nil && !m.failing
	m.failing = err != nil
	m.mu.Unlock()
	if first && m.onError != nil {
		m.onError(err)
	}
}

func (m *Manager) send(text string) error {
	if m.conn == nil {
		conn, err := net.DialUnix("unixgram", nil, &net.UnixAddr{Net: "unixgram", Name: m.address})
		if err != nil {
			return fmt.Errorf("notifying the service manager: %w", err)
		}
		m.conn = conn
	}
	_ = m.conn.SetWriteDeadline(time.Now().Add(sendLimit))
	if _, err := m.conn.Write([]byte(text)); err != nil {
		_ = m.conn.Close()
		m.conn = nil // the manager may have been restarted: reconnect next time
		return fmt.Errorf("notifying the service manager: %w", err)
	}
	return nil
}

// status returns the assignment of a status line, without control characters and at most maxStatusBytes long.
func status(text string) string {
	text = strings.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, text)
	return "STATUS=" + text[:min(len(text), maxStatusBytes)]
}

// Ready notifies the manager that the start, or what Reloading announced, is complete.
func (m *Manager) Ready(text string) { m.Notify(daemon.SdNotifyReady, status(text)) }

// Reloading notifies the manager that the configuration is being reloaded, or another process is about to take over.
func (m *Manager) Reloading(text string) {
	m.Notify(daemon.SdNotifyReloading, strings.TrimSpace(daemon.SdNotifyMonotonicUsec()), status(text))
}

// Stopping notifies the manager that the shutdown has begun.
func (m *Manager) Stopping(text string) { m.Notify(daemon.SdNotifyStopping, status(text)) }

// Status sets the status line that the manager shows to operators.
func (m *Manager) Status(text string) { m.Notify(status(text)) }

// KeepAlive resets the watchdog timeout of the manager.
func (m *Manager) KeepAlive() { m.Notify(daemon.SdNotifyWatchdog) }

// MainPID notifies the manager which process is the main process of the service from now on.
func (m *Manager) MainPID(pid int) { m.Notify("MAINPID=" + strconv.Itoa(pid)) }

// Watchdog returns the manager's watchdog timeout in milliseconds: the maximum time between two calls of KeepAlive;
// 0 = no watchdog.
func (m *Manager) Watchdog() float64 {
	if m == nil {
		return 0
	}
	return float64(m.watchdog) / 1e6
}

// Environ returns the environment variables with which a process that takes over reaches the same manager.
func (m *Manager) Environ() []string {
	if m == nil {
		return nil
	}
	list := []string{notifyVariable + "=" + m.address}
	if m.watchdog > 0 {
		list = append(list, watchdogVariable+"="+strconv.FormatInt(m.watchdog.Microseconds(), 10))
	}
	return list
}

// Listener is a listening socket that the manager passed to this process.
type Listener struct {
	Name string // its name in the manager, empty if the manager sets none
	net.Listener
}

// Listeners returns the listening sockets that the manager passed to this process, in its order, and unsets their
// variables. The error names each descriptor that is not a listening stream socket.
func Listeners() ([]Listener, error) {
	files := activation.Files(true)
	var list []Listener
	var errs []error
	for i, f := range files {
		name := f.Name()
		if strings.HasPrefix(name, "LISTEN_FD_") {
			name = ""
		}
		l, err := net.FileListener(f)
		_ = f.Close()
		if err != nil {
			errs = append(errs, fmt.Errorf("descriptor %d (%s) of the service manager is no listener: %w", 3+i,
				cmp.Or(name, "unnamed"), err))
			continue
		}
		list = append(list, Listener{name, l})
	}
	return list, errors.Join(errs...)
}

// SelectListener returns the listener for an address: the one that has this address or, if there is none, the only
// one that has the name; nil if neither exists. rest holds the other listeners.
func SelectListener(list []Listener, name, address string) (l net.Listener, rest []Listener) {
	index, named := -1, 0
	for i := range list {
		if list[i].Addr().String() == address {
			index = i
			break
		}
		if list[i].Name == name {
			named++
			index = i
		}
	}
	if index < 0 || named > 1 && list[index].Addr().String() != address {
		return nil, list
	}
	for i := range list {
		if i != index {
			rest = append(rest, list[i])
		}
	}
	return list[index].Listener, rest
}

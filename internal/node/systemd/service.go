// Package systemd speaks the protocols of the host's service manager: notification, listeners by descriptor, watchdog.
// Without the manager's variables it does nothing.
//
// FromEnvironment reads the variables once and takes them out of the environment, so that a child that the node starts neither
// speaks in its name nor takes its listeners.
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
	sendLimit        = 100 * time.Millisecond // a manager that does not read must not hold the node
	mostStatus       = 512                    // bytes of a status line
)

// Manager is the connection to the service manager. A nil one does nothing. All methods may be called from any
// goroutine; errors are told once, to the function that FromEnvironment got.
type Manager struct {
	address  string
	watchdog time.Duration
	bad      func(error)

	mu   sync.Mutex
	conn *net.UnixConn
	told bool
}

// FromEnvironment reads the manager's variables and unsets them. bad, which may be nil, is called the first time that the manager
// cannot be told something.
func FromEnvironment(bad func(error)) (*Manager, error) {
	address := os.Getenv(notifyVariable)
	beat, err := daemon.SdWatchdogEnabled(true)
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
	return &Manager{address: address, watchdog: beat, bad: bad}, err
}

// Notify sends assignments, such as READY=1, as one datagram.
func (m *Manager) Notify(assignments ...string) {
	if m == nil {
		return
	}
	m.mu.Lock()
	err := m.send(strings.Join(assignments, "\n"))
	first := err != nil && !m.told
	m.told = err != nil
	m.mu.Unlock()
	if first && m.bad != nil {
		m.bad(err)
	}
}

func (m *Manager) send(text string) error {
	if m.conn == nil {
		conn, err := net.DialUnix("unixgram", nil, &net.UnixAddr{Net: "unixgram", Name: m.address})
		if err != nil {
			return fmt.Errorf("telling the service manager: %w", err)
		}
		m.conn = conn
	}
	_ = m.conn.SetWriteDeadline(time.Now().Add(sendLimit))
	if _, err := m.conn.Write([]byte(text)); err != nil {
		_ = m.conn.Close()
		m.conn = nil // it may have been restarted
		return fmt.Errorf("telling the service manager: %w", err)
	}
	return nil
}

// status makes an assignment of a line for people.
func status(text string) string {
	text = strings.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, text)
	return "STATUS=" + text[:min(len(text), mostStatus)]
}

// Ready tells that the start, or what Reloading began, is over.
func (m *Manager) Ready(text string) { m.Notify(daemon.SdNotifyReady, status(text)) }

// Reloading tells that the configuration is read again, or another process is about to take over.
func (m *Manager) Reloading(text string) {
	m.Notify(daemon.SdNotifyReloading, strings.TrimSpace(daemon.SdNotifyMonotonicUsec()), status(text))
}

// Stopping tells that the end has begun.
func (m *Manager) Stopping(text string) { m.Notify(daemon.SdNotifyStopping, status(text)) }

// Status sets the line for people.
func (m *Manager) Status(text string) { m.Notify(status(text)) }

// KeepAlive feeds the watchdog.
func (m *Manager) KeepAlive() { m.Notify(daemon.SdNotifyWatchdog) }

// MainPID tells which process is the service from now on.
func (m *Manager) MainPID(pid int) { m.Notify("MAINPID=" + strconv.Itoa(pid)) }

// Watchdog is the time, in milliseconds, in which the manager wants to hear KeepAlive; 0 = it does not.
func (m *Manager) Watchdog() float64 {
	if m == nil {
		return 0
	}
	return float64(m.watchdog) / 1e6
}

// Environ are the variables with which a process that is to take over can speak to the same manager.
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

// Listener is a socket that was handed in.
type Listener struct {
	Name string // as the manager calls it, empty if it does not say
	net.Listener
}

// Listeners takes the listening sockets that the manager handed to this process, in its order, and unsets their
// variables. One that is no listening stream socket is an error that names it.
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

// SelectListener takes the listener for an address out of those handed in: the one with that address or, where there is none, the
// only one of the name. The rest is what nobody asked for.
func SelectListener(list []Listener, name, address string) (l net.Listener, rest []Listener) {
	at, named := -1, 0
	for i := range list {
		if list[i].Addr().String() == address {
			at = i
			break
		}
		if list[i].Name == name {
			named++
			at = i
		}
	}
	if at < 0 || named > 1 && list[at].Addr().String() != address {
		return nil, list
	}
	for i := range list {
		if i != at {
			rest = append(rest, list[i])
		}
	}
	return list[at].Listener, rest
}

// Package transport implements the internal calls of the fleet: net/rpc with gob over TCP, with timeouts and one
// connection to each peer. A call that times out closes its connection, so that the next call does not queue
// behind it.
package transport

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Parameters of connections.
const (
	dialTimeout      = 400 * time.Millisecond
	eagerDialTimeout = 100 * time.Millisecond // for a process that has just started, whose peers may be starting too
	userTimeout      = time.Second            // after which unacknowledged bytes end a connection
	stallTimeout     = 250 * time.Millisecond // without a received byte, after which a large reply counts as stalled
	acceptRetryDelay = dialTimeout / 4        // after a failed accept, for example when file descriptors are exhausted
)

// ErrTimeout means that the reply to a call did not arrive in time. The peer may or may not have executed the call.
var ErrTimeout = errors.New("transport: no answer in time")

// ErrBusy means that another call is dialling the peer. The call was not sent.
var ErrBusy = errors.New("transport: the peer is being dialled")

// Dial opens a TCP connection that is closed when sent bytes stay unacknowledged for the given time
// (TCP_USER_TIMEOUT).
func Dial(address string, timeout, unacknowledged time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: setUserTimeout(unacknowledged)}
	return dialer.Dial("tcp4", address)
}

// Listen opens a listener whose connections are closed when sent bytes stay unacknowledged for userTimeout. The
// context applies only to opening the listener.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1, Control: setUserTimeout(userTimeout)}
	return config.Listen(ctx, "tcp4", address)
}

// setUserTimeout returns a control function that sets TCP_USER_TIMEOUT on a socket.
func setUserTimeout(unacknowledged time.Duration) func(_, _ string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		controlErr := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
		})
		return errors.Join(controlErr, optionErr)
	}
}

// Serve serves calls on every connection that the listener accepts, and returns nil when the listener is closed.
// It does not close connections. It returns an error if a service cannot be registered.
func Serve(listener net.Listener, services map[string]any) error {
	server := rpc.NewServer()
	for name, service := range services {
		if err := server.RegisterName(name, service); err != nil {
			return err
		}
	}
	for {
		connection, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		go server.ServeConn(&limitedConn{Conn: connection})
	}
}

// Package transport carries the internal calls of the fleet: net/rpc with gob over TCP, one connection to each peer, with
// timeouts. A call that times out closes its connection, so that the next one does not wait behind it.
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
	eagerDialTimeout = 100 * time.Millisecond // of a process that has just started: its peers may be starting too
	userTimeout      = time.Second            // after which unacknowledged bytes end a connection
	stallTimeout     = 250 * time.Millisecond // without a byte, after which a large answer counts as stalled
	acceptRetryDelay = dialTimeout / 4        // after a failure to accept, as where file descriptors are used up
)

// ErrTimeout says that a call was not answered in time. Whether it was carried out is not known.
var ErrTimeout = errors.New("transport: no answer in time")

// ErrBusy says that another call is dialling the peer. The call was not sent.
var ErrBusy = errors.New("transport: the peer is being dialled")

// Dial opens a TCP connection that ends when its bytes have not been acknowledged for a time.
func Dial(address string, timeout, unacknowledged time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: setUserTimeout(unacknowledged)}
	return dialer.Dial("tcp4", address)
}

// Listen opens a listener whose connections end when their bytes have not been acknowledged for userTimeout. The context is
// for the opening only.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1, Control: setUserTimeout(userTimeout)}
	return config.Listen(ctx, "tcp4", address)
}

// setUserTimeout returns a function that sets TCP_USER_TIMEOUT of a socket.
func setUserTimeout(unacknowledged time.Duration) func(_, _ string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		controlErr := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
		})
		return errors.Join(controlErr, optionErr)
	}
}

// Serve answers the calls of every connection that the listener accepts, and returns nil when the listener is closed. It does
// not close connections. An error says that a service cannot be registered.
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
		go server.ServeConn(connection)
	}
}

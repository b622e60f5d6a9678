// Package transport carries the internal calls of the fleet: net/rpc with gob over TCP, one connection to each peer, with
// deadlines. A call that is not answered in time closes the connection, so that the next one does not wait behind it.
package transport

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The figures of connections.
const (
	dialTimeout      = 400 * time.Millisecond
	eagerDialTimeout = 100 * time.Millisecond // the same for a process that has just started: its peers may be starting too
	userTimeout      = time.Second            // after which unacknowledged bytes end a connection
	stallTimeout     = 250 * time.Millisecond // without a byte, after which a large answer is taken to have stalled
)

// ErrTimeout says that a call was not answered in time: whether it was carried out is not known.
var ErrTimeout = errors.New("transport: no answer in time")

// ErrBusy says that a connection is being made, and that it has taken long already.
var ErrBusy = errors.New("transport: the peer is being dialled")

// Pool keeps a connection to each peer.
type Pool struct {
	// Wrap, if set, is put round each new connection, to count its bytes.
	Wrap func(net.Conn) net.Conn

	eager atomic.Bool
	mu    sync.Mutex
	peers map[string]*peerConn
}

// SetEager makes connections be given up and tried again soon. Packets to a machine that is not up yet are lost, and are
// sent again only after a second: a new attempt is sooner.
func (p *Pool) SetEager(eager bool) { p.eager.Store(eager) }

func (p *Pool) dialTimeout() time.Duration {
	if p.eager.Load() {
		return eagerDialTimeout
	}
	return dialTimeout
}

type peerConn struct {
	mu     sync.Mutex
	client *rpc.Client
	readAt atomic.Int64 // when bytes last came, in nanoseconds
}

// timedConn notes when bytes come.
type timedConn struct {
	net.Conn
	readAt *atomic.Int64
}

func (w timedConn) Read(into []byte) (int, error) {
	n, err := w.Conn.Read(into)
	if n > 0 {
		w.readAt.Store(time.Now().UnixNano())
	}
	return n, err
}

// NewPool makes an empty pool.
func NewPool() *Pool { return &Pool{peers: map[string]*peerConn{}} }

func (p *Pool) peerConn(address string) *peerConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.peers[address]
	if one == nil {
		one = &peerConn{}
		p.peers[address] = one
	}
	return one
}

// Call calls a method of a peer and waits for the answer at most so long.
func (p *Pool) Call(address, method string, args, reply any, wait time.Duration) error {
	return p.call(address, method, args, reply, wait, 0)
}

// CallLarge is Call for answers that may be large: as long as bytes come, it waits up to a longer time for the rest. A small
// link takes seconds for an answer that was ready at once, and to ask again would only begin anew.
func (p *Pool) CallLarge(address, method string, args, reply any, wait, most time.Duration) error {
	return p.call(address, method, args, reply, wait, most-wait)
}

func (p *Pool) call(address, method string, args, reply any, wait, more time.Duration) error {
	one := p.peerConn(address)
	client, err := one.connect(address, p.dialTimeout(), p.Wrap)
	if err != nil {
		return err
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-call.Done:
			var answered rpc.ServerError
			if call.Error != nil && !errors.As(call.Error, &answered) {
				one.drop(client)
			}
			return call.Error
		case <-timer.C:
			if more <= 0 || !one.receivedRecently() {
				one.drop(client)
				return ErrTimeout
			}
			more -= stallTimeout
			timer.Reset(stallTimeout)
		}
	}
}

// receivedRecently tells whether bytes came not long ago.
func (one *peerConn) receivedRecently() bool {
	return time.Since(time.Unix(0, one.readAt.Load())) < stallTimeout
}

// Forget closes the connection to a peer.
func (p *Pool) Forget(address string) {
	one := p.peerConn(address)
	one.mu.Lock()
	client := one.client
	one.mu.Unlock()
	if client != nil {
		one.drop(client)
	}
}

func (one *peerConn) connect(address string, timeout time.Duration, wrap func(net.Conn) net.Conn) (*rpc.Client, error) {
	if !one.mu.TryLock() {
		return nil, ErrBusy
	}
	defer one.mu.Unlock()
	if one.client != nil {
		return one.client, nil
	}
	connection, err := Dial(address, timeout, userTimeout)
	if err != nil {
		return nil, err
	}
	if wrap != nil {
		connection = wrap(connection)
	}
	one.client = rpc.NewClient(timedConn{connection, &one.readAt})
	return one.client, nil
}

func (one *peerConn) drop(client *rpc.Client) {
	one.mu.Lock()
	if one.client == client {
		one.client = nil
	}
	one.mu.Unlock()
	_ = client.Close()
}

// Dial makes a TCP connection that ends when its bytes are not acknowledged for so long.
func Dial(address string, timeout, unacknowledged time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: setUserTimeout(unacknowledged)}
	return dialer.Dial("tcp4", address)
}

// setUserTimeout sets the time for which bytes of a socket may stay unacknowledged.
func setUserTimeout(unacknowledged time.Duration) func(_, _ string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
		})
		return errors.Join(err, failed)
	}
}

// Listen opens a listener whose connections end when their bytes are not acknowledged for a while.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1, Control: setUserTimeout(userTimeout)}
	return config.Listen(ctx, "tcp4", address)
}

// Serve answers the calls of every connection that a listener accepts, until the listener is closed.
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
			time.Sleep(dialTimeout / 4)
			continue
		}
		go server.ServeConn(connection)
	}
}

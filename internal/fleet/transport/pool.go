package transport

import (
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"
)

// Pool keeps one connection to each peer. It is safe for concurrent use.
type Pool struct {
	// Wrap, if set, wraps each new connection, for example to count bytes or inject faults. It must be set before
	// the first call.
	Wrap func(net.Conn) net.Conn

	eager atomic.Bool
	mu    sync.Mutex
	peers map[string]*peerConn // by address
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{peers: map[string]*peerConn{}} }

// SetEager sets whether dials time out after eagerDialTimeout instead of dialTimeout. Packets to a machine that is
// not up yet are lost, and TCP retransmits them only after one second: a new dial connects sooner.
func (p *Pool) SetEager(eager bool) { p.eager.Store(eager) }

// Call calls a method of a peer. It returns ErrTimeout if the reply does not arrive in time, ErrBusy if another
// call is dialling the peer, a connection error, or the error that the method returned, as an rpc.ServerError.
func (p *Pool) Call(address, method string, args, reply any, timeout time.Duration) error {
	return p.call(address, method, args, reply, timeout, 0)
}

// CallLarge is like Call, for replies that may be large: after the timeout it keeps waiting while bytes arrive, up
// to maxTimeout in total. Over a slow link, even a reply that was ready at once can take seconds to arrive, and a
// retry would start over.
func (p *Pool) CallLarge(address, method string, args, reply any, timeout, maxTimeout time.Duration) error {
	return p.call(address, method, args, reply, timeout, maxTimeout-timeout)
}

func (p *Pool) call(address, method string, args, reply any, timeout, extension time.Duration) error {
	peer := p.peerConn(address)
	client, err := peer.connect(address, p.dialTimeout(), p.Wrap)
	if err != nil {
		return err
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case <-call.Done:
			var methodErr rpc.ServerError
			if call.Error != nil && !errors.As(call.Error, &methodErr) { // the connection failed, not the method
				peer.drop(client)
			}
			return call.Error
		case <-timer.C:
			if extension <= 0 || !peer.receivedRecently() {
				peer.drop(client)
				return ErrTimeout
			}
			extension -= stallTimeout
			timer.Reset(stallTimeout)
		}
	}
}

func (p *Pool) dialTimeout() time.Duration {
	if p.eager.Load() {
		return eagerDialTimeout
	}
	return dialTimeout
}

func (p *Pool) peerConn(address string) *peerConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peers[address]
	if peer == nil {
		peer = &peerConn{}
		p.peers[address] = peer
	}
	return peer
}

// peerConn is the connection to one peer, dialled on demand.
type peerConn struct {
	mu         sync.Mutex // guards client and dialling; never held while blocking
	client     *rpc.Client
	dialling   bool         // a call is dialling the peer
	receivedAt atomic.Int64 // time at which bytes last arrived, in Unix nanoseconds
}

// connect returns the connection, and dials if there is none. If another call is dialling, it returns ErrBusy
// without waiting: that dial may take long, and the caller's timeout is already running.
func (c *peerConn) connect(address string, timeout time.Duration, wrap func(net.Conn) net.Conn) (*rpc.Client, error) {
	client, err := c.current()
	if client != nil || err != nil {
		return client, err
	}
	connection, err := Dial(address, timeout, userTimeout)
	if err == nil {
		if wrap != nil {
			connection = wrap(connection)
		}
		client = rpc.NewClient(timedConn{&limitedConn{Conn: connection}, &c.receivedAt})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.client, c.dialling = client, false
	return client, err
}

// current returns the connection, or ErrBusy if another call is dialling. If it returns neither, the caller must
// dial.
func (c *peerConn) current() (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client != nil {
		return c.client, nil
	}
	if c.dialling {
		return nil, ErrBusy
	}
	c.dialling = true
	return nil, nil
}

// drop closes a connection. If it is still the current one, the next call dials a new one.
func (c *peerConn) drop(client *rpc.Client) {
	c.mu.Lock()
	if c.client == client {
		c.client = nil
	}
	c.mu.Unlock()
	_ = client.Close()
}

// receivedRecently reports whether bytes arrived within stallTimeout.
func (c *peerConn) receivedRecently() bool {
	return time.Since(time.Unix(0, c.receivedAt.Load())) < stallTimeout
}

// timedConn records when bytes last arrived.
type timedConn struct {
	net.Conn
	receivedAt *atomic.Int64
}

func (c timedConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if n > 0 {
		c.receivedAt.Store(time.Now().UnixNano())
	}
	return n, err
}

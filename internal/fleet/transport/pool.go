package transport

import (
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"
)

// Pool keeps a connection to each peer. It is safe for concurrent use.
type Pool struct {
	// Wrap, if set, wraps each new connection, to count its bytes or to inject faults. It must be set before the first call.
	Wrap func(net.Conn) net.Conn

	eager atomic.Bool
	mu    sync.Mutex
	peers map[string]*peerConn // by address
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{peers: map[string]*peerConn{}} }

// SetEager makes the pool give up dialling after eagerDialTimeout. Packets to a machine that is not up yet are lost, and TCP
// sends them again only after a second: a new attempt is sooner.
func (p *Pool) SetEager(eager bool) { p.eager.Store(eager) }

// Call calls a method of a peer. It returns ErrTimeout where the answer does not come in time, ErrBusy, an error of dialling,
// or the error that the method returned, as an rpc.ServerError.
func (p *Pool) Call(address, method string, args, reply any, timeout time.Duration) error {
	return p.call(address, method, args, reply, timeout, 0)
}

// CallLarge is Call for answers that may be large: after the timeout it goes on waiting while bytes arrive, up to maxTimeout
// in all. A small link takes seconds for an answer that was ready at once, and a repeated call would begin anew.
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
			if call.Error != nil && !errors.As(call.Error, &methodErr) { // the connection's error, not the method's
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
	mu         sync.Mutex // guards client and dialling, and is held for moments only
	client     *rpc.Client
	dialling   bool         // a call is dialling the peer
	receivedAt atomic.Int64 // when bytes last arrived, in Unix nanoseconds
}

// connect returns the connection, and dials where there is none. It does not wait for another call that dials: that one may
// take long, and the caller's timeout has begun.
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
		client = rpc.NewClient(timedConn{connection, &c.receivedAt})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.client, c.dialling = client, false
	return client, err
}

// current returns the connection. Where there is none, the caller must dial it, unless another call does: that is ErrBusy.
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

// drop closes a connection, so that the next call dials, unless another has done so.
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

// timedConn records when bytes arrive.
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

// Package backend speaks HTTP/1.1 with raters: kept connections, one request at a time on each, and errors that tell what
// is known of whether the rater ran the request.
package backend

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/transport"
)

// The figures of connections.
const (
	dialTimeout        = 250 * time.Millisecond
	userTimeout        = 600 * time.Millisecond // after which unacknowledged bytes end a connection
	defaultIdleTimeout = 10 * time.Second       // how long a connection is kept where the rater states nothing
	idleMargin         = 1200 * time.Millisecond
	maxIdlePerBackend  = 32
	readerBuffer       = 4 << 10
	sweepInterval      = 5 * time.Second
)

// connection is one connection to a rater.
type connection struct {
	net.Conn
	reader   *bufio.Reader
	address  string
	used     bool      // a request was sent on it
	useUntil time.Time // the rater may close it after that
}

func dial(address string, within time.Duration) (*connection, error) {
	conn, err := transport.Dial(address, min(dialTimeout, within), userTimeout)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, reader: bufio.NewReaderSize(conn, readerBuffer), address: address}, nil
}

// isQuiet tells whether nothing has come on an idle connection: neither its end nor bytes that belong to no request.
func (c *connection) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var peeked [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// pool keeps idle connections, those used last first.
type pool struct {
	mu      sync.Mutex
	idle    map[string][]*connection
	sweptAt time.Time
}

func (p *pool) get(address string) *connection {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if time.Now().Before(c.useUntil) && c.isQuiet() {
			return c
		}
		_ = c.Close()
	}
}

func (p *pool) pop(address string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection for as long as the rater does, less a margin.
func (p *pool) put(c *connection, keepAlive string) {
	keep := defaultIdleTimeout
	if stated, found := keepAliveTimeout(keepAlive); found {
		keep = stated - idleMargin
	}
	c.useUntil = time.Now().Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep()
	if keep <= 0 || len(p.idle[c.address]) >= maxIdlePerBackend {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// sweep closes connections that are too old to be used again. The lock is held.
func (p *pool) sweep() {
	now := time.Now()
	if now.Sub(p.sweptAt) < sweepInterval {
		return
	}
	p.sweptAt = now
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.useUntil) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// forget closes the idle connections to an address.
func (p *pool) forget(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// keepAliveTimeout reads the timeout of a Keep-Alive field, in whole seconds.
func keepAliveTimeout(field string) (time.Duration, bool) {
	for _, part := range strings.Split(field, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found || !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

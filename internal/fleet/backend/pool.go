package backend

import (
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Parameters of idle connections.
const (
	defaultIdleTimeout = 10 * time.Second        // for which a connection is kept if the backend states no timeout
	idleMargin         = 1200 * time.Millisecond // a connection expires this long before the timeout that the backend states
	maxIdlePerBackend  = 32
	// maxKeepAliveSeconds bounds the timeout that a backend states.
	maxKeepAliveSeconds = 24 * 60 * 60
	sweepInterval       = 5 * time.Second // least time between two sweeps, which put runs
)

// pool keeps idle connections. The one that was used last is reused first. It is safe for concurrent use.
type pool struct {
	mu      sync.Mutex
	idle    map[string][]*connection // by address
	sweptAt time.Time
}

// get returns a usable idle connection to an address, or nil if there is none.
func (p *pool) get(address string) *connection {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if time.Now().Before(c.expiresAt) && c.hasNoPendingInput() {
			return c
		}
		_ = c.Close()
	}
}

// pop removes and returns the idle connection to an address that was used last, or nil if there is none.
func (p *pool) pop(address string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.idle[address] = idle[:len(idle)-1]
	return c
}

// put keeps an idle connection for the timeout that the backend states in its Keep-Alive header, less a margin.
func (p *pool) put(c *connection, keepAlive string) {
	timeout := defaultIdleTimeout
	if stated, found := keepAliveTimeout(keepAlive); found {
		timeout = stated - idleMargin
	}
	c.expiresAt = time.Now().Add(timeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep()
	if timeout <= 0 || len(p.idle[c.address]) >= maxIdlePerBackend {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// sweep closes expired connections, at most once per sweepInterval. The caller holds the lock.
func (p *pool) sweep() {
	now := time.Now()
	if now.Sub(p.sweptAt) < sweepInterval {
		return
	}
	p.sweptAt = now
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if now.Before(c.expiresAt) {
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

// closeIdle closes the idle connections to an address.
func (p *pool) closeIdle(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// keepAliveTimeout returns the timeout parameter of a Keep-Alive header, which is in whole seconds. It returns
// false if there is none.
func keepAliveTimeout(header string) (time.Duration, bool) {
	for _, parameter := range strings.Split(header, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(parameter), "=")
		if !found || !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		seconds, err := strconv.ParseUint(strings.TrimSpace(value), 10, 64)
		if err == nil || errors.Is(err, strconv.ErrRange) {
			return time.Duration(min(seconds, maxKeepAliveSeconds)) * time.Second, true
		}
	}
	return 0, false
}

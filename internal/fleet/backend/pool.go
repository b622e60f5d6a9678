package backend

import (
	"strconv"
	"strings"
	"sync"
	"time"
)

// Parameters of idle connections.
const (
	defaultIdleTimeout = 10 * time.Second        // for which a connection is kept where the backend states nothing
	idleMargin         = 1200 * time.Millisecond // by which it is given up sooner than the backend does
	maxIdlePerBackend  = 32
	sweepInterval      = 5 * time.Second // at which expired connections are closed, as others are put back
)

// pool keeps idle connections; the one that was used last is used first. It is safe for concurrent use.
type pool struct {
	mu      sync.Mutex
	idle    map[string][]*connection // by address
	sweptAt time.Time
}

// get returns an idle connection to an address, nil where there is none that can be used.
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

// pop removes the last idle connection to an address and returns it, nil where there is none.
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

// put keeps a connection for as long as the backend does, by its Keep-Alive header, less a margin.
func (p *pool) put(c *connection, keepAlive string) {
	timeout := defaultIdleTimeout
	if stated, found := keepAliveTimeout(keepAlive); found {
		timeout = stated - idleMargin
	}
	c.useUntil = time.Now().Add(timeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep()
	if timeout <= 0 || len(p.idle[c.address]) >= maxIdlePerBackend {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// sweep closes the connections that have expired, once an interval. The caller holds the lock.
func (p *pool) sweep() {
	now := time.Now()
	if now.Sub(p.sweptAt) < sweepInterval {
		return
	}
	p.sweptAt = now
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
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

// keepAliveTimeout returns the timeout of a Keep-Alive header, in whole seconds. It reports false where there is none.
func keepAliveTimeout(header string) (time.Duration, bool) {
	for _, parameter := range strings.Split(header, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(parameter), "=")
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

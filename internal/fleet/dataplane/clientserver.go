package dataplane

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// limitsCheckInterval is how often a clientServer looks for other limits.
const limitsCheckInterval = 200 * time.Millisecond

// clientServer serves clients within the limits of the current configuration. The limits of an http.Server are fixed while it
// serves. When they change, a new one takes the further connections, and its predecessor closes its connections as soon as no
// request is in flight on them. Its methods are safe for concurrent use, and Serve is called once.
type clientServer struct {
	limits    func() operator.Limits                    // of the current configuration
	newServer func(limits operator.Limits) *http.Server // the servers differ in their limits only

	mu      sync.Mutex
	servers []*http.Server // the current one is the last; the others are retired
	feed    *connectionFeed
	inForce operator.Limits
	closed  bool
	ended   chan struct{} // closed by Shutdown and Close
}

func newClientServer(limits func() operator.Limits, newServer func(limits operator.Limits) *http.Server) *clientServer {
	return &clientServer{limits: limits, newServer: newServer, ended: make(chan struct{})}
}

// Serve serves the connections of a listener until Shutdown or Close is called, and then returns http.ErrServerClosed, or until
// the listener fails.
func (s *clientServer) Serve(listener net.Listener) error {
	s.applyLimits()
	go s.followLimits()
	defer func() { _ = listener.Close() }()
	go func() {
		<-s.ended
		_ = listener.Close()
	}()
	for {
		connection, err := listener.Accept()
		switch {
		case s.hasEnded():
			if err == nil {
				_ = connection.Close()
			}
			return http.ErrServerClosed
		case err != nil:
			var temporary interface{ Temporary() bool }
			if errors.As(err, &temporary) && temporary.Temporary() { // for example when file descriptors are exhausted
				time.Sleep(acceptRetryDelay)
				continue
			}
			return err
		}
		s.deliver(connection)
	}
}

// deliver passes a connection to the current server, or closes it if all have ended.
func (s *clientServer) deliver(connection net.Conn) {
	for !s.currentFeed().deliver(connection) {
		if s.hasEnded() {
			_ = connection.Close()
			return
		}
	}
}

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 20 * time.Millisecond

// followLimits applies limits that have changed until the server ends.
func (s *clientServer) followLimits() {
	ticker := time.NewTicker(limitsCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ended:
			return
		case <-ticker.C:
			s.applyLimits()
		}
	}
}

// applyLimits has a new server take the further connections if the limits have changed.
func (s *clientServer) applyLimits() {
	limits := s.limits()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.feed != nil && limits == s.inForce {
		return
	}
	for _, retired := range s.servers {
		retired.SetKeepAlivesEnabled(false)
	}
	if s.feed != nil {
		s.feed.end()
	}
	s.inForce, s.feed = limits, newConnectionFeed()
	server := s.newServer(limits)
	s.servers = append(s.servers, server)
	feed := s.feed
	go func() { _ = server.Serve(feed) }() // it ends with its feed
}

// currentFeed returns the feed of the server that takes the further connections.
func (s *clientServer) currentFeed() *connectionFeed {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.feed
}

// end stops accepting and returns the servers.
func (s *clientServer) end() []*http.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.closed = true
		close(s.ended)
	}
	return s.servers
}

func (s *clientServer) hasEnded() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// Shutdown stops accepting, closes idle connections and waits for the requests in flight, as http.Server does.
func (s *clientServer) Shutdown(ctx context.Context) error {
	servers := s.end()
	results := make([]error, len(servers))
	var shutdowns sync.WaitGroup
	for i, server := range servers {
		shutdowns.Go(func() { results[i] = server.Shutdown(ctx) })
	}
	shutdowns.Wait()
	return errors.Join(results...)
}

// Close closes the listener and all connections.
func (s *clientServer) Close() error {
	var results []error
	for _, server := range s.end() {
		results = append(results, server.Close())
	}
	return errors.Join(results...)
}

// connectionFeed is the listener of one server of a clientServer.
type connectionFeed struct {
	connections chan net.Conn
	ended       chan struct{}
	endOnce     sync.Once
}

func newConnectionFeed() *connectionFeed {
	return &connectionFeed{connections: make(chan net.Conn), ended: make(chan struct{})}
}

// deliver passes a connection to the server, and reports whether the server has taken it before the feed ended.
func (f *connectionFeed) deliver(connection net.Conn) bool {
	select {
	case f.connections <- connection:
		return true
	case <-f.ended:
		return false
	}
}

// end makes Accept fail.
func (f *connectionFeed) end() { f.endOnce.Do(func() { close(f.ended) }) }

// Accept returns the next connection, or net.ErrClosed once the feed has ended.
func (f *connectionFeed) Accept() (net.Conn, error) {
	select {
	case connection := <-f.connections:
		return connection, nil
	case <-f.ended:
		return nil, net.ErrClosed
	}
}

// Close ends the feed.
func (f *connectionFeed) Close() error {
	f.end()
	return nil
}

// Addr returns an address that has no meaning: a feed does not listen itself.
func (f *connectionFeed) Addr() net.Addr { return &net.TCPAddr{} }

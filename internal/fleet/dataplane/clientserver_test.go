package dataplane

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// limitedServer is a clientServer whose handler answers when it is let go.
type limitedServer struct {
	*clientServer
	address string
	limits  atomic.Pointer[operator.Limits]
	letGo   chan struct{}
	begun   chan struct{}
}

func startLimitedServer(t *testing.T, headerBytes int) *limitedServer {
	t.Helper()
	s := &limitedServer{letGo: make(chan struct{}), begun: make(chan struct{}, 10)}
	s.setHeaderBytes(headerBytes)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			s.begun <- struct{}{}
			<-s.letGo
		}
		w.WriteHeader(http.StatusOK)
	})
	s.clientServer = newClientServer(func() operator.Limits { return *s.limits.Load() }, func(limits operator.Limits) *http.Server {
		return &http.Server{Handler: handler, MaxHeaderBytes: limits.HeaderBytes, ReadHeaderTimeout: time.Minute}
	})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s.address = listener.Addr().String()
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(listener) }()
	t.Cleanup(func() {
		_ = s.Close()
		require.ErrorIs(t, <-ended, http.ErrServerClosed)
	})
	return s
}

func (s *limitedServer) setHeaderBytes(bytes int) {
	s.limits.Store(&operator.Limits{HeaderBytes: bytes})
}

// client is a connection on which requests are sent one after the other.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func (s *limitedServer) dial(t *testing.T) *client {
	t.Helper()
	conn, err := net.Dial("tcp4", s.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &client{conn, bufio.NewReader(conn)}
}

func (c *client) send(path string, headerBytes int) {
	_, _ = c.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: h\r\nLong: " + strings.Repeat("x", headerBytes) + "\r\n\r\n"))
}

// status returns the status of the next response, 0 if the connection has ended.
func (c *client) status() (status int, closes bool) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, true
	}
	_ = response.Body.Close()
	return response.StatusCode, response.Close
}

// Guards against limits of a later configuration that a process ignores until it is started again.
func TestLimitsOfALaterConfigurationApply(t *testing.T) {
	const small, long = 1 << 10, 64 << 10
	s := startLimitedServer(t, small)
	kept, slow := s.dial(t), s.dial(t)
	kept.send("/", 10)
	status, closes := kept.status()
	require.Equal(t, http.StatusOK, status)
	require.False(t, closes)
	other := s.dial(t)
	other.send("/", long/2)
	status, _ = other.status()
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status)
	slow.send("/slow", 10)
	<-s.begun

	s.setHeaderBytes(long)
	status, _ = kept.status()
	require.Zero(t, status, "a connection on which nothing is in flight is closed")
	other = s.dial(t)
	other.send("/", long/2)
	status, _ = other.status()
	require.Equal(t, http.StatusOK, status)
	close(s.letGo)
	status, closes = slow.status()
	require.Equal(t, http.StatusOK, status, "a request in flight is finished")
	require.True(t, closes, "and then its connection is closed")
}

func TestShutdownWaitsForRequestsOfRetiredServers(t *testing.T) {
	s := startLimitedServer(t, 1<<10)
	before, after := s.dial(t), s.dial(t)
	before.send("/slow", 10)
	<-s.begun
	s.setHeaderBytes(2 << 10)
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.servers) == 2
	}, 10*time.Second, time.Millisecond)
	after.send("/slow", 10)
	<-s.begun
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background()) }()
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp4", s.address)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	}, 10*time.Second, time.Millisecond, "no connection is accepted any more")
	close(s.letGo)
	for _, c := range []*client{before, after} {
		status, _ := c.status()
		require.Equal(t, http.StatusOK, status)
	}
	require.NoError(t, <-ended)
}

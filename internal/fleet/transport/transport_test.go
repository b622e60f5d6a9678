package transport

import (
	"bytes"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/loopback"
)

// Service is a test service that returns the requested number of bytes or hangs until the end of the test.
type Service struct{ hang chan struct{} }

// Bytes returns count bytes, or hangs if count is negative.
func (s *Service) Bytes(count int, reply *[]byte) error {
	if count < 0 {
		<-s.hang
		return nil
	}
	*reply = bytes.Repeat([]byte("x"), count)
	return nil
}

// slowConn reads small chunks with pauses, to simulate a slow link.
type slowConn struct{ net.Conn }

func (c slowConn) Read(into []byte) (int, error) {
	time.Sleep(5 * time.Millisecond)
	return c.Conn.Read(into[:min(len(into), 4096)])
}

func serve(t *testing.T) (string, *Pool) {
	t.Helper()
	listener, err := Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	service := &Service{hang: make(chan struct{})}
	go func() { _ = Serve(listener, map[string]any{"Test": service}) }()
	t.Cleanup(func() {
		close(service.hang)
		_ = listener.Close()
	})
	return listener.Addr().String(), NewPool()
}

func TestCallLargeWaitsWhileBytesArrive(t *testing.T) {
	const size, wait = 400_000, 50 * time.Millisecond // about half a second over the link below
	address, pool := serve(t)
	pool.Wrap = func(conn net.Conn) net.Conn { return slowConn{conn} }
	var reply []byte
	require.ErrorIs(t, pool.Call(address, "Test.Bytes", size, &reply, wait), ErrTimeout)
	reply = nil
	require.NoError(t, pool.CallLarge(address, "Test.Bytes", size, &reply, wait, time.Minute))
	require.Len(t, reply, size)
}

func TestUnresponsivePeerTimesOut(t *testing.T) {
	address, pool := serve(t)
	var reply []byte
	begin := time.Now()
	require.ErrorIs(t, pool.CallLarge(address, "Test.Bytes", -1, &reply, 50*time.Millisecond, time.Minute), ErrTimeout)
	require.Less(t, time.Since(begin), 10*time.Second)
	require.NoError(t, pool.Call(address, "Test.Bytes", 3, &reply, time.Minute), "the next call uses a new connection")
}

func TestCallToClosedPortFails(t *testing.T) {
	address, err := loopback.FreeAddress()
	require.NoError(t, err)
	var reply []byte
	require.Error(t, NewPool().Call(address, "Test.Bytes", 3, &reply, time.Minute))
}

func TestEagerPoolDialsWithShorterTimeout(t *testing.T) {
	pool := NewPool()
	require.Equal(t, dialTimeout, pool.dialTimeout())
	pool.SetEager(true)
	require.Equal(t, eagerDialTimeout, pool.dialTimeout())
	pool.SetEager(false)
	require.Equal(t, dialTimeout, pool.dialTimeout())
}

// Concurrent calls to a connected peer must not fail with ErrBusy: the connection exists, so none of them has to
// dial.
func TestConcurrentCallsShareConnection(t *testing.T) {
	const callers, callsEach = 8, 20_000
	address, pool := serve(t)
	var reply []byte
	require.NoError(t, pool.Call(address, "Test.Bytes", 3, &reply, time.Minute))
	peer := pool.peerConn(address)
	connected, err := peer.connect(address, dialTimeout, nil)
	require.NoError(t, err)
	var calls sync.WaitGroup
	errs := make([]error, callers)
	for caller := range callers {
		calls.Go(func() {
			for range callsEach {
				client, err := peer.connect(address, dialTimeout, nil)
				if client != connected {
					errs[caller] = err
				}
			}
		})
	}
	calls.Wait()
	require.Equal(t, make([]error, callers), errs)
}

// A call fails with ErrBusy while another call dials the same peer. A later call uses the connection that was
// dialled.
func TestCallDuringDialFailsWithBusy(t *testing.T) {
	address, pool := serve(t)
	dialling, proceed := make(chan struct{}), make(chan struct{})
	pool.Wrap = func(conn net.Conn) net.Conn {
		close(dialling)
		<-proceed
		return conn
	}
	first := make(chan error, 1)
	go func() {
		var reply []byte
		first <- pool.Call(address, "Test.Bytes", 3, &reply, time.Minute)
	}()
	<-dialling
	var reply []byte
	require.ErrorIs(t, pool.Call(address, "Test.Bytes", 3, &reply, time.Minute), ErrBusy)
	close(proceed)
	require.NoError(t, <-first)
	require.NoError(t, pool.Call(address, "Test.Bytes", 3, &reply, time.Minute))
}

// A failed dial must not leave the peer marked as being dialled: the next call dials again.
func TestNextCallDialsAgainAfterFailedDial(t *testing.T) {
	address, err := loopback.FreeAddress()
	require.NoError(t, err)
	pool := NewPool()
	for range 2 {
		var reply []byte
		require.ErrorIs(t, pool.Call(address, "Test.Bytes", 3, &reply, time.Minute), syscall.ECONNREFUSED)
	}
}

package client

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// TestSpreadDelaysTheFirstRequest guards against nodes that start together and all call the replicas at the same
// moment.
func TestSpreadDelaysTheFirstRequest(t *testing.T) {
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listen.Close() }()
	config := Config{Replicas: []Replica{{Name: "k0", Address: listen.Addr().String()}}, AttemptTimeout: time.Second, Spread: time.Hour}
	start := time.Now()
	first, last := time.Hour, time.Duration(0)
	for range 100 {
		delayed := New(config).notBefore.Sub(start)
		first, last = min(first, delayed), max(last, delayed)
	}
	assert.Greater(t, last-first, time.Hour/2) // fails by chance less than once in 2^90 runs
	c := New(config)
	defer c.Close()
	c.notBefore = time.Now().Add(time.Hour)
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer stop()
	_, err = c.Read(ctx, statemachine.ComponentCalls, statemachine.Lookup{})
	require.ErrorIs(t, err, ErrNoQuorum)
	require.NoError(t, listen.(*net.TCPListener).SetDeadline(time.Now().Add(20*time.Millisecond)))
	_, err = listen.Accept()
	assert.ErrorContains(t, err, "timeout", "it must not connect before the delay is over")
	assert.Equal(t, 300*time.Millisecond, Spread(300))
	assert.Equal(t, time.Second, Spread(5000))
}

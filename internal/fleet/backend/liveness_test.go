package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/loopback"
)

// unframedBackend is the backend's side of an exchange whose response has neither length nor chunks.
type unframedBackend struct {
	t        *testing.T
	listener net.Listener
	exchange net.Conn // of the request
	second   net.Conn // the connection on which nothing is sent
}

// acceptSecond accepts the client's next connection.
func (b *unframedBackend) acceptSecond() {
	second, err := b.listener.Accept()
	require.NoError(b.t, err)
	b.second = second
}

// send sends a part of the body.
func (b *unframedBackend) send(text string) {
	_, err := io.WriteString(b.exchange, text)
	require.NoError(b.t, err)
}

// readUnframed sends a request to a backend that acts as play says, after the header of its response, and returns the body and
// the error of reading it.
func readUnframed(t *testing.T, play func(b *unframedBackend)) (string, error) {
	t.Helper()
	address, err := loopback.FreeAddress()
	require.NoError(t, err)
	listener, err := net.Listen("tcp4", address)
	require.NoError(t, err)
	b := &unframedBackend{t: t, listener: listener}
	released := make(chan struct{})
	played := make(chan struct{})
	go func() {
		defer close(played)
		b.exchange, _ = listener.Accept()
		_, _ = http.ReadRequest(bufio.NewReader(b.exchange))
		b.send("HTTP/1.1 200 X\r\nAttempt-Id: a\r\n\r\n")
		play(b)
		<-released
		_ = listener.Close()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	response, err := NewClient(nil).Do(ctx, address, requestOf("a"))
	require.NoError(t, err)
	require.Equal(t, ByConnection, response.Framing)
	body, err := io.ReadAll(response)
	response.Close()
	close(released)
	<-played
	return string(body), err
}

// Guards against a body that counts as whole although the process that sent it was killed: the kernel closes its connections in
// order.
func TestBodyThatEndsWithItsProcessIsTruncated(t *testing.T) {
	for name, play := range map[string]func(b *unframedBackend){
		"all connections end": func(b *unframedBackend) {
			b.acceptSecond()
			b.send("part")
			_ = b.listener.Close()
			_ = b.second.Close()
			_ = b.exchange.Close()
		},
		"the address is used again at once": func(b *unframedBackend) {
			b.acceptSecond()
			b.send("part")
			_ = b.second.Close()
			b.acceptAll()
			_ = b.exchange.Close()
		},
		"the listener ends before the second connection is made": func(b *unframedBackend) {
			_ = b.listener.Close()
			b.send("part")
			_ = b.exchange.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			body, err := readUnframed(t, play)
			require.Equal(t, "part", body)
			require.ErrorIs(t, err, errProcessEnded)
		})
	}
}

// acceptAll accepts connections and keeps them open.
func (b *unframedBackend) acceptAll() {
	go func() {
		for {
			if _, err := b.listener.Accept(); err != nil {
				return
			}
		}
	}()
}

// Guards against a whole body that counts as truncated although its process goes on.
func TestBodyOfAProcessThatGoesOnIsWhole(t *testing.T) {
	body, err := readUnframed(t, func(b *unframedBackend) {
		b.acceptSecond()
		b.send("whole")
		_ = b.exchange.Close()
	})
	require.Equal(t, "whole", body)
	require.NoError(t, err)
}

// Guards against a second connection that ended long before the body, as an idle one may, and is taken for the process's end.
func TestEndOfTheSecondConnectionDuringTheBodyIsNoEndOfTheProcess(t *testing.T) {
	address, err := loopback.FreeAddress()
	require.NoError(t, err)
	listener, err := net.Listen("tcp4", address)
	require.NoError(t, err)
	b := &unframedBackend{t: t, listener: listener}
	b.acceptAll()
	ended := make(chan struct{})
	close(ended)
	endedAt := time.Now()
	again := func() *livenessWatch { return watchLiveness(t.Context(), address) }
	w := &livenessWatch{again: again, dialed: ended, ended: ended, endedAt: endedAt, latestAt: endedAt.Add(time.Second)}
	require.False(t, w.processEnded(), "the address is listened on")
	require.NoError(t, listener.Close())
	require.True(t, w.processEnded(), "it is not")
}

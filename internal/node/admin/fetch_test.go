package admin

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against an answer that is taken though it is too long, no answer or broken off, and a caller that waits longer than it
// may or leaves its connection open.
func TestFetch(t *testing.T) {
	d, err := Open("127.0.0.1:0", &desk{})
	require.NoError(t, err)
	defer d.Close()
	got, err := Fetch(context.Background(), d.Address(), 1<<20)
	require.NoError(t, err)
	assert.Equal(t, "known", string(got))
	for answer, want := range map[string]string{
		"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n":                                             "its answer",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" + strings.Repeat("x", 0x20000): "its answer",
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf":                                              "its answer broke off",
		"":                  "its answer broke off",
		"SSH-2.0-x\r\n\r\n": "its answer",
		"HTTP/1.1 503 No\r\nContent-Length: 4\r\n\r\nbusy": "it answers 503: busy",
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		closed := make(chan error, 1)
		go func() {
			c, _ := l.Accept()
			_, _ = c.Read(make([]byte, 4096))
			_, _ = io.WriteString(c, answer)
			if tcp := c.(*net.TCPConn); !strings.Contains(answer, "200000") {
				_ = tcp.CloseWrite()
			}
			_, err := io.Copy(io.Discard, c) // until the caller closes
			closed <- err
		}()
		_, err = Fetch(context.Background(), l.Addr().String(), 1<<17)
		assert.ErrorContains(t, err, want, "%.60q", answer)
		<-closed
		_ = l.Close()
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	ctx, stop := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer stop()
	_, err = Fetch(ctx, l.Addr().String(), 1)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

package answer

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "linenwheel.dev/linenwheel/internal/rapidseed" // the same histories every time
)

// Guards the reader against where the network cuts: each answer, in any pieces, ends at the same byte with the same
// status, and what is behind it gives the connection up.
func TestAnyPieces(t *testing.T) {
	for _, c := range []struct {
		text       string
		status     int
		keep, head bool
		after      float64
	}{
		{text: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", status: 200, keep: true},
		{text: "HTTP/1.1 204\r\n\r\n", status: 204, keep: true},
		{text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 429 No\r\nretry-after: 1.5\r\nCONTENT-LENGTH: 0\r\n\r\n", status: 429,
			keep: true, after: 1.5},
		{text: "HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nx", status: 200},
		{text: "HTTP/1.1 200 OK\r\nConnection: Upgrade, close\r\nContent-Length: 1\r\n\r\nx", status: 200},
		{text: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", status: 200, keep: true, head: true},
		{text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, Chunked\r\n\r\n4;x=y\r\nwiki\r\nA\r\n0123456789\r\n0\r\nX: y\r\n\r\n",
			status: 200, keep: true},
	} {
		rapid.Check(t, func(t *rapid.T) {
			var r Reader
			r.Reset(c.head)
			for rest := c.text; rest != ""; {
				n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
				whole, err := r.Feed([]byte(rest[:n]))
				rest = rest[n:]
				require.NoError(t, err)
				require.Equal(t, rest == "", whole, c.text)
			}
			require.Equal(t, c.status, r.Status)
			require.Equal(t, c.keep, r.Keep)
			require.Equal(t, c.after, r.RetryAfter)
			require.Equal(t, int64(len(c.text)), r.Bytes)
		})
		var r Reader
		r.Reset(c.head)
		whole, err := r.Feed([]byte(c.text + "HTTP/1.1 200 OK\r\n"))
		require.NoError(t, err)
		require.True(t, whole)
		require.False(t, r.Keep, "surplus")
	}
}

// Guards against an answer without a length, which its connection's end makes whole, and against nonsense and floods.
func TestEndsAndNonsense(t *testing.T) {
	var r Reader
	whole, err := r.Feed([]byte("HTTP/1.1 200 OK\r\n\r\nsome"))
	require.NoError(t, err)
	require.False(t, whole)
	require.True(t, r.End())
	for _, bad := range []string{"SSH-2.0\r\n\r\n", "HTTP/1.1 2x0 OK\r\n\r\n", "HTTP/2 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nnonsense\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", strings.Repeat("x", MaxHead)} {
		r.Reset(false)
		_, err := r.Feed([]byte(bad))
		require.Error(t, err, "%.60q", bad)
		require.False(t, r.End())
	}
}

// Guards against bytes that break the reader or are read otherwise when they come in two pieces. What net/http reads as a
// whole answer with a length must be whole here too, with the same status.
func FuzzReader(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"), 7)
	f.Add([]byte("HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"), 60)
	f.Fuzz(func(t *testing.T, text []byte, cut int) {
		var one, two Reader
		whole, err := one.Feed(text)
		cut = max(0, min(cut, len(text)))
		first, errFirst := two.Feed(text[:cut])
		if errFirst != nil {
			require.Error(t, err)
			return
		}
		if first {
			require.True(t, whole || err != nil)
			return
		}
		second, errSecond := two.Feed(text[cut:])
		require.Equal(t, whole, second)
		require.Equal(t, err != nil, errSecond != nil)
		if whole {
			require.Equal(t, one.Status, two.Status)
		}
		if bytes.Count(text, []byte("\n")) != bytes.Count(text, []byte("\r\n")) {
			return // net/http takes lines without a return, the reader waits for one
		}
		parsed, errParsed := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
		if errParsed == nil && parsed.StatusCode >= 200 && parsed.ContentLength > 0 && parsed.ProtoMajor == 1 {
			if _, errBody := io.ReadAll(parsed.Body); errBody == nil && err == nil {
				require.True(t, whole)
				require.Equal(t, parsed.StatusCode, one.Status)
			}
		}
	})
}

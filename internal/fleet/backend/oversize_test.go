package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/memory"
)

// Sizes of the tests of senders without an end, in bytes.
const (
	testBudget  = 1 << 20
	maxReceived = 32 << 20 // of such a sender: the budget and the kernel's buffers of a connection
)

// sendEndlessly returns a script that answers each request with some bytes, and then sends others until the connection is
// closed. sent counts them.
func sendEndlessly(begin, endless string, sent *atomic.Int64) script {
	block := strings.Repeat(endless, 1+(64<<10)/len(endless))
	return func(_ *testing.T, conn net.Conn, next func() *http.Request) {
		if next() == nil {
			return
		}
		_, _ = io.WriteString(conn, begin)
		for {
			n, err := io.WriteString(conn, block)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}
}

// Guards against bytes that are held without a bound: whatever part of a response a backend does not end.
func TestEndlessResponseIsBounded(t *testing.T) {
	const head = "HTTP/1.1 200 X\r\nAttempt-Id: a\r\nResponse-Seal: s\r\n"
	const chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	for name, test := range map[string]struct {
		begin, endless string
		malformedHead  bool
	}{
		"first line":            {"", "no answer, ", true},
		"version":               {"HTTP/", "1", true},
		"reason":                {"HTTP/1.1 200 ", "x", true},
		"name of a header":      {head, "Name", true},
		"value of a header":     {head + "Name: ", "value", true},
		"headers":               {head, "Name: value\r\n", true},
		"continued header":      {head + "Name: value\r\n", " more\r\n", true},
		"informational":         {"HTTP/1.1 100 Continue\r\n", "Name: value\r\n", true},
		"body with a length":    {head + "Content-Length: 1000000000000\r\n\r\n", "body", false},
		"body without a length": {head + "\r\n", "body", false},
		"chunks":                {chunked, "4\r\nbody\r\n", false},
		"size of a chunk":       {chunked, "0", false},
		"chunk extension":       {chunked + "4;", "extension", false},
		"chunk extensions":      {chunked, "1;extension=extension=extension\r\nx\r\n", false},
		"trailer":               {chunked + "0\r\n", "Name: value\r\n", false},
		"line of a trailer":     {chunked + "0\r\nName: ", "value", false},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			budget := memory.NewBudget(testBudget)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			response, err := NewClient(budget).Do(ctx, listen(t, sendEndlessly(test.begin, test.endless, &sent)), requestOf("a"))
			if test.malformedHead {
				require.Equal(t, Malformed, outcomeOf(t, err), "%v", err)
			} else {
				require.NoError(t, err)
				_, err = response.ReadAll()
				require.Error(t, err)
				response.Close()
			}
			require.NoError(t, ctx.Err(), "the end comes from the bound")
			require.Less(t, sent.Load(), int64(maxReceived))
			require.Zero(t, budget.Used(), "all is given back")
		})
	}
}

func TestHeaderOfUsualSizeIsAccepted(t *testing.T) {
	long := "Long: " + strings.Repeat("x", 32<<10) + "\r\n"
	address := listen(t, func(_ *testing.T, conn net.Conn, next func() *http.Request) {
		for id := range 2 {
			next()
			_, _ = io.WriteString(conn, responseText(string(rune('a'+id)), http.StatusOK, long, strings.Repeat("body", 40<<10)))
		}
	})
	client := NewClient(memory.NewBudget(testBudget))
	for _, id := range []string{"a", "b"} { // the bound is that of one header, not of a connection
		status, body, _, err := doRequest(client, address, id)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Len(t, body, 160<<10)
	}
}

func TestNumbersOfABackendAreBounded(t *testing.T) {
	for _, value := range []string{"NaN,0,1", "-1,0,1", "+1,0,1", "1e3,0,1", "0x10,0,1", "9223372036854775808,0,1", "1,-1,1", "1048576,0,1", "1,2"} {
		require.False(t, parseLoad(value).Known, value)
	}
	require.Equal(t, 3, parseLoad(" 3 , 1 , 8 ").Running)
	for _, value := range []string{"timeout=-1", "timeout=NaN", "timeout=1e3", "timeout=+5", "max=5"} {
		_, found := keepAliveTimeout(value)
		require.False(t, found, value)
	}
	for _, value := range []string{"timeout=9223372036854775807", "timeout=99999999999999999999999"} {
		timeout, found := keepAliveTimeout(value)
		require.True(t, found)
		require.Equal(t, maxKeepAliveSeconds*time.Second, timeout, "bounded, not overflown")
	}
}

package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/loopback"
)

// script is the handling of the requests on one connection by a test backend. next reads the next request, nil at
// the end.
type script func(t *testing.T, conn net.Conn, next func() *http.Request)

// listen starts a backend that runs one script per connection, in the order of connections. It returns its
// address.
func listen(t *testing.T, scripts ...script) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for _, run := range scripts {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				run(t, conn, func() *http.Request {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return nil
					}
					_, _ = io.Copy(io.Discard, request.Body)
					return request
				})
			}()
		}
	}()
	return listener.Addr().String()
}

func responseText(id string, status int, fields, body string) string {
	text := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s", status, len(body), fields)
	if id != "" {
		text += "Attempt-Id: " + id + "\r\n"
	}
	return text + "\r\n" + body
}

func requestOf(id string) *Request {
	return &Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{HeaderAttempt: {id}}, Body: []byte("body")}
}

// doRequest sends a request and returns status, body and whether the backend states that the request has not run.
func doRequest(client *Client, address, id string) (status int, body string, notExecuted bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	response, err := client.Do(ctx, address, requestOf(id))
	if err != nil {
		return 0, "", false, err
	}
	defer response.Close()
	content, err := io.ReadAll(response)
	return response.Status, string(content), response.NotExecuted(), err
}

func outcomeOf(t *testing.T, err error) Outcome {
	t.Helper()
	var failed *Error
	require.ErrorAs(t, err, &failed)
	return failed.Outcome
}

// resetConnection closes a connection with a TCP reset.
func resetConnection(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func TestLateRejectionWithoutIDIsNotAttributed(t *testing.T) {
	between := make(chan struct{})
	address := listen(t, func(_ *testing.T, conn net.Conn, next func() *http.Request) {
		next()
		_, _ = io.WriteString(conn, responseText("a", 200, "", "for a"))
		next() // the second request is read, then a rejection of the first one arrives
		_, _ = io.WriteString(conn, responseText("", 503, "Not-Executed: 1\r\n", ""))
		<-between
	})
	defer close(between)
	client := NewClient(nil)
	status, body, _, err := doRequest(client, address, "a")
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, "for a", body)
	_, _, _, err = doRequest(client, address, "b")
	require.Equal(t, Malformed, outcomeOf(t, err), "b may have run")
}

func TestRejectionWithoutIDIsAttributedOnAFreshConnection(t *testing.T) {
	address := listen(t, func(_ *testing.T, conn net.Conn, next func() *http.Request) {
		next()
		_, _ = io.WriteString(conn, responseText("", 400, "Not-Executed: 1\r\n", ""))
		next()
	})
	status, _, notExecuted, err := doRequest(NewClient(nil), address, "a")
	require.NoError(t, err)
	require.Equal(t, 400, status)
	require.True(t, notExecuted)
}

func TestStaleResponsesAreSkipped(t *testing.T) {
	address := listen(t, func(_ *testing.T, conn net.Conn, next func() *http.Request) {
		next()
		_, _ = io.WriteString(conn, responseText("a", 200, "", "for a"))
		next()
		_, _ = io.WriteString(conn, responseText("a", 200, "", "for a, once more")+responseText("a", 503, "Not-Executed: 1\r\n", "")+
			responseText("b", 200, "", "for b"))
		next()
	})
	client := NewClient(nil)
	_, _, _, err := doRequest(client, address, "a")
	require.NoError(t, err)
	status, body, notExecuted, err := doRequest(client, address, "b")
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, "for b", body)
	require.False(t, notExecuted)
}

func TestConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	address := listen(t, func(t *testing.T, conn net.Conn, next func() *http.Request) {
		next()
		_, _ = io.WriteString(conn, responseText("a", 200, "", "for a")+responseText("a", 200, "", "once more"))
		require.Nil(t, next(), "the second request must use another connection")
	}, func(_ *testing.T, conn net.Conn, next func() *http.Request) {
		next()
		_, _ = io.WriteString(conn, responseText("b", 200, "", "for b"))
		next()
	})
	client := NewClient(nil)
	_, _, _, err := doRequest(client, address, "a")
	require.NoError(t, err)
	_, body, _, err := doRequest(client, address, "b")
	require.NoError(t, err)
	require.Equal(t, "for b", body)
}

func TestOutcomeWhenTheConnectionEnds(t *testing.T) {
	for name, run := range map[string]script{
		"reset before the first byte": func(_ *testing.T, conn net.Conn, next func() *http.Request) {
			next()
			resetConnection(conn)
		},
		"closed before the first byte": func(_ *testing.T, _ net.Conn, next func() *http.Request) { next() },
		"reset within the header": func(_ *testing.T, conn net.Conn, next func() *http.Request) {
			next()
			_, _ = io.WriteString(conn, "HTTP/1.1 503 X\r\nNot-Exec")
			time.Sleep(20 * time.Millisecond)
			resetConnection(conn)
		},
		"bytes that are not HTTP": func(_ *testing.T, conn net.Conn, next func() *http.Request) {
			next()
			_, _ = io.WriteString(conn, "this is no response\r\n\r\n")
		},
		"a response to another request that ends with the connection": func(_ *testing.T, conn net.Conn, next func() *http.Request) {
			next()
			_, _ = io.WriteString(conn, "HTTP/1.1 200 X\r\nAttempt-Id: z\r\n\r\nfor z")
		},
		"a success without an id": func(_ *testing.T, conn net.Conn, next func() *http.Request) {
			next()
			_, _ = io.WriteString(conn, responseText("", 200, "", "whose?"))
			next()
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, _, err := doRequest(NewClient(nil), listen(t, run), "a")
			require.NotEqual(t, NotSent, outcomeOf(t, err))
		})
	}
	closed, err := loopback.FreeAddress()
	require.NoError(t, err)
	_, _, _, err = doRequest(NewClient(nil), closed, "a")
	require.Equal(t, NotSent, outcomeOf(t, err), "refused")
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	for name, text := range map[string]string{
		"with Content-Length":     "HTTP/1.1 200 X\r\nAttempt-Id: a\r\nContent-Length: 100\r\n\r\nhalf",
		"chunked":                 "HTTP/1.1 200 X\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"ended by the connection": "HTTP/1.1 200 X\r\nAttempt-Id: a\r\n\r\nhalf",
	} {
		address := listen(t, func(_ *testing.T, conn net.Conn, next func() *http.Request) {
			next()
			_, _ = io.WriteString(conn, text)
			time.Sleep(30 * time.Millisecond)
			resetConnection(conn)
		})
		_, _, _, err := doRequest(NewClient(nil), address, "a")
		require.Error(t, err, name)
	}
}

func TestCancelledExchangeClosesItsConnection(t *testing.T) {
	arrived := make(chan struct{})
	address := listen(t, func(t *testing.T, _ net.Conn, next func() *http.Request) {
		next()
		close(arrived)
		require.Nil(t, next(), "the connection is closed when the request is cancelled")
	}, func(_ *testing.T, conn net.Conn, next func() *http.Request) {
		next()
		_, _ = io.WriteString(conn, responseText("b", 200, "", "for b"))
		next()
	})
	client := NewClient(nil)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := client.Do(ctx, address, requestOf("a"))
	require.Equal(t, MayHaveRun, outcomeOf(t, err))
	_, body, _, err := doRequest(client, address, "b")
	require.NoError(t, err)
	require.Equal(t, "for b", body)
}

func TestLongBodyIsSentCompletelyDespiteAnEarlyResponse(t *testing.T) {
	got := make(chan string, 1)
	body := strings.Repeat("long ", 1<<18)
	address := listen(t, func(_ *testing.T, conn net.Conn, _ func() *http.Request) {
		start := make([]byte, 64)
		_, _ = io.ReadFull(conn, start)
		_, _ = io.WriteString(conn, responseText("a", 503, "Not-Executed: 1\r\n", ""))
		time.Sleep(50 * time.Millisecond)
		sent, chunk := string(start), make([]byte, 64<<10)
		_ = conn.SetReadDeadline(time.Now().Add(time.Minute)) // a busy machine may stall for seconds
		for !strings.HasSuffix(sent, body) {
			n, err := conn.Read(chunk)
			sent += string(chunk[:n])
			if err != nil {
				break
			}
		}
		_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		following, _ := io.ReadAll(conn)
		got <- sent + string(following)
	})
	request := requestOf("a")
	request.Body = []byte(body)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	response, err := NewClient(nil).Do(ctx, address, request)
	require.NoError(t, err)
	require.True(t, response.NotExecuted())
	_, _ = io.Copy(io.Discard, response)
	response.Close()
	sent := <-got
	require.True(t, strings.HasSuffix(sent, body), "no bytes other than the rest of the body are sent")
}

// Guards against a response to HEAD, which has no body, that is taken for one whose body ends with the connection.
func TestResponseToHeadHasNoBodyToWaitFor(t *testing.T) {
	address := listen(t, func(_ *testing.T, conn net.Conn, next func() *http.Request) {
		next()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 X\r\nAttempt-Id: a\r\n\r\n")
		next()
	})
	request := requestOf("a")
	request.Method = http.MethodHead
	response, err := NewClient(nil).Do(context.Background(), address, request)
	require.NoError(t, err)
	defer response.Close()
	require.Equal(t, ByLength, response.Framing)
	body, err := io.ReadAll(response)
	require.NoError(t, err)
	require.Empty(t, body)
}

func TestErrorUnwrapsItsCause(t *testing.T) {
	cause := errors.New("cause")
	require.ErrorIs(t, &Error{MayHaveRun, cause}, cause)
}

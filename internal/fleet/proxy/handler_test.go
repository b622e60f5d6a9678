package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/lab/engine"
)

func TestRequestIsForwardedUnchanged(t *testing.T) {
	f := newFixture(t, 1)
	got := f.send(t, "/unsafe/x%2Fy?q=1", func(r *http.Request) {
		r.Header.Set("Tenant", "somebody-else")
		r.Header.Set("Priority", "0")
		r.Header.Set("X-Own", "kept")
		r.Header.Set("Connection", "keep-alive, X-Hop")
		r.Header.Set("X-Hop", "dropped")
		r.Header.Set("Model", "m")
		r.Header.Set("Token-Usage", "4,3")
		r.Header.Set("Prompt-Prefix", "a1:3,b2:1")
	})
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "POST /unsafe/x/y 4", got.body)
	require.Equal(t, f.backends[0].Seal("a1"), got.header.Get("Response-Seal"))
	seen := f.backends[0].Requests()[0]
	require.Equal(t, "t1", seen.Get("Tenant"), "the tenant is determined by the key")
	require.Empty(t, seen.Get("Api-Key"), "the key is not forwarded")
	require.Equal(t, "1", seen.Get("Priority"), "a tenant's priority overrides the route's")
	require.Equal(t, "r0", seen.Get("Expect-Instance"))
	require.Equal(t, "kept", seen.Get("X-Own"))
	require.Empty(t, seen.Get("X-Hop"))
	require.Equal(t, []string{"m", "4,3", "a1:3,b2:1"}, []string{seen.Get("Model"), seen.Get("Token-Usage"), seen.Get("Prompt-Prefix")})
	require.InDelta(t, 7, f.acquired, 1e-9)
	f.send(t, "/unsafe/x", nil)
	require.InDelta(t, 14, f.acquired, 1e-9, "a request without Token-Usage counts as PlainTokens")
}

// The deadline sent to a backend is not later than the client's own. In a retry it is the time remaining.
func TestBackendReceivesTheRemainingDeadline(t *testing.T) {
	f := newFixture(t, 2)
	f.backends[0].SetFault(engine.Resets)
	f.backends[0].SetDelay(150 * time.Millisecond)
	require.Equal(t, http.StatusOK, f.send(t, "/safe/x", nil).status)
	first, err := strconv.Atoi(f.backends[0].Requests()[0].Get("Deadline-Ms"))
	require.NoError(t, err)
	require.LessOrEqual(t, first, 2000)
	require.Greater(t, first, 1900)
	second, err := strconv.Atoi(f.backends[1].Requests()[0].Get("Deadline-Ms"))
	require.NoError(t, err)
	require.LessOrEqual(t, second, first-150)
	require.Greater(t, second, 1500)
	f.send(t, "/unsafe/x", nil)
	bounded, err := strconv.Atoi(f.backends[0].Requests()[1].Get("Deadline-Ms"))
	require.NoError(t, err)
	require.LessOrEqual(t, bounded, 400, "the route's timeout bounds the client's deadline")
}

func TestUnresponsiveBackendIsAbandonedAtTheRouteTimeout(t *testing.T) {
	f := newFixture(t, 1)
	f.backends[0].SetFault(engine.Silent)
	begin := time.Now()
	got := f.send(t, "/unsafe/x", nil)
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	require.Less(t, time.Since(begin), 900*time.Millisecond, "the timeout of 400 ms, exceeded by less than half a second")
}

func TestStreamIsForwardedEventByEvent(t *testing.T) {
	f := newFixture(t, 1)
	got := f.send(t, "/stream/plain/5", func(r *http.Request) { r.Header.Set("Token-Usage", "30,20") })
	require.Equal(t, events(1, 5), got.body)
	require.True(t, got.complete)
	require.InDelta(t, 50, f.acquired, 1e-9)
}

func TestStoppingProcessRejectsRequestsItMayHaveToAbort(t *testing.T) {
	f := newFixture(t, 1)
	require.Equal(t, http.StatusOK, f.send(t, "/stream/plain/5", nil).status, "the process is not shutting down")
	f.left = time.Second
	rejected := f.send(t, "/stream/plain/5", nil)
	require.Equal(t, http.StatusServiceUnavailable, rejected.status, "the client's deadline is in two seconds")
	require.NotEmpty(t, rejected.header.Get("Retry-After"))
	require.Equal(t, 1, f.runs("a1"), "the rejected request has not run")
	require.Equal(t, http.StatusOK, f.send(t, "/unsafe/x", nil).status, "the route's timeout ends before the process")
	f.left = 3 * time.Second
	require.Equal(t, http.StatusOK, f.send(t, "/stream/plain/5", nil).status, "the deadline is before the end of the process")
}

func TestTruncatedStreamResumesAtAnotherBackend(t *testing.T) {
	f := newFixture(t, 2)
	f.backends[0].SetFault(engine.BreaksOff)
	got := f.send(t, "/stream/resumed/6", nil)
	require.Equal(t, events(1, 6), got.body, "no event is missing or duplicated")
	require.True(t, got.complete)
	require.Equal(t, f.backends[0].Seal("a1"), got.header.Get("Response-Seal"), "header and seal are those of the first backend")
	require.Equal(t, "2", f.backends[1].Requests()[0].Get("Last-Event-Id"))
}

func TestTruncatedStreamWithoutResumeIsVisibleToTheClient(t *testing.T) {
	f := newFixture(t, 2)
	f.backends[0].SetFault(engine.BreaksOff)
	got := f.send(t, "/stream/plain/6", nil)
	require.Equal(t, http.StatusOK, got.status)
	require.False(t, got.complete)
	require.Equal(t, 1, f.runs("a1"))
}

func TestResponseToEachBackendFault(t *testing.T) {
	for _, test := range []struct {
		fault       engine.Fault
		path        string
		status      int
		runs        int
		retryAfter  bool
		description string
	}{
		{engine.Sheds, "/unsafe/", 200, 1, false, "a request that was shed may be sent to another backend"},
		{engine.Sheds, "/once/", 503, 0, true, "only one attempt is allowed: the client is told that the request has not run"},
		{engine.Resets, "/unsafe/", 502, 1, false, "the request may have run, so it is not retried"},
		{engine.Resets, "/safe/", 200, 2, false, "a safe request may run again"},
		{engine.Garbles, "/unsafe/", 502, 1, false, "the bytes received are not a response"},
		{engine.Garbles, "/safe/", 200, 2, false, ""},
		{engine.Unsealed, "/unsafe/", 502, 1, false, "a success counts only with its seal"},
		{engine.Fails, "/unsafe/", 500, 1, false, "an error response of the backend is forwarded"},
		{engine.Fails, "/safe/", 200, 2, false, ""},
		{engine.Silent, "/unsafe/", 504, 1, false, "the route's timeout ends the attempt"},
		{engine.AnswersBefore, "/unsafe/", 200, 1, false, "the response to another request is skipped"},
		{engine.AnswersTwice, "/unsafe/", 200, 1, false, ""},
	} {
		t.Run(fmt.Sprintf("%d%s", test.fault, strings.ReplaceAll(test.path, "/", "-")), func(t *testing.T) {
			f := newFixture(t, 2)
			f.backends[0].SetFault(test.fault)
			got := f.send(t, test.path, nil)
			require.Equal(t, test.status, got.status, test.description)
			require.Equal(t, test.runs, f.runs("a1"))
			require.Equal(t, test.retryAfter, got.header.Get("Retry-After") != "")
			if got.status != http.StatusOK && got.status != http.StatusInternalServerError {
				require.Empty(t, got.header.Get("Response-Seal"), "a rejection has no seal of a backend")
			}
			if test.fault == engine.AnswersBefore || test.fault == engine.AnswersTwice {
				require.Equal(t, "yours", got.body)
			}
		})
	}
}

func TestExtraResponseDoesNotReachTheNextRequest(t *testing.T) {
	f := newFixture(t, 1)
	f.backends[0].SetFault(engine.AnswersTwice)
	require.Equal(t, "yours", f.send(t, "/unsafe/", nil).body)
	f.backends[0].SetFault(engine.Sound)
	got := f.send(t, "/unsafe/next", func(r *http.Request) { r.Header.Set("Attempt-Id", "a2") })
	require.Equal(t, "POST /unsafe/next 4", got.body)
	require.Equal(t, f.backends[0].Seal("a2"), got.header.Get("Response-Seal"))
}

func TestRejectionsBeforeTheFirstAttempt(t *testing.T) {
	for name, test := range map[string]struct {
		path       string
		setUp      func(f *fixture)
		modify     func(r *http.Request)
		status     int
		retryAfter bool
	}{
		"no route":             {"/none/", nil, nil, 404, false},
		"unknown key":          {"/unsafe/", nil, func(r *http.Request) { r.Header.Set("Api-Key", "other") }, 401, false},
		"no key":               {"/unsafe/", nil, func(r *http.Request) { r.Header.Del("Api-Key") }, 401, false},
		"two keys":             {"/unsafe/", nil, func(r *http.Request) { r.Header.Add("Api-Key", "key") }, 401, false},
		"anonymous needs none": {"/open/", nil, func(r *http.Request) { r.Header.Del("Api-Key") }, 200, false},
		"no lease":             {"/unsafe/", func(f *fixture) { f.leased = false }, nil, 503, true},
		"no lease but no key":  {"/open/", func(f *fixture) { f.leased = false }, nil, 200, false},
		"over quota":           {"/unsafe/", func(f *fixture) { f.overQuota = true }, nil, 429, true},
		"no configuration":     {"/unsafe/", func(f *fixture) { f.table = nil }, nil, 503, true},
		"no backend":           {"/unsafe/", func(f *fixture) { f.backends = nil }, nil, 503, true},
		"body over the limit":  {"/unsafe/", nil, func(r *http.Request) { setBody(r, strings.Repeat("x", 1001)) }, 413, false},
		"chunked over the limit": {"/unsafe/", nil, func(r *http.Request) {
			setBody(r, strings.Repeat("x", 1001))
			r.ContentLength = -1
		}, 413, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			if test.setUp != nil {
				test.setUp(f)
			}
			got := f.send(t, test.path, test.modify)
			require.Equal(t, test.status, got.status)
			require.Equal(t, test.retryAfter, got.header.Get("Retry-After") != "")
			if test.status != http.StatusOK {
				require.Zero(t, f.runs("a1"))
				require.Zero(t, f.acquired, "the quota of a request that did not run is refunded")
			}
		})
	}
}

// tableAfter returns the compiled configuration after a PATCH or PUT of the fixture's configuration.
func tableAfter(t *testing.T, method, body string) *operator.Table {
	t.Helper()
	state, err := operator.NewState().Apply(operator.Order{Method: http.MethodPut, Body: []byte(document)})
	require.NoError(t, err)
	state, err = state.Apply(operator.Order{Method: method, Base: 1, Body: []byte(body)})
	require.NoError(t, err)
	return state.Document.Compile()
}

// Guards against requests that run with a key that was taken away, or with any other, once the last tenant is removed.
func TestEmptyListOfTenantsAcceptsNoKeyAndAnAbsentOneRequiresNone(t *testing.T) {
	empty := tableAfter(t, http.MethodPatch, `{"Revision":2,"Remove":{"Tenants":["t1"]}}`)
	withoutTenants, _, found := strings.Cut(strings.Replace(document, `"Revision":1`, `"Revision":2`, 1), ",\n\"Tenants\"")
	require.True(t, found)
	absent := tableAfter(t, http.MethodPut, withoutTenants+"}")
	for name, test := range map[string]struct {
		table  *operator.Table
		path   string
		key    string
		leased bool
		status int
	}{
		"empty, the removed key":            {empty, "/safe/", "key", true, 401},
		"empty, another key":                {empty, "/safe/", "other", true, 401},
		"empty, no key":                     {empty, "/safe/", "", true, 401},
		"empty, anonymous route":            {empty, "/open/", "", true, 200},
		"empty, the lease has run out":      {empty, "/safe/", "key", false, 503},
		"empty, anonymous, no lease":        {empty, "/open/", "key", false, 200},
		"absent, no key":                    {absent, "/safe/", "", true, 200},
		"absent, a key, which is ignored":   {absent, "/safe/", "key", true, 200},
		"absent, the lease has run out":     {absent, "/safe/", "", false, 200},
		"absent, an anonymous route, a key": {absent, "/open/", "key", true, 200},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.table, f.leased = test.table, test.leased
			got := f.send(t, test.path, func(r *http.Request) {
				r.Header.Del("Api-Key")
				if test.key != "" {
					r.Header.Set("Api-Key", test.key)
				}
			})
			require.Equal(t, test.status, got.status)
			if test.status != http.StatusOK {
				require.Zero(t, f.runs("a1"))
				return
			}
			require.Empty(t, f.backends[0].Requests()[0].Get("Api-Key"))
			require.Empty(t, f.backends[0].Requests()[0].Get("Tenant"))
		})
	}
}

// Guards against waiting for quota beyond the request's deadline, or after its client has disconnected.
func TestQuotaWaitEndsWithTheRequest(t *testing.T) {
	f := newFixture(t, 1)
	f.quotaWaits = true
	startedAt := time.Now()
	got := f.send(t, "/unsafe/", func(r *http.Request) { r.Header.Set("Deadline-Ms", "50") })
	require.Equal(t, http.StatusTooManyRequests, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	f.mu.Lock()
	require.ErrorIs(t, f.waitErr, context.DeadlineExceeded)
	require.WithinRange(t, f.waitDeadline, startedAt.Add(50*time.Millisecond), time.Now())
	f.mu.Unlock()
	ctx, disconnect := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, disconnect)
	f.send(t, "/safe/", func(r *http.Request) { *r = *r.WithContext(ctx) })
	require.Eventually(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return errors.Is(f.waitErr, context.Canceled)
	}, time.Minute, time.Millisecond)
	require.Zero(t, f.runs("a1"))
}

func setBody(r *http.Request, body string) {
	r.Body = io.NopCloser(strings.NewReader(body))
	r.ContentLength = int64(len(body))
}

func TestRefusedConnectionDoesNotCountAsAttempt(t *testing.T) {
	f := newFixture(t, 2)
	f.backends[0].Close()
	got := f.send(t, "/once/", nil)
	require.Equal(t, http.StatusOK, got.status, "the only attempt is made at the other backend")
}

func TestMisdirectedRequestDoesNotRun(t *testing.T) {
	f := newFixture(t, 1)
	f.backends[0].ID = "other-than-expected"
	address := f.backends[0].Address
	f.backends = []*engine.Server{{ID: "r0", Address: address}}
	got := f.send(t, "/once/", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
}

// exchangeRaw writes text to the handler's server and returns all bytes received until the server closes the
// connection, and the error with which it ends, if any.
func (f *fixture) exchangeRaw(t *testing.T, text string) (received string, readErr error) {
	t.Helper()
	connection, err := net.Dial("tcp4", f.server.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	require.NoError(t, connection.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(connection, text)
	require.NoError(t, err)
	all, readErr := io.ReadAll(connection)
	return string(all), readErr
}

func TestSmuggledRequestsDoNotRun(t *testing.T) {
	for name, text := range map[string]string{
		"length and chunks": "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nApi-Key: key\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n0\r\n\r\nPOST /unsafe/smuggled HTTP/1.1\r\nHost: h\r\nAttempt-Id: a2\r\nApi-Key: key\r\nContent-Length: 0\r\n\r\n",
		"two lengths":       "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nApi-Key: key\r\nContent-Length: 0\r\nContent-Length: 60\r\n\r\nPOST /unsafe/smuggled HTTP/1.1\r\nHost: h\r\nAttempt-Id: a2\r\nApi-Key: key\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			_, _ = f.exchangeRaw(t, text)
			require.Zero(t, f.runs("a2"))
		})
	}
}

func TestResponsesToPipelinedRequestsAreInOrder(t *testing.T) {
	f := newFixture(t, 1)
	request := func(id, last string) string {
		return "POST /unsafe/" + id + " HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + id + "\r\nApi-Key: key\r\nContent-Length: 2\r\n" + last + "\r\nab"
	}
	received, _ := f.exchangeRaw(t, request("p1", "")+request("p2", "")+request("p3", "Connection: close\r\n"))
	reader := bufio.NewReader(strings.NewReader(received))
	for _, id := range []string{"p1", "p2", "p3"} {
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, id, response.Header.Get("Attempt-Id"))
		require.Equal(t, "POST /unsafe/"+id+" 2", string(body))
	}
}

func TestDisconnectedClientCancelsItsAttempt(t *testing.T) {
	f := newFixture(t, 1)
	f.backends[0].SetFault(engine.Silent)
	connection, err := net.Dial("tcp4", f.server.Listener.Addr().String())
	require.NoError(t, err)
	_, err = io.WriteString(connection, "POST /safe/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nApi-Key: key\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return f.runs("a1") == 1 }, 5*time.Second, time.Millisecond)
	require.NoError(t, connection.Close())
	require.Eventually(t, func() bool {
		running, _ := f.backends[0].Engine().Load()
		return running == 0
	}, 5*time.Second, time.Millisecond, "the connection to the backend is closed too")
	require.Equal(t, 1, f.runs("a1"))
}

func TestParsePrompt(t *testing.T) {
	header := http.Header{}
	header.Set("Token-Usage", "1460,80")
	header.Set("Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250")
	require.Equal(t, prompt{inputTokens: 1460, outputTokens: 80, prefix: "91bd3f06", ownTokens: 250}, parsePrompt(header))
	header.Set("Prompt-Prefix", "5c1e07a2:800")
	require.Equal(t, "5c1e07a2", parsePrompt(header).prefix)
	header.Set("Token-Usage", "x,-3")
	header.Set("Prompt-Prefix", ",,:,")
	require.Zero(t, func() float64 { p := parsePrompt(header); return p.usage() }())
	require.Equal(t, prompt{}, parsePrompt(http.Header{}))
	require.False(t, bytes.Contains([]byte(retryAfter(time.Millisecond)), []byte("-")))
}

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
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/backend"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
	"linenwheel.dev/linenwheel/lab/engine"
)

const document = `{"Revision":1,
"Routes":[
 {"Name":"resumed","Hostname":"h","PathPrefix":"/stream/resumed/","RouteType":"streaming","TimeoutMs":3000,"TargetLatencyMs":500,"Backend":"llm","MaxAttempts":2,"SessionAffinity":true,"StreamResume":true},
 {"Name":"plain","Hostname":"h","PathPrefix":"/stream/plain/","RouteType":"streaming","TimeoutMs":3000,"TargetLatencyMs":500,"Backend":"llm","MaxAttempts":2},
 {"Name":"safe","Hostname":"h","PathPrefix":"/safe/","RouteType":"safe","TimeoutMs":3000,"TargetLatencyMs":500,"Backend":"llm","MaxAttempts":2},
 {"Name":"unsafe","Hostname":"h","PathPrefix":"/unsafe/","RouteType":"unsafe","TimeoutMs":400,"TargetLatencyMs":100,"Backend":"llm","MaxAttempts":2,"Priority":3},
 {"Name":"once","Hostname":"h","PathPrefix":"/once/","RouteType":"unsafe","TimeoutMs":400,"TargetLatencyMs":100,"Backend":"llm","MaxAttempts":1},
 {"Name":"open","Hostname":"h","PathPrefix":"/open/","RouteType":"safe","TimeoutMs":400,"TargetLatencyMs":100,"Backend":"llm","MaxAttempts":1,"Anonymous":true}],
"Backends":[{"Name":"llm"}],
"Limits":{"MaxBodyBytes":1000},
"Tenants":[{"Name":"t1","ApiKeys":["key"],"RatePerS":100,"Burst":100,"Unit":"token_count","PlainTokens":7,"Priority":1}]}`

// fixture is a handler before stand-in raters.
type fixture struct {
	table  *operator.Table
	leased bool
	raters []*engine.Server
	front  *httptest.Server

	handler *Handler

	mu     sync.Mutex
	left   time.Duration // until the process ends; 0 = it does not
	place  int
	spent  float64
	denied bool
	ends   []routing.Result

	waits     bool      // Spend waits as long as it may, and then denies
	waitUntil time.Time // which is until here
	waitEnded error     // why it ended
}

func (f *fixture) Table() *operator.Table { return f.table }
func (f *fixture) Leased() bool           { return f.leased }

func (f *fixture) timeLeft() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.left, f.left > 0
}

// Pick takes the raters in turn, but for those that were tried.
func (f *fixture) Pick(_ string, request *routing.Request) *routing.Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range f.raters {
		one := f.raters[f.place%len(f.raters)]
		f.place++
		tried := false
		for _, id := range request.Exclude {
			tried = tried || id == one.ID
		}
		if !tried {
			return &routing.Attempt{Backend: routing.Backend{ID: one.ID, Address: one.Address}}
		}
	}
	return nil
}

func (f *fixture) FirstToken(string, *routing.Attempt)  {}
func (f *fixture) Unreachable(string, *routing.Attempt) {}

func (f *fixture) Done(_ string, _ *routing.Attempt, result routing.Result, _ routing.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ends = append(f.ends, result)
}

func (f *fixture) Acquire(ctx context.Context, _ *operator.Tenant, _ int64, amount float64, _ bool) (bool, time.Duration) {
	if f.waits {
		<-ctx.Done()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.waits {
		f.waitEnded = ctx.Err()
		f.waitUntil, _ = ctx.Deadline()
		return false, time.Millisecond
	}
	if f.denied {
		return false, 1500 * time.Millisecond
	}
	f.spent += amount
	return true, 0
}

func (f *fixture) Refund(_ *operator.Tenant, amount float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spent -= amount
}

func (f *fixture) Deposit(string)          {}
func (f *fixture) TryWithdraw(string) bool { return true }

func newFixture(t *testing.T, raters int) *fixture {
	t.Helper()
	parsed, err := operator.ParseDocument([]byte(document))
	require.NoError(t, err)
	f := &fixture{table: parsed.Compile(), leased: true}
	for i := range raters {
		server, err := engine.Start(fmt.Sprintf("r%d", i), "llm", engine.DefaultModel())
		require.NoError(t, err)
		t.Cleanup(server.Close)
		f.raters = append(f.raters, server)
	}
	handler := &Handler{Config: f, Picker: f, Quotas: f, Retries: f, Backends: backend.NewClient(), Metrics: NewMetrics(),
		Log: log.New(io.Discard), Closing: func() bool { return false }, TimeLeft: f.timeLeft}
	f.handler = handler
	f.front = httptest.NewServer(handler)
	f.front.Config.ErrorLog = log.New(io.Discard).StandardLog()
	t.Cleanup(f.front.Close)
	return f
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	whole  bool
}

func (f *fixture) send(t *testing.T, path string, change func(r *http.Request)) answer {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, f.front.URL+path, strings.NewReader("body"))
	require.NoError(t, err)
	request.Host = "h"
	request.Header.Set("Attempt-Id", "a1")
	request.Header.Set("Api-Key", "key")
	request.Header.Set("Deadline-Ms", "2000")
	if change != nil {
		change(request)
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return answer{}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, string(body), err == nil}
}

func (f *fixture) runs(id string) int {
	runs := 0
	for _, one := range f.raters {
		runs += one.Runs(id)
	}
	return runs
}

func pieces(from, to int) string {
	var text strings.Builder
	for id := from; id <= to; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: piece-%d\n\n", id, id)
	}
	return text.String()
}

func TestARequestGoesThroughUnchanged(t *testing.T) {
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
	require.Equal(t, f.raters[0].Seal("a1"), got.header.Get("Response-Seal"))
	seen := f.raters[0].Requests()[0]
	require.Equal(t, "t1", seen.Get("Tenant"), "the tenant is the key's")
	require.Empty(t, seen.Get("Api-Key"), "the key is not passed on")
	require.Equal(t, "1", seen.Get("Priority"), "a tenant's rank goes before the route's")
	require.Equal(t, "r0", seen.Get("Expect-Instance"))
	require.Equal(t, "kept", seen.Get("X-Own"))
	require.Empty(t, seen.Get("X-Hop"))
	require.Equal(t, []string{"m", "4,3", "a1:3,b2:1"}, []string{seen.Get("Model"), seen.Get("Token-Usage"), seen.Get("Prompt-Prefix")})
	require.InDelta(t, 7, f.spent, 1e-9)
	f.send(t, "/unsafe/x", nil)
	require.InDelta(t, 14, f.spent, 1e-9, "a request without Token-Usage counts as PlainTokens")
}

// What a rater is told of the time that is left: no more than the client's own, and less on a further attempt.
func TestARaterIsHandedTheTimeThatIsLeft(t *testing.T) {
	f := newFixture(t, 2)
	f.raters[0].SetFault(engine.Resets)
	f.raters[0].SetDelay(150 * time.Millisecond)
	require.Equal(t, http.StatusOK, f.send(t, "/safe/x", nil).status)
	first, err := strconv.Atoi(f.raters[0].Requests()[0].Get("Deadline-Ms"))
	require.NoError(t, err)
	require.LessOrEqual(t, first, 2000)
	require.Greater(t, first, 1900)
	second, err := strconv.Atoi(f.raters[1].Requests()[0].Get("Deadline-Ms"))
	require.NoError(t, err)
	require.LessOrEqual(t, second, first-150)
	require.Greater(t, second, 1500)
	f.send(t, "/unsafe/x", nil)
	bounded, err := strconv.Atoi(f.raters[0].Requests()[1].Get("Deadline-Ms"))
	require.NoError(t, err)
	require.LessOrEqual(t, bounded, 400, "the route's time goes before a longer one of the client")
}

func TestASilentRaterIsGivenUpAtTheRoutesTimeout(t *testing.T) {
	f := newFixture(t, 1)
	f.raters[0].SetFault(engine.Silent)
	begin := time.Now()
	got := f.send(t, "/unsafe/x", nil)
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	require.Less(t, time.Since(begin), 900*time.Millisecond, "400 ms, and no more than half a second beyond")
}

func TestAStreamIsPassedOnEventByEvent(t *testing.T) {
	f := newFixture(t, 1)
	got := f.send(t, "/stream/plain/5", func(r *http.Request) { r.Header.Set("Token-Usage", "30,20") })
	require.Equal(t, pieces(1, 5), got.body)
	require.True(t, got.whole)
	require.InDelta(t, 50, f.spent, 1e-9)
}

func TestAProcessThatEndsBeginsNothingThatItMayHaveToCut(t *testing.T) {
	f := newFixture(t, 1)
	require.Equal(t, http.StatusOK, f.send(t, "/stream/plain/5", nil).status, "it does not end")
	f.left = time.Second
	refused := f.send(t, "/stream/plain/5", nil)
	require.Equal(t, http.StatusServiceUnavailable, refused.status, "its client waits for two seconds")
	require.NotEmpty(t, refused.header.Get("Retry-After"))
	require.Equal(t, 1, f.runs("a1"), "it has not run again")
	require.Equal(t, http.StatusOK, f.send(t, "/unsafe/x", nil).status, "its route's time is over before")
	f.left = 3 * time.Second
	require.Equal(t, http.StatusOK, f.send(t, "/stream/plain/5", nil).status, "there is time enough")
}

func TestAStreamThatBreaksOffIsContinuedElsewhere(t *testing.T) {
	f := newFixture(t, 2)
	f.raters[0].SetFault(engine.BreaksOff)
	got := f.send(t, "/stream/resumed/6", nil)
	require.Equal(t, pieces(1, 6), got.body, "no piece is missing or twice")
	require.True(t, got.whole)
	require.Equal(t, f.raters[0].Seal("a1"), got.header.Get("Response-Seal"), "head and stamp are the first rater's")
	require.Equal(t, "2", f.raters[1].Requests()[0].Get("Last-Event-Id"))
}

func TestAStreamThatMayNotBeResumedIsVisiblyCut(t *testing.T) {
	f := newFixture(t, 2)
	f.raters[0].SetFault(engine.BreaksOff)
	got := f.send(t, "/stream/plain/6", nil)
	require.Equal(t, http.StatusOK, got.status)
	require.False(t, got.whole)
	require.Equal(t, 1, f.runs("a1"))
}

func TestWhatBecomesOfEachFault(t *testing.T) {
	for _, one := range []struct {
		fault       engine.Fault
		path        string
		status      int
		runs        int
		retryAfter  bool
		description string
	}{
		{engine.Sheds, "/unsafe/", 200, 1, false, "what was turned away unseen may go elsewhere"},
		{engine.Sheds, "/once/", 503, 0, true, "where only one send is allowed, the client is told that it has not run"},
		{engine.Resets, "/unsafe/", 502, 1, false, "it may have run, so it is not sent again"},
		{engine.Resets, "/safe/", 200, 2, false, "a safe request may run again"},
		{engine.Garbles, "/unsafe/", 502, 1, false, "bytes that are no answer"},
		{engine.Garbles, "/safe/", 200, 2, false, ""},
		{engine.Unsealed, "/unsafe/", 502, 1, false, "a success counts only with its seal"},
		{engine.Fails, "/unsafe/", 500, 1, false, "the rater's own failure is passed on"},
		{engine.Fails, "/safe/", 200, 2, false, ""},
		{engine.Silent, "/unsafe/", 504, 1, false, "until the route's timeout"},
		{engine.AnswersBefore, "/unsafe/", 200, 1, false, "the answer to another request is passed over"},
		{engine.AnswersTwice, "/unsafe/", 200, 1, false, ""},
	} {
		t.Run(fmt.Sprintf("%d%s", one.fault, strings.ReplaceAll(one.path, "/", "-")), func(t *testing.T) {
			f := newFixture(t, 2)
			f.raters[0].SetFault(one.fault)
			got := f.send(t, one.path, nil)
			require.Equal(t, one.status, got.status, one.description)
			require.Equal(t, one.runs, f.runs("a1"))
			require.Equal(t, one.retryAfter, got.header.Get("Retry-After") != "")
			if got.status != http.StatusOK && got.status != http.StatusInternalServerError {
				require.Empty(t, got.header.Get("Response-Seal"), "an answer of our own carries no rater's stamp")
			}
			if one.fault == engine.AnswersBefore || one.fault == engine.AnswersTwice {
				require.Equal(t, "yours", got.body)
			}
		})
	}
}

func TestAnExtraAnswerDoesNotReachTheNextRequest(t *testing.T) {
	f := newFixture(t, 1)
	f.raters[0].SetFault(engine.AnswersTwice)
	require.Equal(t, "yours", f.send(t, "/unsafe/", nil).body)
	f.raters[0].SetFault(engine.Sound)
	got := f.send(t, "/unsafe/next", func(r *http.Request) { r.Header.Set("Attempt-Id", "a2") })
	require.Equal(t, "POST /unsafe/next 4", got.body)
	require.Equal(t, f.raters[0].Seal("a2"), got.header.Get("Response-Seal"))
}

func TestRefusalsBeforeARaterIsAsked(t *testing.T) {
	for name, one := range map[string]struct {
		path    string
		prepare func(f *fixture)
		change  func(r *http.Request)
		status  int
		comes   bool // told when to come back
	}{
		"no route":             {"/none/", nil, nil, 404, false},
		"unknown key":          {"/unsafe/", nil, func(r *http.Request) { r.Header.Set("Api-Key", "other") }, 401, false},
		"no key":               {"/unsafe/", nil, func(r *http.Request) { r.Header.Del("Api-Key") }, 401, false},
		"two keys":             {"/unsafe/", nil, func(r *http.Request) { r.Header.Add("Api-Key", "key") }, 401, false},
		"anonymous needs none": {"/open/", nil, func(r *http.Request) { r.Header.Del("Api-Key") }, 200, false},
		"no lease":             {"/unsafe/", func(f *fixture) { f.leased = false }, nil, 503, true},
		"no lease but no key":  {"/open/", func(f *fixture) { f.leased = false }, nil, 200, false},
		"over quota":           {"/unsafe/", func(f *fixture) { f.denied = true }, nil, 429, true},
		"no configuration":     {"/unsafe/", func(f *fixture) { f.table = nil }, nil, 503, true},
		"no rater":             {"/unsafe/", func(f *fixture) { f.raters = nil }, nil, 503, true},
		"body over the limit":  {"/unsafe/", nil, func(r *http.Request) { setBody(r, strings.Repeat("x", 1001)) }, 413, false},
		"chunked over the limit": {"/unsafe/", nil, func(r *http.Request) {
			setBody(r, strings.Repeat("x", 1001))
			r.ContentLength = -1
		}, 413, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			if one.prepare != nil {
				one.prepare(f)
			}
			got := f.send(t, one.path, one.change)
			require.Equal(t, one.status, got.status)
			require.Equal(t, one.comes, got.header.Get("Retry-After") != "")
			if one.status != http.StatusOK {
				require.Zero(t, f.runs("a1"))
				require.Zero(t, f.spent, "what did not run is given back")
			}
		})
	}
}

// Guards against a request that waits for allowance beyond its own time, or after its client has gone.
func TestAWaitForAllowanceEndsWithTheRequest(t *testing.T) {
	f := newFixture(t, 1)
	f.waits = true
	begun := time.Now()
	got := f.send(t, "/unsafe/", func(r *http.Request) { r.Header.Set("Deadline-Ms", "50") })
	require.Equal(t, http.StatusTooManyRequests, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	f.mu.Lock()
	require.ErrorIs(t, f.waitEnded, context.DeadlineExceeded)
	require.WithinRange(t, f.waitUntil, begun.Add(50*time.Millisecond), time.Now())
	f.mu.Unlock()
	ctx, leave := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, leave)
	f.send(t, "/safe/", func(r *http.Request) { *r = *r.WithContext(ctx) })
	require.Eventually(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return errors.Is(f.waitEnded, context.Canceled)
	}, time.Minute, time.Millisecond)
	require.Zero(t, f.runs("a1"))
}

func setBody(r *http.Request, body string) {
	r.Body = io.NopCloser(strings.NewReader(body))
	r.ContentLength = int64(len(body))
}

func TestARaterThatIsNotThereIsNoSend(t *testing.T) {
	f := newFixture(t, 2)
	f.raters[0].Close()
	got := f.send(t, "/once/", nil)
	require.Equal(t, http.StatusOK, got.status, "a refused connection is not a send")
}

func TestARaterOfAnotherNameIsNotRunAt(t *testing.T) {
	f := newFixture(t, 1)
	f.raters[0].ID = "other-than-expected"
	address := f.raters[0].Address
	f.raters = []*engine.Server{{ID: "r0", Address: address}}
	got := f.send(t, "/once/", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
}

// raw writes bytes to the front and gives all that comes back until it closes.
func (f *fixture) raw(t *testing.T, text string) string {
	t.Helper()
	connection, err := net.Dial("tcp4", f.front.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	require.NoError(t, connection.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(connection, text)
	require.NoError(t, err)
	all, _ := io.ReadAll(connection)
	return string(all)
}

func TestNothingIsSmuggled(t *testing.T) {
	for name, text := range map[string]string{
		"length and chunks": "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nApi-Key: key\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n0\r\n\r\nPOST /unsafe/smuggled HTTP/1.1\r\nHost: h\r\nAttempt-Id: a2\r\nApi-Key: key\r\nContent-Length: 0\r\n\r\n",
		"two lengths":       "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nApi-Key: key\r\nContent-Length: 0\r\nContent-Length: 60\r\n\r\nPOST /unsafe/smuggled HTTP/1.1\r\nHost: h\r\nAttempt-Id: a2\r\nApi-Key: key\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.raw(t, text)
			require.Zero(t, f.runs("a2"))
		})
	}
}

func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	f := newFixture(t, 1)
	request := func(id, last string) string {
		return "POST /unsafe/" + id + " HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + id + "\r\nApi-Key: key\r\nContent-Length: 2\r\n" + last + "\r\nab"
	}
	all := f.raw(t, request("p1", "")+request("p2", "")+request("p3", "Connection: close\r\n"))
	reader := bufio.NewReader(strings.NewReader(all))
	for _, id := range []string{"p1", "p2", "p3"} {
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, id, response.Header.Get("Attempt-Id"))
		require.Equal(t, "POST /unsafe/"+id+" 2", string(body))
	}
}

func TestAClientThatLeavesIsNotServedOn(t *testing.T) {
	f := newFixture(t, 1)
	f.raters[0].SetFault(engine.Silent)
	connection, err := net.Dial("tcp4", f.front.Listener.Addr().String())
	require.NoError(t, err)
	_, err = io.WriteString(connection, "POST /safe/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nApi-Key: key\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return f.runs("a1") == 1 }, 5*time.Second, time.Millisecond)
	require.NoError(t, connection.Close())
	require.Eventually(t, func() bool {
		running, _ := f.raters[0].Engine().Load()
		return running == 0
	}, 5*time.Second, time.Millisecond, "the rater's connection is closed too")
	require.Equal(t, 1, f.runs("a1"))
}

func TestParsePrompt(t *testing.T) {
	header := http.Header{}
	header.Set("Token-Usage", "1460,80")
	header.Set("Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250")
	require.Equal(t, prompt{input: 1460, output: 80, shared: "91bd3f06", own: 250}, parsePrompt(header))
	header.Set("Prompt-Prefix", "5c1e07a2:800")
	require.Equal(t, "5c1e07a2", parsePrompt(header).shared)
	header.Set("Token-Usage", "x,-3")
	header.Set("Prompt-Prefix", ",,:,")
	require.Zero(t, func() float64 { p := parsePrompt(header); return p.usage() }())
	require.Equal(t, prompt{}, parsePrompt(http.Header{}))
	require.False(t, bytes.Contains([]byte(retryAfter(time.Millisecond)), []byte("-")))
}

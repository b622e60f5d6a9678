package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
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

// document is the configuration of the fixture.
const document = `{"Revision":1,
"Routes":[
 {"Name":"resumed","Hostname":"h","PathPrefix":"/stream/resumed/","RouteType":"streaming","TimeoutMs":3000,"TargetLatencyMs":500,"Backend":"llm","MaxAttempts":2,"SessionAffinity":true,"StreamResume":true},
 {"Name":"thrice","Hostname":"h","PathPrefix":"/stream/thrice/","RouteType":"streaming","TimeoutMs":3000,"TargetLatencyMs":500,"Backend":"llm","MaxAttempts":3,"StreamResume":true},
 {"Name":"plain","Hostname":"h","PathPrefix":"/stream/plain/","RouteType":"streaming","TimeoutMs":3000,"TargetLatencyMs":500,"Backend":"llm","MaxAttempts":2},
 {"Name":"safe","Hostname":"h","PathPrefix":"/safe/","RouteType":"safe","TimeoutMs":3000,"TargetLatencyMs":500,"Backend":"llm","MaxAttempts":2},
 {"Name":"unsafe","Hostname":"h","PathPrefix":"/unsafe/","RouteType":"unsafe","TimeoutMs":400,"TargetLatencyMs":100,"Backend":"llm","MaxAttempts":2,"Priority":3},
 {"Name":"once","Hostname":"h","PathPrefix":"/once/","RouteType":"unsafe","TimeoutMs":400,"TargetLatencyMs":100,"Backend":"llm","MaxAttempts":1},
 {"Name":"open","Hostname":"h","PathPrefix":"/open/","RouteType":"safe","TimeoutMs":400,"TargetLatencyMs":100,"Backend":"llm","MaxAttempts":1,"Anonymous":true}],
"Backends":[{"Name":"llm"}],
"Limits":{"MaxBodyBytes":1000},
"Tenants":[{"Name":"t1","ApiKeys":["key"],"RatePerS":100,"Burst":100,"Unit":"token_count","PlainTokens":7,"Priority":1}]}`

// fixture is a handler with emulated backends. It also implements the handler's configuration, picker, quotas and
// retry budget.
type fixture struct {
	table    *operator.Table
	leased   bool
	backends []*engine.Server
	server   *httptest.Server

	handler *Handler

	mu          sync.Mutex
	left        time.Duration // until requests are aborted; 0 = the process is not shutting down
	nextBackend int
	acquired    float64
	overQuota   bool
	results     []routing.Result

	noRetries        bool // the retry budget is empty
	leaseEndsAtRetry bool // the lease ends before the second attempt

	quotaWaits   bool      // Acquire waits until its context ends and then denies the request
	waitDeadline time.Time // of the context passed to Acquire
	waitErr      error     // error with which that context ended
}

func (f *fixture) Table() *operator.Table { return f.table }
func (f *fixture) Leased() bool           { return f.leased }

func (f *fixture) timeUntilAbort() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.left, f.left > 0
}

// Pick picks the backends in turn, except for those that are excluded.
func (f *fixture) Pick(_ string, request *routing.Request) *routing.Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaseEndsAtRetry && len(request.Exclude) > 0 {
		f.leased = false
	}
	for range f.backends {
		candidate := f.backends[f.nextBackend%len(f.backends)]
		f.nextBackend++
		excluded := false
		for _, id := range request.Exclude {
			excluded = excluded || id == candidate.ID
		}
		if !excluded {
			return &routing.Attempt{Backend: routing.Backend{ID: candidate.ID, Address: candidate.Address}}
		}
	}
	return nil
}

func (f *fixture) FirstToken(string, *routing.Attempt)  {}
func (f *fixture) Unreachable(string, *routing.Attempt) {}

func (f *fixture) Done(_ string, _ *routing.Attempt, result routing.Result, _ routing.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.results = append(f.results, result)
}

func (f *fixture) Acquire(ctx context.Context, _ *operator.Tenant, _ int64, amount float64, _ bool) (bool, time.Duration) {
	if f.quotaWaits {
		<-ctx.Done()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.quotaWaits {
		f.waitErr = ctx.Err()
		f.waitDeadline, _ = ctx.Deadline()
		return false, time.Millisecond
	}
	if f.overQuota {
		return false, 1500 * time.Millisecond
	}
	f.acquired += amount
	return true, 0
}

func (f *fixture) Refund(_ *operator.Tenant, amount float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.acquired -= amount
}

func (f *fixture) Deposit(string)          {}
func (f *fixture) TryWithdraw(string) bool { return !f.noRetries }

func newFixture(t *testing.T, backends int) *fixture {
	t.Helper()
	parsed, err := operator.ParseDocument([]byte(document))
	require.NoError(t, err)
	f := &fixture{table: parsed.Compile(), leased: true}
	for i := range backends {
		emulated, err := engine.Start(fmt.Sprintf("r%d", i), "llm", engine.DefaultModel())
		require.NoError(t, err)
		t.Cleanup(emulated.Close)
		f.backends = append(f.backends, emulated)
	}
	handler := &Handler{Config: f, Picker: f, Quotas: f, Retries: f, Backends: backend.NewClient(nil), Metrics: NewMetrics(),
		Log: log.New(io.Discard), ShouldCloseConnections: func() bool { return false }, TimeUntilAbort: f.timeUntilAbort}
	f.handler = handler
	f.server = httptest.NewServer(handler)
	f.server.Config.ErrorLog = log.New(io.Discard).StandardLog()
	t.Cleanup(f.server.Close)
	return f
}

// clientResponse is the response that a client received.
type clientResponse struct {
	status   int
	header   http.Header
	body     string
	complete bool
}

func (f *fixture) send(t *testing.T, path string, modify func(r *http.Request)) clientResponse {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, f.server.URL+path, strings.NewReader("body"))
	require.NoError(t, err)
	request.Host = "h"
	request.Header.Set("Attempt-Id", "a1")
	request.Header.Set("Api-Key", "key")
	request.Header.Set("Deadline-Ms", "2000")
	if modify != nil {
		modify(request)
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return clientResponse{}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return clientResponse{response.StatusCode, response.Header, string(body), err == nil}
}

func (f *fixture) runs(id string) int {
	runs := 0
	for _, server := range f.backends {
		runs += server.Runs(id)
	}
	return runs
}

// events returns the body of an emulated stream between two events, both included.
func events(from, to int) string {
	var text strings.Builder
	for id := from; id <= to; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: piece-%d\n\n", id, id)
	}
	return text.String()
}

// Package proxy handles client requests in the data plane: it finds route and tenant, acquires quota, has a
// backend picked, forwards the request and streams the response back. Every request receives exactly one response,
// which states correctly whether the request may have run.
//
// Handler is the entry point. An exchange is the state of one request. Its methods are grouped in files:
// exchange.go (reading the request), quota.go, attempt.go (attempts and retries), headers.go, stream.go
// (forwarding the response), resume.go (continuing a stream at another backend) and reject.go. events.go parses
// server-sent events, prompt.go the headers that describe a request's prompt, and metrics.go counts requests.
package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/charmbracelet/log"

	"linenwheel.dev/linenwheel/internal/fleet/backend"
	"linenwheel.dev/linenwheel/internal/fleet/memory"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// Configuration provides the current configuration. Implementations are safe for concurrent use.
type Configuration interface {
	// Table returns the compiled configuration, nil before the first.
	Table() *operator.Table
	// Leased reports whether the lease on the configuration is valid, that is, whether the configuration may be
	// used now.
	Leased() bool
}

// Picker picks backends and is notified of the results of attempts. Each Attempt returned by Pick is ended by
// exactly one call of Done. Implementations are safe for concurrent use.
type Picker interface {
	// Pick returns an attempt at a backend of a service, nil if no backend may receive the request. It may modify
	// the request.
	Pick(service string, request *routing.Request) *routing.Attempt
	// FirstToken records that the first part of the response body has been received. It is called at most once for
	// a request.
	FirstToken(service string, attempt *routing.Attempt)
	// Done records the result of an attempt, and the load that its backend stated, if any.
	Done(service string, attempt *routing.Attempt, result routing.Result, load routing.Load)
	// Unreachable records that the backend could not be reached. It is called in addition to Done.
	Unreachable(service string, attempt *routing.Attempt)
}

// Quotas enforces the tenants' limits. Implementations are safe for concurrent use.
type Quotas interface {
	// Acquire takes an amount, in the tenant's unit, from its quota. If the quota is insufficient, it returns
	// after how long the client should retry. It stops waiting when the context ends, which is when the request
	// ends or at its deadline. revision is that of the configuration that contains the tenant; urgent requests
	// take precedence over others.
	Acquire(ctx context.Context, tenant *operator.Tenant, revision int64, amount float64, urgent bool) (ok bool, retryAfter time.Duration)
	// Refund returns an amount that was acquired for a request that has not run.
	Refund(tenant *operator.Tenant, amount float64)
}

// RetryBudget bounds the retries. Implementations are safe for concurrent use.
type RetryBudget interface {
	// Deposit records the first attempt of a request to a service.
	Deposit(service string)
	// TryWithdraw takes a retry from the budget and reports whether the retry may be made.
	TryWithdraw(service string) bool
}

// Handler is the http.Handler for the clients of a node. All fields but Memory are required, and none may change while it
// serves requests.
type Handler struct {
	Config   Configuration
	Picker   Picker
	Quotas   Quotas
	Retries  RetryBudget
	Backends *backend.Client
	Memory   *memory.Budget // for the bodies of requests; nil = no limit
	Metrics  *Metrics
	Log      *log.Logger
	// ShouldCloseConnections reports whether clients should be asked to close their connections, as the node will
	// soon stop serving them.
	ShouldCloseConnections func() bool
	// TimeUntilAbort reports whether the process is shutting down and, if so, how long requests in flight may
	// still take.
	TimeUntilAbort func() (left time.Duration, stopping bool)
}

// ServeHTTP serves one request. It panics with http.ErrAbortHandler if a response that has begun cannot be
// completed.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := &exchange{handler: h, writer: w, request: r, receivedAt: time.Now(), memory: h.Memory.Reserve()}
	defer e.memory.Release()
	if h.ShouldCloseConnections() {
		w.Header().Set("Connection", "close")
	}
	ctx := r.Context()
	if err := e.prepare(ctx); err != nil {
		e.reject(err)
		return
	}
	e.serve(ctx)
}

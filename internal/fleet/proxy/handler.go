// Package proxy carries a client's request through the data plane: it finds route and tenant, acquires quota, has a backend
// picked, forwards the request and streams the response back. Every request gets exactly one response, and one that says truly
// whether the request may have run.
//
// Handler is the entry. An exchange is the state of one request; its methods stand in files by concern: exchange.go (reading the
// request), quota.go, attempt.go (attempts and retries), headers.go, stream.go (forwarding the response) and reject.go. prompt.go reads
// what a request states of its prompt; metrics.go counts.
package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/charmbracelet/log"

	"linenwheel.dev/linenwheel/internal/fleet/backend"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// Configuration is the configuration in force. Implementations are safe for concurrent use.
type Configuration interface {
	// Table returns the compiled configuration, nil before the first.
	Table() *operator.Table
	// Leased reports whether the configuration may be used now.
	Leased() bool
}

// Picker picks backends and learns what became of the attempts. Each Attempt that Pick returns is ended by one call of Done.
// Implementations are safe for concurrent use.
type Picker interface {
	// Pick returns an attempt at a backend of a service, nil where none may get the request. It may change the request.
	Pick(service string, request *routing.Request) *routing.Attempt
	// FirstToken records that the first part of the response's body has come. It is called once for a request at most.
	FirstToken(service string, attempt *routing.Attempt)
	// Done records how an attempt ended, and the load that its backend stated, if any.
	Done(service string, attempt *routing.Attempt, result routing.Result, load routing.Load)
	// Unreachable records, beside Done, that the backend could not be reached.
	Unreachable(service string, attempt *routing.Attempt)
}

// Quotas keeps the tenants' limits. Implementations are safe for concurrent use.
type Quotas interface {
	// Acquire takes an amount, in the tenant's unit, from its quota. Where there is not enough it returns after how long the
	// client should retry. It waits no longer than the context lasts, which ends with the request or at its deadline. Revision is
	// that of the configuration that the tenant is from; urgent requests go before others.
	Acquire(ctx context.Context, tenant *operator.Tenant, revision int64, amount float64, urgent bool) (ok bool, retryAfter time.Duration)
	// Refund gives back what was acquired for a request that has not run.
	Refund(tenant *operator.Tenant, amount float64)
}

// RetryBudget bounds the retries. Implementations are safe for concurrent use.
type RetryBudget interface {
	// Deposit records the first attempt of a request to a service.
	Deposit(service string)
	// TryWithdraw reports whether a retry may be made, and takes it from the budget.
	TryWithdraw(service string) bool
}

// Handler is the http.Handler for the clients of one node. All its fields are required; none may change once it serves.
type Handler struct {
	Config   Configuration
	Picker   Picker
	Quotas   Quotas
	Retries  RetryBudget
	Backends *backend.Client
	Metrics  *Metrics
	Log      *log.Logger
	// Closing reports whether clients are to close their connections, as the node is about to stop serving them.
	Closing func() bool
	// TimeLeft reports whether the process is stopping and, if so, how long requests in flight may still take.
	TimeLeft func() (left time.Duration, stopping bool)
}

// ServeHTTP serves one request. It panics with http.ErrAbortHandler where a response that has begun cannot be completed.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := &exchange{handler: h, writer: w, request: r, receivedAt: time.Now()}
	if h.Closing() {
		w.Header().Set("Connection", "close")
	}
	ctx := r.Context()
	if err := e.prepare(ctx); err != nil {
		e.reject(err)
		return
	}
	e.serve(ctx)
}

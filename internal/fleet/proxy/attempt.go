package proxy

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"syscall"
	"time"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/fleet/backend"
	"linenwheel.dev/linenwheel/internal/fleet/errkind"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// maxUnsentAttempts bounds the attempts of a request in which no byte was sent to the backend.
const maxUnsentAttempts = 4

// attemptResult determines what follows an attempt.
type attemptResult uint8

const (
	attemptDone      attemptResult = iota // the client has received its response
	attemptRetryable                      // another backend may be tried
	attemptFailed                         // no further attempt may be made
)

// serve makes attempts until the client has received its response or no further attempt may be made.
func (e *exchange) serve(ctx context.Context) {
	e.handler.Retries.Deposit(e.service)
	lastErr := errkind.New(errkind.NoBackend, "")
	for unsent := 0; unsent < maxUnsentAttempts; {
		attempt := e.pickNext()
		if attempt == nil {
			break
		}
		result, err := e.send(ctx, attempt)
		switch result {
		case attemptDone:
			return
		case attemptFailed:
			e.reject(err)
			return
		}
		lastErr = err
		e.excluded = append(e.excluded, attempt.Backend.ID)
		if lastErr.Kind == errkind.NoBackend {
			unsent++
			continue
		}
		if !e.withdrawRetry() {
			break
		}
	}
	// Although the last attempt did not run the request, an earlier one may have.
	if e.mayHaveRun && lastErr.Kind.Response().NotExecuted {
		lastErr = errkind.New(errkind.BackendLost, "")
	}
	e.reject(lastErr)
}

// pickNext returns the next attempt, at a backend that has not had the request. A backend whose stream may be whole is
// asked again, for what follows, if there is no other.
func (e *exchange) pickNext() *routing.Attempt {
	attempt := e.pick(e.excluded)
	if attempt != nil || e.unconfirmed == "" {
		return attempt
	}
	others := slices.DeleteFunc(slices.Clone(e.excluded), func(id string) bool { return id == e.unconfirmed })
	return e.pick(others)
}

// pick returns an attempt at a backend that is not excluded. It returns nil if none can be picked, the deadline has
// passed or the client has disconnected.
func (e *exchange) pick(excluded []string) *routing.Attempt {
	if time.Until(e.deadline) <= 0 || e.clientDisconnected() {
		return nil
	}
	request := &routing.Request{Cost: e.prompt.cost(), Deadline: time.Until(e.deadline), Exclude: excluded, OwnTokens: e.prompt.ownTokens,
		SharedTokens: max(0, e.prompt.inputTokens-e.prompt.ownTokens), Target: e.route.Target,
		Long: e.prompt.long(), Route: e.route.Name}
	if e.route.Affinity {
		request.Prefix = e.prompt.prefix
	}
	e.pickedAt = time.Now()
	return e.handler.Picker.Pick(e.service, request)
}

// withdrawRetry reports whether a request that has reached a backend may be sent to another one. If so, it takes
// the retry from the budget.
func (e *exchange) withdrawRetry() bool {
	if e.mayHaveRun && !e.route.Idempotent() {
		return false
	}
	return e.attempts < e.route.MaxAttempts && time.Until(e.deadline) > 0 && e.handler.Retries.TryWithdraw(e.service)
}

// send sends the request to an attempt's backend and forwards the response. The error is nil if the client has
// received its response.
func (e *exchange) send(ctx context.Context, attempt *routing.Attempt) (attemptResult, *errkind.Error) {
	if e.tenant != nil && !e.handler.Config.Leased() {
		e.reportDone(attempt, decide.NotSent, routing.Load{})
		return attemptFailed, errkind.New(errkind.StaleConfig, "")
	}
	ctx, cancel := context.WithDeadline(ctx, e.deadline)
	defer cancel()
	response, err := e.handler.Backends.Do(ctx, attempt.Backend.Address, e.upstreamRequest(attempt))
	if err != nil {
		return e.handleError(ctx, attempt, err)
	}
	defer response.Close()
	e.attempts++
	if response.NotExecuted() {
		e.reportDone(attempt, decide.Overloaded, response.Load)
		if response.Status == http.StatusMisdirectedRequest {
			return attemptRetryable, errkind.New(errkind.Rejected, "the address belongs to another backend")
		}
		return attemptRetryable, errkind.New(errkind.Rejected, "")
	}
	e.mayHaveRun = true
	if e.mustDiscard(response) {
		e.reportDone(attempt, responseResult(response.Status), response.Load)
		return attemptRetryable, errkind.New(errkind.BackendLost, "")
	}
	return e.forward(ctx, attempt, response)
}

// mustDiscard reports whether nothing of a response may be written to the client: a failure that another attempt may
// replace, or one that would follow the header and the first events of another backend's success.
func (e *exchange) mustDiscard(response *backend.Response) bool {
	switch {
	case e.stream.headerWritten:
		return response.Status >= http.StatusMultipleChoices
	case response.Status >= http.StatusInternalServerError:
		return e.route.Idempotent() && e.attempts < e.route.MaxAttempts
	}
	return false
}

// handleError decides what follows an attempt that received no response. The decision depends on whether the
// request may have run according to the error.
func (e *exchange) handleError(ctx context.Context, attempt *routing.Attempt, err error) (attemptResult, *errkind.Error) {
	outcome := backend.MayHaveRun
	var failed *backend.Error
	if errors.As(err, &failed) {
		outcome = failed.Outcome
	}
	if outcome == backend.NotSent {
		return e.handleNotSent(ctx, attempt)
	}
	e.attempts++
	e.mayHaveRun = true
	e.handler.Backends.CloseIdle(attempt.Backend.Address)
	if errors.Is(err, syscall.ETIMEDOUT) {
		e.handler.Picker.Unreachable(e.service, attempt)
	}
	switch {
	case e.clientDisconnected():
		e.reportDone(attempt, decide.Cancelled, routing.Load{})
		return attemptFailed, errkind.New(errkind.BackendLost, "")
	case ctx.Err() != nil:
		e.reportDone(attempt, decide.TimedOut, routing.Load{})
		return attemptFailed, errkind.New(errkind.DeadlineExceededInFlight, "")
	case outcome == backend.Malformed:
		e.reportDone(attempt, decide.Failed, routing.Load{})
		return attemptRetryable, errkind.New(errkind.MalformedResponse, "")
	}
	e.reportDone(attempt, decide.Reset, routing.Load{})
	return attemptRetryable, errkind.New(errkind.BackendLost, "")
}

// handleNotSent decides what follows an attempt in which no byte was sent to the backend.
func (e *exchange) handleNotSent(ctx context.Context, attempt *routing.Attempt) (attemptResult, *errkind.Error) {
	result := decide.ConnectFailed
	if ctx.Err() != nil {
		result = decide.NotSent
	}
	e.reportDone(attempt, result, routing.Load{})
	if !e.clientDisconnected() {
		e.handler.Picker.Unreachable(e.service, attempt)
	}
	if ctx.Err() != nil {
		return attemptFailed, errkind.New(e.deadlineKind(), "")
	}
	return attemptRetryable, errkind.New(errkind.NoBackend, "")
}

// deadlineKind returns the kind of error for a request whose deadline passed while no attempt was in flight.
func (e *exchange) deadlineKind() errkind.Kind {
	if e.mayHaveRun {
		return errkind.DeadlineExceededInFlight
	}
	return errkind.DeadlineExceeded
}

// reportDone reports the end of an attempt to the picker. It is called exactly once for each attempt.
func (e *exchange) reportDone(attempt *routing.Attempt, result routing.Result, load routing.Load) {
	e.handler.Picker.Done(e.service, attempt, result, load)
}

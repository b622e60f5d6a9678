package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/backend"
	"linenwheel.dev/linenwheel/internal/fleet/errkind"
	"linenwheel.dev/linenwheel/internal/fleet/memory"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// exchange is the state of a client's request and its response. Only the goroutine that serves the request uses
// it.
type exchange struct {
	handler    *Handler
	writer     http.ResponseWriter
	request    *http.Request
	receivedAt time.Time

	// Set by prepare.
	route    *operator.Route
	tenant   *operator.Tenant // nil if the route requires none
	service  string
	deadline time.Time
	body     []byte
	memory   *memory.Reservation // of the body
	prompt   prompt
	acquired float64 // units of the tenant's quota, not refunded

	// Set by the attempts.
	pickedAt    time.Time // when the latest backend was picked
	excluded    []string  // ids of the backends of earlier attempts
	attempts    int       // number that reached a backend
	mayHaveRun  bool      // at least one of them may have run the request
	unconfirmed string    // id of the backend of the last attempt that ended with errUnconfirmedEnd, "" = none
	stream      streamState
}

// prepare finds route and tenant, reads the body, chooses the service at random and acquires quota, which reject
// refunds. A returned error is an *errkind.Error with the reason for which the request must be rejected.
func (e *exchange) prepare(ctx context.Context) error {
	table := e.handler.Config.Table()
	if table == nil {
		return errkind.New(errkind.NotConfigured, "")
	}
	e.route = table.Route(e.request.Host, pathOf(e.request.RequestURI))
	if e.route == nil {
		return errkind.New(errkind.NoRoute, "")
	}
	if err := e.authenticate(table); err != nil {
		return err
	}
	e.setDeadline()
	if e.resumable() {
		e.stream.setClientsLast(e.request.Header.Get(backend.HeaderLastID))
	}
	if e.mayOutliveProcess() {
		return errkind.New(errkind.ShuttingDown, "")
	}
	if err := e.readBody(table.Limits.BodyBytes); err != nil {
		return err
	}
	e.service = e.route.Pick(rand.Float64())
	e.prompt = parsePrompt(e.request.Header)
	return e.acquireQuota(ctx, table)
}

// mayOutliveProcess reports whether the process may exit before the request's deadline. Such a request is
// rejected, as another node can return the complete response. The durations of earlier responses are not used as
// an estimate, as those of long responses become known only at their end.
func (e *exchange) mayOutliveProcess() bool {
	left, stopping := e.handler.TimeUntilAbort()
	return stopping && time.Until(e.deadline) > left
}

// pathOf returns the path of a request target as the client sent it, without decoding.
func pathOf(target string) string {
	if rest, found := strings.CutPrefix(target, "http://"); found {
		if slash := strings.IndexByte(rest, '/'); slash >= 0 {
			target = rest[slash:]
		} else {
			target = "/"
		}
	}
	path, _, _ := strings.Cut(target, "?")
	return path
}

// authenticate finds the tenant by the request's API key, if the configuration and the route require one.
func (e *exchange) authenticate(table *operator.Table) error {
	if !table.RequiresKeys || e.route.Anonymous {
		return nil
	}
	if !e.handler.Config.Leased() {
		return errkind.New(errkind.StaleConfig, "")
	}
	keys := e.request.Header.Values(backend.HeaderKey)
	if len(keys) != 1 {
		return errkind.New(errkind.UnknownKey, "")
	}
	e.tenant = table.Tenant(keys[0])
	if e.tenant == nil {
		return errkind.New(errkind.UnknownKey, "")
	}
	return nil
}

// setDeadline sets the deadline from the route's timeout or, if shorter, the timeout in milliseconds that the
// client states.
func (e *exchange) setDeadline() {
	timeout := e.route.Timeout
	stated, err := strconv.ParseFloat(e.request.Header.Get(backend.HeaderDeadline), 64)
	if err == nil && stated > 0 && stated < milliseconds(timeout) {
		timeout = time.Duration(stated * float64(time.Millisecond))
	}
	e.deadline = e.receivedAt.Add(timeout)
}

// readBody reads the whole body, which may have at most limit bytes, because it may have to be sent more than
// once.
func (e *exchange) readBody(limit int64) error {
	if e.request.ContentLength > limit {
		return errkind.New(errkind.TooLarge, "")
	}
	body, err := memory.ReadAll(http.MaxBytesReader(e.writer, e.request.Body, limit), e.memory, e.request.ContentLength)
	switch {
	case err == nil:
		e.body = body
		return nil
	case errors.Is(err, memory.ErrExhausted):
		return &errkind.Error{Kind: errkind.OutOfMemory, Err: err}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errkind.New(errkind.TooLarge, "")
	}
	return &errkind.Error{Kind: errkind.BadRequest, Err: err}
}

// clientDisconnected reports whether the client has closed its connection.
func (e *exchange) clientDisconnected() bool {
	return errors.Is(e.request.Context().Err(), context.Canceled)
}

// milliseconds returns a duration as a number of milliseconds.
func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

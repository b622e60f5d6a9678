package proxy

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/fleet/backend"
	"linenwheel.dev/linenwheel/internal/fleet/errkind"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// mostUnsent bounds the raters that are tried for one request without a byte sent.
const mostUnsent = 4

// hopHeaders concern a single connection and are not passed on.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// verdict is what is to be done after an attempt.
type verdict uint8

const (
	done      verdict = iota // the client has its answer
	elsewhere                // another rater may be tried
	failed                   // no further attempt may be made
)

// serve sends the request to raters until it has an answer or may not be sent again.
func (c *call) serve() {
	c.handler.Retries.Deposit(c.service)
	fault := errkind.New(errkind.NoBackend, "")
	for unsent := 0; unsent < mostUnsent; {
		ticket := c.place()
		if ticket == nil {
			break
		}
		outcome, err := c.attempt(ticket)
		switch outcome {
		case done:
			return
		case failed:
			c.refuse(err)
			return
		}
		fault = err
		c.tried = append(c.tried, ticket.Backend.ID)
		if fault.Kind == errkind.NoBackend {
			unsent++
			continue
		}
		if !c.mayRetry() {
			break
		}
	}
	if c.mayRun && fault.Kind.Response().NotExecuted {
		fault = errkind.New(errkind.BackendLost, "")
	}
	c.refuse(fault)
}

// place chooses the next rater; nil where there is none or no time.
func (c *call) place() *routing.Attempt {
	if time.Until(c.deadline) <= 0 || c.clientGone() {
		return nil
	}
	request := &routing.Request{Cost: c.prompt.cost(), Deadline: time.Until(c.deadline), Exclude: c.tried, OwnTokens: c.prompt.own,
		SharedTokens: max(0, c.prompt.input-c.prompt.own), Target: c.route.Target,
		Long: c.prompt.long(), Route: c.route.Name}
	if c.route.Affinity {
		request.Prefix = c.prompt.shared
	}
	c.placed = time.Now()
	return c.handler.Picker.Pick(c.service, request)
}

// mayRetry tells whether a request that a rater has had may be sent to another one.
func (c *call) mayRetry() bool {
	if c.mayRun && !c.route.Idempotent() {
		return false
	}
	return c.sends < c.route.MaxAttempts && time.Until(c.deadline) > 0 && c.handler.Retries.TryWithdraw(c.service)
}

// attempt sends the request to one rater.
func (c *call) attempt(ticket *routing.Attempt) (verdict, *errkind.Error) {
	if c.tenant != nil && !c.handler.Config.Leased() {
		c.end(ticket, decide.NotSent, routing.Load{})
		return failed, errkind.New(errkind.StaleConfig, "")
	}
	ctx, cancel := context.WithDeadline(c.request.Context(), c.deadline)
	defer cancel()
	answer, err := c.handler.Backends.Do(ctx, ticket.Backend.Address, c.outgoing(ticket))
	if err != nil {
		return c.noAnswer(ctx, ticket, err)
	}
	defer answer.Close()
	c.sends++
	if answer.NotExecuted() {
		c.end(ticket, decide.Full, answer.Load)
		if answer.Status == http.StatusMisdirectedRequest {
			return elsewhere, errkind.New(errkind.Rejected, "another rater has the address")
		}
		return elsewhere, errkind.New(errkind.Rejected, "")
	}
	c.mayRun = true
	if answer.Status >= http.StatusInternalServerError && c.route.Idempotent() && c.sends < c.route.MaxAttempts {
		c.end(ticket, decide.Failed, answer.Load)
		return elsewhere, errkind.New(errkind.BackendLost, "")
	}
	return c.pass(ctx, ticket, answer)
}

// noAnswer decides what becomes of a request whose rater gave no answer.
func (c *call) noAnswer(ctx context.Context, ticket *routing.Attempt, err error) (verdict, *errkind.Error) {
	fate := backend.MayHaveRun
	var exchange *backend.Error
	if errors.As(err, &exchange) {
		fate = exchange.Outcome
	}
	if fate == backend.NotSent {
		result := decide.NoConnect
		if ctx.Err() != nil {
			result = decide.NotSent
		}
		c.end(ticket, result, routing.Load{})
		if !c.clientGone() {
			c.handler.Picker.Unreachable(c.service, ticket)
		}
		if ctx.Err() != nil {
			return failed, errkind.New(c.outOfTime(), "")
		}
		return elsewhere, errkind.New(errkind.NoBackend, "")
	}
	c.sends++
	c.mayRun = true
	c.handler.Backends.CloseIdle(ticket.Backend.Address)
	if errors.Is(err, syscall.ETIMEDOUT) {
		c.handler.Picker.Unreachable(c.service, ticket)
	}
	switch {
	case c.clientGone():
		c.end(ticket, decide.Cancelled, routing.Load{})
		return failed, errkind.New(errkind.BackendLost, "")
	case ctx.Err() != nil:
		c.end(ticket, decide.Late, routing.Load{})
		return failed, errkind.New(errkind.DeadlineExceededInFlight, "")
	case fate == backend.Malformed:
		c.end(ticket, decide.Failed, routing.Load{})
		return elsewhere, errkind.New(errkind.MalformedResponse, "")
	}
	c.end(ticket, decide.Reset, routing.Load{})
	return elsewhere, errkind.New(errkind.BackendLost, "")
}

func (c *call) outOfTime() errkind.Kind {
	if c.mayRun {
		return errkind.DeadlineExceededInFlight
	}
	return errkind.DeadlineExceeded
}

func (c *call) end(ticket *routing.Attempt, result routing.Result, load routing.Load) {
	c.handler.Picker.Done(c.service, ticket, result, load)
}

// outgoing is the request as the rater gets it.
func (c *call) outgoing(ticket *routing.Attempt) *backend.Request {
	header := c.request.Header.Clone()
	dropHopHeaders(header)
	for _, name := range []string{backend.HeaderKey, backend.HeaderTenant, backend.HeaderExpect, backend.HeaderPriority, backend.HeaderDeadline} {
		header.Del(name)
	}
	left := max(1, time.Until(c.deadline).Milliseconds())
	header.Set(backend.HeaderDeadline, strconv.FormatInt(left, 10))
	header.Set(backend.HeaderExpect, ticket.Backend.ID)
	header.Set(backend.HeaderPriority, strconv.Itoa(c.priority()))
	if c.tenant != nil {
		header.Set(backend.HeaderTenant, c.tenant.Name)
	}
	if c.stream.lastID != "" {
		header.Set(backend.HeaderLastID, c.stream.lastID)
	}
	return &backend.Request{Method: c.request.Method, Target: c.request.RequestURI, Host: c.request.Host, Header: header, Body: c.body}
}

// lowestPriority is the last rank that a rater knows.
const lowestPriority = 9

// priority is the request's rank: a tenant's own goes before the route's.
func (c *call) priority() int {
	rank := c.route.Priority
	if c.tenant != nil && c.tenant.HasPriority {
		rank = c.tenant.Priority
	}
	return min(max(rank, 0), lowestPriority)
}

func dropHopHeaders(header http.Header) {
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// ownHeaders are those of a rater's answer that are for the system alone.
var ownHeaders = []string{"Instance-Id", backend.HeaderLoad, backend.HeaderNotExecuted}

// writeHead gives the client the head of a rater's answer.
func (c *call) writeHead(answer *backend.Response) {
	header := c.writer.Header()
	closing := header.Get("Connection")
	for name, values := range answer.Header {
		if !slices.Contains(hopHeaders, name) && !slices.Contains(ownHeaders, name) {
			header[name] = values
		}
	}
	if closing != "" {
		header.Set("Connection", closing)
	}
	if answer.Length >= 0 && !c.resumable() {
		header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // nothing is guessed from the body
	}
	c.writer.WriteHeader(answer.Status)
	c.stream.headSent = true
}

func (c *call) resumable() bool { return c.route.Type == operator.Streaming && c.route.Resume }

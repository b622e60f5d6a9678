// Package proxy carries one request's life: it reads it, finds route and tenant, has it placed, sends it on, passes the
// answer on as it comes, and gives every request exactly one answer that is true.
package proxy

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"linenwheel.dev/linenwheel/internal/fleet/backend"
	"linenwheel.dev/linenwheel/internal/fleet/errkind"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// Configuration gives the configuration in force.
type Configuration interface {
	// Table is the compiled configuration, nil before the first.
	Table() *operator.Table
	// Leased tells whether the configuration may be used now.
	Leased() bool
}

// Picker chooses raters.
type Picker interface {
	Pick(service string, request *routing.Request) *routing.Attempt
	FirstToken(service string, ticket *routing.Attempt)
	Done(service string, ticket *routing.Attempt, result routing.Result, load routing.Load)
	Unreachable(service string, ticket *routing.Attempt)
}

// Quotas keep the tenants' limits.
type Quotas interface {
	// Acquire takes an amount from a tenant's allowance. Where there is not enough it tells when to come back. It waits no longer
	// than the context lasts, which ends with the request or at its deadline.
	Acquire(ctx context.Context, tenant *operator.Tenant, revision int64, amount float64, urgent bool) (ok bool, wait time.Duration)
	Refund(tenant *operator.Tenant, amount float64)
}

// RetryBudget bounds the sends beyond the first.
type RetryBudget interface {
	Deposit(service string)
	TryWithdraw(service string) bool
}

// Handler answers the clients of one node.
type Handler struct {
	Config   Configuration
	Picker   Picker
	Quotas   Quotas
	Retries  RetryBudget
	Backends *backend.Client
	Metrics  *Metrics
	Log      *log.Logger
	Closing  func() bool // the process is about to end: connections are not to be kept
	// TimeLeft tells how long what is under way may still take, where the process is about to end.
	TimeLeft func() (left time.Duration, ending bool)
}

// call is the state of one request.
type call struct {
	handler  *Handler
	writer   http.ResponseWriter
	request  *http.Request
	route    *operator.Route
	tenant   *operator.Tenant
	service  string
	arrived  time.Time
	placed   time.Time // when the last rater was chosen
	deadline time.Time
	body     []byte
	amount   float64 // taken from the tenant's allowance
	prompt   prompt
	tried    []string
	sends    int
	mayRun   bool // a send may have run
	stream   stream
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{handler: h, writer: w, request: r, arrived: time.Now()}
	if h.Closing() {
		w.Header().Set("Connection", "close")
	}
	if err := c.prepare(); err != nil {
		c.refuse(err)
		return
	}
	c.serve()
}

// prepare finds everything that is needed to send the request on.
func (c *call) prepare() error {
	table := c.handler.Config.Table()
	if table == nil {
		return errkind.New(errkind.NotConfigured, "")
	}
	c.route = table.Route(c.request.Host, pathOf(c.request.RequestURI))
	if c.route == nil {
		return errkind.New(errkind.NoRoute, "")
	}
	if err := c.authenticate(table); err != nil {
		return err
	}
	c.setDeadline()
	if c.mayBeCut() {
		return errkind.New(errkind.ShuttingDown, "")
	}
	if err := c.readBody(table.Limits.BodyBytes); err != nil {
		return err
	}
	c.service = c.route.Pick(rand.Float64())
	c.prompt = parsePrompt(c.request.Header)
	return c.spend(table)
}

// mayBeCut tells whether the process ends before the request's time does: another node can give the whole answer. How long
// answers take so far is no guide, as those that take long are not known before they have.
func (c *call) mayBeCut() bool {
	left, ending := c.handler.TimeLeft()
	return ending && time.Until(c.deadline) > left
}

// pathOf is the path of a request target as the client wrote it.
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

func (c *call) authenticate(table *operator.Table) error {
	if !table.HasTenant || c.route.Anonymous {
		return nil
	}
	if !c.handler.Config.Leased() {
		return errkind.New(errkind.StaleConfig, "")
	}
	keys := c.request.Header.Values(backend.HeaderKey)
	if len(keys) != 1 {
		return errkind.New(errkind.UnknownKey, "")
	}
	c.tenant = table.Tenant(keys[0])
	if c.tenant == nil {
		return errkind.New(errkind.UnknownKey, "")
	}
	return nil
}

func (c *call) setDeadline() {
	within := c.route.Timeout
	stated, err := strconv.ParseFloat(c.request.Header.Get(backend.HeaderDeadline), 64)
	if err == nil && stated > 0 {
		within = min(within, time.Duration(stated*float64(time.Millisecond)))
	}
	c.deadline = c.arrived.Add(within)
}

func (c *call) readBody(limit int64) error {
	if c.request.ContentLength > limit {
		return errkind.New(errkind.TooLarge, "")
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.writer, c.request.Body, limit))
	if err == nil {
		c.body = body
		return nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errkind.New(errkind.TooLarge, "")
	}
	return &errkind.Error{Kind: errkind.BadRequest, Err: err}
}

// spend takes the request from its tenant's allowance.
func (c *call) spend(table *operator.Table) error {
	if c.tenant == nil || c.tenant.Rate <= 0 {
		return nil
	}
	c.amount = 1
	if c.tenant.ByTokens {
		c.amount = c.prompt.usage()
		if c.amount == 0 {
			c.amount = c.tenant.PlainTokens
		}
	}
	ctx, cancel := context.WithDeadline(c.request.Context(), c.deadline)
	defer cancel()
	if ok, wait := c.handler.Quotas.Acquire(ctx, c.tenant, table.Revision, c.amount, c.route.Priority == 0); !ok {
		c.amount = 0
		c.writer.Header().Set("Retry-After", retryAfter(wait))
		return errkind.New(errkind.OverQuota, "")
	}
	return nil
}

// refund gives the allowance of a request back that did not run.
func (c *call) refund() {
	if c.amount > 0 && !c.mayRun {
		c.handler.Quotas.Refund(c.tenant, c.amount)
		c.amount = 0
	}
}

// refuse ends a request without a rater's answer.
func (c *call) refuse(err error) {
	kind := errkind.KindOf(err)
	c.handler.Metrics.Ended(kind)
	if c.stream.headSent {
		panic(http.ErrAbortHandler) // an answer that ends early must not look complete
	}
	c.refund()
	answer := kind.Response()
	header := c.writer.Header()
	if kind == errkind.ShuttingDown {
		header.Set("Connection", "close")
	}
	if answer.NotExecuted && header.Get("Retry-After") == "" {
		header.Set("Retry-After", retryAfter(c.comeBack()))
	}
	if id := c.request.Header.Get(backend.HeaderAttempt); id != "" {
		header.Set(backend.HeaderAttempt, id)
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	c.writer.WriteHeader(answer.Status)
	_, _ = io.WriteString(c.writer, answer.Text+"\n")
}

// The figures of refusals.
const (
	leastWait = 20 * time.Millisecond
	aimPart   = 0.15 // part of the latency objective after which a client is told to come back, spread
)

// comeBack is when a client that was refused should try again: soon enough to be served in time, spread over a while.
func (c *call) comeBack() time.Duration {
	wait := leastWait
	if c.route != nil {
		wait += time.Duration(aimPart * float64(c.route.Target))
	}
	return time.Duration((0.5 + rand.Float64()) * float64(wait))
}

func retryAfter(wait time.Duration) string {
	return strconv.FormatFloat(max(wait, leastWait).Seconds(), 'f', 3, 64)
}

// clientGone tells whether the client has closed its connection.
func (c *call) clientGone() bool { return errors.Is(c.request.Context().Err(), context.Canceled) }

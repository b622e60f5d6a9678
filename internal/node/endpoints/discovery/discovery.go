// Package discovery reads the list of backend hosts from the platform's discovery service and watches it for
// changes. It also reads the list from an agent on the same machine, which speaks the same format and reports more
// (see package agent).
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/url"
	"sync"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/codec/http1"
	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/endpoints/backoff"
	"linenwheel.dev/linenwheel/internal/node/endpoints/entryformat"
	"linenwheel.dev/linenwheel/internal/node/netpoll"
)

// Limits are the timeouts and pauses of the calls, in milliseconds.
type Limits struct {
	Fetch      float64 // timeout for fetching the whole list
	Wait       float64 // how long discovery may hold a watch request; short enough to notice soon that it does not answer
	Slack      float64 // extra time for the response after Wait has passed
	FirstPause float64 // after a failed call; doubled after each further failure
	LastPause  float64 // upper bound of the doubling
	Told       float64 // a change counts as delivered this long after discovery had it and was reachable; 0 = never
	ToldMoved  float64 // the same at a new address, counted from when the node learned of the address
}

// maxLoggedEntries is how many of a list's unusable entries are logged with their reason.
const maxLoggedEntries = 8

// List is a response of discovery.
type List struct {
	Index int64
	Whole bool
	Hosts []dispatch.Host

	Look      bool     // the response to a re-read, see RequestReread
	Revisions []uint64 // revision at which each of the hosts changed; nil if not reported
	Origin    *Origin  // nil if not reported
}

// Origin is what an agent reports about the source behind it.
type Origin struct {
	Epoch   string  `json:"epoch"`   // names the history that numbers the index
	Away    float64 `json:"away_ms"` // for how long the agent has had no contact with the source; 0 = it is connected
	Confirm uint64  `json:"confirm"` // held changes up to this index are confirmed
	Looked  bool    `json:"looked"`  // the list was read again from the source for this response
}

// Sink receives the results of the calls.
type Sink interface {
	// Apply receives each list, before the next call is made. After an error, the whole list is requested again.
	Apply(List) error
	// Unchanged receives a response without changes.
	Unchanged(List)
	// CallFailed reports a failed call. since is the time of the last successful response, 0 = there was none.
	CallFailed(since float64)
}

// Decode decodes a response. Entries that cannot be used are left out and described in unusable.
func Decode(text []byte) (l List, unusable []string, err error) {
	var raw struct {
		Index     *int64 `json:"index"`
		Snapshot  bool   `json:"snapshot"`
		Endpoints []json.RawMessage
		Origin    *Origin
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return l, nil, fmt.Errorf("reading the list: %w", err)
	}
	if raw.Index == nil {
		return l, nil, errors.New("reading the list: index is missing")
	}
	l.Index, l.Whole, l.Origin = *raw.Index, raw.Snapshot, raw.Origin
	for i, text := range raw.Endpoints {
		h, revision, err := entryformat.JSON(text)
		if err != nil {
			unusable = append(unusable, fmt.Sprintf("entry %d: %v", i, err))
			continue
		}
		l.Hosts = append(l.Hosts, h)
		if l.Origin != nil {
			l.Revisions = append(l.Revisions, revision)
		}
	}
	return l, unusable, nil
}

// Watcher keeps a node's list of hosts up to date.
type Watcher struct {
	Address string // of discovery at the start; SetAddress changes it
	Limits  Limits // at the start; SetLimits changes them
	Loop    *netpoll.Loop
	Clock   clock.Clock
	Log     *slog.Logger
	Sink    Sink
	Most    int    // bytes in a response
	First   func() // called once, when the first call has succeeded or failed
	// Spread is the time over which all nodes spread their first calls and their calls after a failure. It is set
	// where each call loads a service that all nodes share, which calls in step would overload. 0 = calls cost
	// nothing.
	Spread float64
	// Known is the version of the list that the node has from its configuration, -1 = none. With Spread, the watch
	// begins at this version instead of with the whole list.
	Known int64
	// Chance returns random numbers from 0 to 1, which keep the calls of many nodes from coinciding; nil = this is
	// the only node.
	Chance func() float64

	conn *conn

	mu              sync.Mutex
	index           int64              // of the newest response
	answeredAt      float64            // when it came, 0 = there was none
	cancelWatch     context.CancelFunc // cancels the watch at the current address; nil before Run
	rereadRequested bool               // by RequestReread
	cancelWait      context.CancelFunc // cancels a call that waits for changes; nil while there is none
}

// SetAddress makes the watch continue at another address, beginning with the whole list there.
func (w *Watcher) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.Address == address {
		return
	}
	w.Address = address
	if w.cancelWatch != nil {
		w.cancelWatch()
	}
}

// RequestReread requests the whole list at once, to check it against changes that are held back.
func (w *Watcher) RequestReread() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rereadRequested = true
	if w.cancelWait != nil {
		w.cancelWait()
	}
}

// SetLimits changes the limits. They apply from the next call.
func (w *Watcher) SetLimits(l Limits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Limits = l
}

// LastAnswer returns the version in the last successful response and the time at which that came; 0 = there was
// none.
func (w *Watcher) LastAnswer() (index int64, at float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.index, w.answeredAt
}

func (w *Watcher) limits() Limits {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Limits
}

// How requests that wait for changes differ from node to node.
const (
	waitJitter = 0.1 // a watch is held for up to this part less than Wait, never longer, so that silence is noticed no later
	openWait   = 1.0 // milliseconds for which a call that opens a costly watch is held: it has waited for its turn already
)

// backoffSettings returns the settings of the pauses. moved means that no call was answered since the address
// changed.
func (w *Watcher) backoffSettings(moved bool) backoff.Settings {
	limits := w.limits()
	told := limits.Told
	if moved && limits.ToldMoved > 0 {
		told = min(told, limits.ToldMoved)
	}
	return backoff.Settings{Spread: w.Spread, MinPause: limits.FirstPause, MaxPause: limits.LastPause, DeliveryLimit: told}
}

// jitter scales a time by a random factor from least to least+part.
func (w *Watcher) jitter(ms, least, part float64) float64 {
	if w.Chance == nil {
		return ms
	}
	return ms * (least + part*w.Chance())
}

// watchContext returns the current address and a context that is cancelled when the address changes.
func (w *Watcher) watchContext(ctx context.Context) (string, context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	watchCtx, cancel := context.WithCancel(ctx)
	w.cancelWatch = cancel
	return w.Address, watchCtx
}

// Run watches until ctx ends, at the address that was set last.
func (w *Watcher) Run(ctx context.Context) {
	for moved := false; ctx.Err() == nil; moved = true {
		address, watchCtx := w.watchContext(ctx)
		w.watch(watchCtx, address, moved)
		w.cancelWatch()
		w.closeConn()
	}
}

// watch fetches the whole list from an address, then watches it until ctx ends. moved means that Run had another
// address before.
func (w *Watcher) watch(ctx context.Context, address string, moved bool) {
	index, hasList, epoch, opened := int64(0), false, "", false
	pace := backoff.Backoff{Random: w.Chance}
	hadHosts, recheckingEmpty := w.Known >= 0, false // the last list had hosts; an empty one is being requested again
	if w.Spread > 0 && w.Known >= 0 && w.First != nil {
		index, hasList = w.Known, true
		w.firstCallDone()
		w.wait(ctx, pace.InitialDelay(w.backoffSettings(moved)))
		if ctx.Err() != nil {
			return
		}
	}
	for {
		limits, settings := w.limits(), w.backoffSettings(moved)
		path, timeout := "/discovery/hosts", settings.CallTimeout(limits.Fetch)
		callCtx, reread, interrupted := w.beginCall(ctx)
		switch {
		case reread && epoch != "":
			path = "/discovery/hosts?look=1"
		case hasList && !reread:
			var wait float64
			path, wait = w.changeRequest(limits.Wait, index, epoch, opened)
			timeout = wait + settings.CallTimeout(limits.Slack)
		}
		began := w.Clock.Now()
		l, err := w.fetch(callCtx, address, path, timeout)
		if interrupted() {
			w.closeConn() // the re-read takes precedence over the response that was interrupted
			continue
		}
		if err == nil && hasList && !reread && !l.Whole && l.Index < index {
			err = fmt.Errorf("list index went back from %d to %d", index, l.Index)
			hasList = false // start again with the whole list
		}
		if err == nil {
			l.Whole, l.Look = l.Whole || !hasList || reread, reread
			if recheckingEmpty = l.Whole && len(l.Hosts) == 0 && hadHosts && !recheckingEmpty; recheckingEmpty {
				w.Log.Warn("discovery returned an empty list: fetching it again before accepting it", "address", address)
				hasList = false
				continue
			}
		}
		if err == nil {
			hadHosts = len(l.Hosts) > 0 || hadHosts && !l.Whole
			if err = w.deliver(l); err != nil {
				hasList = false
			}
		}
		if err == nil {
			pace.Reset()
			moved = false
			index, hasList, epoch = l.Index, true, ""
			if l.Origin != nil {
				epoch = url.QueryEscape(l.Origin.Epoch)
			}
			w.recordAnswer(index)
		}
		if ctx.Err() != nil {
			return
		}
		opened = err == nil
		if err != nil {
			w.reportFailure(reread)
		}
		w.firstCallDone()
		if err != nil {
			pause := pace.AfterFailure(settings, w.Clock.Now()-began, limits.Fetch)
			w.Log.Warn("no usable list from discovery: keeping the last one", "address", address, "error", err,
				"again_ms", pause)
			w.wait(ctx, pause)
		}
	}
}

// changeRequest returns the path that requests the changes after an index, and how long, in ms, the service may
// hold it.
func (w *Watcher) changeRequest(maxWait float64, index int64, epoch string, opened bool) (path string, wait float64) {
	wait = w.jitter(maxWait, 1-waitJitter, waitJitter)
	if w.Spread > 0 && !opened {
		wait = openWait
	}
	path = fmt.Sprintf("/discovery/hosts?index=%d&wait=%.0f", index, wait)
	if epoch != "" {
		path += "&epoch=" + epoch
	}
	return path, wait
}

// reportFailure tells the sink that a call failed. A failed re-read is requested again.
func (w *Watcher) reportFailure(reread bool) {
	if reread {
		w.retryReread()
	}
	_, at := w.LastAnswer()
	w.Sink.CallFailed(at)
}

// deliver passes a response on to the sink.
func (w *Watcher) deliver(l List) error {
	if l.Whole || len(l.Hosts) > 0 {
		return w.Sink.Apply(l)
	}
	w.Sink.Unchanged(l)
	return nil
}

// firstCallDone calls First once: after the first call, or when the node starts with the list that it has.
func (w *Watcher) firstCallDone() {
	if w.First != nil {
		w.First()
		w.First = nil
	}
}

// beginCall prepares a call: a re-read, if one was requested; otherwise one that a request for a re-read cancels.
// interrupted ends the call and reports whether that happened.
func (w *Watcher) beginCall(ctx context.Context) (callCtx context.Context, reread bool, interrupted func() bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.rereadRequested {
		w.rereadRequested = false
		return ctx, true, func() bool { return false }
	}
	callCtx, w.cancelWait = context.WithCancel(ctx)
	return callCtx, false, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		ended := callCtx.Err() != nil && ctx.Err() == nil
		w.cancelWait()
		w.cancelWait = nil
		return ended
	}
}

// retryReread requests a failed re-read again.
func (w *Watcher) retryReread() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rereadRequested = true
}

func (w *Watcher) recordAnswer(index int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.index, w.answeredAt = index, w.Clock.Now()
}

func (w *Watcher) wait(ctx context.Context, ms float64) {
	elapsed := make(chan struct{})
	defer w.Clock.At(w.Clock.Now()+ms, func() { close(elapsed) })()
	select {
	case <-elapsed:
	case <-ctx.Done():
	}
}

// fetch makes one call within the timeout, in ms.
func (w *Watcher) fetch(ctx context.Context, address, path string, timeout float64) (l List, err error) {
	deadline := w.Clock.Now() + timeout
	if w.conn == nil || !w.conn.usable() {
		w.closeConn()
		// The parser also accepts a body that ends with its connection, and returns a response only once it is
		// complete.
		c := &conn{parser: http1.NewFlowing(true, w.Most, http1.Flow{Whole: w.Most + 1}), activity: make(chan struct{}, 1)}
		_, err := w.Loop.Dial(ctx, address, timeout, func(n *netpoll.Conn) netpoll.Handler {
			c.net = n
			n.ReadToEnd()
			return c
		})
		if err != nil {
			return l, err
		}
		w.conn = c
	}
	get := &http1.Message{Method: []byte("GET"), Target: []byte(path)}
	if err := w.conn.net.Write(http1.AppendRequest(nil, get, address, "", 0)); err != nil {
		w.closeConn()
		return l, err
	}
	expired := make(chan struct{})
	defer w.Clock.At(deadline, func() { close(expired) })()
	m, err := w.conn.nextResponse(ctx, expired)
	if err != nil {
		w.closeConn()
		return l, fmt.Errorf("%s: %w", path, err)
	}
	if m.Status != 200 {
		return l, fmt.Errorf("%s: status %d", path, m.Status)
	}
	l, unusable, err := Decode(m.Body)
	if len(unusable) > 0 {
		w.Log.Warn("skipping unusable entries in the host list", "count", len(unusable),
			"first", unusable[:min(len(unusable), maxLoggedEntries)])
	}
	return l, err
}

func (w *Watcher) closeConn() {
	if w.conn != nil {
		w.conn.net.Close()
		w.conn = nil
	}
}

type conn struct {
	net      *netpoll.Conn
	activity chan struct{} // signalled after data and after the end of the connection
	mu       sync.Mutex
	parser   *http1.Parser
	closed   bool
	cleanEOF bool // ended by EOF: a reset does not complete a response
}

// Data feeds received bytes to the parser.
func (c *conn) Data(data []byte) {
	c.mu.Lock()
	c.parser.Feed(data)
	c.mu.Unlock()
	c.signal()
}

// Closed records the end of the connection.
func (c *conn) Closed(err error) {
	c.mu.Lock()
	c.closed, c.cleanEOF = true, errors.Is(err, io.EOF)
	c.mu.Unlock()
	c.signal()
}

func (c *conn) signal() {
	select {
	case c.activity <- struct{}{}:
	default:
	}
}

func (c *conn) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && c.parser.Idle()
}

var (
	errTimeout    = errors.New("no answer in time")
	errConnClosed = errors.New("connection closed before the response was complete")
)

func (c *conn) nextResponse(ctx context.Context, expired <-chan struct{}) (*http1.Message, error) {
	for {
		c.mu.Lock()
		m, err := c.parser.Next()
		closed := c.closed
		if m == nil && err == nil && c.cleanEOF {
			m, _ = c.parser.End()
		}
		if m != nil && m.Close {
			c.closed = true
		}
		c.mu.Unlock()
		switch {
		case m != nil || err != nil:
			return m, err
		case closed:
			return nil, errConnClosed
		}
		select {
		case <-c.activity:
		case <-expired:
			return nil, errTimeout
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

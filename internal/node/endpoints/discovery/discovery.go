// Package discovery reads the list of south side hosts from the platform's discovery and watches it for changes. It also
// reads that of an agent on the machine, which speaks the same form and says more (see package agent).
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

// Limits are the times of the calls, in milliseconds.
type Limits struct {
	Fetch      float64 // for the whole list
	Wait       float64 // how long discovery may hold a watch: silence is noticed soon
	Slack      float64 // and how long after that its answer may come
	FirstPause float64 // after a failed call, doubled each time
	LastPause  float64
	Told       float64 // after which a change counts as told, once discovery could be reached; 0 = never,
	ToldMoved  float64 // and from a new address, once the node was told of that
}

// mostTold is how many of a list's bad entries the log has a reason for.
const mostTold = 8

// List is an answer of discovery.
type List struct {
	Index int64
	Whole bool
	Hosts []dispatch.Host

	Look      bool     // it was asked for as a second look
	Revisions []uint64 // at which each of the hosts changed; nil where that is not said
	Origin    *Origin  // nil where nothing is said of it
}

// Origin is what an agent says of the source behind it.
type Origin struct {
	Epoch   string  `json:"epoch"`   // whose numbering the index is of
	Away    float64 `json:"away_ms"` // for how long the source has not been heard; 0 = it is there
	Confirm uint64  `json:"confirm"` // the index up to which what was held is meant
	Looked  bool    `json:"looked"`  // the list was read anew for this answer
}

// Sink is who is told.
type Sink interface {
	// Take gets each list that came, before the next call is made. One that it refuses is asked for anew, as a whole.
	Take(List) error
	// Same gets an answer that has nothing new.
	Same(List)
	// Away is told that a call has failed. The last that went well was answered at a time, 0 = none was.
	Away(since float64)
}

// Decode reads an answer. An entry that cannot be used is left out and described in odd.
func Decode(text []byte) (l List, odd []string, err error) {
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
			odd = append(odd, fmt.Sprintf("entry %d: %v", i, err))
			continue
		}
		l.Hosts = append(l.Hosts, h)
		if l.Origin != nil {
			l.Revisions = append(l.Revisions, revision)
		}
	}
	return l, odd, nil
}

// Watcher keeps a node's inventory up to date.
type Watcher struct {
	Address string // of discovery at the start; Move changes it
	Limits  Limits // at the start; Limit changes them
	Loop    *netpoll.Loop
	Clock   clock.Clock
	Log     *slog.Logger
	Sink    Sink
	Most    int    // bytes in an answer
	First   func() // called once, when the first call has ended either way
	// Spread is the time over which the first calls of all nodes and those that follow a failure are spread, where each
	// one loads a service that all nodes have together: calls in step would bury it. 0 = a call costs nothing.
	Spread float64
	// Known is the version that the node has from its configuration, -1 = none. With Spread the watch begins there
	// instead of from the whole list.
	Known int64
	// Chance gives numbers from 0 to 1, by which the calls of many nodes are kept from falling together; nil = there is
	// only this one.
	Chance func() float64

	conn *conn

	mu    sync.Mutex
	index int64              // of the newest answer
	at    float64            // and when it came, 0 = none has
	moved context.CancelFunc // ends the call that is on, nil before Run
	look  bool               // a second look was asked for
	early context.CancelFunc // ends a call that waits for changes, nil while there is none
}

// Move has the watch go on at another address, from the whole list there.
func (w *Watcher) Move(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.Address == address {
		return
	}
	w.Address = address
	if w.moved != nil {
		w.moved()
	}
}

// Look asks for the whole list, now, as a second look.
func (w *Watcher) Look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.look = true
	if w.early != nil {
		w.early()
	}
}

// Limit changes the limits from the next call on.
func (w *Watcher) Limit(l Limits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Limits = l
}

// Seen gives the version that discovery told last, and when it did; 0 = never.
func (w *Watcher) Seen() (index int64, at float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.index, w.at
}

// limits gives the present limits.
func (w *Watcher) limits() Limits {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Limits
}

// Parts by which times differ from node to node.
const (
	waitSpread = 0.1 // a watch is held so much shorter at the most: silence is noticed no later
	openWait   = 1.0 // milliseconds that a call is held which opens a watch that costs: it has waited in turn before
)

// paced is when calls are made: moved tells that none has been answered since the watch moved.
func (w *Watcher) paced(moved bool) backoff.Settings {
	set := w.limits()
	told := set.Told
	if moved && set.ToldMoved > 0 {
		told = min(told, set.ToldMoved)
	}
	return backoff.Settings{Spread: w.Spread, MinPause: set.FirstPause, MaxPause: set.LastPause, DeliveryLimit: told}
}

// spread varies a time.
func (w *Watcher) spread(ms, least, part float64) float64 {
	if w.Chance == nil {
		return ms
	}
	return ms * (least + part*w.Chance())
}

// stay gives the present address, and a context that ends when the watch moves from it.
func (w *Watcher) stay(ctx context.Context) (string, context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	here, moved := context.WithCancel(ctx)
	w.moved = moved
	return w.Address, here
}

// Run watches until ctx ends, wherever Move sends it.
func (w *Watcher) Run(ctx context.Context) {
	for moved := false; ctx.Err() == nil; moved = true {
		address, here := w.stay(ctx)
		w.watch(here, address, moved)
		w.moved()
		w.drop()
	}
}

// watch fetches the whole list from an address, to which it may have moved, then watches until ctx ends.
func (w *Watcher) watch(ctx context.Context, address string, moved bool) {
	index, known, epoch, open := int64(0), false, "", false
	calls := backoff.Backoff{Random: w.Chance}
	hosts, doubted := w.Known >= 0, false // whether the last list named some, and an empty one is asked for again
	if w.Spread > 0 && w.Known >= 0 && w.First != nil {
		index, known = w.Known, true
		w.asked()
		w.wait(ctx, calls.InitialDelay(w.paced(moved)))
		if ctx.Err() != nil {
			return
		}
	}
	for {
		set, paced := w.limits(), w.paced(moved)
		path, limit := "/discovery/hosts", paced.CallTimeout(set.Fetch)
		call, look, done := w.calls(ctx)
		switch {
		case look && epoch != "":
			path = "/discovery/hosts?look=1"
		case known && !look:
			var wait float64
			path, wait = w.change(set.Wait, index, epoch, open)
			limit = wait + paced.CallTimeout(set.Slack)
		}
		began := w.Clock.Now()
		l, err := w.ask(call, address, path, limit)
		if done() {
			w.drop() // a second look goes before what it would have said
			continue
		}
		if err == nil && known && !look && !l.Whole && l.Index < index {
			err = fmt.Errorf("the list went back from %d to %d", index, l.Index)
			known = false // start again from the whole list
		}
		if err == nil {
			l.Whole, l.Look = l.Whole || !known || look, look
			if doubted = l.Whole && len(l.Hosts) == 0 && hosts && !doubted; doubted {
				w.Log.Warn("a whole list without a host is asked for again before it is believed", "address", address)
				known = false
				continue
			}
		}
		if err == nil {
			hosts = len(l.Hosts) > 0 || hosts && !l.Whole
			if err = w.give(l); err != nil {
				known = false
			}
		}
		if err == nil {
			calls.Reset()
			moved = false
			index, known, epoch = l.Index, true, ""
			if l.Origin != nil {
				epoch = url.QueryEscape(l.Origin.Epoch)
			}
			w.saw(index)
		}
		if ctx.Err() != nil {
			return
		}
		open = err == nil
		if err != nil {
			w.away(look)
		}
		w.asked()
		if err != nil {
			pause := calls.AfterFailure(paced, w.Clock.Now()-began, set.Fetch)
			w.Log.Warn("discovery gave no list that can be used: the last one stays", "address", address, "error", err,
				"again_ms", pause)
			w.wait(ctx, pause)
		}
	}
}

// change is the path that asks for what follows an index, and how long, ms, the service may take over it.
func (w *Watcher) change(longest float64, index int64, epoch string, open bool) (path string, wait float64) {
	wait = w.spread(longest, 1-waitSpread, waitSpread)
	if w.Spread > 0 && !open {
		wait = openWait
	}
	path = fmt.Sprintf("/discovery/hosts?index=%d&wait=%.0f", index, wait)
	if epoch != "" {
		path += "&epoch=" + epoch
	}
	return path, wait
}

// away tells that a call, or a look, had no list.
func (w *Watcher) away(look bool) {
	if look {
		w.again()
	}
	_, at := w.Seen()
	w.Sink.Away(at)
}

// give hands on what a call said.
func (w *Watcher) give(l List) error {
	if l.Whole || len(l.Hosts) > 0 {
		return w.Sink.Take(l)
	}
	w.Sink.Same(l)
	return nil
}

// asked tells that the first call has ended, or that the node begins with what it knows.
func (w *Watcher) asked() {
	if w.First != nil {
		w.First()
		w.First = nil
	}
}

// calls begins a call: a second look, if one was asked for; else one that ends early when that happens, which done tells.
func (w *Watcher) calls(ctx context.Context) (call context.Context, look bool, done func() bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.look {
		w.look = false
		return ctx, true, func() bool { return false }
	}
	call, w.early = context.WithCancel(ctx)
	return call, false, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		ended := call.Err() != nil && ctx.Err() == nil
		w.early()
		w.early = nil
		return ended
	}
}

// again asks for the second look that failed.
func (w *Watcher) again() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.look = true
}

// saw notes an answer.
func (w *Watcher) saw(index int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.index, w.at = index, w.Clock.Now()
}

func (w *Watcher) wait(ctx context.Context, ms float64) {
	over := make(chan struct{})
	defer w.Clock.At(w.Clock.Now()+ms, func() { close(over) })()
	select {
	case <-over:
	case <-ctx.Done():
	}
}

// ask makes one call within a time.
func (w *Watcher) ask(ctx context.Context, address, path string, limit float64) (l List, err error) {
	until := w.Clock.Now() + limit
	if w.conn == nil || !w.conn.usable() {
		w.drop()
		// It holds what ends with its connection, too, and gives nothing before it is whole.
		c := &conn{parser: http1.NewFlowing(true, w.Most, http1.Flow{Whole: w.Most + 1}), came: make(chan struct{}, 1)}
		_, err := w.Loop.Dial(ctx, address, limit, func(n *netpoll.Conn) netpoll.Handler {
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
		w.drop()
		return l, err
	}
	over := make(chan struct{})
	defer w.Clock.At(until, func() { close(over) })()
	m, err := w.conn.answer(ctx, over)
	if err != nil {
		w.drop()
		return l, fmt.Errorf("%s: %w", path, err)
	}
	if m.Status != 200 {
		return l, fmt.Errorf("%s: status %d", path, m.Status)
	}
	l, odd, err := Decode(m.Body)
	if len(odd) > 0 {
		w.Log.Warn("entries of the list cannot be used and are left out", "count", len(odd),
			"first", odd[:min(len(odd), mostTold)])
	}
	return l, err
}

func (w *Watcher) drop() {
	if w.conn != nil {
		w.conn.net.Close()
		w.conn = nil
	}
}

// conn is the connection to discovery.
type conn struct {
	net    *netpoll.Conn
	came   chan struct{} // something has changed
	mu     sync.Mutex
	parser *http1.Parser
	ended  bool
	clean  bool // by an end of stream: a reset is no end of an answer
}

// Data takes bytes from discovery.
func (c *conn) Data(data []byte) {
	c.mu.Lock()
	c.parser.Feed(data)
	c.mu.Unlock()
	c.signal()
}

// Closed takes the end of the connection.
func (c *conn) Closed(err error) {
	c.mu.Lock()
	c.ended, c.clean = true, errors.Is(err, io.EOF)
	c.mu.Unlock()
	c.signal()
}

func (c *conn) signal() {
	select {
	case c.came <- struct{}{}:
	default:
	}
}

func (c *conn) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.ended && c.parser.Idle()
}

var (
	errSilent = errors.New("no answer in time")
	errEnded  = errors.New("the connection ended before the answer")
)

func (c *conn) answer(ctx context.Context, over <-chan struct{}) (*http1.Message, error) {
	for {
		c.mu.Lock()
		m, err := c.parser.Next()
		ended := c.ended
		if m == nil && err == nil && c.clean {
			m, _ = c.parser.End()
		}
		if m != nil && m.Close {
			c.ended = true
		}
		c.mu.Unlock()
		switch {
		case m != nil || err != nil:
			return m, err
		case ended:
			return nil, errEnded
		}
		select {
		case <-c.came:
		case <-over:
			return nil, errSilent
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

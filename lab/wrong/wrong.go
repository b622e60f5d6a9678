// Package wrong holds nodes that each break one rule on purpose, so that it can be shown that the referee sees it, and the
// careful node that they are made from, which breaks none. All stand on net/http: they share no code with the node.
//
// The careful one does what the protocol asks and no more: a request goes out again only if it never ran, a refusal only if
// nothing may have run, nothing goes to a rater that drains, a cold rater holds one request, and a stop finishes what was taken.
package wrong

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"linenwheel.dev/linenwheel/lab/plain"
)

// Fault is what a node does wrong.
type Fault string

// The faults.
const (
	None     Fault = "none"
	Again    Fault = "again"    // sends on once more what a reset may have let run
	Drained  Fault = "drained"  // sends to raters that drain
	Drops    Fault = "drops"    // ends at once at SIGTERM
	Aborts   Fault = "aborts"   // now and then ends a connection in place of an answer
	Floods   Fault = "floods"   // sends everything to the rater that started last
	Swaps    Fault = "swaps"    // exchanges the answers of two requests
	Late     Fault = "late"     // answers after the wanted time
	Cached   Fault = "cached"   // answers from what it has answered before
	Refuses  Fault = "refuses"  // says that trying again is harmless though it may have run
	Rewrites Fault = "rewrites" // changes what it passes on
	Twice    Fault = "twice"    // answers twice
	Crashes  Fault = "crashes"  // ends by itself
	Smuggles Fault = "smuggles" // passes on a request hidden in the body of another
)

// Faults lists them, without None.
var Faults = []Fault{Again, Drained, Drops, Aborts, Floods, Swaps, Late, Cached, Refuses, Rewrites, Twice, Crashes, Smuggles}

// Node is a careful proxy with a fault.
type Node struct {
	fault Fault
	conf  *plain.Config
	list  *plain.List
	via   *http.Transport

	mu       sync.Mutex
	held     map[string]int
	rest     map[string]time.Time // of a rater that could not be reached
	served   int
	cache    map[string][]byte // by class
	waiting  *swap
	stopping bool
}

type swap struct {
	body chan []byte
	mine []byte
}

// errDial is a connection that did not come up: nothing has run.
var errDial = errors.New("no connection")

const (
	mostTries   = 4
	mostAnswer  = 1 << 20
	mostBody    = 64 << 10
	dialWithin  = 250 * time.Millisecond
	coldFor     = 24 * time.Second
	restFor     = 300 * time.Millisecond
	beforeLimit = 20 * time.Millisecond
	serveOn     = 700 * time.Millisecond // after SIGTERM
	swapWithin  = 200 * time.Millisecond
	abortEvery  = 50
	crashAfter  = 100
	cacheEvery  = 5
)

// New makes a node.
func New(conf *plain.Config, list *plain.List, fault Fault) *Node {
	dial := net.Dialer{Timeout: dialWithin}
	return &Node{fault: fault, conf: conf, list: list, held: map[string]int{}, rest: map[string]time.Time{}, cache: map[string][]byte{},
		via: &http.Transport{MaxIdleConnsPerHost: 128, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
			MaxResponseHeaderBytes: mostBody, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := dial.DialContext(ctx, network, address)
				if err != nil {
					return nil, fmt.Errorf("%w: %w", errDial, err)
				}
				return c, nil
			}}}
}

// ServeHTTP sees one request through.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/up" {
		if !n.list.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	n.mu.Lock()
	if n.stopping {
		w.Header().Set("Connection", "close")
	}
	n.mu.Unlock()
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class, limit, wrong := n.check(name, r)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostBody))
	if wrong != "" || err != nil {
		w.Header().Set("Connection", "close")
		http.Error(w, wrong, http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), max(time.Millisecond, limit-beforeLimit))
	defer cancel()
	n.answer(ctx, w, r, name, class, body)
}

// check tells what is wrong with a request, and what is to be known of it.
func (n *Node) check(name string, r *http.Request) (class plain.Class, limit time.Duration, wrong string) {
	class, ok := n.conf.Classes[name]
	ms, err := strconv.Atoi(r.Header.Get("Req-Deadline-Ms"))
	_, notID := strconv.ParseUint(r.Header.Get("Req-Id"), 16, 64)
	keyed := r.Header.Get("Idempotency-Key") != ""
	switch {
	case !ok:
		wrong = "no such class"
	case err != nil || ms <= 0:
		wrong = "no deadline"
	case notID != nil || len(r.Header.Values("Req-Id")) != 1:
		wrong = "no id"
	case len(r.TransferEncoding) > 0 && n.fault != Smuggles:
		wrong = "a client does not send in chunks"
	case (r.Method == http.MethodGet) != (class.Effect == "read_like") || keyed != (class.Effect == "idempotency_key"):
		wrong = "not the form of its class"
	}
	return class, time.Duration(ms) * time.Millisecond, wrong
}

// answer relays a request until it has an end.
func (n *Node) answer(ctx context.Context, w http.ResponseWriter, r *http.Request, name string, class plain.Class, body []byte) {
	ran := false
	for range mostTries {
		if text := n.cached(name); text != nil {
			_, _ = w.Write(text)
			return
		}
		e, ok := n.pick()
		if !ok {
			break
		}
		status, text, err := n.relay(ctx, r, e, body)
		switch {
		case errors.Is(err, errDial):
			n.down(e)
			continue // it never ran
		case err == nil && status == 0:
			continue // nor this: turned away
		case err == nil && status == http.StatusOK:
			n.serve(ctx, w, name, text)
			return
		}
		ran = true
		if n.fault == Again && ctx.Err() == nil || class.Effect == "read_like" && ctx.Err() == nil {
			continue
		}
		break
	}
	if n.fault == Refuses {
		ran = false
	}
	switch {
	case ran && ctx.Err() != nil:
		http.Error(w, "no answer in time", http.StatusGatewayTimeout)
	case ran:
		http.Error(w, "no good answer", http.StatusBadGateway)
	default:
		http.Error(w, "no rater took it", http.StatusServiceUnavailable)
	}
}

// pick takes the rater that holds least.
func (n *Node) pick() (best plain.Endpoint, ok bool) {
	all, now := n.list.All(nil), time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	least := 0
	for _, e := range all {
		up := time.UnixMilli(e.SinceMS)
		cold := e.SinceMS > 0 && now.Sub(up) < coldFor
		cost := n.held[e.Name]
		switch {
		case n.fault == Floods && cold, n.fault == Drained && e.Status == "Terminating":
			cost = -1
		case e.Status != "Ready", now.Before(n.rest[e.Name]), cold && cost > 0:
			continue
		}
		if !ok || cost < least {
			best, least, ok = e, cost, true
		}
	}
	if ok {
		n.held[best.Name]++
	}
	return best, ok
}

func (n *Node) down(e plain.Endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rest[e.Name] = time.Now().Add(restFor)
}

// relay sends one attempt. Status 0 without an error: turned away, it never ran.
func (n *Node) relay(ctx context.Context, r *http.Request, e plain.Endpoint, body []byte) (status int, text []byte, err error) {
	defer func() {
		n.mu.Lock()
		n.held[e.Name]--
		n.mu.Unlock()
	}()
	target := r.URL.RequestURI()
	if n.fault == Rewrites {
		target += "&via=" + n.conf.Name
	}
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+e.Address+target, nil)
	if err != nil {
		return 0, nil, err
	}
	if len(body) > 0 {
		// Without GetBody the transport sends nothing again by itself.
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	}
	for _, h := range []string{"Req-Id", "Req-Owner", "Idempotency-Key", "Content-Type"} {
		if v := r.Header.Get(h); v != "" {
			out.Header.Set(h, v)
		}
	}
	if end, ok := ctx.Deadline(); ok {
		out.Header.Set("Req-Deadline-Ms", strconv.FormatInt(max(1, time.Until(end).Milliseconds()), 10))
	}
	answer, err := n.via.RoundTrip(out)
	if err != nil {
		return 0, nil, err
	}
	defer answer.Body.Close()
	text, err = io.ReadAll(io.LimitReader(answer.Body, mostAnswer+1))
	if err == nil && len(text) > mostAnswer {
		err = errors.New("the answer is too long")
	}
	if err == nil && answer.Header.Get("Srv-Declined") == "1" {
		return 0, nil, nil
	}
	return answer.StatusCode, text, err
}

// serve gives a good answer, as the fault has it.
func (n *Node) serve(ctx context.Context, w http.ResponseWriter, name string, text []byte) {
	n.mu.Lock()
	n.served++
	served := n.served
	n.cache[name] = text
	n.mu.Unlock()
	switch n.fault {
	case Aborts:
		if served%abortEvery == 0 {
			panic(http.ErrAbortHandler)
		}
	case Crashes:
		if served == crashAfter {
			os.Exit(3)
		}
	case Late:
		if end, ok := ctx.Deadline(); ok {
			time.Sleep(time.Until(end) - 2*beforeLimit)
		}
	case Swaps:
		text = n.swap(text)
	case Twice:
		c, out, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		for range 2 {
			fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		}
		_ = out.Flush()
		_ = c.Close()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

// swap exchanges an answer with that of another request, if one comes soon.
func (n *Node) swap(text []byte) []byte {
	n.mu.Lock()
	if s := n.waiting; s != nil {
		n.waiting = nil
		n.mu.Unlock()
		s.body <- text
		return s.mine
	}
	s := &swap{body: make(chan []byte, 1), mine: text}
	n.waiting = s
	n.mu.Unlock()
	select {
	case other := <-s.body:
		return other
	case <-time.After(swapWithin):
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.waiting == s {
		n.waiting = nil
		return text
	}
	return <-s.body
}

// cached gives an old answer now and then.
func (n *Node) cached(name string) []byte {
	if n.fault != Cached {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.served++; n.served%cacheEvery == 0 {
		return n.cache[name]
	}
	return nil
}

// Serve runs a node as the platform starts nodes, until SIGTERM.
func Serve(ctx context.Context, getenv func(string) string, fault Fault) error {
	conf, err := plain.Load(getenv)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	list := plain.NewList(conf.Discovery)
	watching, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	go list.Follow(watching)
	go func() {
		for range again {
			if conf, err := plain.Load(getenv); err == nil {
				list.Move(conf.Discovery)
			}
		}
	}()
	n := New(conf, list, fault)
	server := &http.Server{Addr: conf.Listen, Handler: n, ReadHeaderTimeout: 2 * time.Second, ReadTimeout: 2500 * time.Millisecond,
		IdleTimeout: 10 * time.Second}
	ended := make(chan error, 1)
	go func() { ended <- server.ListenAndServe() }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	if fault == Drops {
		os.Exit(0) //nolint:gocritic // this fault is to end outright
	}
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	time.Sleep(serveOn)
	over, cancel := context.WithTimeout(context.WithoutCancel(ctx), 10*time.Second)
	defer cancel()
	return server.Shutdown(over)
}

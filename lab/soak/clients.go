package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"linenwheel.dev/linenwheel/lab/fleet"
	"linenwheel.dev/linenwheel/lab/soak/behaviour"
	"linenwheel.dev/linenwheel/lab/soak/rater"
	"linenwheel.dev/linenwheel/lab/soak/record"
)

// Terms of clients.
const (
	deadline      = 4 * time.Second
	patience      = deadline + 2*time.Second
	maxTries      = 5
	clientPause   = 45 * time.Millisecond // between two streams, on average
	retryAfter    = 30 * time.Millisecond
	longBodyBytes = 300 << 10
	minTokens     = 2
	maxTokens     = 14
	leavesWithin  = 40 * time.Millisecond
	maxAnswer     = 64 << 10 // bytes; no stream is that long
)

// clients are all clients of a play.
type clients struct {
	fleet     *fleet.Fleet
	operators *operators
	records   *record.Writer
	seed      uint64
	numbers   atomic.Int64 // of streams
	stop      chan struct{}
}

// client is one client with its connections.
type client struct {
	*clients
	random *rand.Rand
	kept   *http.Client
	fresh  *http.Client
}

// run sends streams until the play ends.
func (c *clients) run(number int) {
	one := &client{clients: c, random: rand.New(rand.NewPCG(c.seed, uint64(1000+number))),
		kept:  &http.Client{Transport: &http.Transport{DisableCompression: true}},
		fresh: &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}}
	defer one.kept.CloseIdleConnections()
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(2 * one.random.Float64() * float64(clientPause))):
		}
		one.stream()
	}
}

// wanted is what a client wants, over all its tries.
type wanted struct {
	name     string
	route    route // as the client knows it; the zero value if it is not there
	path     string
	key      string
	usage    string
	oddLast  string
	tokens   int
	received rater.Received
}

// oddNumbers are texts that are no sound numbers.
var oddNumbers = []string{"NaN", "Inf", "-5", "1e400", "", "0x", "9223372036854775808"}

// draw draws what the client wants, and its behaviour.
func (c *client) draw() (*wanted, behaviour.Name) {
	known := c.operators.Known()
	w := &wanted{name: fmt.Sprintf("s%d", c.numbers.Add(1)), route: known.routes[c.random.IntN(len(known.routes))], key: "key-nobody-holds",
		tokens: minTokens + c.random.IntN(maxTokens-minTokens+1), received: rater.Received{Next: 1}}
	if len(known.tenants) > 0 {
		if keys := known.tenants[c.random.IntN(len(known.tenants))].APIKeys; len(keys) > 0 {
			w.key = keys[c.random.IntN(len(keys))]
		}
	}
	prefix := w.route.PathPrefix
	w.usage = fmt.Sprintf("%d,%d", 200+c.random.IntN(800), w.tokens)
	kind := behaviour.Draw(behaviour.Client, 100*c.random.Float64(), behaviour.KeepsConnection)
	switch kind {
	case behaviour.RevokedKey:
		if len(known.revoked) > 0 {
			w.key = known.revoked[c.random.IntN(len(known.revoked))]
		}
	case behaviour.UnknownKey:
		w.key = "key-nobody-holds"
	case behaviour.NoKey:
		w.key = ""
	case behaviour.OddUsage:
		w.usage = oddNumbers[c.random.IntN(len(oddNumbers))] + "," + oddNumbers[c.random.IntN(len(oddNumbers))]
	case behaviour.OddLast:
		w.oddLast = oddNumbers[c.random.IntN(3)]
	case behaviour.UnknownRoute:
		prefix, w.route = "/nobody/", route{}
		if len(known.removed) > 0 && c.random.IntN(2) == 0 {
			prefix = known.removed[c.random.IntN(len(known.removed))]
		}
	}
	w.path = prefix + strconv.Itoa(w.tokens)
	return w, kind
}

// stream receives one stream. It is resumed, or asked for again where nothing has come, as far as the route and the answer allow.
func (c *client) stream() {
	w, kind := c.draw()
	for try := range maxTries {
		t := c.try(w, kind, try)
		c.records.Write(record.Entry{At: t.at, Try: t.Try})
		if !c.mayRetry(w, t.Try) {
			return
		}
		time.Sleep(retryAfter)
		select {
		case <-c.stop:
			return
		default:
		}
	}
}

// mayRetry reports whether the client may and does try again, and updates what it has.
func (c *client) mayRetry(w *wanted, t *record.Try) bool {
	if t.Status == http.StatusOK {
		judgement := w.received.Judge(t.Answer, t.Complete, w.tokens)
		if judgement.Whole || judgement.Broken != "" {
			return false
		}
	}
	idempotent := w.route.RouteType == "safe" || w.route.RouteType == "streaming" && w.route.StreamResume
	if !w.route.StreamResume || w.route.RouteType != "streaming" {
		w.received = rater.Received{Next: 1}
	}
	promised := t.Status == http.StatusTooManyRequests || t.Status == http.StatusServiceUnavailable
	switch {
	case t.Left:
		return idempotent && c.random.IntN(2) == 0
	case t.Status >= 400 && t.Status < 500 && !promised:
		return false
	case t.Refused || promised:
		return true
	}
	return idempotent
}

// timedTry is a try with the time at which it was sent.
type timedTry struct {
	*record.Try
	at int64
}

// try makes one request.
func (c *client) try(w *wanted, kind behaviour.Name, number int) timedTry {
	machine := c.fleet.Data[c.random.IntN(len(c.fleet.Data))]
	t := &record.Try{Attempt: fmt.Sprintf("%s-%d-%x", w.name, number, c.seed), Stream: w.name, Host: host, Path: w.path, Key: w.key, Usage: w.usage,
		Last: w.received.Last, Tokens: w.tokens, Machine: machine.Name}
	content := "prompt of " + w.name
	if kind == behaviour.LongBody {
		content = strings.Repeat("x", longBodyBytes)
	}
	t.Body = record.Text(content)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if kind == behaviour.LeavesMidway && number == 0 {
		leave := time.AfterFunc(time.Duration(c.random.Int64N(int64(leavesWithin))), cancel)
		defer leave.Stop()
	}
	request := c.request(ctx, w, t, c.fleet.Front(machine), content, kind)
	sender := c.kept
	if kind == behaviour.NewConnection {
		sender = c.fresh
	}
	at := time.Now().UnixNano()
	c.receive(sender, request, t)
	t.EndedAt = time.Now().UnixNano()
	t.Left = !t.Complete && (t.Left || ctx.Err() != nil)
	return timedTry{t, at}
}

// request returns the request of a try.
func (c *client) request(ctx context.Context, w *wanted, t *record.Try, front, content string, kind behaviour.Name) *http.Request {
	var body io.Reader = strings.NewReader(content)
	if kind == behaviour.ChunkedBody {
		body = io.MultiReader(body) // its length is not known
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+t.Path, body)
	if err != nil { // cannot happen: the address and the path are sound
		panic(err)
	}
	request.Host = host
	for name, value := range map[string]string{"Attempt-Id": t.Attempt, rater.HeaderStream: w.name, "Deadline-Ms": strconv.FormatInt(deadline.Milliseconds(), 10),
		"Token-Usage": t.Usage, "Prompt-Prefix": fmt.Sprintf("aa:100,%s:50", w.name), "Model": "m"} {
		request.Header.Set(name, value)
	}
	if t.Key != "" {
		request.Header.Set("Api-Key", t.Key)
	}
	if t.Last > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(t.Last))
	} else if w.oddLast != "" {
		request.Header.Set("Last-Event-Id", w.oddLast)
	}
	return request
}

// receive sends a request and records what comes back.
func (c *client) receive(sender *http.Client, request *http.Request, t *record.Try) {
	response, err := sender.Do(request)
	if err != nil {
		var operation *net.OpError
		t.Refused = errors.As(err, &operation) && operation.Op == "dial"
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	t.Status, t.Seal, t.Answer, t.Complete = response.StatusCode, response.Header.Get("Response-Seal"), string(body), err == nil
	if len(body) == maxAnswer { // it has no end: the client leaves
		t.Answer, t.Complete, t.Left = "", false, true
	}
}

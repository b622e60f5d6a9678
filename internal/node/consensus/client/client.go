// Package client asks the agreed log: commands that are applied once however often they have to be sent, and questions that are
// answered by what holds. Its methods block, and may be called from any goroutine.
//
// Bounds: one connection, to the keeper that leads as far as is known; ledger.Window commands under way.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/internal/node/consensus/protocol"
	"linenwheel.dev/linenwheel/internal/node/consensus/transport"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// Replica is one that can be asked.
type Replica struct{ Name, Address string }

// Config describe a client.
type Config struct {
	Fleet          string
	Name           string // of this client, for people
	Release        string
	Replicas       []Replica
	AttemptTimeout time.Duration // for one keeper to answer before another is asked
	Spread         time.Duration // over which its first word may come, by chance; 0 = at once
}

// Spread is the time over which as many nodes that start together spread their first words to the keepers: the first words of one
// keep a leader at work for some part of a millisecond, and those that run already are not to wait behind all of them.
func Spread(nodes int) time.Duration { return min(time.Duration(nodes)*time.Millisecond, mostSpread) }

const mostSpread = time.Second

// What can go wrong.
var (
	// ErrNoQuorum says that the command was taken by nobody: no majority of keepers can be reached, and it was not applied.
	ErrNoQuorum = errors.New("no majority of keepers can be reached: nothing was changed")
	// ErrUnknown says that the command may have been applied, or may yet be.
	ErrUnknown = errors.New("no answer came in time: whether it was agreed is not known")
	// ErrRefused says that a keeper refused it for a reason that stays.
	ErrRefused = errors.New("refused")
)

// Client is one client of the log.
type Client struct {
	set  Config
	from time.Time // nothing is asked before

	mu      sync.Mutex
	at      int // the keeper that is asked
	late    int // connections in a row that did not come up
	conn    *conn
	session *session
	opening sync.Mutex
	closed  bool
}

// New makes a client; it connects when it is asked for something.
func New(set Config) *Client {
	return &Client{set: set, from: time.Now().Add(rand.N(max(1, set.Spread))), at: rand.IntN(max(1, len(set.Replicas)))}
}

// Close ends it.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn != nil {
		_ = c.conn.raw.Close()
	}
}

// session numbers commands so that each is applied once.
type session struct {
	id   uint64
	mu   sync.Mutex
	free *sync.Cond
	next uint64
	done uint64 // all up to this one have had their replies
	told map[uint64]bool
	lost bool // a number was given up: no further ones can be taken
}

// take gives the next number.
func (s *session) take() (n uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.lost && s.next >= s.done+statemachine.Window {
		s.free.Wait()
	}
	if s.lost {
		return 0, false
	}
	s.next++
	return s.next, true
}

func (s *session) tell(n uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told[n] = true
	for s.told[s.done+1] {
		s.done++
		delete(s.told, s.done)
	}
	s.free.Broadcast()
}

func (s *session) giveUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = true
	s.free.Broadcast()
}

func (s *session) confirmed() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done
}

// open gives the session, a new one where there is none that goes on.
func (c *Client) open(ctx context.Context) (*session, error) {
	c.opening.Lock()
	defer c.opening.Unlock()
	c.mu.Lock()
	s := c.session
	c.mu.Unlock()
	if s != nil {
		s.mu.Lock()
		lost := s.lost
		s.mu.Unlock()
		if !lost {
			return s, nil
		}
	}
	body, err := json.Marshal(statemachine.Opening{Name: c.set.Name})
	if err != nil {
		return nil, err
	}
	a, _, err := c.ask(ctx, func() protocol.Request {
		return protocol.Request{Want: protocol.Do, Number: rand.Uint64()>>1 | 1, Body: body}
	})
	if err != nil { // a session that nobody uses does no harm
		return nil, untaken(err)
	}
	if a.Reply.Code != statemachine.OK {
		return nil, fmt.Errorf("%w: %s", ErrRefused, a.Reply.Text)
	}
	s = &session{id: a.Reply.Index, told: map[uint64]bool{}}
	s.free = sync.NewCond(&s.mu)
	c.mu.Lock()
	c.session = s
	c.mu.Unlock()
	return s, nil
}

// Do has a command agreed and gives its reply. It is tried until ctx ends; the error then wraps ErrNoQuorum or ErrRefused where it
// was certainly not applied, and ErrUnknown where it may have been.
func (c *Client) Do(ctx context.Context, part string, body any) (statemachine.Reply, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return statemachine.Reply{}, err
	}
	for {
		s, err := c.open(ctx)
		if err != nil {
			return statemachine.Reply{}, err
		}
		n, ok := s.take()
		if !ok {
			continue
		}
		a, taken, err := c.ask(ctx, func() protocol.Request {
			return protocol.Request{Want: protocol.Do, Session: s.id, Number: n, Done: s.confirmed(), Part: part, Body: text}
		})
		if err != nil {
			s.giveUp()
			if taken {
				return statemachine.Reply{}, errors.Join(ErrUnknown, err)
			}
			return statemachine.Reply{}, untaken(err)
		}
		s.tell(n)
		if a.Reply.Code != statemachine.Lost {
			return *a.Reply, nil
		}
		s.giveUp()
		if taken {
			return statemachine.Reply{}, ErrUnknown
		}
	}
}

// Read asks a part a question, answered by what holds at some moment from now on.
func (c *Client) Read(ctx context.Context, part string, body any) (statemachine.Reply, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return statemachine.Reply{}, err
	}
	a, _, err := c.ask(ctx, func() protocol.Request { return protocol.Request{Want: protocol.Read, Part: part, Body: text} })
	if err != nil {
		return statemachine.Reply{}, untaken(err)
	}
	return *a.Reply, nil
}

// untaken says why something was not taken: nobody is there who could, or somebody is and will not.
func untaken(err error) error {
	if errors.Is(err, ErrRefused) {
		return err
	}
	return errors.Join(ErrNoQuorum, err)
}

// Wait asks the keeper that was asked last a question, and waits until the answer is not what is known, or ctx ends. It is a hint: the
// answer holds at that keeper, which may not lead any more. It costs no entry, and an error costs nothing: no keeper or connection is
// given up for it, which is for whoever asks something next.
func (c *Client) Wait(ctx context.Context, part string, question, known any) (statemachine.Reply, error) {
	body, err := json.Marshal(question)
	if err != nil {
		return statemachine.Reply{}, err
	}
	have, err := json.Marshal(known)
	if err != nil {
		return statemachine.Reply{}, err
	}
	c.mu.Lock()
	k := c.conn
	c.mu.Unlock()
	if k == nil {
		return statemachine.Reply{}, errors.New("there is no connection")
	}
	a, _, err := k.ask(ctx, protocol.Request{Want: protocol.Wait, Part: part, Body: body, Known: have})
	if err == nil && a.Reply == nil {
		err = fmt.Errorf("no hint: %s", a.Text)
	}
	if err != nil {
		return statemachine.Reply{}, err
	}
	return *a.Reply, nil
}

// Copy gives all that whoever leads holds, as it was at an entry.
func (c *Client) Copy(ctx context.Context) (index uint64, image []byte, err error) {
	a, _, err := c.ask(ctx, func() protocol.Request { return protocol.Request{Want: protocol.Copy} })
	if err == nil {
		index, err = a.Reply.Index, json.Unmarshal(a.Reply.Body, &image)
	}
	return index, image, err
}

// Change asks whoever leads to change the members.
func (c *Client) Change(ctx context.Context, want string, m statemachine.Member) error {
	_, _, err := c.ask(ctx, func() protocol.Request { return protocol.Request{Want: want, Members: []statemachine.Member{m}} })
	return err
}

// ask sends a request to one keeper after the other until one answers it for good. taken tells whether one that did not
// answer may have passed it on before.
func (c *Client) ask(ctx context.Context, request func() protocol.Request) (a protocol.Answer, taken bool, err error) {
	last := errors.New("no keeper is configured")
	pause := 5 * time.Millisecond
	if early := time.Until(c.from); early > 0 {
		wait(ctx, early)
	}
	for try := 0; ; try++ {
		if ctx.Err() != nil {
			return a, taken, last
		}
		k, at, err := c.connect(ctx)
		if err != nil {
			last = err
			c.turn(at, "")
		} else {
			r := request()
			one, cancel := context.WithTimeout(ctx, c.set.AttemptTimeout)
			a, sent, err := k.ask(one, r)
			cancel()
			switch {
			case err != nil:
				last = fmt.Errorf("%s: %w", c.set.Replicas[at].Name, err)
				taken = taken || sent
				c.drop(k)
				c.turn(at, "")
			case a.Fault == "":
				return a, taken, nil
			case a.Fault == protocol.Refused:
				return a, taken, fmt.Errorf("%w: %s", ErrRefused, a.Text)
			default:
				last = fmt.Errorf("%s: %s", c.set.Replicas[at].Name, a.Text)
				taken = taken || a.Fault == protocol.Later
				if a.Fault == protocol.Elsewhere || a.Leader != "" {
					if c.turn(at, a.Leader); try < 2 {
						continue // at once: somebody leads
					}
				} else {
					c.turn(at, "")
				}
			}
		}
		wait(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, 200*time.Millisecond)
	}
}

// wait waits so long, or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// turn has the next request go to the keeper with a name, or to the next one, unless another request has turned already.
func (c *Client) turn(from int, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at != from || len(c.set.Replicas) == 0 {
		return
	}
	c.at = (c.at + 1) % len(c.set.Replicas)
	for i, k := range c.set.Replicas {
		if k.Name == name {
			c.at = i
		}
	}
	if c.conn != nil {
		c.conn.leave()
		c.conn = nil
	}
}

func (c *Client) drop(k *conn) {
	_ = k.raw.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == k {
		c.conn = nil
	}
}

// mostLate bounds for how long a connection is waited for: 4 times Try, where all keepers are slow.
const mostLate = 2

// connect gives the connection to the keeper that is asked now.
func (c *Client) connect(ctx context.Context) (k *conn, at int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.set.Replicas) == 0 {
		return nil, c.at, errors.New("there is nobody to ask")
	}
	if c.conn != nil && !c.conn.over() {
		return c.conn, c.at, nil
	}
	keeper := c.set.Replicas[c.at]
	within := c.set.AttemptTimeout << min(mostLate, c.late/len(c.set.Replicas)) // twice as long once each has been tried
	if end, ok := ctx.Deadline(); ok {
		within = min(within, max(time.Millisecond, time.Until(end)))
	}
	if c.conn, err = dial(keeper, &c.set, within); err != nil {
		c.late++
		return nil, c.at, fmt.Errorf("%s: %w", keeper.Name, err)
	}
	c.late = 0
	return c.conn, c.at, nil
}

// Call puts one request to one keeper, for what is not the log's: how it does, or to found it.
func Call(ctx context.Context, set Config, to Replica, r protocol.Request) (protocol.Answer, error) {
	k, err := dial(to, &set, set.AttemptTimeout)
	if err != nil {
		return protocol.Answer{}, err
	}
	defer k.raw.Close()
	ctx, cancel := context.WithTimeout(ctx, set.AttemptTimeout)
	defer cancel()
	a, _, err := k.ask(ctx, r)
	if err == nil && a.Fault != "" {
		err = fmt.Errorf("%w: %s", ErrRefused, a.Text)
	}
	return a, err
}

// conn is a connection on which many requests are under way.
type conn struct {
	raw   *transport.Conn
	try   time.Duration
	write sync.Mutex
	mu    sync.Mutex
	next  uint64
	open  map[uint64]chan protocol.Answer
	left  bool // nothing more is asked on it
	ended chan struct{}
}

// leave ends the connection once nobody waits on it any more.
func (k *conn) leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.left = true; len(k.open) == 0 {
		_ = k.raw.Close()
	}
}

func dial(to Replica, set *Config, within time.Duration) (*conn, error) {
	raw, _, err := transport.Dial(to.Address, transport.Hello{Fleet: set.Fleet, Release: set.Release, Name: set.Name, To: to.Name}, within)
	if err != nil {
		return nil, err
	}
	k := &conn{raw: raw, try: within, open: map[uint64]chan protocol.Answer{}, ended: make(chan struct{})}
	go k.hear()
	return k, nil
}

func (k *conn) over() bool {
	select {
	case <-k.ended:
		return true
	default:
		return false
	}
}

func (k *conn) hear() {
	defer close(k.ended)
	defer k.raw.Close()
	for {
		kind, text, err := k.raw.Read()
		var a protocol.Answer
		if err != nil || kind != transport.KindAnswer || json.Unmarshal(text, &a) != nil {
			return
		}
		k.mu.Lock()
		to := k.open[a.ID]
		delete(k.open, a.ID)
		k.mu.Unlock()
		if to != nil {
			to <- a
		}
	}
}

// ask sends one request and waits for its answer. sent tells whether the keeper may have it.
func (k *conn) ask(ctx context.Context, r protocol.Request) (a protocol.Answer, sent bool, err error) {
	to := make(chan protocol.Answer, 1)
	k.mu.Lock()
	k.next++
	r.ID = k.next
	k.open[r.ID] = to
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		delete(k.open, r.ID)
		idle := k.left && len(k.open) == 0
		k.mu.Unlock()
		if idle {
			_ = k.raw.Close()
		}
	}()
	text, err := json.Marshal(r)
	if err != nil {
		return a, false, err
	}
	if len(text) > statemachine.MaxCommandBytes {
		return protocol.Answer{Fault: protocol.Refused, Text: fmt.Sprintf("a request has %d bytes at the most", statemachine.MaxCommandBytes)}, false, nil
	}
	k.write.Lock()
	err = k.raw.Write(transport.KindRequest, text, k.try)
	k.write.Unlock()
	if err != nil {
		return a, true, err
	}
	select {
	case a = <-to:
		return a, true, nil
	case <-k.ended:
		select {
		case a = <-to:
			return a, true, nil
		default:
			return a, true, errors.New("the connection broke")
		}
	case <-ctx.Done():
		return a, true, errors.New("no answer came in time")
	}
}

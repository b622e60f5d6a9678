// Package client is the client of the replicated log. It sends queries, and commands, which are applied once
// however often they have to be retried. The methods of a Client block until they succeed, fail, or their context
// ends, and are safe for concurrent use.
//
// Bounds: one connection, to the last known leader; statemachine.Window commands in flight.
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
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// Errors of a client.
var (
	// ErrNoQuorum says that the command was not applied and will not be: no majority of replicas could be reached.
	ErrNoQuorum = errors.New("no majority of replicas is reachable: nothing was changed")
	// ErrUnknown says that the command may have been applied, or may still be applied.
	ErrUnknown = errors.New("no answer in time: it is unknown whether the command was applied")
	// ErrRefused says that a replica has permanently rejected the request.
	ErrRefused = errors.New("refused")

	errNoReplica    = errors.New("no replica is configured")
	errClosed       = errors.New("client is closed or has no replicas")
	errNoConnection = errors.New("no connection")
	errBroken       = errors.New("connection closed")
	errTimeout      = errors.New("no answer in time")
	errOpening      = errors.New("could not open a session in time")
	errWindowFull   = errors.New("too many commands in flight")
	errAbandoned    = errors.New("session was abandoned")
)

const maxSpread = time.Second

// Replica is the name and the address of a replica.
type Replica struct{ Name, Address string }

// Config is the configuration of a client.
type Config struct {
	Fleet          string
	Name           string // of this client; informational
	Release        string
	Replicas       []Replica
	AttemptTimeout time.Duration // timeout of one replica, after which the next one is tried
	Spread         time.Duration // maximum random delay of the first request; 0 = no delay
}

// Spread returns the Config.Spread for each of a number of nodes that start at the same time. The first requests
// of a node keep the leader busy for a fraction of a millisecond, and requests of nodes that are already running
// should not queue behind all of them.
func Spread(nodes int) time.Duration { return min(time.Duration(nodes)*time.Millisecond, maxSpread) }

// Client is a client of the replicated log.
type Client struct {
	config    Config
	notBefore time.Time     // earliest time of the first request
	opening   chan struct{} // a mutex that can be waited for with a context: capacity 1, full while a session is being looked up or opened

	mu          sync.Mutex // guards the fields below
	current     int        // index of the replica that requests go to
	failedDials int        // consecutive
	conn        *connection
	session     *session
	closed      bool
}

// New returns a client. It connects when the first request is made.
func New(config Config) *Client {
	return &Client{config: config, notBefore: time.Now().Add(rand.N(max(1, config.Spread))), opening: make(chan struct{}, 1),
		current: rand.IntN(max(1, len(config.Replicas)))}
}

// Close closes the connection. Requests in flight fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn != nil {
		c.conn.close()
	}
}

// Do sends a command to a component, with retries until it is applied or ctx ends, and returns the reply. The
// error wraps ErrNoQuorum or ErrRefused if the command was certainly not applied, and ErrUnknown if it may have
// been applied.
func (c *Client) Do(ctx context.Context, component string, body any) (statemachine.Reply, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return statemachine.Reply{}, err
	}
	for {
		s, err := c.openSession(ctx)
		if err != nil {
			return statemachine.Reply{}, err
		}
		number, err := s.nextNumber(ctx)
		if errors.Is(err, errAbandoned) {
			continue
		}
		if err != nil {
			return statemachine.Reply{}, notApplied(err)
		}
		a, uncertain, err := c.call(ctx, func() protocol.Request {
			return protocol.Request{Kind: protocol.Do, Session: s.id, Number: number, Confirmed: s.confirmedUpTo(), Component: component, Body: text}
		})
		if err != nil {
			s.abandon()
			if uncertain {
				return statemachine.Reply{}, errors.Join(ErrUnknown, err)
			}
			return statemachine.Reply{}, notApplied(err)
		}
		s.confirm(number)
		if a.Reply.Code != statemachine.SessionLost {
			return *a.Reply, nil
		}
		s.abandon()
		if uncertain {
			return statemachine.Reply{}, ErrUnknown
		}
	}
}

// Read queries a component. The answer is linearizable: it reflects the state at some moment after Read was called.
func (c *Client) Read(ctx context.Context, component string, body any) (statemachine.Reply, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return statemachine.Reply{}, err
	}
	a, _, err := c.call(ctx, func() protocol.Request {
		return protocol.Request{Kind: protocol.Read, Component: component, Body: text}
	})
	if err != nil {
		return statemachine.Reply{}, notApplied(err)
	}
	return *a.Reply, nil
}

// Wait performs a long poll: it sends a query over the current connection, and returns once the answer differs
// from known or ctx ends. The answer is a hint, because the replica may no longer be the leader. A long poll
// creates no log entry. An error has no effect on the client: the connection and the replica remain the current
// ones until another request fails on them.
func (c *Client) Wait(ctx context.Context, component string, query, known any) (statemachine.Reply, error) {
	body, err := json.Marshal(query)
	if err != nil {
		return statemachine.Reply{}, err
	}
	knownText, err := json.Marshal(known)
	if err != nil {
		return statemachine.Reply{}, err
	}
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn == nil {
		return statemachine.Reply{}, errNoConnection
	}
	a, _, err := conn.call(ctx, protocol.Request{Kind: protocol.LongPoll, Component: component, Body: body, Known: knownText})
	if err == nil && a.Reply == nil {
		err = fmt.Errorf("long poll was not answered: %s", a.Text)
	}
	if err != nil {
		return statemachine.Reply{}, err
	}
	return *a.Reply, nil
}

// Backup returns an image of the leader's state and the index of the last entry that it contains.
func (c *Client) Backup(ctx context.Context) (index uint64, image []byte, err error) {
	a, _, err := c.call(ctx, func() protocol.Request { return protocol.Request{Kind: protocol.Backup} })
	if err == nil {
		index, err = a.Reply.Index, json.Unmarshal(a.Reply.Body, &image)
	}
	return index, image, err
}

// Change asks the leader to change the membership: kind is protocol.AddLearner or protocol.Remove.
func (c *Client) Change(ctx context.Context, kind string, m statemachine.Member) error {
	_, _, err := c.call(ctx, func() protocol.Request { return protocol.Request{Kind: kind, Members: []statemachine.Member{m}} })
	return err
}

// Call sends one request to one replica, whether it is the leader or not: to get its status or to bootstrap it.
func Call(ctx context.Context, config Config, to Replica, r protocol.Request) (protocol.Answer, error) {
	conn, err := dial(to, &config, config.AttemptTimeout)
	if err != nil {
		return protocol.Answer{}, err
	}
	defer conn.close()
	ctx, cancel := context.WithTimeout(ctx, config.AttemptTimeout)
	defer cancel()
	a, _, err := conn.call(ctx, r)
	if err == nil && a.Fault != "" {
		err = fmt.Errorf("%w: %s", ErrRefused, a.Text)
	}
	return a, err
}

// notApplied returns the error of a request that was not applied: it wraps ErrRefused if a replica has rejected
// the request, and otherwise ErrNoQuorum.
func notApplied(err error) error {
	if errors.Is(err, ErrRefused) {
		return err
	}
	return errors.Join(ErrNoQuorum, err)
}

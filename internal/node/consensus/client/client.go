// Package client is the client of the agreed log: commands that are applied once however often they have to be sent, and
// queries. The methods of a Client block until their context ends, and may be called from any goroutine.
//
// Bounds: one connection, to the leader as far as it is known; statemachine.Window commands in flight.
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
	ErrNoQuorum = errors.New("no majority of keepers can be reached: nothing was changed")
	// ErrUnknown says that the command may have been applied, or may yet be.
	ErrUnknown = errors.New("no answer came in time: whether it was agreed is not known")
	// ErrRefused says that a replica has rejected the request for a reason that will not go away.
	ErrRefused = errors.New("refused")

	errNoReplica    = errors.New("no keeper is configured")
	errClosed       = errors.New("there is nobody to ask")
	errNoConnection = errors.New("there is no connection")
	errBroken       = errors.New("the connection broke")
	errTimeout      = errors.New("no answer came in time")
	errOpening      = errors.New("no session could be opened in time")
	errWindowFull   = errors.New("as many commands as may be are in flight")
	errAbandoned    = errors.New("the session was abandoned")
)

const maxSpread = time.Second

// Replica is a member that can be called.
type Replica struct{ Name, Address string }

// Config is the configuration of a client.
type Config struct {
	Fleet          string
	Name           string // of this client, for people
	Release        string
	Replicas       []Replica
	AttemptTimeout time.Duration // for one replica to answer before the next one is tried
	Spread         time.Duration // the first request is delayed by a random part of it; 0 = not at all
}

// Spread returns the Config.Spread of one of as many nodes that start together. The first requests of a node keep the leader
// busy for part of a millisecond, and those of nodes that run already should not queue behind all of them.
func Spread(nodes int) time.Duration { return min(time.Duration(nodes)*time.Millisecond, maxSpread) }

// Client is a client of the log.
type Client struct {
	config    Config
	notBefore time.Time     // of the first request
	opening   chan struct{} // has room for one: it is full while a session is opened, so that one is

	mu          sync.Mutex // guards what follows
	current     int        // index of the replica that is called
	failedDials int        // in a row
	conn        *connection
	session     *session
	closed      bool
}

// New returns a client. It connects with the first request.
func New(config Config) *Client {
	return &Client{config: config, notBefore: time.Now().Add(rand.N(max(1, config.Spread))), opening: make(chan struct{}, 1),
		current: rand.IntN(max(1, len(config.Replicas)))}
}

// Close closes the connection. Requests that wait for an answer fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn != nil {
		c.conn.close()
	}
}

// Do sends a command to a component until it is applied, and returns its reply, or until ctx ends. The error then wraps
// ErrNoQuorum or ErrRefused where the command was certainly not applied, and ErrUnknown where it may have been.
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

// Read queries a component. The answer is linearizable: it is from the state at some moment after Read was called.
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

// Wait is a long poll: it sends a query to the replica that was called last, and returns once the answer differs from known, or
// ctx ends. The answer is a hint, for that replica may not lead any more. It makes no entry in the log. An error has no effect:
// the connection and the replica stay the current ones, until another request fails with them.
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
		err = fmt.Errorf("no hint: %s", a.Text)
	}
	if err != nil {
		return statemachine.Reply{}, err
	}
	return *a.Reply, nil
}

// Backup returns an image of the leader's state, and the index of the last entry in it.
func (c *Client) Backup(ctx context.Context) (index uint64, image []byte, err error) {
	a, _, err := c.call(ctx, func() protocol.Request { return protocol.Request{Kind: protocol.Backup} })
	if err == nil {
		index, err = a.Reply.Index, json.Unmarshal(a.Reply.Body, &image)
	}
	return index, image, err
}

// Change asks the leader to change the membership: want is protocol.AddLearner or protocol.Remove.
func (c *Client) Change(ctx context.Context, want string, m statemachine.Member) error {
	_, _, err := c.call(ctx, func() protocol.Request { return protocol.Request{Kind: want, Members: []statemachine.Member{m}} })
	return err
}

// Call sends one request to one replica, whether it leads or not: for its status, or to bootstrap it.
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

// notApplied returns the error of a request that was not applied: ErrRefused if a replica has rejected it, else ErrNoQuorum.
func notApplied(err error) error {
	if errors.Is(err, ErrRefused) {
		return err
	}
	return errors.Join(ErrNoQuorum, err)
}

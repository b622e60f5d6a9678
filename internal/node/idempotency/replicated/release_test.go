package replicated

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/consensus/client"
	"linenwheel.dev/linenwheel/internal/node/consensus/protocol"
	"linenwheel.dev/linenwheel/internal/node/consensus/transport"
	"linenwheel.dev/linenwheel/internal/node/idempotency"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// lateReplica is a replica that commits alone, and applies the first claim late: after the report that nothing ran
// was rejected.
type lateReplica struct {
	t        *testing.T
	log      *statemachine.Machine
	late     []byte // the first claim
	first    bool   // it has arrived
	claimed  chan struct{}
	released chan struct{}
}

func (k *lateReplica) listen() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(k.t, err)
	k.t.Cleanup(func() { _ = l.Close() })
	asks, stop := make(chan func()), make(chan struct{})
	k.t.Cleanup(func() { close(stop) })
	go func() {
		for {
			raw, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(transport.NewConn(raw), asks)
		}
	}()
	go func() { // the state machine belongs to one goroutine
		for {
			select {
			case do := <-asks:
				do()
			case <-stop:
				return
			}
		}
	}()
	return l.Addr().String()
}

func (k *lateReplica) serve(c *transport.Conn, asks chan func()) {
	defer func() { _ = c.Close() }()
	if _, err := c.Accept("f", func(transport.Hello) transport.Welcome { return transport.Welcome{Name: "k"} }); err != nil {
		return
	}
	for {
		_, text, err := c.Read()
		var r protocol.Request
		if err != nil || json.Unmarshal(text, &r) != nil {
			return
		}
		answer := make(chan *statemachine.Reply, 1)
		asks <- func() { answer <- k.claimOnce(r) }
		if reply := <-answer; reply != nil {
			text, _ = json.Marshal(protocol.Answer{ID: r.ID, Reply: reply}) // of types that can be encoded
			_ = c.Write(transport.KindAnswer, text, time.Second)            // or the client has left
		}
	}
}

func (k *lateReplica) claimOnce(r protocol.Request) *statemachine.Reply {
	data, _ := json.Marshal(statemachine.Command{Version: 1, At: 1000, Session: r.Session, Number: r.Number, Component: r.Component, Body: r.Body})
	claim, end := bytes.Contains(r.Body, []byte(`"take"`)), bytes.Contains(r.Body, []byte(`"ended"`))
	if claim && (!k.first || k.late != nil) {
		if !k.first {
			close(k.claimed)
		}
		k.first, k.late = true, data
		return nil
	}
	reply := k.apply(data)
	if end && k.late != nil {
		assert.Equal(k.t, statemachine.Conflict, reply.Code)
		k.apply(k.late)
		k.late = nil
	} else if end && reply.Code == statemachine.OK {
		close(k.released)
	}
	return reply
}

func (k *lateReplica) apply(data []byte) *statemachine.Reply {
	_, reply, err := k.log.Apply(k.log.Index()+1, data)
	assert.NoError(k.t, err)
	return &reply
}

// Guards against a claim that is committed after its node gave it up: nothing ran, and every repeat would be in
// doubt.
func TestLateClaimIsReleased(t *testing.T) {
	k := &lateReplica{t: t, log: statemachine.New(), claimed: make(chan struct{}), released: make(chan struct{})}
	log := client.New(client.Config{Fleet: "f", Name: "n", Replicas: []client.Replica{{Name: "k", Address: k.listen()}}, AttemptTimeout: 250 * time.Millisecond})
	defer log.Close()
	n := New(Settings{Node: "n", ClaimValidity: 60000, MaxRun: 60000, RequestTimeout: 1000, CompletionTimeout: 1000},
		log, clock.NewSystem(), slog.New(slog.DiscardHandler))
	c := idempotency.Call{Key: idempotency.Key{1}, Tenant: -1, Windows: &idempotency.Windows{Answered: 60000, Doubt: 60000}}
	claim := func() idempotency.Verdict {
		n.reachable.Store(true)
		return n.Claim(c, n.clock.Now()+60000, nil).Verdict
	}
	for came := false; !came; { // on a slow machine its deadline may pass before it is sent
		require.Equal(t, idempotency.Full, claim(), "rejected: it is not known whether the claim was committed")
		select {
		case <-k.claimed:
			came = true
		default:
		}
	}
	select {
	case <-k.released:
	case <-time.After(time.Minute):
		require.Fail(t, "the key stays in doubt")
	}
	last := claim()
	for last == idempotency.Full { // as clients retry
		last = claim()
	}
	assert.Equal(t, idempotency.Run, last)
}

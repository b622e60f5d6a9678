package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/golden"
	"linenwheel.dev/linenwheel/internal/node/consensus/protocol"
	"linenwheel.dev/linenwheel/internal/node/consensus/transport"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// randomNumber matches the random number of a command that opens a session.
var randomNumber = regexp.MustCompile(`"n":\d{10,}`)

// TestRequestsAreThoseOfAnEarlierBuild guards against a change on the wire of the client's handshake or of any
// kind of request, and against a client that cannot read an answer with a complete reply.
func TestRequestsAreThoseOfAnEarlierBuild(t *testing.T) {
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listen.Close() }()
	received, served := make(chan string, 100), make(chan error, 1)
	go func() {
		served <- func() error {
			raw, err := listen.Accept()
			if err != nil {
				return err
			}
			c := transport.NewConn(raw)
			defer func() { _ = c.Close() }()
			hello, err := c.Accept("morava", func(transport.Hello) transport.Welcome { return transport.Welcome{Name: "keeper-1", ID: 7} })
			if err != nil {
				return err
			}
			text, err := json.Marshal(hello)
			if err != nil {
				return err
			}
			for received <- string(text); ; {
				kind, text, err := c.Read()
				if err != nil {
					return nil // the client has closed
				}
				received <- fmt.Sprintf("%d %s", kind, randomNumber.ReplaceAll(text, []byte(`"n":0`)))
				var r struct {
					ID uint64 `json:"id"`
				}
				if err := json.Unmarshal(text, &r); err != nil {
					return err
				}
				answer := fmt.Appendf(nil, `{"id":%d,"reply":{"code":"ok","text":"t","body":"Y29weQ==","index":12}}`, r.ID)
				if err := c.Write(transport.KindAnswer, answer, time.Second); err != nil {
					return err
				}
			}
		}()
	}()
	c := New(Config{Fleet: "morava", Name: "node-1", Release: "r1", AttemptTimeout: 10 * time.Second,
		Replicas: []Replica{{Name: "keeper-1", Address: listen.Addr().String()}}})
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
	defer stop()
	want := statemachine.Reply{Code: statemachine.OK, Text: "t", Body: json.RawMessage(`"Y29weQ=="`), Index: 12}
	for range 2 {
		r, err := c.Do(ctx, statemachine.ComponentRegister, statemachine.Set{Name: "a", Value: "b", ExpectedNumber: new(uint64(3))})
		require.NoError(t, err)
		require.Equal(t, want, r)
	}
	r, err := c.Read(ctx, statemachine.ComponentRegister, statemachine.Get{Name: "a"})
	require.NoError(t, err)
	require.Equal(t, want, r)
	r, err = c.Wait(ctx, statemachine.ComponentPolicy, statemachine.PolicyQuestion{Progress: true}, "known")
	require.NoError(t, err)
	require.Equal(t, want, r)
	index, image, err := c.Backup(ctx)
	require.NoError(t, err)
	require.Equal(t, uint64(12), index)
	require.Equal(t, "copy", string(image))
	for _, change := range []string{protocol.AddLearner, protocol.Remove} {
		require.NoError(t, c.Change(ctx, change, statemachine.Member{ID: 5, Name: "keeper-2", Address: "h:1", Role: statemachine.Learner, Replaces: 4, Starts: 1, ReadsVersion: 2}))
	}
	c.Close()
	require.NoError(t, <-served)
	close(received)
	var all bytes.Buffer
	for line := range received {
		all.WriteString(line + "\n")
	}
	golden.Check(t, "requests", all.Bytes())
}

package controlplane

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
	"linenwheel.dev/linenwheel/internal/fleet/replica"
	"linenwheel.dev/linenwheel/internal/fleet/settings"
)

// newSingleNode returns a control process that is the only member, with a configuration and the given numbers of
// polling nodes and registered backends.
func newSingleNode(t *testing.T, nodes, backends int) *Node {
	t.Helper()
	n := newUnconfiguredNode(t)
	body := `{"Revision":1,"Backends":[{"Name":"llm"}]}`
	require.Equal(t, http.StatusOK, do(n, http.MethodPut, "/-/config", body).Code)
	for i := range backends {
		require.Equal(t, http.StatusOK, do(n, http.MethodPut, fmt.Sprintf("/-/instances/i%d", i), heartbeatBody(i, 1)).Code)
	}
	for i := range nodes {
		n.sessions[uint64(i+10)] = n.now()
	}
	return n
}

// newUnconfiguredNode returns a control process that is the only member, before the first order. It has been running for a minute.
func newUnconfiguredNode(t *testing.T) *Node {
	t.Helper()
	set, err := settings.Parse("boot.conf", "Ip=127.0.0.1\nListen.Control=127.0.0.1:1\nInternalPorts=2,3\nSeeds=127.0.0.1:1\nBootstrap=true\nCountsForQuorum=true\n")
	require.NoError(t, err)
	n, err := New(set, log.New(io.Discard))
	require.NoError(t, err)
	// The replicator does not run yet, so the machine is stepped with virtual time until it has founded the first
	// view.
	for now := time.Duration(0); now < 5*time.Second; now += tickInterval {
		n.replicator.step(func(time.Duration) replica.Ready { return n.replicator.machine.Tick(now) })
	}
	n.gossip.started -= time.Minute
	n.replicator.publish()
	go n.replicator.Run()
	t.Cleanup(n.replicator.Stop)
	return n
}

func heartbeatBody(backend, sequence int) string {
	return fmt.Sprintf(`{"Backend":"llm","Address":"10.0.%d.%d:1","Slots":%d,"State":"ready","Sequence":%d}`, backend/250, backend%250, sequence, sequence)
}

func do(n *Node, method, path, body string) *httptest.ResponseRecorder {
	return doIfMatch(n, method, path, body, "0")
}

func doIfMatch(n *Node, method, path, body, match string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("If-Match", match)
	recorder := httptest.NewRecorder()
	n.router().ServeHTTP(recorder, request)
	return recorder
}

// poll returns the reply to a poll by a node that has applied the last reply (nil for none), and the reply's
// encoded size in bytes.
func poll(t *testing.T, n *Node, last *distribution.PollReply) (*distribution.PollReply, int) {
	t.Helper()
	request := &distribution.PollRequest{Session: 10}
	if last != nil {
		request.ConfigSeq, request.RegistryOwner, request.RegistryVersion = last.ConfigSeq, last.RegistryOwner, last.RegistryVersion
	}
	var reply distribution.PollReply
	n.fillReply(request, &reply)
	var buffer bytes.Buffer
	require.NoError(t, gob.NewEncoder(&buffer).Encode(reply))
	return &reply, buffer.Len()
}

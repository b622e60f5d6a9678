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

// newAlone gives a control process that is the whole chain, with so many raters and nodes known and one configuration.
func newAlone(t *testing.T, nodes, raters int) *Node {
	t.Helper()
	set, err := settings.Parse("boot.conf", "Ip=127.0.0.1\nListen.Control=127.0.0.1:1\nInternalPorts=2,3\nSeeds=127.0.0.1:1\nBootstrap=true\nCountsForQuorum=true\n")
	require.NoError(t, err)
	n, err := New(set, log.New(io.Discard))
	require.NoError(t, err)
	// The replica's goroutine does not run: time is played.
	for now := time.Duration(0); now < 5*time.Second; now += tickInterval {
		n.replicator.step(func(time.Duration) replica.Ready { return n.replicator.machine.Tick(now) })
	}
	n.replicator.publish()
	go n.replicator.Run()
	t.Cleanup(n.replicator.Stop)
	body := `{"Revision":1,"Backends":[{"Name":"llm"}]}`
	require.Equal(t, http.StatusOK, call(n, http.MethodPut, "/-/config", body).Code)
	for i := range raters {
		require.Equal(t, http.StatusOK, call(n, http.MethodPut, fmt.Sprintf("/-/instances/i%d", i), heartbeatOf(i, 1)).Code)
	}
	for i := range nodes {
		n.sessions[uint64(i+10)] = n.now()
	}
	return n
}

func heartbeatOf(rater, sequence int) string {
	return fmt.Sprintf(`{"Backend":"llm","Address":"10.0.%d.%d:1","Slots":%d,"State":"ready","Sequence":%d}`, rater/250, rater%250, sequence, sequence)
}

func call(n *Node, method, path, body string) *httptest.ResponseRecorder {
	return callWith(n, method, path, body, "0")
}

func callWith(n *Node, method, path, body, match string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("If-Match", match)
	recorder := httptest.NewRecorder()
	n.router().ServeHTTP(recorder, request)
	return recorder
}

// poll gives the answer to a poll of a node that has what the one before brought, and its size.
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

// The slopes of docs/CAPACITY.md: what a node gets at rest, and for one change, does not grow with the fleet; only the whole
// list at its start does, by the rater.
func TestWhatANodeGetsDoesNotGrowWithTheFleet(t *testing.T) {
	type sizes struct{ whole, rest, change int }
	measure := func(nodes, raters int) sizes {
		n := newAlone(t, nodes, raters)
		reply, whole := poll(t, n, nil)
		require.Len(t, reply.Records, raters)
		reply, rest := poll(t, n, reply)
		require.Empty(t, reply.Records)
		require.Equal(t, http.StatusOK, call(n, http.MethodPut, "/-/instances/i1", heartbeatOf(1, 2)).Code)
		reply, change := poll(t, n, reply)
		require.Len(t, reply.Records, 1)
		return sizes{whole, rest, change}
	}
	small, large := measure(5, 10), measure(500, 1000)
	require.InDelta(t, small.rest, large.rest, 16)
	require.InDelta(t, small.change, large.change, 16)
	require.Less(t, large.whole-small.whole, 990*100, "bytes a rater of the whole list")
}

func TestAnAnswerToAPollAllocatesNoMoreInALargeFleet(t *testing.T) {
	allocations := func(nodes, raters int) float64 {
		n := newAlone(t, nodes, raters)
		reply, _ := poll(t, n, nil)
		request := &distribution.PollRequest{Session: 10, ConfigSeq: reply.ConfigSeq, RegistryOwner: reply.RegistryOwner,
			RegistryVersion: reply.RegistryVersion}
		return testing.AllocsPerRun(100, func() {
			var answer distribution.PollReply
			n.fillReply(request, &answer)
		})
	}
	require.LessOrEqual(t, allocations(500, 1000), allocations(5, 10)+1)
}

package controlplane

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
	"linenwheel.dev/linenwheel/internal/fleet/replica"
	"linenwheel.dev/linenwheel/internal/fleet/settings"
)

func TestWhoHasTheNewsBeforeARatersLeavingIsAcknowledged(t *testing.T) {
	n := newAlone(t, 0, 0)
	self := n.replicator.machine.Self()
	voters := []replica.Member{self, {Address: "b"}, {Address: "c"}, {Address: "d"}, {Address: "e"}}
	n.replicator.mu.Lock()
	n.replicator.published.View.Voters = voters
	n.replicator.mu.Unlock()
	now := n.now()
	g := n.gossip
	g.started = now - time.Minute
	g.lastExchanges = map[string]time.Duration{"b": now, "c": now, "d": now - unresponsiveAfter, "e": now - unresponsiveAfter}
	knows := func(addresses ...string) map[string]bool {
		set := map[string]bool{}
		for _, address := range addresses {
			set[address] = true
		}
		return set
	}
	require.False(t, g.replicatedWidely(knows(), []string{"b", "c", "d", "e"}), "alone")
	require.False(t, g.replicatedWidely(knows("b"), []string{"c", "d", "e"}), "no majority")
	require.True(t, g.replicatedWidely(knows("b", "c"), []string{"d", "e"}), "the others have been silent for long")
	require.False(t, g.replicatedWidely(knows("b", "d"), []string{"c", "e"}), "c was heard just now: nodes may follow it")
	g.started = now
	require.False(t, g.replicatedWidely(knows("b", "c"), []string{"x"}), "this process is too young to know who is silent")
}

func TestAListIsAsOldAsTheMajoritysExchanges(t *testing.T) {
	n := newAlone(t, 0, 0)
	self := replica.Member{Address: "a"}
	view := &replica.View{Voters: []replica.Member{self, {Address: "b"}, {Address: "c"}}}
	n.gossip.lastExchanges = map[string]time.Duration{"b": 5, "c": 3}
	require.EqualValues(t, 5, n.gossip.registryConfirmedAt(view, self))
	require.EqualValues(t, 3, n.gossip.registryConfirmedAt(view, replica.Member{Address: "learner"}))
	n.gossip.lastExchanges = map[string]time.Duration{"b": 5}
	require.EqualValues(t, 5, n.gossip.registryConfirmedAt(view, self))
	require.Zero(t, n.gossip.registryConfirmedAt(view, replica.Member{Address: "learner"}))
	require.Zero(t, n.gossip.registryConfirmedAt(&replica.View{}, self), "no view")
}

// cuttable breaks the connections of one end while it is cut off.
type cuttable struct {
	net.Conn
	cut *atomic.Bool
}

func (c cuttable) Write(bytes []byte) (int, error) {
	if c.cut.Load() {
		return len(bytes), nil // lost on the way
	}
	return c.Conn.Write(bytes)
}

func (c cuttable) Read(into []byte) (int, error) {
	for {
		n, err := c.Conn.Read(into)
		if err != nil || !c.cut.Load() {
			return n, err
		}
	}
}

// trio is three control processes on loopback, the third of which can be cut off from the others.
type trio struct {
	nodes []*Node
	cut   *atomic.Bool
}

func newTrio(t *testing.T) *trio {
	t.Helper()
	replica.RegisterMessages()
	fleet := &trio{cut: &atomic.Bool{}}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 3)
	for i := range 3 {
		text := fmt.Sprintf("Ip=127.7.1.%d\nListen.Control=127.7.1.%d:7001\nInternalPorts=7002,7003\nBootstrap=true\nCountsForQuorum=true\n"+
			"Seeds=127.7.1.1:7001,127.7.1.2:7001,127.7.1.3:7001\nFaultTolerance.Machines=1\nDataDir=%s\nBounds.GraceS=3\n", i+1, i+1, t.TempDir())
		set, err := settings.Parse("boot.conf", text)
		require.NoError(t, err)
		n, err := New(set, log.New(io.Discard))
		require.NoError(t, err)
		n.pool.Wrap = func(conn net.Conn) net.Conn {
			if i == 2 || strings.HasPrefix(conn.RemoteAddr().String(), "127.7.1.3:") {
				return cuttable{conn, fleet.cut}
			}
			return conn
		}
		fleet.nodes = append(fleet.nodes, n)
		go func() { ended <- n.Run(ctx) }()
	}
	t.Cleanup(func() {
		stop()
		for range fleet.nodes {
			require.NoError(t, <-ended)
		}
	})
	for _, n := range fleet.nodes {
		require.Eventually(t, func() bool {
			published, _ := n.replicator.Published()
			at := n.gossip.registryConfirmedAt(&published.View, published.Self)
			return len(published.View.Chain) == 3 && at > 0
		}, 10*time.Second, 10*time.Millisecond)
	}
	return fleet
}

const drains = `{"Backend":"llm","Address":"10.0.0.1:1","State":"draining","Sequence":7}`

// Point C of the review: a process that is cut off acknowledges no leaving; the others do once no node can follow it any more.
func TestAProcessThatIsCutOffAcknowledgesNoLeaving(t *testing.T) {
	fleet := newTrio(t)
	require.Equal(t, http.StatusOK, call(fleet.nodes[2], http.MethodPut, "/-/instances/i0", drains).Code)
	for _, n := range fleet.nodes {
		reply, _ := poll(t, n, nil)
		require.Len(t, reply.Records, 1, "everybody knew before it was acknowledged")
		require.True(t, reply.ListConfirmed)
		require.Less(t, reply.ListConfirmedAgo, distribution.MaxRegistryAge)
	}
	fleet.cut.Store(true)
	cutAt := time.Now()
	require.Equal(t, http.StatusServiceUnavailable, call(fleet.nodes[2], http.MethodPut, "/-/instances/i1", drains).Code)
	require.Equal(t, http.StatusServiceUnavailable, call(fleet.nodes[2], http.MethodDelete, "/-/instances/i2", "").Code)
	require.Equal(t, http.StatusOK, call(fleet.nodes[2], http.MethodPut, "/-/instances/i0", drains).Code, "that was known already")
	for call(fleet.nodes[0], http.MethodPut, "/-/instances/i1", drains).Code != http.StatusOK {
		require.Less(t, time.Since(cutAt), 6*time.Second)
	}
	stale, _ := poll(t, fleet.nodes[2], nil)
	require.Greater(t, stale.ListConfirmedAgo, distribution.MaxRegistryAge, "nodes have left it by now")
	known, _ := poll(t, fleet.nodes[1], nil)
	require.Len(t, known.Records, 2)
}

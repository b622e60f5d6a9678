package controlplane

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
	"linenwheel.dev/linenwheel/internal/fleet/registry"
	"linenwheel.dev/linenwheel/internal/fleet/replica"
	"linenwheel.dev/linenwheel/internal/fleet/settings"
)

func TestDeregistrationNeedsMajorityAndEveryResponsiveProcess(t *testing.T) {
	n := newSingleNode(t, 0, 0)
	self := n.replicator.machine.Self()
	voters := []replica.Member{self, {Address: "b"}, {Address: "c"}, {Address: "d"}, {Address: "e"}}
	n.replicator.mu.Lock()
	n.replicator.published.View.Voters = voters
	n.replicator.mu.Unlock()
	now := n.now()
	g := n.gossip
	g.started = now - time.Minute
	g.lastExchanges = map[string]time.Duration{"b": now, "c": now, "d": now - unresponsiveAfter, "e": now - unresponsiveAfter}
	addressSet := func(addresses ...string) map[string]bool {
		set := map[string]bool{}
		for _, address := range addresses {
			set[address] = true
		}
		return set
	}
	require.False(t, g.replicatedWidely(addressSet(), []string{"b", "c", "d", "e"}), "alone")
	require.False(t, g.replicatedWidely(addressSet("b"), []string{"c", "d", "e"}), "no majority")
	require.True(t, g.replicatedWidely(addressSet("b", "c"), []string{"d", "e"}), "the others are unresponsive")
	require.False(t, g.replicatedWidely(addressSet("b", "d"), []string{"c", "e"}), "c answered just now: nodes may follow it")
	g.started = now
	require.False(t, g.replicatedWidely(addressSet("b", "c"), []string{"x"}), "this process started too recently to know which are unresponsive")
	require.False(t, g.replicatedWidely(addressSet("b", "c", "d", "e"), nil), "this process started too recently to know all")
	g.started = now - discoveryTime
	require.True(t, g.replicatedWidely(addressSet("b", "c", "d", "e"), nil))
}

// Guards against an acknowledged removal that is lost when the processes that have just been started are killed once more: no other
// process had been told, as those that are neither voters nor seeds had not called yet.
func TestDeregistrationReachesProcessesThatAreNoVotersRightAfterAStart(t *testing.T) {
	c := newCluster(t)
	ctx, stop := context.WithCancel(context.Background())
	relay := newClusterNode(t, 4, "CountsForQuorum=false\n")
	ended := make(chan error, 1)
	go func() { ended <- relay.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-ended)
	})
	g := c.nodes[0].gossip
	setStarted := func(at time.Duration) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.started = at
	}
	deregister := func() int { return do(c.nodes[0], http.MethodDelete, "/-/instances/i0", "").Code }

	setStarted(c.nodes[0].now() + time.Hour) // the process stays one that has just been started, however slow the machine is
	require.Equal(t, http.StatusServiceUnavailable, deregister(), "the relay may not have called yet")
	require.Eventually(t, func() bool { return slices.Contains(g.peers(), relay.settings.OwnInternalAddress()) }, time.Minute, 10*time.Millisecond)
	setStarted(c.nodes[0].now() - discoveryTime)
	require.Eventually(t, func() bool { return deregister() == http.StatusOK }, time.Minute, time.Millisecond)
	relay.mu.Lock()
	defer relay.mu.Unlock()
	record, known := relay.registry.Get(0, "i0")
	require.True(t, known, "acknowledged, and the relay was not told")
	require.Equal(t, registry.Removed, record.State)
}

func TestRegistryIsConfirmedByMajorityOfExchanges(t *testing.T) {
	n := newSingleNode(t, 0, 0)
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

// Guards against an acknowledged removal that no node applies: the control process has just been started and knows less of the
// backend than the nodes do (review/4).
func TestRemovalAcknowledgedByARestartedProcessReachesANode(t *testing.T) {
	for name, before := range map[string]string{"knows nothing": "", "knows a late heartbeat": heartbeatBody(0, 2)} {
		t.Run(name, func(t *testing.T) {
			node := distribution.NewClientState(false, time.Second)
			running := newSingleNode(t, 0, 0)
			require.Equal(t, http.StatusOK, do(running, http.MethodPut, "/-/instances/i0", heartbeatBody(0, 3)).Code)
			reply, _ := poll(t, running, nil)
			_, err := node.Apply(0, reply)
			require.NoError(t, err)
			require.Len(t, node.Backends(), 1)

			restarted := newSingleNode(t, 0, 0)
			if before != "" {
				require.Equal(t, http.StatusOK, do(restarted, http.MethodPut, "/-/instances/i0", before).Code)
			}
			require.Equal(t, http.StatusOK, do(restarted, http.MethodDelete, "/-/instances/i0", "").Code)
			reply, _ = poll(t, restarted, nil)
			_, err = node.Apply(0, reply)
			require.NoError(t, err)
			require.Empty(t, node.Backends())
		})
	}
}

// partitionedConn drops all data written and read while the partition lasts.
type partitionedConn struct {
	net.Conn
	partitioned *atomic.Bool
}

func (c partitionedConn) Write(bytes []byte) (int, error) {
	if c.partitioned.Load() {
		return len(bytes), nil // dropped
	}
	return c.Conn.Write(bytes)
}

func (c partitionedConn) Read(into []byte) (int, error) {
	for {
		n, err := c.Conn.Read(into)
		if err != nil || !c.partitioned.Load() {
			return n, err
		}
	}
}

// cluster is three control processes on loopback, the third of which can be partitioned from the others.
type cluster struct {
	nodes       []*Node
	partitioned *atomic.Bool
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	replica.RegisterMessages()
	c := &cluster{partitioned: &atomic.Bool{}}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 3)
	for i := range 3 {
		n := newClusterNode(t, i+1, "CountsForQuorum=true\nDataDir="+t.TempDir()+"\n")
		n.pool.Wrap = func(conn net.Conn) net.Conn {
			if i == 2 || strings.HasPrefix(conn.RemoteAddr().String(), "127.7.1.3:") {
				return partitionedConn{conn, c.partitioned}
			}
			return conn
		}
		c.nodes = append(c.nodes, n)
		go func() { ended <- n.Run(ctx) }()
	}
	t.Cleanup(func() {
		stop()
		for range c.nodes {
			require.NoError(t, <-ended)
		}
	})
	for _, n := range c.nodes {
		require.Eventually(t, func() bool {
			published, _ := n.replicator.Published()
			at := n.gossip.registryConfirmedAt(&published.View, published.Self)
			return len(published.View.Chain) == 3 && at > 0
		}, time.Minute, 10*time.Millisecond) // while the disk is slow, members leave the chain and come back
	}
	return c
}

// newClusterNode returns a control process of the cluster, with further lines of its settings. It does not run yet.
func newClusterNode(t *testing.T, number int, further string) *Node {
	t.Helper()
	text := fmt.Sprintf("Ip=127.7.1.%d\nListen.Control=127.7.1.%d:7001\nInternalPorts=7002,7003\nBootstrap=true\n"+
		"Seeds=127.7.1.1:7001,127.7.1.2:7001,127.7.1.3:7001\nFaultTolerance.Machines=1\nBounds.GraceS=3\n%s", number, number, further)
	set, err := settings.Parse("boot.conf", text)
	require.NoError(t, err)
	n, err := New(set, log.New(io.Discard))
	require.NoError(t, err)
	return n
}

const drainingHeartbeat = `{"Backend":"llm","Address":"10.0.0.1:1","State":"draining","Sequence":7}`

// A partitioned process must not acknowledge a deregistration: data plane nodes that poll the other processes
// would keep using the backend. The others acknowledge it once no data plane node can still follow the partitioned
// process.
func TestPartitionedProcessAcknowledgesNoDeregistration(t *testing.T) {
	c := newCluster(t)
	require.Equal(t, http.StatusOK, do(c.nodes[2], http.MethodPut, "/-/instances/i0", drainingHeartbeat).Code)
	for _, n := range c.nodes {
		reply, _ := poll(t, n, nil)
		require.Len(t, reply.Records, 1, "every process must have the record when it is acknowledged")
		require.True(t, reply.ListConfirmed)
		require.Less(t, reply.ListConfirmedAgo, distribution.MaxRegistryConfirmationAge)
	}
	c.partitioned.Store(true)
	partitionedAt := time.Now()
	require.Equal(t, http.StatusServiceUnavailable, do(c.nodes[2], http.MethodPut, "/-/instances/i1", drainingHeartbeat).Code)
	require.Equal(t, http.StatusServiceUnavailable, do(c.nodes[2], http.MethodDelete, "/-/instances/i2", "").Code)
	require.Equal(t, http.StatusOK, do(c.nodes[2], http.MethodPut, "/-/instances/i0", drainingHeartbeat).Code, "acknowledged before the partition")
	for do(c.nodes[0], http.MethodPut, "/-/instances/i1", drainingHeartbeat).Code != http.StatusOK {
		require.Less(t, time.Since(partitionedAt), 6*time.Second)
	}
	stale, _ := poll(t, c.nodes[2], nil)
	require.Greater(t, stale.ListConfirmedAgo, distribution.MaxRegistryConfirmationAge, "nodes have switched to other processes by now")
	known, _ := poll(t, c.nodes[1], nil)
	require.Len(t, known.Records, 2)
}

package controlplane

import (
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/settings"
)

// A settings reload may replace the seeds while an exchange with an old seed is in flight. The next round must use
// the new seeds.
func TestGossipUsesSeedsOfLastReload(t *testing.T) {
	n := newSingleNode(t, 0, 0)
	reload := func(seeds string) {
		set, err := settings.Parse("boot.conf", "Ip=127.0.0.1\nListen.Control=127.0.0.1:1\nInternalPorts=2,3\nSeeds="+seeds+"\nCountsForQuorum=true\n")
		require.NoError(t, err)
		n.ApplySettings(set)
	}
	reload("127.0.0.1:1,127.0.0.2:1,127.0.0.3:1")
	require.Equal(t, []string{"127.0.0.2:2", "127.0.0.3:2"}, n.gossip.peers())
	require.True(t, n.gossip.beginExchange("127.0.0.2:2"))
	reload("127.0.0.1:1,127.0.0.4:1,127.0.0.3:1")
	require.Equal(t, []string{"127.0.0.3:2", "127.0.0.4:2"}, n.gossip.peers())
	n.gossip.endExchange("127.0.0.2:2")
	require.Equal(t, []string{"127.0.0.3:2", "127.0.0.4:2"}, n.gossip.peers())
}

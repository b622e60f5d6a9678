package controlplane

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

func TestPollReturnsPatchesToNodeFewRevisionsBehind(t *testing.T) {
	n := newSingleNode(t, 0, 0)
	first, _ := poll(t, n, nil)
	document, _ := readUpdate(t, first)
	require.NotEmpty(t, document)
	require.True(t, first.Confirmed)
	for revision := 2; revision < 5; revision++ {
		require.Equal(t, http.StatusOK, submitOrder(n, revision-1, fmt.Sprintf(`{"Revision":%d}`, revision)))
	}
	next, _ := poll(t, n, first)
	document, patches := readUpdate(t, next)
	require.Empty(t, document)
	require.Len(t, patches, 3)
	for revision := 5; revision < 5+2*distribution.MaxPatches; revision++ {
		require.Equal(t, http.StatusOK, submitOrder(n, revision-1, fmt.Sprintf(`{"Revision":%d}`, revision)))
	}
	far, _ := poll(t, n, first)
	document, patches = readUpdate(t, far)
	require.Empty(t, patches)
	require.NotEmpty(t, document, "a node that is far behind receives the full document")
	again, _ := poll(t, n, first)
	require.Same(t, &far.Update[0], &again.Update[0], "the update is encoded once for all nodes")
}

func readUpdate(t *testing.T, reply *distribution.PollReply) ([]byte, []operator.Order) {
	t.Helper()
	document, patches, err := reply.Update.Read()
	require.NoError(t, err)
	return document, patches
}

// TestPollReplySizeDoesNotGrowWithFleet checks the growth rates in docs/CAPACITY.md: neither the reply to an
// up-to-date node nor the reply with a single change grows with the fleet. Only the first reply does, by its
// records.
func TestPollReplySizeDoesNotGrowWithFleet(t *testing.T) {
	type sizes struct{ full, idle, change int }
	measure := func(nodes, backends int) sizes {
		n := newSingleNode(t, nodes, backends)
		reply, full := poll(t, n, nil)
		require.Len(t, reply.Records, backends)
		reply, idle := poll(t, n, reply)
		require.Empty(t, reply.Records)
		require.Equal(t, http.StatusOK, do(n, http.MethodPut, "/-/instances/i1", heartbeatBody(1, 2)).Code)
		reply, change := poll(t, n, reply)
		require.Len(t, reply.Records, 1)
		return sizes{full, idle, change}
	}
	small, large := measure(5, 10), measure(500, 1000)
	require.InDelta(t, small.idle, large.idle, 16)
	require.InDelta(t, small.change, large.change, 16)
	require.Less(t, large.full-small.full, 990*100, "the first reply must grow by less than 100 bytes per record")
}

func TestPollReplyAllocationsDoNotGrowWithFleet(t *testing.T) {
	allocations := func(nodes, backends int) float64 {
		n := newSingleNode(t, nodes, backends)
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

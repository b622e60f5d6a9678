package controlplane

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/quota"
	"linenwheel.dev/linenwheel/internal/fleet/registry"
	"linenwheel.dev/linenwheel/internal/fleet/replica"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

func TestHeartbeatsThatCannotBeReadAreRefusedAndChangeNothing(t *testing.T) {
	n := newAlone(t, 0, 1)
	version := n.registry.Version()
	for name, body := range map[string]string{
		"no JSON":    `{"Backend":`,
		"no backend": `{"Address":"10.0.0.1:1"}`,
		"no address": `{"Backend":"llm"}`,
		"wrong type": `{"Backend":"llm","Address":"10.0.0.1:1","Slots":"many"}`,
	} {
		answer := call(n, http.MethodPut, "/-/instances/x", body)
		require.Equal(t, http.StatusBadRequest, answer.Code, name)
		require.Contains(t, answer.Body.String(), "Error", name)
	}
	require.Equal(t, version, n.registry.Version())
}

func TestARaterDrainsAndLeaves(t *testing.T) {
	n := newAlone(t, 0, 2)
	drains := `{"Backend":"llm","Address":"10.0.0.1:1","State":"draining","Sequence":7}`
	require.Equal(t, http.StatusOK, call(n, http.MethodPut, "/-/instances/i1", drains).Code)
	require.Equal(t, http.StatusOK, call(n, http.MethodDelete, "/-/instances/i0", "").Code)
	require.Equal(t, http.StatusOK, call(n, http.MethodDelete, "/-/instances/i0", "").Code, "once more")
	reply, _ := poll(t, n, nil)
	states := map[string]registry.State{}
	for _, record := range reply.Records {
		states[record.ID] = record.State
	}
	require.Equal(t, map[string]registry.State{"i0": registry.Removed, "i1": registry.Draining}, states)
}

func order(n *Node, base int, body string) int {
	request := fmt.Sprint(base)
	recorder := callWith(n, http.MethodPatch, "/-/config", body, request)
	return recorder.Code
}

func TestOrdersOfTheOperator(t *testing.T) {
	n := newAlone(t, 0, 0)
	require.Equal(t, http.StatusOK, order(n, 1, `{"Revision":3}`))
	require.Equal(t, http.StatusOK, order(n, 1, `{"Revision":3}`), "the same order again")
	require.Equal(t, http.StatusPreconditionFailed, order(n, 1, `{"Revision":4}`))
	require.Equal(t, http.StatusBadRequest, order(n, 3, `{"Revision":3}`))
	require.Equal(t, http.StatusBadRequest, order(n, 3, `{`))
	require.Equal(t, http.StatusBadRequest, callWith(n, http.MethodPatch, "/-/config", `{"Revision":5}`, "x").Code, "If-Match")
	require.Equal(t, http.StatusOK, order(n, 1, `{"Revision":3}`), "also after others")
	read := call(n, http.MethodGet, "/-/config", "")
	require.Equal(t, http.StatusOK, read.Code)
	require.JSONEq(t, `{"Revision":3,"Backends":[{"Name":"llm"}]}`, read.Body.String())
	require.Contains(t, call(n, http.MethodGet, "/-/status", "").Body.String(), `"Revision":3`)
}

func TestAPollBringsPatchesToANodeThatIsAFewVersionsBehind(t *testing.T) {
	n := newAlone(t, 0, 0)
	first, _ := poll(t, n, nil)
	document, _ := contentOf(t, first)
	require.NotEmpty(t, document)
	require.True(t, first.Confirmed)
	for revision := 2; revision < 5; revision++ {
		require.Equal(t, http.StatusOK, order(n, revision-1, fmt.Sprintf(`{"Revision":%d}`, revision)))
	}
	next, _ := poll(t, n, first)
	document, patches := contentOf(t, next)
	require.Empty(t, document)
	require.Len(t, patches, 3)
	for revision := 5; revision < 5+2*maxPatches; revision++ {
		require.Equal(t, http.StatusOK, order(n, revision-1, fmt.Sprintf(`{"Revision":%d}`, revision)))
	}
	far, _ := poll(t, n, first)
	document, patches = contentOf(t, far)
	require.Empty(t, patches)
	require.NotEmpty(t, document, "one that is far behind gets the whole")
	again, _ := poll(t, n, first)
	require.Same(t, &far.Update[0], &again.Update[0], "it is encoded once for all nodes")
}

func contentOf(t *testing.T, reply *distribution.PollReply) ([]byte, []operator.Order) {
	t.Helper()
	document, patches, err := reply.Update.Read()
	require.NoError(t, err)
	return document, patches
}

func TestEventsGoToAllNodesButTheirSender(t *testing.T) {
	var l eventLog
	one := routing.AppendEvent(nil, routing.Event{Kind: routing.EventEnded, Backend: 1})
	two := routing.AppendEvent(one, routing.Event{Kind: routing.EventFailed, Backend: 2})
	require.NoError(t, l.append(time.Second, &distribution.Announcement{Session: 1, Events: two}))
	require.NoError(t, l.append(2*time.Second, &distribution.Announcement{Session: 2, Events: one}))
	require.True(t, l.hasNewFor(0, 1))
	require.Len(t, eventsOf(t, l.packNewFor(2*time.Second, 0, 1)), 1)
	require.Len(t, eventsOf(t, l.packNewFor(2*time.Second, 0, 2)), 2)
	require.Equal(t, time.Second, eventsOf(t, l.packNewFor(2*time.Second, 0, 2))[0].Age)
	require.False(t, l.hasNewFor(3, 9))
	require.False(t, l.hasNewFor(3, 1))
	require.NoError(t, l.append(time.Minute, &distribution.Announcement{Session: 1}))
	require.Empty(t, l.events, "old ones are dropped")
	require.False(t, l.hasNewFor(0, 9), "one that asks late gets what is left")
	require.Error(t, l.append(time.Minute, &distribution.Announcement{Session: 1, Events: []byte{99}}))
}

func eventsOf(t *testing.T, packed []byte) []routing.Event {
	t.Helper()
	events, err := routing.UnpackEvents(packed)
	require.NoError(t, err)
	return events
}

func TestEventsAreHandedOnInTheirOrder(t *testing.T) {
	r := forwarder{queues: map[string]*forwardQueue{}}
	require.True(t, r.enqueue("a", &distribution.Announcement{Session: 1}), "nobody hands on to it yet")
	require.False(t, r.enqueue("a", &distribution.Announcement{Session: 2}), "one is at it: two at once could pass each other")
	require.True(t, r.enqueue("b", &distribution.Announcement{Session: 1}), "a process that does not answer holds up no other")
	taken := r.drain("a")
	require.Equal(t, []uint64{1, 2}, []uint64{taken[0].Session, taken[1].Session})
	require.False(t, r.enqueue("a", &distribution.Announcement{Session: 3}))
	require.Len(t, r.drain("a"), 1)
	require.Empty(t, r.drain("a"))
	require.True(t, r.enqueue("a", &distribution.Announcement{Session: 4}), "the lane has ended")
	for range 2 * maxForwardQueue {
		r.enqueue("a", &distribution.Announcement{})
	}
	require.Len(t, r.drain("a"), maxForwardQueue, "what waits is bounded")
}

func TestAnOwnerThatIsNotConfirmedGivesNothing(t *testing.T) {
	n := newAlone(t, 0, 0)
	published, _ := n.replicator.Published()
	now := n.now()
	published.ViewConfirmed = now
	published.AllVotersInView = true
	n.mu.Lock()
	defer n.mu.Unlock()
	require.False(t, n.mayGrant(published, "t", now), "the one before may still hand its bucket over")
	require.True(t, n.mayGrant(published, "t", now+bucketTransferTimeout))
	require.False(t, n.mayGrant(published, "t", now+maxViewAge+time.Millisecond))
	published.ViewConfirmed = now + time.Second
	published.AllVotersInView = false
	require.False(t, n.mayGrant(published, "u", now+time.Second), "another may still give")
	published.ViewConfirmed += takeoverDelay
	require.True(t, n.mayGrant(published, "u", now+time.Second+takeoverDelay))
	published.View.Chain = []replica.Member{{Address: "another"}}
	require.False(t, n.mayGrant(published, "t", now+time.Second))
}

func TestABucketThatIsHandedOverIsTakenByANewerViewOnly(t *testing.T) {
	n := newAlone(t, 0, 0)
	service := &quotaService{n}
	published, _ := n.replicator.Published()
	handed := quota.HandOver{Epoch: published.View.Epoch - 1, Tenant: "t", Level: 5, Rate: 1, Burst: 10}
	require.NoError(t, service.HandOver(&handed, &struct{}{}))
	require.False(t, n.buckets.Owns("t"))
	handed.Epoch++
	require.NoError(t, service.HandOver(&handed, &struct{}{}))
	require.True(t, n.buckets.Owns("t"))
}
